//! The replicated state of batch jobs, and the order in which their items run.
//!
//! [`BatchMachine`] is the state of the job group: jobs, the bodies of items that
//! have no result yet, and results at fixed positions. A job or a result exists
//! once the command that brings it is committed. [`ItemSchedule`] is what the
//! leader keeps in memory: which item waits, which one runs, and the text that a
//! stopped run has made so far.

mod machine;
mod schedule;
mod spec;

pub use machine::{
    BatchAnswer, BatchCommand, BatchMachine, ItemOutcome, ItemResult, JobPage, OpenItem,
    ProgressDelta, RunProgress, SubmitAnswer,
};
pub use schedule::{ItemKey, ItemSchedule, ScheduledItem};
pub use spec::{ItemSpec, JobSpec};
