//! The control process: the plan, the directory of servers, the broker, and the
//! hosts of the fleet.
//!
//! Every control host, and every store host that is told to, takes the calls of
//! operators and servers and passes them to the leader of the control group. The
//! leader answers under its lease.

mod host;
mod leader;
mod machine;
mod port;
mod relay;

pub use host::ControlHost;
pub use port::{ControlFailure, ControlPort, ControlService, ServerHint};
pub(crate) use relay::{ControlRelay, drain_relay};
