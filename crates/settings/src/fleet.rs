//! The fleet document: classes of work, teams and routes.
//!
//! It contains targets and shares, but no scheduling weights or addresses. A
//! document is formatted as a canonical INI text that parses to an equal
//! document, so the text can be logged, compared and displayed.

mod canonical;
mod diff;
mod rate;
mod read;
mod route;

pub use diff::DocumentChange;
pub use rate::RequestRate;
pub use route::{FleetRoute, RouteMatch, RouteMethod, RouteTarget};

use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The configuration of the fleet, as set by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetDocument {
    /// The classes of work.
    pub classes: BTreeMap<ClassName, WorkClass>,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamTerms>,
    /// The routes.
    pub routes: BTreeMap<RouteName, FleetRoute>,
}

/// A class of work and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// The latency or completion target of the class.
    pub target: ClassTarget,
    /// The maximum number of requests or items queued at one host, if limited.
    pub queue_max: Option<u32>,
}

/// The target of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassTarget {
    /// Online requests with latency targets.
    Online(OnlineTarget),
    /// Batch jobs with a completion target.
    Batch(BatchTarget),
}

impl ClassTarget {
    /// Whether this is a class of online requests.
    #[must_use]
    pub const fn is_online(self) -> bool {
        matches!(self, Self::Online(_))
    }
}

/// The target of an online class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnlineTarget {
    /// The time until the first token, or the first byte of a plain response.
    pub first_token: Duration,
    /// The time until the response is complete.
    pub answer: Duration,
    /// The percentage of requests that must meet both targets.
    pub percentile: u8,
}

/// The target of a batch class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTarget {
    /// The time from the acceptance of a job until all of its items have ended.
    pub finish_within: Duration,
}

/// The rate limit and the capacity share of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamTerms {
    /// The rate limit, which applies to the whole fleet.
    pub rate: RequestRate,
    /// The number of requests that may exceed the rate in a burst.
    pub burst: u32,
    /// The weight of the team relative to other teams when capacity is scarce.
    pub share: u32,
    /// Whether the team is still served in an availability zone that has been
    /// partitioned from the others for longer than the key lease.
    pub serve_through_cut: bool,
}

impl FleetDocument {
    /// Finds the route for a request, by the longest matching path prefix.
    #[must_use]
    pub fn match_route(&self, method: &str, path: &str) -> RouteMatch<'_> {
        let mut best: Option<(&RouteName, &FleetRoute)> = None;
        let mut path_known = false;
        for (name, route) in &self.routes {
            if !route.covers(path) {
                continue;
            }
            path_known = true;
            let longer = best.is_none_or(|(_, other)| route.path.len() > other.path.len());
            if longer && route.allows(method) {
                best = Some((name, route));
            }
        }
        match best {
            Some((name, route)) => RouteMatch::Found { name, route },
            None if path_known => RouteMatch::WrongMethod,
            None => RouteMatch::Unknown,
        }
    }
}
