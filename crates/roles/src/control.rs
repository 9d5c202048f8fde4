//! The control process: the plan, the directory of servers, the broker, and the
//! hosts of the fleet.
//!
//! Every control host takes the calls of operators and servers and passes them to
//! the leader of the control group. The leader answers under its lease.

mod host;
mod leader;
mod machine;
mod port;

pub use host::ControlHost;
pub(crate) use host::founders_of;
pub use port::{ControlFailure, ControlPort, ControlService, ServerHint};
