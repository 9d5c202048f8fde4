//! The task that knows which requests crash backend servers.
//!
//! Every attempt that loses its server reports itself as a suspect, and the
//! task tells all hosts at once, before the attempt goes on. A suspect runs
//! only as a trial: with a permit of the keeper of its shard, one at a time in
//! the whole fleet. The decisions are those of
//! `chicoryladder_policy::quarantine`.

mod handle;
mod task;
mod trial;
mod watch;

pub(crate) use handle::QuarantineHandle;
pub(crate) use task::{QuarantineTask, QuarantineTaskParts};
use trial::TrialGuard;
pub(crate) use watch::SuspectWatch;
