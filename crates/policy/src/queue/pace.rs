//! How fast a queue is served.

use std::time::{Duration, Instant};

/// The weight of the past against one new measurement.
const PAST_WEIGHT: u32 = 7;

/// The longest pause that still counts as service.
const PAUSE_MAX: Duration = Duration::from_secs(10);

/// Measures the time between two requests served from a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServicePace {
    interval: Option<Duration>,
    last: Option<Instant>,
}

impl ServicePace {
    /// Notes that a request left the queue for a server.
    pub(super) fn served(&mut self, now: Instant) {
        if let Some(last) = self.last {
            let interval = now.saturating_duration_since(last).min(PAUSE_MAX);
            let past = self.interval.unwrap_or(interval);
            self.interval = Some((past * PAST_WEIGHT + interval) / (PAST_WEIGHT + 1));
        }
        self.last = Some(now);
    }

    /// Notes that the queue ran empty: the pause until the next request is no
    /// measure of service.
    pub(super) fn ran_empty(&mut self) {
        self.last = None;
    }

    /// The time until `requests` are served; `None` before any measurement.
    pub(super) fn time_for(&self, requests: u64) -> Option<Duration> {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.interval
            .map(|interval| interval.saturating_mul(requests))
    }
}
