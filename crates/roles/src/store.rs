//! The store process: batch jobs and the runs of their items.
//!
//! Store hosts hold the job group. Its leader takes jobs, answers reads and runs
//! items: it asks the broker for slots, and an item whose slot is needed stops and
//! goes on later behind its last event.

mod host;
mod leader;
mod run;

pub use host::StoreHost;
