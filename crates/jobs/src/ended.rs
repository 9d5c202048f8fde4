//! Terminal states and results of items.

use crate::BodyBytes;
use chicoryladder_types::RefusalReason;
use serde::{Deserialize, Serialize};

/// The reason for the permanent failure of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureCause {
    /// The backend server responded with an error that a retry would repeat.
    ErrorAnswer,
    /// Every allowed attempt failed.
    AttemptsExhausted,
    /// Backend servers crashed while they ran the request, until its job expired.
    ServersCrashed,
    /// The system refused the request for a permanent reason.
    Refused(RefusalReason),
    /// The job expired before the item ran.
    JobExpired,
}

impl FailureCause {
    /// The code in results and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ErrorAnswer => "error_answer",
            Self::AttemptsExhausted => "attempts_exhausted",
            Self::ServersCrashed => "servers_crashed",
            Self::Refused(reason) => reason.as_str(),
            Self::JobExpired => "job_expired",
        }
    }
}

/// The terminal state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemEnd {
    /// A backend server responded successfully.
    Succeeded,
    /// The item failed permanently.
    Failed(FailureCause),
    /// The item may have run and must not run again.
    OutcomeUnknown,
    /// The job was cancelled before the item ended.
    Cancelled,
}

impl ItemEnd {
    /// The code in results and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed(cause) => cause.as_str(),
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The stored result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The terminal state.
    pub end: ItemEnd,
    /// The attempt that ended the item; 0 if none began.
    pub attempt: u16,
    /// The HTTP status of the response, if there was one.
    pub status: Option<u16>,
    /// The response body.
    pub body: BodyBytes,
    /// One sentence for the caller; empty on success.
    pub detail: String,
}

impl ItemResult {
    /// Creates a result without a response.
    #[must_use]
    pub fn without_answer(end: ItemEnd, attempt: u16, detail: impl Into<String>) -> Self {
        Self {
            end,
            attempt,
            status: None,
            body: BodyBytes::default(),
            detail: detail.into(),
        }
    }
}
