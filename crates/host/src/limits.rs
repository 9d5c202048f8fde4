//! The task that enforces the fleet-wide rate and burst of each team.
//!
//! Each host admits requests from small token quotas. The token bucket of a team
//! has one owner in the fleet: the host that holds the lease of the team's shard.
//! The algorithms are in `chicoryladder_policy::limits`; this task owns their
//! state, exchanges their messages and replies to waiting callers.

mod handle;
mod limiters;
mod message;
mod owners;
mod reserves;
mod task;
mod trials;

pub(crate) use handle::{LimitHandle, LimitInbox};
pub(crate) use message::LimitMessage;
pub(crate) use task::{LimitTask, LimitTaskSettings};
