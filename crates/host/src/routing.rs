//! The task that owns the backend servers and the requests that wait for them.
//!
//! Engines admit all that they get, so the queue stands here, where requests
//! have priorities: a server never holds more requests than it has slots, and
//! batch work gets a slot only while no online request waits.

mod handle;
mod table;
mod task;

pub(crate) use handle::{RoutingHandle, ServerGrant, SlotRequest, WorkKind, WorkTarget};
pub(crate) use table::{ANNOUNCEMENT_LEASE, ServerView};
