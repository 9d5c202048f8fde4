//! The status of a group as known to the local process.

use chicoryladder_consensus::{LogUsage, MemberRole};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use std::net::SocketAddr;
use std::time::Instant;

/// One member, as the local seat sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The seat.
    pub seat: SeatId,
    /// The peer address of its host.
    pub address: SocketAddr,
    /// Whether it counts towards quorums.
    pub role: MemberRole,
    /// When the local seat, as the leader, last had contact with it.
    pub last_contact_at: Option<Instant>,
    /// Whether the leader may promote it to voter, if it is a learner.
    pub caught_up: bool,
}

/// The status of a group, published by the thread of the local seat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The local seat.
    pub seat: SeatId,
    /// The current term.
    pub term: TermNumber,
    /// Whether the local seat is the leader.
    pub leads: bool,
    /// The peer address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// The end of the leader's lease, unless a quorum confirms it again.
    pub lease_until: Option<Instant>,
    /// The last entry applied.
    pub applied: LogIndex,
    /// The size of what a start of the local seat would read.
    pub log_usage: LogUsage,
    /// The members as of the last entry in the log.
    pub members: Vec<MemberStatus>,
    /// Whether the last membership change is committed.
    pub membership_committed: bool,
    /// The id for the next seat to be added.
    pub next_seat: SeatId,
    /// Whether the seat stopped after a storage failure.
    pub stopped: bool,
}

impl GroupStatus {
    /// The gauges for metrics, by name.
    #[must_use]
    pub fn gauges(&self, now: Instant) -> Vec<(&'static str, f64)> {
        let flag = |value: bool| f64::from(u8::from(value));
        let count = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        vec![
            ("group_leads", flag(self.holds_lease(now))),
            ("group_term", count(self.term.0)),
            ("group_applied", count(self.applied.0)),
            ("group_members", count(self.members.len() as u64)),
            ("group_log_bytes", count(self.log_usage.entries)),
            ("group_snapshot_bytes", count(self.log_usage.snapshot)),
            ("group_stopped", flag(self.stopped)),
        ]
    }

    /// Whether the group has removed a seat for good. While a membership change is not
    /// committed, another leader may still undo it.
    #[must_use]
    pub fn has_removed(&self, seat: SeatId) -> bool {
        let is_member = self.members.iter().any(|member| member.seat == seat);
        self.membership_committed && !is_member
    }

    /// Whether the local seat is the leader and holds its lease at the given instant.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leads && self.lease_until.is_some_and(|until| now < until)
    }
}
