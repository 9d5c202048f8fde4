//! Faults of the answers, switched at run time.
//!
//! Faults of the connections (crash and silence) belong to the listener; the
//! faults here are decided by the handler of each request.

use std::time::Duration;

/// The faults that a stand-in shows on each request until the plan changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Crashes the server when the body of a request contains this text.
    pub crash_on: Option<String>,
    /// Refuses each request with 503 and the verdict `not-run`.
    pub refuses: bool,
    /// Answers each request with the id and content of the request before it.
    pub mismatches_response: bool,
    /// Waits this long before each answer.
    pub delay: Option<Duration>,
    /// Ends each answer after this many tokens, without its end marker.
    pub truncates_after: Option<u32>,
}

impl FaultPlan {
    /// Whether the body of a request crashes the server.
    #[must_use]
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        let Some(text) = self.crash_on.as_deref() else {
            return false;
        };
        !text.is_empty()
            && body
                .windows(text.len())
                .any(|window| window == text.as_bytes())
    }
}
