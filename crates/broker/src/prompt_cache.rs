//! The prompt segments that a server is believed to hold in its memory.
//!
//! An engine shares its memory between the requests that run and the segments that it keeps
//! for later ones, and drops the least recently used segments first.

use crate::placement::PromptPrefix;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The most prefixes that are recorded for one server, for services whose memory is not
/// known, and against prompts of very many short segments.
const PREFIXES_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct HeldPrefix {
    tokens: u32,
    /// The number of the latest use.
    used: u64,
}

/// The believed contents of the prefix cache of one incarnation of a server, as a cache by
/// tokens with the least recently used prefix evicted first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCache {
    held: FxHashMap<u64, HeldPrefix>,
    /// The uses in order, with those that later uses of the same prefix supersede.
    uses: VecDeque<(u64, u64)>,
    next_use: u64,
    tokens: u64,
}

impl PromptCache {
    /// The tokens at the beginning of a prompt that are held. A prefix counts only if all
    /// shorter ones are held as well, and the last one is specific to the request.
    pub(crate) fn held_tokens(&self, prefixes: &[PromptPrefix]) -> u32 {
        let shared = prefixes.split_last().map_or(&[][..], |(_, shared)| shared);
        let held = shared
            .iter()
            .take_while(|prefix| self.held.contains_key(&prefix.id));
        held.map(|prefix| prefix.tokens)
            .fold(0, u32::saturating_add)
    }

    /// Records that the server reads the shared segments of a prompt. A shorter prefix counts
    /// as used after the longer ones, since these are of no use without it.
    pub(crate) fn record_use(&mut self, prefixes: &[PromptPrefix], tokens_max: u64) {
        let shared = prefixes.split_last().map_or(&[][..], |(_, shared)| shared);
        for prefix in shared.iter().rev() {
            let used = self.next_use;
            self.next_use += 1;
            let tokens = prefix.tokens;
            let earlier = self.held.insert(prefix.id, HeldPrefix { tokens, used });
            self.tokens -= earlier.map_or(0, |earlier| u64::from(earlier.tokens));
            self.tokens += u64::from(tokens);
            self.uses.push_back((used, prefix.id));
        }
        self.shrink(tokens_max);
    }

    /// Evicts the least recently used prefixes until at most `tokens_max` tokens are held.
    /// They stay evicted if there is more room later.
    pub(crate) fn shrink(&mut self, tokens_max: u64) {
        while self.tokens > tokens_max || self.held.len() > PREFIXES_MAX {
            let Some((used, id)) = self.uses.pop_front() else {
                break;
            };
            if self.is_latest(used, id)
                && let Some(evicted) = self.held.remove(&id)
            {
                self.tokens -= u64::from(evicted.tokens);
            }
        }
        if self.uses.len() > 2 * self.held.len() + 64 {
            let uses = std::mem::take(&mut self.uses);
            let latest = uses
                .into_iter()
                .filter(|(used, id)| self.is_latest(*used, *id));
            self.uses = latest.collect();
        }
    }

    fn is_latest(&self, used: u64, id: u64) -> bool {
        self.held.get(&id).is_some_and(|held| held.used == used)
    }
}
