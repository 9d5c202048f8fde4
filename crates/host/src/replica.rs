//! This host's replica of the consensus group's state.
//!
//! A host with a disk holds a seat of the group: it stores the log and can vote
//! and lead. Every other host is an observer that replicates the committed tail of
//! the log, by way of the live host with the lowest address in its availability
//! zone if there is one. Commands are forwarded to the leader from any host. A host
//! serves routes that require a key only while its view is fresh, that is,
//! confirmed within the lease and since process start by a leader with a quorum.
//! A restart therefore never puts stale settings back in force.

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
