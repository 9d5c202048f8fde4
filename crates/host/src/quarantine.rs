//! The task that tracks requests and prompt segments suspected of crashing backend servers.
//!
//! When an attempt loses its server, its request becomes a suspect, and the task
//! immediately notifies all hosts, before the request is retried. A suspect
//! request runs only as a trial: it needs a permit from the trial coordinator of
//! its shard, which permits one trial at a time in the whole fleet. The same holds for
//! requests with a prompt segment under which several servers were lost: hosts tell each
//! other of every lost server, and of the completed runs that clear a suspect segment. The
//! algorithms are in `chicoryladder_policy::quarantine`.

mod handle;
mod report;
mod task;
mod trial;
mod watch;

pub(crate) use handle::{PeerReport, QuarantineHandle, RunAdmission};
pub(crate) use report::{CompletionReport, CrashReport};
pub(crate) use task::{QuarantineTask, QuarantineTaskParts};
use trial::TrialGuard;
pub(crate) use watch::{SuspectWatch, WatchedRequest};
