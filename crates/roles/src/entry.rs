//! The entry process: callers' requests and batch jobs.
//!
//! A request is matched with a route and a team, read whole, given a slot by the
//! broker, and sent to the server of the slot. Where the broker cannot be reached,
//! the host chooses by itself among the servers that it knows, and pays from its
//! reserve of the team's rate.

mod forward;
mod host;
mod jobs;
mod matching;
mod relay;
mod service;

pub use host::EntryHost;
pub(crate) use host::{log_view_change, serve};
