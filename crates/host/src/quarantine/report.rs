//! What hosts tell each other about runs that matter to the quarantine.

use chicoryladder_policy::quarantine::{RequestTraits, SegmentFingerprint, ServerCrash};
use chicoryladder_types::{ServiceName, Tail};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A server that was lost while it processed a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    /// The pool of the server.
    pub(crate) pool: ServiceName,
    pub(crate) crash: ServerCrash,
    pub(crate) traits: RequestTraits,
    /// The time since the request was sent; `None` from hosts of earlier builds.
    pub(crate) took: Tail<Option<Duration>>,
}

/// A request that a server processed to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompletionReport {
    /// The pool of the server.
    pub(crate) pool: ServiceName,
    pub(crate) server: ServerCrash,
    pub(crate) segments: Vec<SegmentFingerprint>,
    /// The time since the request was sent.
    pub(crate) took: Duration,
}
