//! The cost model that selects among the servers with a free slot.
//!
//! An engine that is not full generates each token nearly as fast as an idle one,
//! so cached prompt segments and the zone weigh more than the load.

use crate::directory::ServerRecord;
use crate::request::{ExpectedAnswer, PromptSegment};
use chicoryladder_types::prelude::*;
use std::time::{Duration, Instant};

/// The cost of a server in another zone, which covers a round trip for each event
/// and the traffic between zones.
const OTHER_ZONE_COST: f64 = 6.0;

/// The cost of one prompt token that the server has to prefill again.
const UNCACHED_TOKEN_COST: f64 = 0.015;

/// The cost of a fully loaded server, relative to an idle one.
const LOAD_COST: f64 = 4.0;

/// The cost of a fully used server relative to an idle one, as a multiple of the time to an
/// answer without tokens to read, if the speed of servers is weighed.
const USE_WEIGHT: f64 = 2.0;

/// The cost of each failure since the last success.
const FAILURE_COST: f64 = 20.0;

/// The cost of a server whose check-in is overdue.
const OVERDUE_COST: f64 = 40.0;

/// The most prompt segments that are recorded for one server.
const CACHED_SEGMENTS_MAX: usize = 4_096;

/// A segment of a prompt together with all segments before it. A server can use a cached
/// segment only after the same preceding segments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptPrefix {
    pub(crate) id: u64,
    pub(crate) tokens: u32,
}

/// The prefixes of a prompt, from the shortest to the longest.
pub(crate) fn prompt_prefixes(prompt: &[PromptSegment]) -> Vec<PromptPrefix> {
    /// The multiplier that mixes the bits of ids: 2^64 divided by the golden ratio.
    const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut chain = 0u64;
    let prefix = |segment: &PromptSegment| {
        chain = (chain.rotate_left(23) ^ segment.id).wrapping_mul(MIX);
        PromptPrefix {
            id: chain,
            tokens: segment.tokens,
        }
    };
    prompt.iter().map(prefix).collect()
}

/// The cost of running a request on a server; the lowest cost is selected. `used_share` is
/// the used share of its slots, or of a burst within its limit.
pub(crate) fn server_cost(
    record: &ServerRecord,
    used_share: f64,
    query: &PlacementQuery<'_>,
) -> f64 {
    let reading = f64::from(uncached_tokens(record, query.prefixes)) * UNCACHED_TOKEN_COST;
    query.cost(record, &[reading, used_share * LOAD_COST])
}

/// What a decision asks of each server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementQuery<'a> {
    /// The zone of the requester.
    pub(crate) zone: &'a ZoneName,
    /// The prefixes of the prompt.
    pub(crate) prefixes: &'a [PromptPrefix],
    /// The time without check-ins after which a server is overdue.
    pub(crate) overdue_after: Duration,
    /// The time of the decision.
    pub(crate) now: Instant,
}

impl PlacementQuery<'_> {
    /// The given costs of a server together with those of its zone, failures and silence.
    fn cost(&self, record: &ServerRecord, costs: &[f64]) -> f64 {
        let mut cost = 0.0;
        if record.check_in.zone != *self.zone {
            cost += OTHER_ZONE_COST;
        }
        // Servers with equal costs are chosen by their order, so the order of the summands
        // has to be the same for all.
        for part in costs {
            cost += part;
        }
        cost += f64::from(record.failures) * FAILURE_COST;
        if record.is_overdue(self.overdue_after, self.now) {
            cost += OVERDUE_COST;
        }
        cost
    }
}

/// What is expected of a request on a server whose speed and memory are weighed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerExpectation {
    /// The tokens of the prompt.
    pub(crate) tokens: u32,
    /// The tokens of the prompt that the server is believed to hold.
    pub(crate) cached: u32,
    /// The tokens that the server has to read until the first part of the answer, with those
    /// of requests that were sent there before.
    pub(crate) to_read: f64,
    /// The time to the first part of the answer at the usual pace, in milliseconds.
    pub(crate) usual_ms: f64,
    /// The pace of the server.
    pub(crate) pace: f64,
}

impl ServerExpectation {
    /// The cost of running the request on the server, in milliseconds. `used_share` is the used
    /// share of its slots or of its memory, and `base_ms` the time to an answer without tokens
    /// to read at the usual pace.
    pub(crate) fn cost(
        &self,
        record: &ServerRecord,
        used_share: f64,
        base_ms: f64,
        query: &PlacementQuery<'_>,
    ) -> f64 {
        let spread = USE_WEIGHT * base_ms * used_share;
        query.cost(record, &[self.usual_ms * self.pace, spread * self.pace])
    }

    /// The expectation as it is told to the requester.
    pub(crate) fn stated(&self, stated_age: Option<Duration>) -> ExpectedAnswer {
        let first_answer = self.usual_ms * self.pace / 1_000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let pace_percent = (self.pace * 100.0) as u32;
        ExpectedAnswer {
            first_answer: Duration::try_from_secs_f64(first_answer).unwrap_or(Duration::MAX),
            tokens: self.tokens,
            cached: self.cached,
            pace_percent,
            stated_age,
        }
    }
}

/// The tokens of shared segments that the server has not cached. The last segment
/// of a prompt is specific to the request and does not count.
fn uncached_tokens(record: &ServerRecord, prefixes: &[PromptPrefix]) -> u32 {
    let (_, uncached) = split_cached(record, prefixes);
    uncached.iter().map(|prefix| prefix.tokens).sum()
}

/// The tokens of shared segments that the server has cached.
pub(crate) fn cached_tokens(record: &ServerRecord, prefixes: &[PromptPrefix]) -> u32 {
    let (cached, _) = split_cached(record, prefixes);
    let tokens = cached.iter().map(|prefix| prefix.tokens);
    tokens.fold(0, u32::saturating_add)
}

/// The shared segments that the server has cached, and the others.
fn split_cached<'a>(
    record: &ServerRecord,
    prefixes: &'a [PromptPrefix],
) -> (&'a [PromptPrefix], &'a [PromptPrefix]) {
    let shared = prefixes.split_last().map_or(&[][..], |(_, shared)| shared);
    let is_cached = |prefix: &&PromptPrefix| record.cached_segments.contains_key(&prefix.id);
    let cached = shared.iter().take_while(is_cached).count();
    shared.split_at(cached)
}

/// Records that a server caches the segments of a prompt. Drops the least recently used
/// half of the records if there are more than [`CACHED_SEGMENTS_MAX`].
pub(crate) fn record_prompt(record: &mut ServerRecord, prefixes: &[PromptPrefix], now: Instant) {
    for prefix in prefixes {
        record.cached_segments.insert(prefix.id, now);
    }
    if record.cached_segments.len() > CACHED_SEGMENTS_MAX {
        let mut used: Vec<Instant> = record.cached_segments.values().copied().collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        record
            .cached_segments
            .retain(|_, used_at| *used_at > median);
    }
}
