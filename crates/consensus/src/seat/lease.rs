//! The lease of a leader, and how fresh a follower's view is.
//!
//! A leader is confirmed at the time at which it wrote the newest message that a
//! quorum acknowledged. Every change acknowledged to a caller before that moment
//! is covered by the leader's commit position, once an entry of its own term is
//! committed.
//!
//! A follower learns an age for that moment. It can't tell how long the message
//! travelled, so it subtracts the age from the time of its own last stamp that the
//! message echoes: the result is never later than the truth.

use super::{RaftSeat, RoleState};
use crate::AppendRequest;
use chicoryladder_types::LogIndex;
use std::time::{Duration, Instant};

/// A claim that takes effect when the log is committed far enough.
#[derive(Clone, Copy, Debug)]
struct FreshnessClaim {
    commit: LogIndex,
    at: Instant,
}

/// Up to which instant the applied state holds every acknowledged change.
#[derive(Clone, Debug, Default)]
pub(super) struct FreshnessRecord {
    fresh_at: Option<Instant>,
    claim: Option<FreshnessClaim>,
}

impl FreshnessRecord {
    fn offer(&mut self, claim: FreshnessClaim, commit: LogIndex) {
        self.settle(commit);
        if claim.commit <= commit {
            self.fresh_at = self.fresh_at.max(Some(claim.at));
        } else {
            self.claim.get_or_insert(claim);
        }
    }

    fn settle(&mut self, commit: LogIndex) {
        if let Some(claim) = self.claim
            && claim.commit <= commit
        {
            self.fresh_at = self.fresh_at.max(Some(claim.at));
            self.claim = None;
        }
    }
}

impl RaftSeat {
    /// When a quorum last confirmed this leader; its election counts as the first time.
    pub(super) fn confirmed_at(&self, now: Instant) -> Option<Instant> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        self.quorum_at(now).max(Some(state.elected_at))
    }

    /// When a quorum last acknowledged a message of this leader's term.
    fn quorum_at(&self, now: Instant) -> Option<Instant> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let membership = self.membership();
        let mut times: Vec<Option<Instant>> = membership
            .voters()
            .map(|voter| match state.peers.get(&voter) {
                Some(peer) => peer.confirmed_at,
                None => (voter == self.seat()).then_some(now),
            })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(membership.quorum() - 1).copied().flatten()
    }

    /// Whether an entry of the leader's own term is committed.
    pub(super) fn is_settled(&self) -> bool {
        let leads = matches!(self.role, RoleState::Leader(_));
        leads && self.log.term_at(self.commit) == Some(self.term())
    }

    /// Whether the applied state may answer reads now: the seat leads, is within
    /// its lease, and has applied every acknowledged change.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        let lease = self.settings.lease_duration();
        let confirmed = self.quorum_at(now).is_some_and(|at| now < at + lease);
        confirmed && self.is_settled() && self.delivered >= self.commit
    }

    /// Until when a leader may answer reads without another confirmation.
    ///
    /// `None` on a seat that does not lead, or that has not committed an entry of
    /// its own term.
    #[must_use]
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let confirmed = self.quorum_at(now).filter(|_| self.is_settled())?;
        Some(confirmed + self.settings.lease_duration())
    }

    /// When a leader last got an acknowledgement of a member, if ever.
    #[must_use]
    pub fn last_contact_with(&self, member: chicoryladder_types::SeatId) -> Option<Instant> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        state.peers.get(&member).and_then(|peer| peer.confirmed_at)
    }

    /// The instant up to which the applied state holds every acknowledged change.
    ///
    /// `None` until a committed position was heard from a leader backed by a
    /// quorum since this start.
    #[must_use]
    pub fn fresh_at(&self, now: Instant) -> Option<Instant> {
        if matches!(self.role, RoleState::Leader(_)) {
            let own = self.quorum_at(now).filter(|_| self.is_settled());
            return own.max(self.freshness.fresh_at);
        }
        self.freshness.fresh_at
    }

    /// Keeps a leader's freshness for the time after its leadership.
    pub(super) fn keep_freshness(&mut self, now: Instant) {
        self.freshness.fresh_at = self.fresh_at(now);
    }

    pub(super) fn quorum_age(&self, now: Instant) -> Option<Duration> {
        if !self.is_settled() {
            return None;
        }
        self.quorum_at(now)
            .map(|at| now.saturating_duration_since(at))
    }

    pub(super) fn note_freshness(&mut self, request: &AppendRequest, now: Instant) {
        let commit = self.commit;
        self.freshness.settle(commit);
        let Some(age) = request.quorum_age else {
            return;
        };
        let asked_at = request.echo.and_then(|echo| self.instant_of(echo, now));
        let Some(at) = asked_at.and_then(|at| at.checked_sub(age)) else {
            return;
        };
        let claim = FreshnessClaim {
            commit: request.commit,
            at,
        };
        self.freshness.offer(claim, commit);
    }
}
