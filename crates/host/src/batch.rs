//! Execution of batch items in idle slots of backend servers.
//!
//! Each host runs a dispatcher. It leases items from the replicated job state
//! for the idle slots that it sees, sends them to backend servers over separate
//! connections, and reports their results. An item is complete only once its
//! report is committed.
//!
//! Rendezvous hashing assigns every backend server to one dispatch host in its
//! availability zone, so that no two hosts fill the same idle slot, and a host that
//! needs a slot for an online request knows which host to request it from.
//!
//! The dispatcher starts no item after its lease has expired or after it has
//! learned of the job's cancellation, and no non-idempotent item before its start
//! is committed.

mod attempt;
mod dispatcher;
mod lease_table;
mod slot_relay;
mod sweeper;

pub(crate) use attempt::AttemptRunner;
pub(crate) use dispatcher::{BatchDispatcher, DispatcherHandle};
pub(crate) use slot_relay::{HostWatcher, SlotRelay};
pub(crate) use sweeper::JobSweeper;
