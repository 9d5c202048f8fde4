//! Which backend server takes a request.
//!
//! Servers announce themselves; a missed renewal or `leaving` ends new work.
//! The choice is the better of two random servers by the reported load,
//! corrected by this host's own requests since the report. The own availability
//! zone comes first, and work spills to others when waiting here would take
//! longer than the trip. A server that likely caches the prompt prefix is
//! preferred while its load allows it. In-flight requests are bounded by the
//! slots of a server, since engines admit all they get: the queue stays on the
//! entry host, where it knows classes and teams.

mod affinity;
mod choice;
mod health;
mod server;
mod table;

pub use affinity::{PrefixHash, PrefixHints};
pub use choice::{RouteChoice, RouteQuery};
pub use health::{HealthTimes, ServerHealth};
pub use server::{ServerOutcome, ServerRecord, WorkTarget};
pub use table::{AnnounceOutcome, RouteTimes, ServerKey, ServerTable};
