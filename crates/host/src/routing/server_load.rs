//! The load of one backend server as batch work has to see it.
//!
//! Reports show the requests of all hosts, with a lag. What they show beyond
//! this host's own requests is taken as the load of others. The highest count of
//! own requests over the lag is deducted, since a late report may still show
//! requests that have ended here. Were it not, a host whose items end together
//! would take its own past for the load of others until the next report.

use chicoryladder_types::ServerLoad;
use std::time::{Duration, Instant};

/// The age up to which a report is expected to be.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// Own requests on a server and the estimated requests of others.
#[derive(Debug)]
pub(super) struct LoadEstimate {
    in_flight: u32,
    window_began: Instant,
    window_peak: u32,
    previous_peak: u32,
    foreign: u32,
}

impl LoadEstimate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            window_began: now,
            window_peak: 0,
            previous_peak: 0,
            foreign: 0,
        }
    }

    /// Requests of all hosts on the server.
    pub(super) fn occupied(&self) -> u32 {
        self.in_flight + self.foreign
    }

    pub(super) fn take(&mut self, now: Instant) {
        self.roll_window(now);
        self.in_flight += 1;
        self.window_peak = self.window_peak.max(self.in_flight);
    }

    pub(super) fn give_back(&mut self, now: Instant) {
        self.roll_window(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a request of another host that no report shows yet.
    pub(super) fn note_foreign(&mut self) {
        self.foreign += 1;
    }

    pub(super) fn report(&mut self, load: ServerLoad, now: Instant) {
        self.roll_window(now);
        let own = self.window_peak.max(self.previous_peak);
        self.foreign = (load.running + load.waiting).saturating_sub(own);
    }

    fn roll_window(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_began);
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
        self.window_began = now;
    }
}
