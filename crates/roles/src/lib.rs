//! The three process roles of a fleet: entry, control and store.
//!
//! | role | storage | duties |
//! | --- | --- | --- |
//! | entry | none | accepts and forwards callers' requests, submits and reads batch jobs |
//! | control | disk | stores the plan, tracks hosts and servers, grants slots and rates |
//! | store | disk | stores batch jobs and runs their items |
//!
//! An adapter implements the traits of [`ports`] to translate the protocol of a
//! platform; this crate holds no names of such a protocol.

mod bootstrap;
mod connection_pool;
mod control;
mod crash_reports;
mod entry;
mod event_log;
mod event_stream;
mod fleet_view;
mod known_hosts;
mod leader_client;
mod membership_change;
mod message;
mod metrics;
mod online_attempt;
mod plan_notices;
pub mod ports;
mod process;
mod seat_handover;
mod seat_manager;
mod seat_opener;
mod server_marks;
mod server_run;
mod slot_client;
mod store;
mod tunnels;

pub use chicoryladder_types::{ZoneDrain, ZoneDrainStep};
pub use control::{
    ControlFailure, ControlHost, ControlMachine, ControlPort, ControlService, MatchRefusal,
    OrderNumber, OrderNumbers, OrderSubject, PlacementMatch, PlacementReport, QuestionError,
    ServerHint, TargetShare,
};
pub use crash_reports::CrashReports;
pub use entry::EntryHost;
pub use event_log::{EventLog, EventPriority};
pub use event_stream::{EventParser, EventSequencer, SequenceFault, StreamEvent};
pub use known_hosts::KnownHosts;
pub use plan_notices::{PLAN_NOTICES_PER_TICK, PlanNotices};
pub use process::ProcessError;
pub use store::StoreHost;
