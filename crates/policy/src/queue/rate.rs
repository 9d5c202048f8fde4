//! The service rate of a queue.

use std::time::{Duration, Instant};

/// The weight of the previous average relative to one new interval.
const PAST_WEIGHT: u32 = 7;

/// The upper limit of a measured interval: longer pauses are not caused by the service
/// rate.
const INTERVAL_MAX: Duration = Duration::from_secs(10);

/// A moving average of the interval between two requests served from a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceRate {
    interval: Option<Duration>,
    last_served_at: Option<Instant>,
}

impl ServiceRate {
    /// Records that a request was sent from the queue to a server.
    pub(super) fn record_served(&mut self, now: Instant) {
        if let Some(last) = self.last_served_at {
            let interval = now.saturating_duration_since(last).min(INTERVAL_MAX);
            let past = self.interval.unwrap_or(interval);
            self.interval = Some((past * PAST_WEIGHT + interval) / (PAST_WEIGHT + 1));
        }
        self.last_served_at = Some(now);
    }

    /// Records that the queue is empty: the interval until the next request says
    /// nothing about the service rate.
    pub(super) fn record_empty(&mut self) {
        self.last_served_at = None;
    }

    /// Returns the estimated time until `requests` requests are served; `None` before
    /// the first measurement.
    pub(super) fn time_for(&self, requests: u64) -> Option<Duration> {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.interval
            .map(|interval| interval.saturating_mul(requests))
    }
}
