//! Estimates the request rate of a team at one host.

use std::time::{Duration, Instant};

/// The length of a counting window.
const WINDOW: Duration = Duration::from_millis(50);

/// Counts arrivals in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    window_start: Option<Instant>,
    current: u64,
    previous: u64,
}

impl DemandMeter {
    /// Records one arrival.
    pub fn record(&mut self, now: Instant) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the number of arrivals to expect within one window of 50 ms.
    pub fn expected(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < WINDOW {
            return;
        }
        self.previous = if elapsed < WINDOW * 2 {
            self.current
        } else {
            0
        };
        self.current = 0;
        self.window_start = Some(now);
    }
}
