//! Queues of requests that wait for a backend server.
//!
//! Weighted fair queuing between teams: the waiting team with the least service
//! relative to its share is served first. Within a team, the request with the
//! earliest time limit is served first. A request that cannot be served in time is
//! refused on arrival; a waiting request is refused when its time limit passes.
//!
//! Batch work is not queued here. It uses slots that no online request needs, and
//! is preempted, the youngest stream first, when an online request needs a slot.

mod batch;
mod fair;
mod rate;
mod waiting;

pub use batch::{BatchStream, BatchStreams, StreamKey};
pub use fair::{FairShares, TeamKey};
pub use waiting::{ExpiredRequest, QueueRefusal, QueueRequest, QueueTicket, RequestQueue};
