//! Why a plan is refused.

use chicoryladder_types::{RouteName, ServiceName, TeamName};

/// Why a plan is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// A route leads to a service that the plan does not have.
    #[error("route {route} leads to the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} share a host and prefix")]
    DuplicatePrefix {
        /// The route that stands first.
        first: RouteName,
        /// The other one.
        second: RouteName,
    },
    /// No target of a route has a weight.
    #[error("the weights of route {0} add up to 0")]
    NoWeight(RouteName),
    /// A route has no time for an answer.
    #[error("the timeout of route {0} is 0")]
    NoTimeout(RouteName),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    BadPrefix(RouteName),
    /// Two teams hold the same key.
    #[error("teams {first} and {second} share a key")]
    SharedKey {
        /// The team that stands first.
        first: TeamName,
        /// The other one.
        second: TeamName,
    },
    /// Two entries have one name.
    #[error("{kind} {name} stands twice")]
    DuplicateName {
        /// The kind of entry.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A rate or burst is no number of requests.
    #[error("the rate or burst of team {0} is negative or not finite")]
    BadRate(TeamName),
}
