//! When callers that were refused during the start of a fleet should return.

use std::time::Duration;

/// The time that a host needs for its first view if it started together with the control
/// hosts, which first elect a leader.
const FLEET_START_TIME: Duration = Duration::from_millis(1_300);

/// The share of the time since the start by which later callers return later.
const RETURN_SPREAD: f64 = 0.5;

/// The delay after which a caller should return that was refused `elapsed` after the start
/// of the host; `None` if the start takes longer than usual, so that nothing is known.
///
/// Callers return in the order in which they were refused, spread over half of the time in
/// which they came, since the fleet has to serve new callers as well.
#[must_use]
pub fn return_after_start(elapsed: Duration) -> Option<Duration> {
    let ready_in = FLEET_START_TIME.checked_sub(elapsed)?;
    Some(ready_in + elapsed.mul_f64(RETURN_SPREAD))
}
