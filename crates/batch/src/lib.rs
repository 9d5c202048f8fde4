//! The replicated state of batch jobs and the scheduling of their items.
//!
//! [`BatchMachine`] is the state machine of the job group. It holds jobs, the bodies
//! of items without a result, and results at fixed positions. A job or a result
//! exists once the command that creates it is committed. [`ItemSchedule`] is the
//! in-memory state of the leader: which items are waiting or running, and the
//! partial output of stopped runs.

mod machine;
mod schedule;
mod spec;

pub use machine::{
    BatchAnswer, BatchCommand, BatchMachine, ItemOutcome, ItemResult, JobPage, OpenItem,
    OutputStart, ProgressDelta, RunProgress, SubmitAnswer,
};
pub use schedule::{ItemKey, ItemSchedule, RequestTerms, ScheduledItem, SlotNeeds};
pub use spec::{ItemSpec, JobOwner, JobSpec};
