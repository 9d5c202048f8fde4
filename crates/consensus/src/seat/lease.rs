//! The lease of a leader, and the freshness of a follower's state.
//!
//! A quorum confirms a leader by acknowledging its messages. The time of the confirmation
//! is the time at which the leader wrote the newest message that a quorum has
//! acknowledged. Once an entry of its own term is committed, the leader's commit position
//! covers every change acknowledged to a caller before that time.
//!
//! Each append carries the age of that confirmation. A follower does not know how long the
//! append was in transit. The append also echoes the last [`ClockStamp`] that the leader
//! received from the follower, and the follower wrote that stamp before the leader wrote
//! the append. The follower therefore subtracts the age from the time of the stamp, and
//! the result is never later than the time of the confirmation.
//!
//! [`ClockStamp`]: crate::ClockStamp

use super::{RaftSeat, RoleState};
use crate::AppendRequest;
use chicoryladder_types::LogIndex;
use std::time::{Duration, Instant};

/// A freshness bound that holds once the seat's commit position reaches `commit`.
#[derive(Clone, Copy, Debug)]
struct FreshnessClaim {
    commit: LogIndex,
    /// The instant up to which the state at `commit` includes every acknowledged change.
    at: Instant,
}

/// The freshness bound of the committed state, and the next bound.
#[derive(Clone, Debug, Default)]
pub(super) struct FreshnessRecord {
    /// The instant up to which the state includes every acknowledged change.
    fresh_at: Option<Instant>,
    /// A bound that holds once more entries are committed.
    claim: Option<FreshnessClaim>,
}

impl FreshnessRecord {
    /// Applies a claim, or stores it for [`Self::resolve`] if `commit` is below it.
    fn add(&mut self, claim: FreshnessClaim, commit: LogIndex) {
        self.resolve(commit);
        if claim.commit <= commit {
            self.fresh_at = self.fresh_at.max(Some(claim.at));
        } else {
            self.claim.get_or_insert(claim);
        }
    }

    /// Applies the stored claim once `commit` has reached it.
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
    /// The time of the last confirmation by a quorum; the election counts as one.
    pub(super) fn confirmed_at(&self, now: Instant) -> Option<Instant> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        self.quorum_confirmed_at(now).max(Some(state.elected_at))
    }

    /// When this leader wrote the newest message that a quorum has acknowledged.
    fn quorum_confirmed_at(&self, now: Instant) -> Option<Instant> {
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

    /// Whether the state machine may serve reads now: the seat is the leader, its lease has
    /// not expired, and it has emitted every committed entry for the state machine.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        let lease = self.settings.lease_duration();
        let confirmed = self
            .quorum_confirmed_at(now)
            .is_some_and(|at| now < at + lease);
        confirmed && self.has_committed_in_term() && self.delivered >= self.commit
    }

    /// The end of the leader's lease; each confirmation by a quorum extends it.
    ///
    /// `None` on a seat that is not the leader, or that has not committed an entry of
    /// its own term.
    #[must_use]
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        let confirmed = self
            .quorum_confirmed_at(now)
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
            let leader_fresh_at = self
                .quorum_confirmed_at(now)
                .filter(|_| self.has_committed_in_term());
            return leader_fresh_at.max(self.freshness.fresh_at);
        }
        self.freshness.fresh_at
    }

    /// Saves the leader's freshness, so that it is kept after the seat steps down.
    pub(super) fn save_freshness(&mut self, now: Instant) {
        self.freshness.fresh_at = self.fresh_at(now);
    }

    /// How long ago a quorum last confirmed this leader; `None` until the commit position
    /// covers every change acknowledged before that time.
    pub(super) fn quorum_age(&self, now: Instant) -> Option<Duration> {
        if !self.has_committed_in_term() {
            return None;
        }
        self.quorum_confirmed_at(now)
            .map(|at| now.saturating_duration_since(at))
    }

    /// Derives the follower's freshness bound from an append of the leader.
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
