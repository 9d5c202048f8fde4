//! A replicated group as a thread of a process, and the repair of its membership.
//!
//! [`GroupThread`] owns one seat with its disk. It runs on a thread of its own,
//! so that a disk that hangs stops nothing but the seat. [`GroupHandle`] reaches
//! it from asynchronous tasks. [`plan_repair`] decides which membership change
//! the leader makes next, and [`plan_bootstrap`] which hosts begin a group; they do
//! no I/O.

mod address_file;
mod bootstrap;
mod durable_file;
mod handle;
mod repair;
mod seat_file;
mod status;
mod thread;

pub use address_file::AddressFile;
pub use bootstrap::{BootstrapStep, number_members, plan_bootstrap, sole_bootstrap_member};
pub use handle::{GroupHandle, ProposeFailure, ReadFailure};
pub use repair::{MemberView, RepairLimits, RepairView, StandbyHost, plan_repair};
pub use seat_file::{BootstrapMembers, SeatFile, SeatRecord};
pub use status::{GroupStatus, MemberStatus};
pub use thread::{GroupSettings, GroupThread, SeatTransport};
