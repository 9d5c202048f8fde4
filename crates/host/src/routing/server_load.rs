//! An estimate of the load of one backend server, used to place batch items.
//!
//! Load reports count the requests of all hosts and arrive with a delay. Requests
//! in a report beyond those of this host are attributed to other hosts. The peak
//! count of local requests over the report delay is deducted, because a late
//! report may still include local requests that have ended. Otherwise a host whose
//! items end at the same time would mistake them for the load of other hosts until
//! the next report.

use chicoryladder_types::ServerLoad;
use std::time::{Duration, Instant};

/// The expected maximum delay of a load report.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// The requests of this host on a server and the estimated requests of others.
#[derive(Debug)]
pub(super) struct LoadEstimate {
    in_flight: u32,
    window_start: Instant,
    window_peak: u32,
    previous_peak: u32,
    foreign: u32,
}

impl LoadEstimate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            window_start: now,
            window_peak: 0,
            previous_peak: 0,
            foreign: 0,
        }
    }

    /// Returns the estimated number of requests of all hosts on the server.
    pub(super) fn occupied(&self) -> u32 {
        self.in_flight + self.foreign
    }

    pub(super) fn start_request(&mut self, now: Instant) {
        self.roll_window(now);
        self.in_flight += 1;
        self.window_peak = self.window_peak.max(self.in_flight);
    }

    pub(super) fn finish_request(&mut self, now: Instant) {
        self.roll_window(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a request of another host that is not part of a report yet.
    pub(super) fn record_foreign(&mut self) {
        self.foreign += 1;
    }

    pub(super) fn record_report(&mut self, load: ServerLoad, now: Instant) {
        self.roll_window(now);
        let local_peak = self.window_peak.max(self.previous_peak);
        self.foreign = (load.running + load.waiting).saturating_sub(local_peak);
    }

    fn roll_window(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < REPORT_LAG {
            return;
        }
        let was_idle = elapsed >= 2 * REPORT_LAG;
        self.previous_peak = if was_idle {
            self.in_flight
        } else {
            self.window_peak
        };
        self.window_peak = self.in_flight;
        self.window_start = now;
    }
}
