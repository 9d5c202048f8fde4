//! Class statistics of one host over a sliding window.

use chicoryladder_types::prelude::*;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of slots in the window; the window advances by one slot at a time.
const WINDOW_SLOTS: usize = 30;

/// The highest latency that the histogram distinguishes, in milliseconds; longer
/// ones are recorded as this value.
const LATENCY_MAX_MS: u64 = 60 * 60 * 1000;

/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 2;

/// A histogram of latencies in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let bounded = Histogram::new_with_bounds(1, LATENCY_MAX_MS, LATENCY_DIGITS);
        let unbounded = || Histogram::new(LATENCY_DIGITS);
        // Both constructors fail only if the number of digits is out of range.
        let histogram = bounded.or_else(|_| unbounded());
        Self(histogram.unwrap_or_else(|_| unreachable!("the number of digits is in range")))
    }
}

impl LatencyHistogram {
    fn record(&mut self, latency: Duration) {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.0.saturating_record(millis.max(1));
    }

    pub(super) fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so no count is dropped.
        let _ = self.0.add(&other.0);
    }

    /// The latency in milliseconds that `percentile` percent of the requests did
    /// not exceed; `None` if there were no requests.
    pub(super) fn at_percentile(&self, percentile: u8) -> Option<u64> {
        let has_values = !self.0.is_empty();
        has_values.then(|| self.0.value_at_percentile(f64::from(percentile)))
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing to a `Vec` does not fail.
        let _ = V2Serializer::new().serialize(&self.0, &mut bytes);
        bytes
    }

    /// Decodes the histogram of another host; malformed bytes give an empty one.
    pub(super) fn from_bytes(mut bytes: &[u8]) -> Self {
        let mut histogram = Self::default();
        if let Ok(decoded) = Deserializer::new().deserialize::<u64, _>(&mut bytes) {
            let _ = histogram.0.add(&decoded);
        }
        histogram
    }
}

#[derive(Clone, Debug, Default)]
struct ClassStatistics {
    served: u64,
    within_target: u64,
    refused: u64,
    failed: u64,
    first_token: LatencyHistogram,
    answer: LatencyHistogram,
}

impl ClassStatistics {
    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.within_target += other.within_target;
        self.refused += other.refused;
        self.failed += other.failed;
        self.first_token.add(&other.first_token);
        self.answer.add(&other.answer);
    }
}

/// The statistics of one class on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The class.
    pub class: ClassName,
    /// Requests served to completion.
    pub served: u64,
    /// Served requests that met the latency target.
    pub within_target: u64,
    /// Requests refused for a reason on the caller's side, such as its rate.
    pub refused: u64,
    /// Requests refused or aborted for a reason on the system's side.
    pub failed: u64,
    /// The serialized histogram of the time to the first token.
    pub first_token: Vec<u8>,
    /// The serialized histogram of the time to the complete response.
    pub answer: Vec<u8>,
}

/// The statistics of one host over its window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatisticsReport {
    /// The classes that received requests.
    pub classes: Vec<ClassReport>,
}

/// Collects class statistics over a sliding window.
#[derive(Clone, Debug)]
pub struct StatisticsWindow {
    slots: VecDeque<BTreeMap<ClassName, ClassStatistics>>,
}

impl Default for StatisticsWindow {
    fn default() -> Self {
        Self {
            slots: VecDeque::from([BTreeMap::new()]),
        }
    }
}

impl StatisticsWindow {
    /// Counts a request served to completion; `within_target` tells whether it
    /// met its target.
    pub fn record_served(
        &mut self,
        class: &ClassName,
        first_token: Option<Duration>,
        answer: Duration,
        within_target: bool,
    ) {
        let statistics = self.class_statistics(class);
        statistics.served += 1;
        statistics.within_target += u64::from(within_target);
        if let Some(first_token) = first_token {
            statistics.first_token.record(first_token);
        }
        statistics.answer.record(answer);
    }

    /// Counts a request that was refused or aborted. A reason with a 5xx status
    /// counts as a failure of the system.
    pub fn record_refused(&mut self, class: &ClassName, reason: RefusalReason) {
        let statistics = self.class_statistics(class);
        if reason.status() >= 500 {
            statistics.failed += 1;
        } else {
            statistics.refused += 1;
        }
    }

    /// Starts the next slot; drops the oldest one once the window is full.
    pub fn advance(&mut self) {
        self.slots.push_back(BTreeMap::new());
        if self.slots.len() > WINDOW_SLOTS {
            self.slots.pop_front();
        }
    }

    /// The statistics of the whole window.
    #[must_use]
    pub fn report(&self) -> StatisticsReport {
        let mut sums: BTreeMap<&ClassName, ClassStatistics> = BTreeMap::new();
        for (class, statistics) in self.slots.iter().flatten() {
            sums.entry(class).or_default().add(statistics);
        }
        let classes = sums.into_iter().map(|(class, statistics)| ClassReport {
            class: class.clone(),
            served: statistics.served,
            within_target: statistics.within_target,
            refused: statistics.refused,
            failed: statistics.failed,
            first_token: statistics.first_token.to_bytes(),
            answer: statistics.answer.to_bytes(),
        });
        StatisticsReport {
            classes: classes.collect(),
        }
    }

    fn class_statistics(&mut self, class: &ClassName) -> &mut ClassStatistics {
        if self.slots.is_empty() {
            self.slots.push_back(BTreeMap::new());
        }
        let last = self.slots.len() - 1;
        self.slots[last].entry(class.clone()).or_default()
    }
}
