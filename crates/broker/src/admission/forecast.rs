//! The expected arrivals of the next seconds, from those of the last ones.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The resolution of the history and of the forecast.
pub(super) const BIN: Duration = Duration::from_millis(100);

/// The length of the history in bins. Two of the waves that services see (5.8 s) fit in it, so
/// that both of their phases are seen in full.
const HISTORY_BINS: usize = 120;

/// The length of the forecast in bins: as long as callers wait.
const FORECAST_BINS: usize = 50;

/// The bins of which the current rate is the average.
const RECENT_BINS: usize = 5;

/// The ratio of the rates of the phases from which the arrivals come in waves. The rates of
/// random arrivals above and below their mean differ less.
const WAVE_CONTRAST: f64 = 1.8;

/// The bins below which a phase counts as an outlier of the one before.
const PHASE_BINS_MIN: usize = 4;

/// The bins for which a phase is expected to go on that has lasted longer than those before.
const OVERDUE_BINS: usize = 2;

/// The most by which the rate of a phase is scaled to the current rate.
const SCALE_MAX: f64 = 3.0;

/// The expected arrivals in each of the next bins.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandForecast {
    /// When the history began.
    pub(super) epoch: Option<Instant>,
    /// The number of the current bin.
    pub(super) bin: u64,
    /// The arrivals in the current bin and those after it.
    pub(super) arrivals: Vec<f64>,
}

/// The fresh arrivals of the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandHistory {
    epoch: Option<Instant>,
    /// The number of the last bin.
    bin: u64,
    /// The arrivals of each bin; the last one is incomplete.
    bins: VecDeque<u32>,
    forecast: Option<DemandForecast>,
}

/// Successive bins with rates on the same side of the mean.
#[derive(Clone, Copy, Debug)]
struct DemandPhase {
    is_high: bool,
    length: usize,
    arrivals: f64,
}

impl DemandHistory {
    /// The number of the bin of a time.
    pub(super) fn bin_at(&self, now: Instant) -> u64 {
        let age = self
            .epoch
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        u64::try_from(age.as_millis() / BIN.as_millis()).unwrap_or(u64::MAX)
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.advance(now);
        if let Some(last) = self.bins.back_mut() {
            *last += 1;
        }
    }

    /// The forecast, which is made once in each bin.
    pub(super) fn forecast(&mut self, now: Instant) -> &DemandForecast {
        self.advance(now);
        let (epoch, bin) = (self.epoch, self.bin);
        let is_current = |forecast: &DemandForecast| forecast.bin == bin;
        if !self.forecast.as_ref().is_some_and(is_current) {
            self.forecast = None;
        }
        let bins = &self.bins;
        self.forecast.get_or_insert_with(|| DemandForecast {
            epoch,
            bin,
            arrivals: expected_arrivals(bins),
        })
    }

    fn advance(&mut self, now: Instant) {
        self.epoch.get_or_insert(now);
        let bin = self.bin_at(now);
        if self.bins.is_empty() {
            self.bins.push_back(0);
            self.bin = bin;
        }
        let passed = usize::try_from(bin.saturating_sub(self.bin)).unwrap_or(usize::MAX);
        self.bin = self.bin.max(bin);
        for _ in 0..passed.min(HISTORY_BINS + 1) {
            self.bins.push_back(0);
        }
        while self.bins.len() > HISTORY_BINS + 1 {
            self.bins.pop_front();
        }
    }
}

/// The arrivals in each of the next bins. If they came in waves, each phase is expected to last
/// as long as those of its kind did. Otherwise, the current rate is expected to stay.
fn expected_arrivals(bins: &VecDeque<u32>) -> Vec<f64> {
    let complete: Vec<f64> = bins
        .iter()
        .take(bins.len().saturating_sub(1))
        .map(|arrivals| f64::from(*arrivals))
        .collect();
    let recent = mean(&complete[complete.len().saturating_sub(RECENT_BINS)..]);
    let steady = vec![recent; FORECAST_BINS];
    let phases = phases_of(&complete);
    let (Some(high), Some(low)) = (level(&phases, true), level(&phases, false)) else {
        return steady;
    };
    let Some(current) = phases.last().filter(|_| high > low * WAVE_CONTRAST) else {
        return steady;
    };
    let level_of = |is_high| if is_high { high } else { low };
    let own_level = level_of(current.is_high);
    // A phase that has just begun has no rate of its own yet.
    let scale = if current.length >= RECENT_BINS && own_level > 0.0 {
        (recent / own_level).clamp(SCALE_MAX.recip(), SCALE_MAX)
    } else {
        1.0
    };
    let length_of = |is_high| usual_length(&phases, is_high);
    // A phase of which no other of its kind was seen is expected to last as long again: a first
    // wave would otherwise seem endless, and returned callers would be refused for good.
    let left = match length_of(current.is_high) {
        Some(usual) => usual.saturating_sub(current.length),
        None => current.length,
    };
    let left = left.max(OVERDUE_BINS);
    let mut arrivals = Vec::with_capacity(FORECAST_BINS);
    let (mut is_high, mut left) = (current.is_high, left);
    while arrivals.len() < FORECAST_BINS {
        let bins = left.min(FORECAST_BINS - arrivals.len());
        arrivals.extend(std::iter::repeat_n(level_of(is_high) * scale, bins));
        is_high = !is_high;
        left = length_of(is_high).unwrap_or(FORECAST_BINS).max(1);
    }
    arrivals
}

