//! Counts of one host over a sliding window.

use chicoryladder_types::prelude::*;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Slots of the window; the window advances by one slot at a time.
const WINDOW_SLOTS: usize = 30;

/// The longest time that is told apart from longer ones, in milliseconds.
const LATENCY_MAX_MS: u64 = 60 * 60 * 1000;

/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 2;

/// Latencies in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct LatencyCounts(Histogram<u64>);

impl Default for LatencyCounts {
    fn default() -> Self {
        let bounded = Histogram::new_with_bounds(1, LATENCY_MAX_MS, LATENCY_DIGITS);
        let unbounded = || Histogram::new(LATENCY_DIGITS);
        // Both fail only for digits out of range.
        let histogram = bounded.or_else(|_| unbounded());
        Self(histogram.unwrap_or_else(|_| unreachable!("the digits are in range")))
    }
}

impl LatencyCounts {
    fn record(&mut self, latency: Duration) {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.0.saturating_record(millis.max(1));
    }

    pub(super) fn add(&mut self, other: &Self) {
        // Both have the same bounds, so none of the counts is lost.
        let _ = self.0.add(&other.0);
    }

    /// The latency that `percentile` percent of the requests kept.
    pub(super) fn at_percentile(&self, percentile: u8) -> Option<u64> {
        let counted = !self.0.is_empty();
        counted.then(|| self.0.value_at_percentile(f64::from(percentile)))
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing to memory does not fail.
        let _ = V2Serializer::new().serialize(&self.0, &mut bytes);
        bytes
    }

    /// Reads counts of another host; unreadable ones count nothing.
    pub(super) fn from_bytes(mut bytes: &[u8]) -> Self {
        let mut counts = Self::default();
        if let Ok(read) = Deserializer::new().deserialize::<u64, _>(&mut bytes) {
            let _ = counts.0.add(&read);
        }
        counts
    }
}

#[derive(Clone, Debug, Default)]
struct ClassTally {
    served: u64,
    within: u64,
    refused: u64,
    failed: u64,
    first_token: LatencyCounts,
    answer: LatencyCounts,
}

impl ClassTally {
    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.within += other.within;
        self.refused += other.refused;
        self.failed += other.failed;
        self.first_token.add(&other.first_token);
        self.answer.add(&other.answer);
    }
}

/// What one host counted of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The class.
    pub class: ClassName,
    /// Requests served to their end.
    pub served: u64,
    /// Those of them that kept the target.
    pub within: u64,
    /// Requests refused for a reason of the caller, such as its rate.
    pub refused: u64,
    /// Requests refused or given up on for a reason of the system.
    pub failed: u64,
    /// Latencies to the first token, serialised.
    pub first_token: Vec<u8>,
    /// Latencies to the whole answer, serialised.
    pub answer: Vec<u8>,
}

/// What one host counted over its window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatisticsReport {
    /// The classes that had requests.
    pub classes: Vec<ClassReport>,
}

/// Counts requests over a sliding window.
#[derive(Clone, Debug)]
pub struct StatisticsWindow {
    slots: VecDeque<BTreeMap<ClassName, ClassTally>>,
}

impl Default for StatisticsWindow {
    fn default() -> Self {
        Self {
            slots: VecDeque::from([BTreeMap::new()]),
        }
    }
}

impl StatisticsWindow {
    /// Counts a request that was served, and whether it kept its target.
    pub fn record_served(
        &mut self,
        class: &ClassName,
        first_token: Option<Duration>,
        answer: Duration,
        within: bool,
    ) {
        let tally = self.current(class);
        tally.served += 1;
        tally.within += u64::from(within);
        if let Some(first_token) = first_token {
            tally.first_token.record(first_token);
        }
        tally.answer.record(answer);
    }

    /// Counts a request that was refused or given up on.
    pub fn record_refused(&mut self, class: &ClassName, reason: RefusalReason) {
        let tally = self.current(class);
        if reason.status() >= 500 {
            tally.failed += 1;
        } else {
            tally.refused += 1;
        }
    }

    /// Begins the next slot and drops the oldest.
    pub fn advance(&mut self) {
        self.slots.push_back(BTreeMap::new());
        if self.slots.len() > WINDOW_SLOTS {
            self.slots.pop_front();
        }
    }

    /// The counts of the whole window.
    #[must_use]
    pub fn report(&self) -> StatisticsReport {
        let mut sums: BTreeMap<&ClassName, ClassTally> = BTreeMap::new();
        for (class, tally) in self.slots.iter().flatten() {
            sums.entry(class).or_default().add(tally);
        }
        let classes = sums.into_iter().map(|(class, tally)| ClassReport {
            class: class.clone(),
            served: tally.served,
            within: tally.within,
            refused: tally.refused,
            failed: tally.failed,
            first_token: tally.first_token.to_bytes(),
            answer: tally.answer.to_bytes(),
        });
        StatisticsReport {
            classes: classes.collect(),
        }
    }

    fn current(&mut self, class: &ClassName) -> &mut ClassTally {
        if self.slots.is_empty() {
            self.slots.push_back(BTreeMap::new());
        }
        let last = self.slots.len() - 1;
        self.slots[last].entry(class.clone()).or_default()
    }
}
