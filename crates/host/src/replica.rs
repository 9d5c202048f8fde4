//! The replicated state as one host holds it.
//!
//! A host with a disk owns a seat of the group: it stores the log and may vote and
//! lead. Every other host is an observer and follows the committed tail, through
//! the first host of its availability zone where there is one. A command goes to
//! the leader, wherever it was proposed. A host serves keyed routes only while its
//! view is fresh: confirmed by a leader with a quorum since this start, within the
//! lease. So a restart never brings old settings back.

mod command;
mod handle;
mod proposals;
mod role;
mod sources;
mod state;
mod task;

pub(crate) use command::{MembershipOutcome, ReplicaMessage};
pub(crate) use handle::{ProposeError, ReplicaHandle, ReplicaInbox, ResultQuery};
pub use role::ReplicaError;
pub(crate) use role::{ReplicaDisk, ReplicaSettings};
pub(crate) use task::ReplicaTask;
