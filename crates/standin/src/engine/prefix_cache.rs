//! A cache of prompt prefixes with a limited number of blocks.
//!
//! A prompt is cut into blocks; a block is identified by the hash of its text and
//! of all blocks before it. The least recently used block is evicted first. The
//! blocks of a prompt are marked as used from the last to the first, so a prefix
//! stays in the cache longer than the blocks that follow it.

use super::completion::BYTES_PER_TOKEN;
use chicoryladder_types::CacheChange;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The prompt tokens in one block.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// The bytes of prompt text in one block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// A change of the cache, before it gets its event number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BlockChange {
    pub(super) change: CacheChange,
    pub(super) block: u64,
}

/// The result of looking up one prompt.
#[derive(Debug, Default)]
pub(super) struct CacheLookup {
    /// Leading blocks found in the cache.
    pub(super) hits: usize,
    /// Blocks stored and evicted by the lookup, in order.
    pub(super) changes: Vec<BlockChange>,
}

/// The cached blocks, ordered by their last use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    use_count: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Counts the leading blocks in the cache, then stores all blocks that fit.
    pub(super) fn look_up(&mut self, blocks: &[u64]) -> CacheLookup {
        let is_cached = |block: &&u64| self.last_use.contains_key(*block);
        let mut lookup = CacheLookup {
            hits: blocks.iter().take_while(is_cached).count(),
            changes: Vec::new(),
        };
        let retained = &blocks[..blocks.len().min(self.capacity)];
        for block in retained.iter().rev() {
            self.touch(*block, &mut lookup.changes);
        }
        lookup
    }

    fn touch(&mut self, block: u64, changes: &mut Vec<BlockChange>) {
        self.use_count += 1;
        self.by_use.insert(self.use_count, block);
        match self.last_use.insert(block, self.use_count) {
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

/// Returns the hashes of the complete blocks of a prompt.
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
