//! Batch work in idle slots.
//!
//! Each host runs a dispatcher. It leases items from the replicated job state
//! for the idle slots that it sees, sends them to backend servers over
//! connections of their own, and reports how they ended. An item counts as
//! ended only once its report is committed.
//!
//! Every backend server has one dispatching host in its availability zone, by
//! rendezvous hashing, so that hosts do not fill the same idle slot twice, and a
//! host that needs a slot for an online request knows whom to ask for it.
//!
//! The dispatcher starts nothing after the end of a lease, after the
//! cancellation of a job has reached it, or before the start of a non-idempotent
//! item is committed.

mod attempt;
mod dispatcher;
mod lease_table;
mod slot_relay;
mod sweeper;

pub(crate) use attempt::AttemptRunner;
pub(crate) use dispatcher::{BatchDispatcher, DispatcherHandle};
pub(crate) use slot_relay::{HostWatcher, SlotRelay};
pub(crate) use sweeper::JobSweeper;
