//! Tasks of an entry host.
//!
//! [`EntryHost`] starts one task for each kind of state and connects them by
//! messages: the replica (fleet document, keys, jobs), limits, routing, the
//! batch dispatcher and the link to other hosts. The HTTP ports of
//! `chicoryladder-gateway` reach them through trait objects, so that no task
//! shares memory with another.

mod admin;
mod admission;
mod at_most_once;
mod batch;
mod board;
mod entry_host;
mod ids;
mod job_service;
mod limits;
mod metrics;
mod online;
mod online_attempt;
mod peers;
mod platform;
mod prompt;
mod quarantine;
mod replica;
mod retries;
mod routing;
mod tombstones;

pub use entry_host::{EntryHost, HostAddresses, HostError};
pub use ids::RandomIds;
pub use metrics::{HostMetrics, MetricsError};
pub use replica::ReplicaError;
