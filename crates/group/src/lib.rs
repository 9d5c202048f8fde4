//! A replicated group as a thread of a process, and the repair of its membership.
//!
//! [`GroupThread`] owns one seat with its disk. It runs on a thread of its own,
//! so that a disk that hangs stops nothing but the seat. [`GroupHandle`] reaches
//! it from asynchronous tasks. [`plan_repair`] decides which membership change
//! the leader makes next; it does no I/O.

mod handle;
mod repair;
mod seat_file;
mod status;
mod thread;

pub use handle::{GroupHandle, ProposeFailure, ReadFailure};
pub use repair::{MemberView, RepairLimits, RepairView, StandbyHost, plan_repair};
pub use seat_file::SeatFile;
pub use status::{GroupStatus, MemberStatus};
pub use thread::{GroupSettings, GroupThread, SeatTransport};
