//! The store role: storage of batch jobs and execution of their items.
//!
//! Store hosts form the job group. Its leader accepts jobs, serves reads and runs
//! items: it requests slots from the broker, and an item whose slot is needed for
//! other work stops and later resumes after its last event.

mod host;
mod leader;
mod run;

pub use host::StoreHost;
