//! The inputs and outputs of a seat.

use crate::{
    CommandBytes, HardState, LogEntry, MembershipError, SeatEnvelope, SeatMessage, SnapshotHead,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};

/// The sequence number of a batch of changes to persist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(pub u64);

/// An input to a seat.
#[derive(Clone, Debug)]
pub enum SeatEvent {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive {
        /// The sender.
        from: SeatId,
        /// The message.
        message: SeatMessage,
    },
    /// A batch and all batches before it are durable.
    Persisted(BatchNumber),
}

/// One change to persist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PersistStep {
    /// Store the term and the vote.
    HardState(HardState),
    /// Remove every entry from this index on.
    Truncate(LogIndex),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Store that the seat leads this term.
    Leadership(TermNumber),
    /// Store a part of a snapshot that is received, as the first one or after the last one.
    SnapshotPart {
        /// The snapshot.
        head: SnapshotHead,
        /// The offset of the part in the serialized state, in bytes.
        offset: u64,
        /// The bytes of the part.
        data: CommandBytes,
    },
    /// Store the snapshot whose parts were stored, and remove the entries that it covers.
    InstallSnapshot(SnapshotHead),
}

/// Changes to persist in order, made durable by one sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistBatch {
    /// The number to report when the batch is durable.
    pub number: BatchNumber,
    /// The changes, in order.
    pub steps: Vec<PersistStep>,
}

/// An action for the owner of a seat; actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAction {
    /// Persist a batch, then report it with [`SeatEvent::Persisted`].
    Persist(PersistBatch),
    /// Send a message.
    Send(SeatEnvelope),
    /// Send a chunk of the stored snapshot, after the preceding batches are stored.
    SendSnapshot {
        /// The message; the data of its chunk is still empty.
        envelope: SeatEnvelope,
        /// The number of bytes to read, starting at the chunk's offset.
        length: usize,
    },
    /// Apply committed entries, in order.
    Commit(Vec<LogEntry>),
    /// Restore the state machine from the stored snapshot.
    Restore(SnapshotHead),
}

/// The position of a proposal in the log.
///
/// The proposal succeeded once an entry of this term is applied at this index. If an
/// entry of another term is applied there, the proposal will never be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposedEntry {
    /// The index of the entry.
    pub index: LogIndex,
    /// The term of the entry.
    pub term: TermNumber,
}

/// Why a proposal was rejected; it will never be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The seat is not the leader of the group.
    #[error("the seat does not lead its group")]
    NotLeader {
        /// The leader, if known.
        leader: Option<SeatId>,
    },
    /// The leader is transferring its leadership.
    #[error("the leader is handing over its leadership")]
    Transferring,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader is not settled yet")]
    NotReady,
    /// The membership change violates a rule.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}
