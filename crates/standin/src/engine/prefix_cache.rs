//! A cache of prompt prefixes in limited memory.
//!
//! A prompt is cut into blocks; a block is known by the hash of its text and of
//! all blocks before it. The least recently used block is evicted first, and the
//! blocks of one prompt are marked from its end, so a prefix outlives what
//! follows it.

use super::completion::BYTES_PER_TOKEN;
use chicoryladder_types::CacheChange;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The prompt tokens in one block.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// The bytes of prompt text in one block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// A change of the cache, before it has a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BlockChange {
    pub(super) change: CacheChange,
    pub(super) block: u64,
}

/// What the cache knew of one prompt.
#[derive(Debug, Default)]
pub(super) struct CacheLookup {
    /// Leading blocks found.
    pub(super) hits: usize,
    /// Blocks stored and evicted by the lookup.
    pub(super) changes: Vec<BlockChange>,
}

/// The blocks in memory, ordered by their last use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Counts the leading blocks in memory, then stores all blocks that fit.
    pub(super) fn look_up(&mut self, blocks: &[u64]) -> CacheLookup {
        let known = |block: &&u64| self.last_use.contains_key(*block);
        let mut lookup = CacheLookup {
            hits: blocks.iter().take_while(known).count(),
            changes: Vec::new(),
        };
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for block in kept.iter().rev() {
            self.touch(*block, &mut lookup.changes);
        }
        lookup
    }

    fn touch(&mut self, block: u64, changes: &mut Vec<BlockChange>) {
        self.uses += 1;
        self.by_use.insert(self.uses, block);
        match self.last_use.insert(block, self.uses) {
            Some(previous) => {
                self.by_use.remove(&previous);
            }
            None => changes.push(BlockChange {
                change: CacheChange::Stored,
                block,
            }),
        }
        if self.last_use.len() <= self.capacity {
            return;
        }
        if let Some((_, evicted)) = self.by_use.pop_first() {
            self.last_use.remove(&evicted);
            changes.push(BlockChange {
                change: CacheChange::Evicted,
                block: evicted,
            });
        }
    }
}

/// The hashes of the whole blocks of a prompt.
pub(super) fn prompt_blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
