//! Requests that wait for a backend server.
//!
//! Among the teams that wait, the one with the least service for its share goes
//! first; within a team, the request that is given up on first. A request whose
//! turn cannot come in time is refused on arrival, and one whose time is over
//! at that instant. Batch work has no place here: it fills slots that no online
//! request wants, and gives them back, the youngest stream first, when one does.

mod batch;
mod fair;
mod pace;
mod waiting;

pub use batch::{BatchStream, BatchStreams, StreamKey};
pub use fair::{FairShares, TeamKey};
pub use waiting::{ExpiredRequest, QueueRefusal, QueueRequest, QueueTicket, RequestQueue};
