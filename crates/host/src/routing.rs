//! The task that owns the backend servers and the requests that wait for them.
//!
//! Engines admit all that they get, so the queue stands here, where requests
//! have priorities: a server never holds more requests than it has slots, and
//! batch work gets a slot only while no online request waits.

mod batch_slots;
mod handle;
mod home;
mod server_load;
mod table;
mod task;

pub(crate) use handle::{
    RoutingHandle, RoutingPlace, ServerGrant, SlotRequest, SlotWish, WorkKind, WorkTarget,
};
pub(crate) use server_load::reported_load;
pub(crate) use table::{ANNOUNCEMENT_LEASE, ServerView};
