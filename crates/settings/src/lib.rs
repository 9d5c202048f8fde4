//! Parses and validates host settings, process settings and fleet documents in INI
//! format.
//!
//! A text is processed in two steps. [`mod@ini`] splits it into sections and
//! entries with their locations; then [`HostSettings`], [`ProcessSettings`] or
//! [`FleetDocument`] converts every entry into a validated type. Both steps
//! collect faults instead of stopping at the first one, so that a report lists
//! all of them, each with its line and a remedy. Unknown sections and keys are
//! faults, since a misspelt key would otherwise silently keep its default.

mod fault;
mod fleet;
mod host;
mod ini;
mod machine;
mod process;
mod value;

pub use fault::{SettingsError, SettingsFault, SettingsReport};
pub use fleet::{
    BatchTarget, ClassTarget, DocumentChange, FleetDocument, FleetRoute, OnlineTarget, RequestRate,
    RouteMatch, RouteMethod, RouteTarget, TeamTerms, WorkClass,
};
pub use host::{
    CallerLimits, DataSettings, HostIdentity, HostSettings, KeySettings, ListenAddresses,
    OperatorSettings, PeerSettings, ShutdownSettings,
};
pub use machine::MachineLimits;
pub use process::{
    ControlSettings, FeatureSet, ProcessAddresses, ProcessIdentity, ProcessSettings, ServiceBounds,
};
