//! Tasks of an entry host.
//!
//! [`EntryHost`] starts one task per kind of state and connects the tasks by
//! channels: the replica (fleet document, keys, jobs), limits, routing, the
//! batch dispatcher and the link to other hosts. The HTTP listeners of
//! `chicoryladder-gateway` call them through trait objects. Tasks share no
//! mutable memory.

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
mod tunnels;

pub use entry_host::{EntryHost, HostAddresses, HostError};
pub use ids::RandomIds;
pub use metrics::{HostMetrics, MetricsError};
pub use replica::ReplicaError;
