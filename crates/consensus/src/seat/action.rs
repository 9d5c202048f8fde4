//! What goes into a seat and what it asks for.

use crate::{HardState, LogEntry, MembershipError, SeatEnvelope, SeatMessage, SnapshotRecord};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};

/// Numbers the batches that a seat wants stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(pub u64);

/// Something that happened to a seat.
#[derive(Clone, Debug)]
pub enum SeatEvent {
    /// Time passed.
    Tick,
    /// A message came.
    Receive {
        /// The sender.
        from: SeatId,
        /// The message.
        message: SeatMessage,
    },
    /// A batch and all batches before it are durable.
    Persisted(BatchNumber),
}

/// One change to store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PersistStep {
    /// Record the term and the vote.
    HardState(HardState),
    /// Drop every entry from here on.
    Truncate(LogIndex),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Store a snapshot and drop what it covers.
    Snapshot(SnapshotRecord),
}

/// Changes to store in order, made durable by one sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistBatch {
    /// The number to report when the batch is durable.
    pub number: BatchNumber,
    /// The changes, in order.
    pub steps: Vec<PersistStep>,
}

/// What a seat asks its owner to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAction {
    /// Store a batch, then report it by [`SeatEvent::Persisted`].
    Persist(PersistBatch),
    /// Send a message.
    Send(SeatEnvelope),
    /// Send a part of the stored snapshot, once the batches so far are stored.
    SendSnapshot {
        /// The message, whose chunk has no data yet.
        envelope: SeatEnvelope,
        /// The bytes to read from the chunk's offset on.
        length: usize,
    },
    /// Apply committed entries, in order.
    Commit(Vec<LogEntry>),
    /// Replace the state machine's state by this snapshot.
    Restore(SnapshotRecord),
}

/// Where a proposal stands in the log.
///
/// It is accepted once an entry of this term is applied at this index; any other
/// term there means that it never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposedEntry {
    /// The index of the entry.
    pub index: LogIndex,
    /// The term of the entry.
    pub term: TermNumber,
}

/// Why a proposal was not taken; it is certain that it will not be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The seat does not lead the group.
    #[error("the seat does not lead its group")]
    NotLeader {
        /// The leader, as far as the seat knows.
        leader: Option<SeatId>,
    },
    /// The leader is handing over its leadership.
    #[error("the leader is handing over its leadership")]
    Transferring,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader is not settled yet")]
    NotReady,
    /// The membership change breaks a rule.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}
