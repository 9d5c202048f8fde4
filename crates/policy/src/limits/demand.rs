//! Measures how many requests of a team arrive at a host.

use std::time::{Duration, Instant};

/// The time over which arrivals are counted.
const SPAN: Duration = Duration::from_millis(50);

/// Counts arrivals in the current span and the one before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    span_start: Option<Instant>,
    current: u64,
    previous: u64,
}

impl DemandMeter {
    /// Counts one arrival.
    pub fn record(&mut self, now: Instant) {
        self.advance(now);
        self.current += 1;
    }

    /// Arrivals to expect within one span of 50 ms.
    pub fn expected(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.span_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < SPAN {
            return;
        }
        self.previous = if elapsed < SPAN * 2 { self.current } else { 0 };
        self.current = 0;
        self.span_start = Some(now);
    }
}
