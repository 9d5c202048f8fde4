//! A plan as it was read, before it is checked.

use chicoryladder_types::{RouteName, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Orders the plans of a fleet; the highest one is in force.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct PlanVersion(pub u64);

impl fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What the requests of a route are, which decides what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once for each attempt of a caller.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream,
    /// Takes batch jobs.
    Batch,
}

/// One service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRoute {
    /// The name, unique in the plan.
    pub name: RouteName,
    /// The host that callers ask for, without a port.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What the requests are.
    pub kind: RouteKind,
    /// The longest time to keep a request.
    pub timeout: Duration,
    /// The time to the whole answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that meets its target.
    pub gap_target: Option<Duration>,
    /// The rank of the route; 0 is served first.
    pub rank: u32,
    /// Where the requests go.
    pub targets: Vec<RouteTarget>,
    /// The most backend servers that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// How long after its submission all results of a job are due.
    pub completion_target: Option<Duration>,
    /// How long after its submission an item of a job may be given up.
    pub give_up_after: Option<Duration>,
    /// The most tokens of one team that may wait on the route; 0 is no limit.
    pub waiting_tokens_max: u64,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Requests that an engine runs in one batch.
    pub slots: u32,
    /// Tokens that fit an engine's memory.
    pub memory_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawService {
    /// The name, unique in the plan.
    pub name: ServiceName,
    /// The most connections that one server takes from all callers together.
    pub connections_max: u32,
    /// Set for model engines.
    pub engine: Option<EngineCapacity>,
}

/// One team of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawTeam {
    /// The name, unique in the plan.
    pub name: TeamName,
    /// The keys that callers of the team bring.
    pub keys: Vec<String>,
    /// The rank of the team's requests; goes before that of the route.
    pub rank: Option<u32>,
    /// Requests a second over all hosts; 0 is no limit.
    pub rate: f64,
    /// Requests that may come at once above the rate.
    pub burst: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest request line with header fields, in bytes.
    pub header_max_bytes: usize,
    /// The longest body, in bytes.
    pub body_max_bytes: usize,
    /// The longest time for the header fields to arrive.
    pub header_timeout: Duration,
    /// The time after which an unused connection may be closed.
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

/// A whole plan as it was read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawPlan {
    /// The version.
    pub version: PlanVersion,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// The services.
    pub services: Vec<RawService>,
    /// The teams; empty where callers need no key.
    pub teams: Vec<RawTeam>,
    /// The limits on callers.
    pub limits: CallerLimits,
}
