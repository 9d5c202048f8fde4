//! Checked host settings and fleet documents, read from INI.
//!
//! A text goes through two steps. [`mod@ini`] splits it into sections and
//! entries that remember their place; then [`HostSettings`] or
//! [`FleetDocument`] turns every entry into a checked type. Both steps collect
//! faults instead of stopping at the first one, so one report names all of
//! them, each with its line and its remedy. Unknown sections and keys are
//! faults, since a misspelt key would otherwise silently keep its default.

mod fault;
mod fleet;
mod host;
mod ini;
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
pub use process::{
    ControlSettings, ProcessAddresses, ProcessIdentity, ProcessSettings, ServiceBounds,
};
