//! The service plan of a fleet: routes, services, teams and limits.
//!
//! Operators replace the plan as a whole, with increasing versions. [`RawPlan`] is
//! the plan as parsed by an adapter. [`ServicePlan`] is validated and immutable, and
//! has indexes for the lookups of the request path.

mod checked;
mod error;
mod raw;

pub use checked::{PlanRoute, PlanService, PlanTeam, ServicePlan, TeamIndex};
pub use error::PlanError;
pub use raw::{
    CallerLimits, ColdTerms, EngineCapacity, PlanTerms, PlanVersion, RawPlan, RawRoute, RawService,
    RawTeam, RouteKind, RouteTarget,
};
