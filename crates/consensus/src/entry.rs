//! What a replicated log holds and what a seat keeps on disk.

use crate::GroupMembership;
use bytes::Bytes;
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The opaque bytes of one command, shared between the log and the messages.
pub type CommandBytes = Arc<[u8]>;

/// The content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Opens the term of a new leader; commits what earlier terms left behind.
    NoOp,
    /// A command for the state machine.
    Command(CommandBytes),
    /// The membership in force from this entry on.
    Membership(GroupMembership),
}

impl EntryPayload {
    /// The approximate size in a message, in bytes.
    #[must_use]
    pub fn approximate_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 40;
        match self {
            Self::NoOp => FIXED_BYTES,
            Self::Command(command) => FIXED_BYTES + command.len(),
            Self::Membership(membership) => FIXED_BYTES + MEMBER_BYTES * membership.len(),
        }
    }
}

/// One entry of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The place in the log.
    pub index: LogIndex,
    /// The term of the leader that made the entry.
    pub term: TermNumber,
    /// The content.
    pub payload: EntryPayload,
}

/// The part of a seat's state that must be durable before it votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: TermNumber,
    /// The seat that got the vote of this term.
    pub vote: Option<SeatId>,
}

/// The state of a group up to one log index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotRecord {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: TermNumber,
    /// The membership at that entry.
    pub membership: GroupMembership,
    /// The snapshot of the state machine, shared with what writes and restores it.
    pub data: Bytes,
}

/// What a seat remembers of the snapshot that its storage holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotHead {
    pub(crate) index: LogIndex,
    pub(crate) term: TermNumber,
    pub(crate) membership: GroupMembership,
    /// The size of the snapshot of the state machine, in bytes.
    pub(crate) size: u64,
}

impl From<&SnapshotRecord> for SnapshotHead {
    fn from(record: &SnapshotRecord) -> Self {
        Self {
            index: record.index,
            term: record.term,
            membership: record.membership.clone(),
            size: record.data.len() as u64,
        }
    }
}
