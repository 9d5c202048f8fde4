//! Response faults that can be switched on at run time.
//!
//! The request handlers apply the faults of this module. The listener crashes and
//! stalls connections, on command of a handler or of [`crate::ServerControl`].

use std::time::Duration;

/// The faults that apply to each request until the plan is replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Crashes the server when the body of a request contains this text.
    pub crash_on: Option<String>,
    /// Refuses each request with 503 and the verdict `not-run`.
    pub refuses: bool,
    /// Says in each response that the server leaves, which its announcements do not.
    pub says_leaving: bool,
    /// Responds to each request with the id and content of the previous request.
    pub mismatches_response: bool,
    /// Waits this long before each response.
    pub delay: Option<Duration>,
    /// Ends each streamed response after this many tokens, without its end marker,
    /// and sends only half of an unstreamed response that is longer.
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
