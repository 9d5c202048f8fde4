//! The refusal of what finds no room in the process.

use chicoryladder_types::prelude::*;
use std::time::Duration;

/// The time after which a caller may repeat a request that found no room. Stalled bodies are
/// given up in less.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request for which there is no room.
pub(crate) fn overloaded() -> RequestRefusal {
    let detail = "the host has no room for the request now";
    RequestRefusal::not_run(RefusalReason::Overloaded, detail).with_retry_after(RETRY_AFTER)
}
