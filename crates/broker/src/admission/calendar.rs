//! The times at which refused callers were told to return.

use super::forecast::{BIN, DemandForecast};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The part of the service rate that is booked. The rest absorbs errors of the forecast.
const BOOKED_SHARE: f64 = 0.9;

/// The earliest return, in bins: below, callers would spend their only retry in the same
/// congestion.
const RETURN_BINS_MIN: u64 = 1;

/// A bin for the return of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReturnBooking {
    bin: u64,
}

impl ReturnBooking {
    /// The time until the booked return, spread over the bin by `jitter` from 0 to 1.
    pub(super) fn after(self, forecast: &DemandForecast, jitter: f64, now: Instant) -> Duration {
        let Some(epoch) = forecast.epoch else {
            return BIN;
        };
        let bins = u32::try_from(self.bin).unwrap_or(u32::MAX);
        let at = epoch + BIN * bins + BIN.mul_f64(jitter.clamp(0.0, 1.0));
        at.saturating_duration_since(now).max(BIN)
    }
}

/// The number of callers that were told to return in each bin.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnCalendar {
    booked: BTreeMap<u64, u32>,
}

impl ReturnCalendar {
    /// The earliest bin with capacity that neither expected arrivals nor earlier bookings nor
    /// the `waiting` requests need. If there is none within the horizon, the bin with the least
    /// demand, so that returns spread over the horizon.
    pub(super) fn find(
        &self,
        forecast: &DemandForecast,
        waiting: f64,
        rate: f64,
        horizon: Duration,
    ) -> ReturnBooking {
        let capacity = rate * BIN.as_secs_f64() * BOOKED_SHARE;
        let horizon_bins = u64::try_from(horizon.as_millis() / BIN.as_millis()).unwrap_or(0);
        let final_bin = forecast.bin + horizon_bins.max(RETURN_BINS_MIN);
        let mut waiting = waiting;
        // Capacity is carried over to the next bin if a bin has less than a request's.
        let mut room = 0.0;
        let mut least: Option<(f64, u64)> = None;
        for (bin, arrivals) in (forecast.bin..=final_bin).zip(&forecast.arrivals) {
            let demand = arrivals + self.booked_in(bin);
            let spare = capacity - demand;
            if spare < 0.0 {
                // Fresh requests beyond the capacity are refused, but returned ones stay.
                waiting += self.booked_in(bin).min(-spare);
            }
            room = (room + spare.max(0.0)).min(capacity.max(1.0));
            let used = waiting.min(room);
            waiting -= used;
            room -= used;
            if bin < forecast.bin + RETURN_BINS_MIN {
                continue;
            }
            if room >= 1.0 {
                return ReturnBooking { bin };
            }
            if least.is_none_or(|(least, _)| demand < least) {
                least = Some((demand, bin));
            }
        }
        let bin = least.map_or(forecast.bin + RETURN_BINS_MIN, |(_, bin)| bin);
        ReturnBooking { bin }
    }

    /// Books a return, and forgets those that were due before a bin.
    pub(super) fn book(&mut self, booking: ReturnBooking, current_bin: u64) {
        self.booked = self.booked.split_off(&current_bin);
        *self.booked.entry(booking.bin).or_insert(0) += 1;
    }

    /// The time in which what expected arrivals and returns leave of the service rate amounts
    /// to `work` requests; `None` if that is beyond the forecast.
    pub(super) fn spare_wait(
        &self,
        forecast: &DemandForecast,
        work: f64,
        rate: f64,
    ) -> Option<Duration> {
        let capacity = rate * BIN.as_secs_f64();
        let mut left = work;
        let mut wait = Duration::ZERO;
        for (bin, arrivals) in (forecast.bin..).zip(&forecast.arrivals) {
            let spare = (capacity - arrivals - self.booked_in(bin)).max(0.0);
            if spare >= left {
                let part = if spare > 0.0 { left / spare } else { 0.0 };
                return Some(wait + BIN.mul_f64(part));
            }
            left -= spare;
            wait += BIN;
        }
        None
    }

    /// The number of callers that are booked after a bin.
    pub(super) fn booked_after(&self, bin: u64) -> u32 {
        self.booked.range(bin + 1..).map(|(_, booked)| booked).sum()
    }

    fn booked_in(&self, bin: u64) -> f64 {
        self.booked
            .get(&bin)
            .map_or(0.0, |booked| f64::from(*booked))
    }
}
