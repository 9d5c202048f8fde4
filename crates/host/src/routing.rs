//! The task that owns the backend servers and the requests that wait for them.
//!
//! Engines admit all that they get, so the queue stands here, where requests
//! have priorities. The decisions are those of `chicoryladder_policy`: the
//! choice of a server, the order of teams and the batch items that make room.
//! Batch work gets a slot only while no online request waits, from the one host
//! that dispatches to the server.

mod batch_slots;
mod handle;
mod home;
mod queues;
mod server_load;
mod table;
mod task;

pub(crate) use chicoryladder_policy::routing::WorkTarget;
pub(crate) use handle::{
    QueueTerms, RoutingHandle, RoutingLocation, ServerGrant, SlotEvent, SlotNotice, SlotRequest,
    WorkKind,
};
pub(crate) use table::{ANNOUNCEMENT_LEASE, ServerView};
