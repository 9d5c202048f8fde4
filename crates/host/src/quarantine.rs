//! The task that tracks requests suspected of crashing backend servers.
//!
//! When an attempt loses its server, its request becomes a suspect, and the task
//! immediately notifies all hosts, before the request is retried. A suspect
//! request runs only as a trial: it needs a permit from the trial coordinator of
//! its shard, which permits one trial at a time in the whole fleet. The algorithms
//! are in `chicoryladder_policy::quarantine`.

mod handle;
mod task;
mod trial;
mod watch;

pub(crate) use handle::QuarantineHandle;
pub(crate) use task::{QuarantineTask, QuarantineTaskParts};
use trial::TrialGuard;
pub(crate) use watch::SuspectWatch;
