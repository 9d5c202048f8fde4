//! Batch jobs as they are submitted.

use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The id, unique in the job; goes to the backend server with each run.
    pub id: String,
    /// The path with the query of the request.
    pub path: String,
    /// The header fields of the request.
    pub headers: Vec<(String, String)>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Tokens of the prompt and the longest output together.
    pub tokens: u64,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the caller gave it.
    pub id: String,
    /// The team; `None` where callers need no key.
    pub team: Option<TeamName>,
    /// The route that took it.
    pub route: RouteName,
    /// The host of the route, for the requests.
    pub host: String,
    /// The service that runs the items.
    pub service: ServiceName,
    /// The rank of the job's items.
    pub rank: u32,
    /// How long after its submission all results are due.
    pub due_in: Duration,
    /// How long after its submission an item may be given up.
    pub give_up_in: Duration,
    /// The failed runs after which an item is given up.
    pub max_attempts: u32,
    /// The items, in order.
    pub items: Vec<ItemSpec>,
}
