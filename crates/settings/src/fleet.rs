//! The fleet document: classes of work, teams and routes.
//!
//! Operators state targets and shares in it, never weights or addresses. The
//! document prints back to a canonical INI text that reads as the same
//! document, so its text can be logged, compared and shown.

mod diff;
mod print;
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

/// Everything that operators decide about the fleet.
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
    /// What the operators want of the class.
    pub target: ClassTarget,
    /// The requests or items that may wait at one host, where limited.
    pub queue_max: Option<u32>,
}

/// The target of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassTarget {
    /// Answers within a time.
    Online(OnlineTarget),
    /// Jobs finished within a time.
    Batch(BatchTarget),
}

impl ClassTarget {
    /// Whether the class holds online requests.
    #[must_use]
    pub const fn is_online(self) -> bool {
        matches!(self, Self::Online(_))
    }
}

/// The target of an online class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnlineTarget {
    /// The time until the first token, or the first byte of a plain answer.
    pub first_token: Duration,
    /// The time until the answer is whole.
    pub answer: Duration,
    /// The share of requests, in percent, that must meet both times.
    pub percentile: u8,
}

/// The target of a batch class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTarget {
    /// The time from a job's acceptance until all of its items are done.
    pub finish_within: Duration,
}

/// What a team has agreed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamTerms {
    /// Requests a second, counted over the whole fleet.
    pub rate: RequestRate,
    /// Requests that may come at once beyond the rate.
    pub burst: u32,
    /// The weight of the team when capacity is short, relative to other teams.
    pub share: u32,
    /// Whether the team is served in an availability zone that is cut off for
    /// longer than the key lease.
    pub serve_through_cut: bool,
}

impl FleetDocument {
    /// The route for a request, by the longest matching path prefix.
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
