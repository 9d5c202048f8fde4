//! The replicated state as one host holds it.
//!
//! One voter, the lowest seat of the settings, orders all commands and syncs
//! them to its disk before it acknowledges them. Every other host follows its
//! tail and applies the same commands in the same order. A host serves keyed
//! routes only once it has caught up with a position heard from the voter, so a
//! restart never brings old settings back.

mod command;
mod handle;
mod log_file;
mod state;
mod task;

pub(crate) use command::ReplicaMessage;
pub(crate) use handle::{ProposeError, ReplicaHandle, ReplicaInbox, ResultQuery};
pub use task::ReplicaError;
pub(crate) use task::ReplicaTask;
