//! The service plan of a fleet: routes, services, teams and limits.
//!
//! An operator replaces the whole plan under a rising version. [`RawPlan`] is
//! what an adapter read; [`ServicePlan`] is checked and immutable, with indexes
//! for the lookups that every request needs.

mod checked;
mod error;
mod raw;

pub use checked::{PlanRoute, PlanService, PlanTeam, ServicePlan, TeamIndex};
pub use error::PlanError;
pub use raw::{
    CallerLimits, EngineCapacity, PlanVersion, RawPlan, RawRoute, RawService, RawTeam, RouteKind,
    RouteTarget,
};