fn mean(values: &[f64]) -> f64 {
    let count = f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX));
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / count
    }
}

/// Splits bins into phases above and below their mean, by the average of each bin and its
/// neighbours.
fn phases_of(bins: &[f64]) -> Vec<DemandPhase> {
    let threshold = mean(bins);
    let mut phases: Vec<DemandPhase> = Vec::new();
    for (index, arrivals) in bins.iter().enumerate() {
        let neighbours = index.saturating_sub(1)..(index + 2).min(bins.len());
        let is_high = mean(&bins[neighbours]) > threshold;
        match phases.last_mut() {
            Some(last) if last.is_high == is_high => {
                last.length += 1;
                last.arrivals += arrivals;
            }
            _ => phases.push(DemandPhase {
                is_high,
                length: 1,
                arrivals: *arrivals,
            }),
        }
    }
    let mut merged: Vec<DemandPhase> = Vec::new();
    for phase in phases {
        match merged.last_mut() {
            Some(last) if last.is_high == phase.is_high || phase.length < PHASE_BINS_MIN => {
                last.length += phase.length;
                last.arrivals += phase.arrivals;
            }
            _ => merged.push(phase),
        }
    }
    merged
}

/// The average arrivals of a bin in the phases of a kind.
fn level(phases: &[DemandPhase], is_high: bool) -> Option<f64> {
    let of_kind = || phases.iter().filter(|phase| phase.is_high == is_high);
    let bins: usize = of_kind().map(|phase| phase.length).sum();
    let arrivals: f64 = of_kind().map(|phase| phase.arrivals).sum();
    let bins = u32::try_from(bins).ok().filter(|bins| *bins > 0)?;
    Some(arrivals / f64::from(bins))
}

/// The average length of the phases of a kind that were seen in full.
fn usual_length(phases: &[DemandPhase], is_high: bool) -> Option<usize> {
    let complete = phases.get(1..phases.len().saturating_sub(1))?;
    let of_kind = complete.iter().filter(|phase| phase.is_high == is_high);
    let lengths: Vec<usize> = of_kind.map(|phase| phase.length).collect();
    let total: usize = lengths.iter().sum();
    total.checked_div(lengths.len())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Arrivals of 38 a second for 3.4 s and 187 a second for 2.4 s, up to a time.
    fn waves(until: Duration) -> (DemandHistory, Instant) {
        let start = Instant::now();
        let mut history = DemandHistory::default();
        let mut due = 0.0;
        let mut now = start;
        while now < start + until {
            let phase = (now - start).as_secs_f64() % 5.8;
            due += if phase < 3.4 { 0.38 } else { 1.87 };
            while due >= 1.0 {
                due -= 1.0;
                history.record(now);
            }
            now += BIN / 10;
        }
        (history, now)
    }

    /// A forecast that keeps the current rate would send callers refused in a wave back into
    /// the same wave, or expect no capacity at all behind it.
    #[test]
    fn the_end_of_a_wave_is_expected_when_the_last_one_ended() {
        // The third wave began at 15.0 s and ends at 17.4 s.
        let (mut history, now) = waves(Duration::from_secs(16));
        let arrivals = &history.forecast(now).arrivals;
        assert!(arrivals[5] > 15.0, "{arrivals:?}");
        assert!(arrivals[20] < 6.0, "{arrivals:?}");
    }

    /// Random variation must not be taken for waves.
    #[test]
    fn steady_arrivals_are_expected_to_stay() {
        let start = Instant::now();
        let mut history = DemandHistory::default();
        for arrival in 0..1_000 {
            history.record(start + Duration::from_millis(arrival * 10));
        }
        let arrivals = &history.forecast(start + Duration::from_secs(10)).arrivals;
        assert!(arrivals.iter().all(|bin| (9.0..=11.0).contains(bin)));
    }
}
