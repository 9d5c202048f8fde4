//! The entry process, which accepts callers' requests and batch jobs.
//!
//! A request is matched to a route and a team, its body is buffered, the broker
//! grants it a slot, and it is sent to the server of that slot. While the broker is
//! unreachable, the host chooses among the servers it knows of and charges the
//! request to its local reserve of the team's rate.

mod forward;
mod host;
mod jobs;
mod matching;
mod read_ahead;
mod relay;
mod rotation;
mod service;

pub(crate) use forward::choose_service;
pub use host::EntryHost;
pub(crate) use host::{log_view_change, serve};
pub(crate) use matching::{find_route, find_team, needs_team};
