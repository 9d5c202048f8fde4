//! Selection of the backend server for a request.
//!
//! Servers register by periodic announcements. A server receives no new work after
//! a missed renewal or after it announced `leaving`. Selection uses the power of
//! two choices: the less loaded of two random servers, by reported load corrected
//! for the requests of this host since the report. Servers of the local
//! availability zone come first; requests spill over to other zones if the
//! expected wait in the local zone exceeds the round trip to the others. A server
//! that likely caches the prompt prefix is preferred while its load permits.
//!
//! Requests in flight are bounded by the slots of a server, because engines accept
//! every request they receive. The queue thus stays on the entry host, which knows
//! the class and team of each request.

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
