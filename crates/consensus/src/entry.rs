//! Log entries, snapshots and the durable state of a seat.

use crate::GroupMembership;
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The serialized bytes of one command, shared between the log and the messages.
pub type CommandBytes = Arc<[u8]>;

/// The approximate size of an entry without its payload, in bytes.
const FIXED_BYTES: usize = 24;

/// The content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader's term. Committing it commits every entry of
    /// earlier terms before it.
    NoOp,
    /// A command for the state machine.
    Command(CommandBytes),
    /// The membership that takes effect with this entry.
    Membership(GroupMembership),
    /// A command that is in storage only: a start does not load all of them. It is loaded
    /// before it is applied or sent, and never serialized itself.
    #[serde(skip)]
    Stored(StoredCommand),
}

/// Where the log files have the record of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredCommand {
    /// The number of the segment.
    pub segment: u64,
    /// The offset of the record in the segment, in bytes.
    pub offset: u64,
    /// The size of the record, in bytes.
    pub length: usize,
}

impl EntryPayload {
    /// The approximate encoded size in a message, in bytes.
    #[must_use]
    pub fn approximate_bytes(&self) -> usize {
        const MEMBER_BYTES: usize = 40;
        match self {
            Self::NoOp => FIXED_BYTES,
            Self::Command(command) => FIXED_BYTES + command.len(),
            Self::Membership(membership) => FIXED_BYTES + MEMBER_BYTES * membership.len(),
            Self::Stored(command) => FIXED_BYTES + command.length,
        }
    }

    /// The approximate size in memory, in bytes.
    #[must_use]
    pub(crate) fn memory_bytes(&self) -> usize {
        match self {
            Self::Stored(_) => FIXED_BYTES,
            Self::NoOp | Self::Command(_) | Self::Membership(_) => self.approximate_bytes(),
        }
    }
}

/// One entry of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position in the log.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: TermNumber,
    /// The payload.
    pub payload: EntryPayload,
}

/// The part of a seat's state that must be durable before the seat sends a vote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that the seat has seen.
    pub term: TermNumber,
    /// The candidate that received this seat's vote in the term.
    pub vote: Option<SeatId>,
}

/// What a snapshot covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPoint {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: TermNumber,
    /// The membership at that entry.
    pub membership: GroupMembership,
}

/// A snapshot in storage, without the serialized state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotHead {
    /// What the snapshot covers.
    pub point: SnapshotPoint,
    /// The size of the serialized state, in bytes.
    pub size: u64,
}
