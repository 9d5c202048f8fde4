//! What a process knows of its group.

use chicoryladder_consensus::MemberRole;
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use std::net::SocketAddr;
use std::time::Instant;

/// One member, as the local seat sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The seat.
    pub seat: SeatId,
    /// Where its host takes calls.
    pub address: SocketAddr,
    /// Whether it counts in quorums.
    pub role: MemberRole,
    /// When a leader last heard from it.
    pub last_contact_at: Option<Instant>,
    /// Whether a leader may make it a voter, if it is a learner.
    pub caught_up: bool,
}

/// What a process knows of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The local seat.
    pub seat: SeatId,
    /// The current term.
    pub term: TermNumber,
    /// Whether the local seat leads.
    pub leads: bool,
    /// Where the leader takes calls, as far as known.
    pub leader: Option<SocketAddr>,
    /// Until when a leader may answer without another confirmation.
    pub lease_until: Option<Instant>,
    /// The last entry applied.
    pub applied: LogIndex,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The id that the next seat has to take.
    pub next_seat: SeatId,
    /// Whether the seat gave up after a failure of its disk.
    pub stopped: bool,
}

impl GroupStatus {
    /// The levels that metrics show.
    #[must_use]
    pub fn gauges(&self, now: Instant) -> Vec<(&'static str, f64)> {
        let flag = |value: bool| f64::from(u8::from(value));
        let count = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        vec![
            ("group_leads", flag(self.holds_lease(now))),
            ("group_term", count(self.term.0)),
            ("group_applied", count(self.applied.0)),
            ("group_members", count(self.members.len() as u64)),
            ("group_stopped", flag(self.stopped)),
        ]
    }

    /// Whether the local seat may answer as the leader at the given instant.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leads && self.lease_until.is_some_and(|until| now < until)
    }
}
