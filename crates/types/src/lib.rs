//! Identifiers, verdicts, reason codes, API bodies and the clock, shared by all crates.
//!
//! This crate is at the bottom of the dependency graph: it performs no I/O and starts
//! no task. The interfaces between modules use these types, so that a host, a team or a
//! request outcome cannot be confused with a plain string or number.

pub mod admin;
mod announcement;
mod cache_event;
mod clock;
pub mod headers;
mod ids;
mod names;
mod peer_bounds;
pub mod prelude;
mod reason;
mod refusal;
mod software;
mod tail;
mod verdict;
mod zone_drains;

pub use announcement::{LoadError, ServerAnnouncement, ServerLoad};
pub use cache_event::{CacheChange, CacheEvent, CacheReport};
pub use clock::{BootClock, ClockSource, ManualClock, SystemClock};
pub use ids::{
    FencingNumber, FleetRevision, GroupId, IdError, JobId, LogIndex, OperationId, RequestId,
    SeatId, ServerGeneration, TermNumber,
};
pub use names::{
    AreaName, ClassName, HostName, ModelName, NameError, RouteName, ServerName, ServiceName,
    TeamName, ZoneName,
};
pub use peer_bounds::{PeerBounds, PeerCharge};
pub use reason::{RefusalReason, RetryReason};
pub use refusal::RequestRefusal;
pub use software::SoftwareVersion;
pub use tail::Tail;
pub use verdict::RunVerdict;
pub use zone_drains::{ZoneDrain, ZoneDrainOrder, ZoneDrainStep, ZoneDrains};
