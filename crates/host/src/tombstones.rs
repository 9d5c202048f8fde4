//! Key withdrawals on their way into the log.
//!
//! Any host takes a withdrawal, without a voter: it applies the tombstone to
//! its own view, keeps it in its data folder where it has one, and tells the
//! other hosts, which do the same. Every host that holds a tombstone tries to
//! have it logged; the log then takes its place. So a withdrawal outlives the
//! loss of the host that took it, and reaches the log once any host that knows
//! of it reaches a voter.

mod store;
mod task;

pub(crate) use store::{FileTombstones, NoTombstones, TombstoneStore};
pub(crate) use task::{TombstoneHandle, TombstoneTask};
