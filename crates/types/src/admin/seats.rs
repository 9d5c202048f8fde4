//! The seats of the replicated group in the administration API.

use crate::{LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One seat of the replicated group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatEntry {
    /// The seat.
    pub seat: SeatId,
    /// Where the host of the seat takes messages of its peers.
    pub address: SocketAddr,
    /// Whether the seat counts in quorums; a learner does not yet.
    pub voter: bool,
}

/// The replicated group as the answering host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatsAnswer {
    /// The address of the leader among its peers.
    pub leader: Option<SocketAddr>,
    /// The term of the leader; unknown to hosts without a disk.
    pub term: Option<TermNumber>,
    /// The last log position that the answering host has applied.
    pub applied: LogIndex,
    /// The seats; unknown to hosts without a disk.
    pub seats: Option<Vec<SeatEntry>>,
}

/// Changes the seats by one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum SeatChangeRequest {
    /// Adds a learner.
    Add {
        /// The new seat, higher than every seat before.
        seat: SeatId,
        /// Where the host of the seat takes messages of its peers.
        address: SocketAddr,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// The seat.
        seat: SeatId,
    },
    /// Removes a seat for good.
    Remove {
        /// The seat.
        seat: SeatId,
    },
}

/// The answer to a committed change of the seats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatChangeAnswer {
    /// Whether the change is committed; always true.
    pub changed: bool,
}
