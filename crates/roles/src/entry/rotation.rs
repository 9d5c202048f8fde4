//! Whether the load balancer still opens connections to the host, and what a host that stops still
//! has time for.

use chicoryladder_types::prelude::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The probes in a row that the load balancer has to find unready before it opens no more
/// connections to the host.
const UNREADY_PROBES: u32 = 2;

/// The further probes during which connections are closed. If no host is ready, the load balancer
/// uses all of them again, and connections that were closed for long would only come back.
const CLOSING_PROBES: u32 = 5;

/// A planned stop of the host.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopPeriod {
    /// When the load balancer has noticed the stop.
    pub(super) noticed_at: Instant,
    /// When requests have to be answered.
    pub(super) answer_by: Instant,
}

impl StopPeriod {
    /// The time that a request may take which arrived at `arrived_at` and would take up to `time`.
    ///
    /// # Errors
    ///
    /// Refuses a request with more time than the stop leaves, once others can serve it: it could
    /// be cut off after it has run.
    pub(super) fn limit(
        &self,
        time: Duration,
        arrived_at: Instant,
        now: Instant,
    ) -> Result<Duration, RequestRefusal> {
        if arrived_at + time <= self.answer_by {
            return Ok(time);
        }
        if now < self.noticed_at {
            return Ok(self.answer_by.saturating_duration_since(arrived_at));
        }
        let detail = "the host stops before the time of the request ends";
        let refusal = RequestRefusal::not_run(RefusalReason::Draining, detail);
        Err(refusal.with_retry_after(Duration::ZERO))
    }
}

/// What the host tells the load balancer. Callers keep their connections when the load balancer
/// takes the host out of rotation, so the host has to close these itself; new connections then
/// reach hosts that are ready.
#[derive(Debug, Default)]
pub(super) struct RotationState {
    stop: watch::Sender<Option<StopPeriod>>,
    unready_probes: AtomicU32,
}

impl RotationState {
    /// Withdraws readiness for good.
    pub(super) fn drain(&self, stop: StopPeriod) {
        self.stop.send_replace(Some(stop));
    }

    /// The planned stop that is under way.
    pub(super) fn stop(&self) -> Option<StopPeriod> {
        *self.stop.borrow()
    }

    /// Waits until a planned stop is under way.
    pub(super) async fn wait_for_stop(&self) -> StopPeriod {
        let mut receiver = self.stop.subscribe();
        let stop = receiver.wait_for(Option::is_some).await;
        let stop = stop.ok().and_then(|stop| *stop);
        match stop {
            Some(stop) => stop,
            // The sender outlives this call.
            None => std::future::pending().await,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Records the answer to a readiness probe.
    pub(super) fn record_probe(&self, ready: bool) {
        if ready {
            self.unready_probes.store(0, Ordering::Relaxed);
        } else {
            self.unready_probes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether responses close the connections of callers.
    pub(super) fn closes_connections(&self) -> bool {
        let closing = UNREADY_PROBES..UNREADY_PROBES + CLOSING_PROBES;
        self.is_draining() || closing.contains(&self.unready_probes.load(Ordering::Relaxed))
    }
}
