//! The specification of batch jobs as submitted.

use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The id, unique within the job; sent to the backend server with each run.
    pub id: String,
    /// The path and query of the request.
    pub path: String,
    /// The header fields of the request.
    pub headers: Vec<(String, String)>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// The number of tokens of the prompt and the longest possible output.
    pub tokens: u64,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the caller assigned.
    pub id: String,
    /// The team that owns the job; `None` if callers need no key.
    pub team: Option<TeamName>,
    /// The route that accepted the job.
    pub route: RouteName,
    /// The host name of the route, used in the requests.
    pub host: String,
    /// The service that runs the items.
    pub service: ServiceName,
    /// The priority rank of the items; 0 is served first.
    pub rank: u32,
    /// The time from submission until all results are due.
    pub due_in: Duration,
    /// The time from submission after which an item may be given up.
    pub give_up_in: Duration,
    /// The number of failed runs after which an item is given up.
    pub max_attempts: u32,
    /// The items, in order.
    pub items: Vec<ItemSpec>,
}
