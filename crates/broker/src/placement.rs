//! Choosing among the servers that have room.
//!
//! An engine that is not full gives each token nearly as fast as an empty one, so
//! the prompt parts that it has read and its zone weigh more than its load.

use crate::ask::{PromptPart, SlotRequest};
use crate::directory::ServerRecord;
use std::time::{Duration, Instant};

/// The cost of a server in another zone; a round trip of each event and the bytes
/// between zones.
const OTHER_ZONE_COST: f64 = 6.0;

/// The cost of one prompt token that has to be read again.
const COLD_TOKEN_COST: f64 = 0.015;

/// The cost of a server without a free slot but one, against an empty one.
const LOAD_COST: f64 = 4.0;

/// The cost of a failure since the last success.
const FAILURE_COST: f64 = 20.0;

/// The cost of a server whose check-in is overdue.
const OVERDUE_COST: f64 = 40.0;

/// Prompt parts that are remembered of one server.
const WARM_PARTS_MAX: usize = 4_096;

/// What a server costs a request; the least one is chosen.
pub(crate) fn server_cost(
    record: &ServerRecord,
    running: u32,
    capacity: u32,
    ask: &SlotRequest,
    overdue_after: Duration,
    now: Instant,
) -> f64 {
    let mut cost = 0.0;
    if record.check_in.zone != ask.zone {
        cost += OTHER_ZONE_COST;
    }
    cost += f64::from(cold_tokens(record, &ask.prompt)) * COLD_TOKEN_COST;
    cost += f64::from(running) / f64::from(capacity.max(1)) * LOAD_COST;
    cost += f64::from(record.failures) * FAILURE_COST;
    if now.saturating_duration_since(record.checked_in_at) > overdue_after {
        cost += OVERDUE_COST;
    }
    cost
}

/// The tokens of shared parts that the server has not read; the last part of a
/// prompt belongs to the request alone.
fn cold_tokens(record: &ServerRecord, prompt: &[PromptPart]) -> u32 {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    let is_warm = |part: &&PromptPart| record.warm.contains_key(&part.id);
    let warm = shared.iter().take_while(is_warm).count();
    shared[warm..].iter().map(|part| part.tokens).sum()
}

/// Notes that a server reads a prompt.
pub(crate) fn note_prompt(record: &mut ServerRecord, prompt: &[PromptPart], now: Instant) {
    for part in prompt {
        record.warm.insert(part.id, now);
    }
    if record.warm.len() > WARM_PARTS_MAX {
        let mut used: Vec<Instant> = record.warm.values().copied().collect();
        let middle = used.len() / 2;
        let (_, cut, _) = used.select_nth_unstable(middle);
        let cut = *cut;
        record.warm.retain(|_, used_at| *used_at > cut);
    }
}
