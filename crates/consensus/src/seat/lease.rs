//! The lease of a leader, and the freshness of a follower's state.
//!
//! A leader is confirmed as of the time at which it wrote the newest message that a
//! quorum has acknowledged. Once an entry of its own term is committed, the leader's
//! commit position covers every change acknowledged to a caller before that time.
//!
//! A follower receives the age of that confirmation. It does not know how long the
//! message was in transit, so it subtracts the age from the time of its own last stamp
//! that the message echoes: the result is never later than the actual time.

use super::{RaftSeat, RoleState};
use crate::AppendRequest;
use chicoryladder_types::LogIndex;
use std::time::{Duration, Instant};

/// A freshness time that becomes valid once `commit` is reached.
#[derive(Clone, Copy, Debug)]
struct FreshnessClaim {
    commit: LogIndex,
    at: Instant,
}

/// The instant up to which the applied state includes every acknowledged change.
#[derive(Clone, Debug, Default)]
pub(super) struct FreshnessRecord {
    fresh_at: Option<Instant>,
    claim: Option<FreshnessClaim>,
}

impl FreshnessRecord {
    fn add(&mut self, claim: FreshnessClaim, commit: LogIndex) {
        self.resolve(commit);
        if claim.commit <= commit {
            self.fresh_at = self.fresh_at.max(Some(claim.at));
        } else {
            self.claim.get_or_insert(claim);
        }
    }

    fn resolve(&mut self, commit: LogIndex) {
        if let Some(claim) = self.claim
            && claim.commit <= commit
        {
            self.fresh_at = self.fresh_at.max(Some(claim.at));
            self.claim = None;
        }
    }
}

impl RaftSeat {
    /// When a quorum last confirmed this leader; its election counts as a confirmation.
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
    pub(super) fn has_committed_in_term(&self) -> bool {
        let leads = matches!(self.role, RoleState::Leader(_));
        leads && self.log.term_at(self.commit) == Some(self.term())
    }

    /// Whether the applied state may serve reads now: the seat is the leader, holds its
    /// lease, and has delivered every committed entry.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        let lease = self.settings.lease_duration();
        let confirmed = self.quorum_at(now).is_some_and(|at| now < at + lease);
        confirmed && self.has_committed_in_term() && self.delivered >= self.commit
    }

    /// The end of the leader's lease, unless a quorum confirms it again.
    ///
    /// `None` on a seat that is not the leader, or that has not committed an entry of
    /// its own term.
    #[must_use]
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let confirmed = self
            .quorum_at(now)
            .filter(|_| self.has_committed_in_term())?;
        Some(confirmed + self.settings.lease_duration())
    }

    /// When the leader wrote the newest message that the member has acknowledged; `None`
    /// if there is none or this seat is not the leader.
    #[must_use]
    pub fn last_contact_with(&self, member: chicoryladder_types::SeatId) -> Option<Instant> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        state.peers.get(&member).and_then(|peer| peer.confirmed_at)
    }

    /// The instant up to which the applied state includes every acknowledged change.
    ///
    /// `None` until the seat has received, since its start, a commit position from a
    /// leader that a quorum confirmed.
    #[must_use]
    pub fn fresh_at(&self, now: Instant) -> Option<Instant> {
        if matches!(self.role, RoleState::Leader(_)) {
            let own = self.quorum_at(now).filter(|_| self.has_committed_in_term());
            return own.max(self.freshness.fresh_at);
        }
        self.freshness.fresh_at
    }

    /// Saves the leader's freshness, so that it is kept after the seat steps down.
    pub(super) fn save_freshness(&mut self, now: Instant) {
        self.freshness.fresh_at = self.fresh_at(now);
    }

    pub(super) fn quorum_age(&self, now: Instant) -> Option<Duration> {
        if !self.has_committed_in_term() {
            return None;
        }
        self.quorum_at(now)
            .map(|at| now.saturating_duration_since(at))
    }

    pub(super) fn update_freshness(&mut self, request: &AppendRequest, now: Instant) {
        let commit = self.commit;
        self.freshness.resolve(commit);
        let Some(age) = request.quorum_age else {
            return;
        };
        let echoed_at = request.echo.and_then(|echo| self.instant_of(echo, now));
        let Some(at) = echoed_at.and_then(|at| at.checked_sub(age)) else {
            return;
        };
        let claim = FreshnessClaim {
            commit: request.commit,
            at,
        };
        self.freshness.add(claim, commit);
    }
}
