//! The bodies of the administration API for the seats of the replicated group.

use crate::{LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One seat of the replicated group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatEntry {
    /// The seat.
    pub seat: SeatId,
    /// The address at which the host of the seat accepts peer messages.
    pub address: SocketAddr,
    /// Whether the seat is a voter; a learner does not count towards quorums.
    pub voter: bool,
}

/// The state of the replicated group, as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatsAnswer {
    /// The peer address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// The term of the leader; unknown to hosts without a seat.
    pub term: Option<TermNumber>,
    /// The last log position that the responding host has applied.
    pub applied: LogIndex,
    /// The seats; unknown to hosts without a seat.
    pub seats: Option<Vec<SeatEntry>>,
}

/// A request for one membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum SeatChangeRequest {
    /// Adds a learner.
    Add {
        /// The new seat; higher than the id of any earlier seat.
        seat: SeatId,
        /// The address at which the host of the seat accepts peer messages.
        address: SocketAddr,
    },
    /// Turns a learner that has caught up into a voter.
    Promote {
        /// The seat.
        seat: SeatId,
    },
    /// Removes a seat permanently.
    Remove {
        /// The seat.
        seat: SeatId,
    },
}

/// The response to a committed membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatChangeAnswer {
    /// Whether the change is committed; always true.
    pub changed: bool,
}
