//! Validation errors of plans.

use chicoryladder_types::{RouteName, ServiceName, TeamName};

/// The reason for which a plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// A route refers to a service that is not in the plan.
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
        /// The first of the two routes.
        first: RouteName,
        /// The second route.
        second: RouteName,
    },
    /// All targets of a route have weight 0.
    #[error("the weights of route {0} add up to 0")]
    NoWeight(RouteName),
    /// The timeout of a route is 0.
    #[error("the timeout of route {0} is 0")]
    NoTimeout(RouteName),
    /// The path prefix of a route does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    BadPrefix(RouteName),
    /// Two teams hold the same key.
    #[error("teams {first} and {second} share a key")]
    SharedKey {
        /// The first of the two teams.
        first: TeamName,
        /// The second team.
        second: TeamName,
    },
    /// Two entries of the same kind share a name.
    #[error("{kind} {name} stands twice")]
    DuplicateName {
        /// The kind of entry.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A rate or burst is negative or not finite.
    #[error("the rate or burst of team {0} is negative or not finite")]
    BadRate(TeamName),
    /// The rate of requests that a cold server bears is not a positive number.
    #[error("the rate of a cold server of service {0} is not a positive number")]
    BadColdRate(ServiceName),
}
