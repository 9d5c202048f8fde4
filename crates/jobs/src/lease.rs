//! Leases of item chunks to dispatchers.

use crate::UnixMillis;
use chicoryladder_types::{HostName, JobId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a lease by the index of the log entry that granted it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease of one dispatcher on items of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkLease {
    /// The entry host of the dispatcher.
    pub host: HostName,
    /// The job of the items.
    pub job: JobId,
    /// The expiry time of the lease.
    pub expires_at: UnixMillis,
    /// The indexes of the granted items.
    pub items: Vec<u32>,
    /// The number of granted items still held; the lease ends at zero.
    pub held: u32,
}
