//! Key withdrawals that are not yet committed to the log.
//!
//! Any host accepts a withdrawal without a quorum: it applies the tombstone to its
//! own view, stores it in its data folder if it has one, and broadcasts it to the
//! other hosts, which do the same. Every host with an uncommitted tombstone proposes
//! it until it is committed; the log entry then replaces the tombstone. A withdrawal
//! thus survives the loss of the host that accepted it, and is committed once any
//! host that has it reaches the voters.

mod store;
mod task;

pub(crate) use store::{FileTombstones, NoTombstones, TombstoneStore};
pub(crate) use task::{TombstoneHandle, TombstoneTask};
