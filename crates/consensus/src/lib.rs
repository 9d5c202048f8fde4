//! Replicated log: elections, leases, storage, snapshots and membership changes.
//!
//! [`RaftSeat`] is the consensus state machine and performs no I/O;
//! [`GroupReplica`] combines a seat with its [`LogStorage`] and [`StateMachine`];
//! [`TailObserver`] replicates the committed entries of a group without storage and
//! without a vote. None of them reads a clock, sends a message or starts a task, so
//! every schedule of faults can be replayed from a seed.

mod entry;
mod entry_log;
mod machine;
mod membership;
mod message;
mod observer;
mod replica;
mod seat;
mod settings;
mod state_decoder;
mod storage;
mod tail;

pub use entry::{
    CommandBytes, EntryPayload, HardState, LogEntry, SnapshotHead, SnapshotPoint, StoredCommand,
};
pub use machine::{RestoreError, SnapshotError, StateMachine, snapshot_bytes};
pub use membership::{
    GroupMembership, MemberRecord, MemberRole, MembershipChange, MembershipError,
};
pub use message::{
    AppendOutcome, AppendReply, AppendRequest, ClockStamp, SeatEnvelope, SeatMessage,
    SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
pub use observer::{ObserverRequest, ObserverSettings, TailObserver};
pub use replica::{
    DroppedReason, GroupReplica, LogUsage, ProposalToken, ReplicaError, ReplicaOutput,
};
pub use seat::{
    BatchNumber, PersistBatch, PersistStep, ProposeError, ProposedEntry, RaftSeat, SeatAction,
    SeatEvent, SeatRole,
};
pub use settings::SeatSettings;
pub use state_decoder::{StateDecoder, encode_state};
pub use storage::{
    DiskFault, FileStorage, LogStorage, MemoryDisk, MemoryStorage, SnapshotReader, StateWriter,
    StorageError, StorageFolder, StoredState,
};
pub use tail::{SnapshotPosition, TailAnswer, TailContent, TailRequest};
