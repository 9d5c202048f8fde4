//! A plan as parsed, before validation.

use chicoryladder_types::{AreaName, RouteName, ServiceName, Tail, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The version of a plan; the plan with the highest accepted version is in force.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct PlanVersion(pub u64);

impl fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The kind of requests on a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent requests, which may run any number of times.
    Idempotent,
    /// Requests that may run at most once; a request that a caller sends again counts as a
    /// new one.
    AtMostOnce,
    /// Requests whose response is a stream of events.
    Stream,
    /// Submissions of batch jobs.
    Batch,
}

/// A service to which a route forwards requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// The share of requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoute {
    /// The name, unique within the plan.
    pub name: RouteName,
    /// The host name in requests, without a port.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// The kind of requests.
    pub kind: RouteKind,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The target for the time to the complete response, or to the first event of a
    /// stream.
    pub latency_target: Duration,
    /// The target for the longest gap between two events of a stream.
    pub gap_target: Option<Duration>,
    /// The priority rank of the route; 0 is served first.
    pub rank: u32,
    /// The services to which requests are forwarded.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of backend servers tried for one request that a caller sends.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a stream may be resumed on another backend server.
    pub resumable: bool,
    /// The time from submission until all results of a job are due.
    pub completion_target: Option<Duration>,
    /// The time from submission after which an item of a job may be given up.
    pub give_up_after: Option<Duration>,
    /// The maximum number of tokens in the batch items that have no result yet, per team on
    /// the route; 0 means no limit.
    pub waiting_tokens_max: u64,
}

impl RawRoute {
    /// The service that runs the items of jobs: the one with the greatest weight.
    #[must_use]
    pub fn job_service(&self) -> Option<&ServiceName> {
        let target = self.targets.iter().max_by_key(|target| target.weight);
        target.map(|target| &target.service)
    }
}

/// The capacity of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit in an engine's memory.
    pub memory_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawService {
    /// The name, unique within the plan.
    pub name: ServiceName,
    /// The maximum number of connections to one server across all callers.
    pub connections_max: u32,
    /// The capacity of the engines; `None` for services without engines.
    pub engine: Option<EngineCapacity>,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawTeam {
    /// The name, unique within the plan.
    pub name: TeamName,
    /// The API keys of the team.
    pub keys: Vec<String>,
    /// The priority rank of the team's requests, which overrides that of the route.
    pub rank: Option<u32>,
    /// The rate limit in requests per second over all hosts; 0 means no limit.
    pub rate: f64,
    /// The number of requests that may exceed the rate in a burst.
    pub burst: f64,
}

/// Limits on the size and duration of requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum length of the request line and header fields, in bytes.
    pub header_max_bytes: usize,
    /// The maximum length of a body, in bytes.
    pub body_max_bytes: usize,
    /// The time within which the header fields have to arrive.
    pub header_timeout: Duration,
    /// The time after which an idle connection of a caller may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 32 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// How many requests a server bears that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdTerms {
    /// How long a server stays cold after its start.
    pub duration: Duration,
    /// The requests a second that a cold server bears.
    pub per_second: f64,
}

/// The parts of a plan that were added after the first ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanTerms {
    /// The services whose servers are cold after their start.
    pub cold: BTreeMap<ServiceName, ColdTerms>,
    /// The areas to which the requests of a route are confined; no entry means all areas.
    pub route_homes: BTreeMap<RouteName, BTreeSet<AreaName>>,
    /// The areas to which the requests of a team are confined; no entry means all areas.
    pub team_homes: BTreeMap<TeamName, BTreeSet<AreaName>>,
}

/// A complete plan as parsed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawPlan {
    /// The version.
    pub version: PlanVersion,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// The services.
    pub services: Vec<RawService>,
    /// The teams; empty if callers need no key.
    pub teams: Vec<RawTeam>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// What earlier builds do not know.
    pub terms: Tail<PlanTerms>,
}
