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

/// Who may read and end a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOwner {
    /// The team with this name.
    Team(TeamName),
    /// Every caller that knows the id of the job: it was submitted without a key.
    Anyone,
}

impl JobOwner {
    /// Whether a caller of the given team may access the job; `None` is a caller without a
    /// team.
    #[must_use]
    pub fn admits(&self, team: Option<&TeamName>) -> bool {
        match self {
            Self::Team(owner) => team == Some(owner),
            Self::Anyone => true,
        }
    }
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the caller assigned.
    pub id: String,
    /// The team that owns the job; `None` if it was submitted without a key.
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

impl JobSpec {
    /// Who may read and end the job.
    #[must_use]
    pub fn owner(&self) -> JobOwner {
        self.team.clone().map_or(JobOwner::Anyone, JobOwner::Team)
    }
}
