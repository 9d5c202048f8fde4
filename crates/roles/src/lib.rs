//! The entry, control and store processes of a fleet.
//!
//! | role | has | does |
//! | --- | --- | --- |
//! | entry | no disk | takes callers' requests, forwards them, reads and writes batch jobs |
//! | control | a disk | holds the plan, knows hosts and servers, gives out slots and rates |
//! | store | a disk | holds batch jobs and runs their items |
//!
//! [`ports`] are the traits by which an adapter speaks the protocol of a platform;
//! nothing here knows the names of one.

mod bootstrap;
mod connection_pool;
mod control;
mod entry;
mod event_log;
mod event_stream;
mod fleet_view;
mod leader_client;
mod membership_repair;
mod message;
mod metrics;
pub mod ports;
mod process;
mod seat_manager;
mod seat_opener;
mod server_run;
mod slot_client;
mod store;

pub use control::{ControlFailure, ControlHost, ControlPort, ControlService, ServerHint};
pub use entry::EntryHost;
pub use event_log::{EventLog, EventPriority};
pub use event_stream::{EventParser, StreamEvent};
pub use process::ProcessError;
pub use store::StoreHost;
