//! The task that routes requests to backend servers and queues requests that
//! have to wait for a slot.
//!
//! Engines accept every request that they receive, so requests are queued here,
//! where they have priorities. `chicoryladder_policy` chooses the server, the
//! order of the teams and the batch items to preempt. Batch work gets a slot only
//! while no online request waits, and only the dispatch host of a server sends
//! batch items to it.

mod batch_slots;
mod dispatch_host;
mod drain_watcher;
mod handle;
mod queues;
mod server_load;
mod table;
mod task;

pub(crate) use chicoryladder_policy::routing::WorkTarget;
pub(crate) use drain_watcher::DrainWatcher;
pub(crate) use handle::{
    DepartureReporter, QueueParameters, RoutingHandle, RoutingLocation, RoutingNotice, ServerGrant,
    SlotEvent, SlotRequest, WorkKind,
};
pub(crate) use table::{ANNOUNCEMENT_LEASE, ServerView};
