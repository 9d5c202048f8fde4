//! The cost model that selects among the servers with a free slot.
//!
//! An engine that is not full generates each token nearly as fast as an idle one,
//! so cached prompt segments and the zone weigh more than the load.

use crate::directory::ServerRecord;
use crate::request::{PromptSegment, SlotRequest};
use std::time::{Duration, Instant};

/// The cost of a server in another zone, which covers a round trip for each event
/// and the traffic between zones.
const OTHER_ZONE_COST: f64 = 6.0;

/// The cost of one prompt token that the server has to prefill again.
const UNCACHED_TOKEN_COST: f64 = 0.015;

/// The cost of a fully loaded server, relative to an idle one.
const LOAD_COST: f64 = 4.0;

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
    id: u64,
    tokens: u32,
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
    request: &SlotRequest,
    prefixes: &[PromptPrefix],
    overdue_after: Duration,
    now: Instant,
) -> f64 {
    let mut cost = 0.0;
    if record.check_in.zone != request.zone {
        cost += OTHER_ZONE_COST;
    }
    cost += f64::from(uncached_tokens(record, prefixes)) * UNCACHED_TOKEN_COST;
    cost += used_share * LOAD_COST;
    cost += f64::from(record.failures) * FAILURE_COST;
    if now.saturating_duration_since(record.checked_in_at) > overdue_after {
        cost += OVERDUE_COST;
    }
    cost
}

/// The tokens of shared segments that the server has not cached. The last segment
/// of a prompt is specific to the request and does not count.
fn uncached_tokens(record: &ServerRecord, prefixes: &[PromptPrefix]) -> u32 {
    let shared = prefixes.split_last().map_or(&[][..], |(_, shared)| shared);
    let is_cached = |prefix: &&PromptPrefix| record.cached_segments.contains_key(&prefix.id);
    let cached = shared.iter().take_while(is_cached).count();
    shared[cached..].iter().map(|prefix| prefix.tokens).sum()
}

/// Records that a server caches the segments of a prompt. Drops the least recently used
/// half of the records if there are more than [`CACHED_SEGMENTS_MAX`].
pub(crate) fn record_prompt(record: &mut ServerRecord, prompt: &[PromptSegment], now: Instant) {
    for prefix in prompt_prefixes(prompt) {
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
