//! The refusal of a request: the final response to a request that was not served.

use crate::{RefusalReason, RunVerdict};
use std::time::Duration;

/// Why a request was refused, whether it may have run, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail} ({verdict})")]
pub struct RequestRefusal {
    /// The reason, reported to the caller and counted in metrics.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// A sentence that explains the refusal to the caller.
    pub detail: String,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self::new(reason, RunVerdict::NotRun, detail)
    }

    /// Creates a refusal with the given verdict.
    #[must_use]
    pub fn new(reason: RefusalReason, verdict: RunVerdict, detail: impl Into<String>) -> Self {
        Self {
            reason,
            verdict,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
