//! The task that counts the rates and bursts of the teams over all hosts.
//!
//! Each host admits from small stocks of tokens. The bucket of a team has one
//! keeper in the fleet: the host that holds the lease of the team's shard. The
//! decisions are those of `chicoryladder_policy::limits`; the task here owns
//! their state, carries their messages and gives the callers their answers.

mod handle;
mod keepers;
mod limiters;
mod message;
mod reserves;
mod task;
mod trials;

pub(crate) use handle::{LimitHandle, LimitInbox};
pub(crate) use message::LimitMessage;
pub(crate) use task::{LimitTask, LimitTaskSettings};
