//! Runs a replicated group on a thread, and plans its bootstrap and membership repair.
//!
//! [`GroupThread`] owns one seat and its storage. It runs on a dedicated thread, so
//! that a disk that blocks affects only the seat. Asynchronous tasks use it through a
//! [`GroupHandle`]. [`plan_repair`] decides which membership change the leader makes
//! next, and [`plan_bootstrap`] decides which hosts bootstrap a group; neither performs
//! I/O.

mod address_file;
mod bootstrap;
mod durable_file;
mod handle;
mod membership_repair;
mod repair;
mod seat_file;
mod seat_request;
mod status;
mod thread;
mod zones;

pub use address_file::AddressFile;
pub use bootstrap::{BootstrapStep, number_members, plan_bootstrap, sole_bootstrap_member};
pub use handle::{GroupHandle, ProposeFailure, ReadFailure};
pub use membership_repair::MembershipRepair;
pub use repair::{MemberView, RepairLimits, RepairView, StandbyHost, plan_repair};
pub use seat_file::{BootstrapMembers, SeatFile, SeatRecord};
pub use seat_request::{JoinAnswer, JoinRequest};
pub use status::{GroupStatus, MemberStatus};
pub use thread::{GroupSettings, GroupThread, SeatTransport, StorageOpener};
pub use zones::{spread_over_zones, zone_voters_max};
