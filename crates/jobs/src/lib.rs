//! Batch jobs: item lifecycle, leases, scheduling and result storage.
//!
//! [`JobMachine`] is a deterministic state machine over a replicated log: each
//! replica applies the same [`JobCommand`]s and reaches the same state. It reads
//! no clock and no randomness; times and random ids are part of the commands.
//! Only committed commands change the state, so an effect is never visible before
//! its command is committed.
//!
//! The requests and results of items are kept in an [`ItemStore`], normally one
//! file per job; memory holds a small fixed-size record for each item.

mod body;
mod command;
mod ended;
mod item;
mod job;
mod lease;
mod machine;
mod outcome;
mod parse;
mod schedule;
mod store;
mod time;
mod view;

pub use body::BodyBytes;
pub use command::{
    AttemptEnd, AttemptReport, ItemDraft, ItemRef, ItemRequest, JobCommand, JobHeader, JobShare,
    LeaseRequest, SubmissionKey, SubmissionKeyError,
};
pub use ended::{FailureCause, ItemEnd, ItemResult};
pub use item::{ItemRecord, ItemState, ReportEffect};
pub use job::{JobCounts, JobPhase};
pub use lease::{ChunkLease, LeaseId};
pub use machine::{JobMachine, MachineError};
pub use outcome::{ItemGrant, JobOutcome, ReportCounts};
pub use parse::{BodyDigest, ITEM_LINE_MAX_BYTES, ItemParser, JOB_ITEMS_MAX, ParseError};
pub use schedule::{JobCandidate, JobSlack, choose_job};
pub use store::{FileStore, ItemStore, MemoryStore, RecordKind, StoreError, StoreRecord};
pub use time::UnixMillis;
pub use view::{DispatchView, FirstSubmission, JobStatus, ResultLine, ResultPage};
