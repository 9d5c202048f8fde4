//! The final answer to a request that the system gave up on.

use crate::{RefusalReason, RunVerdict};
use std::time::Duration;

/// Why a request was given up on, whether it may have run, and when to return.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail} ({verdict})")]
pub struct RequestRefusal {
    /// The reason, counted and told to the caller.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The time after which a new attempt can succeed.
    pub retry_after: Option<Duration>,
    /// One sentence for the caller.
    pub detail: String,
}

impl RequestRefusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self::new(reason, RunVerdict::NotRun, detail)
    }

    /// A refusal with the given verdict.
    #[must_use]
    pub fn new(reason: RefusalReason, verdict: RunVerdict, detail: impl Into<String>) -> Self {
        Self {
            reason,
            verdict,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Adds the time after which a new attempt can succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
