//! The control role: the plan, the directory of servers, the slot broker, and the
//! registry of hosts.
//!
//! Every control host, and every store host with a control address in its settings,
//! accepts the calls of operators and servers and relays them to the leader of the
//! control group. The leader replies under its lease.

mod explain_service;
mod host;
mod leader;
mod machine;
mod order_numbers;
mod port;
mod question;
mod relay;

pub use host::ControlHost;
pub use machine::ControlMachine;
pub use order_numbers::{OrderNumber, OrderNumbers, OrderSubject};
pub use port::{ControlFailure, ControlPort, ControlService, ServerHint};
pub(crate) use question::PlacementQuestion;
pub use question::{MatchRefusal, PlacementMatch, PlacementReport, QuestionError, TargetShare};
pub(crate) use relay::{ControlRelay, drain_relay};
