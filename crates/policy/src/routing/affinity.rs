//! Hints on which server has a prompt prefix in its cache.
//!
//! Engines report changes of their caches late and incompletely, so an entry is
//! only a hint; a wrong entry costs one cache miss. The number of hints is bounded,
//! and the oldest hints are evicted first.

use super::ServerKey;
use std::collections::{HashMap, VecDeque};

/// A hash of the first blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

#[derive(Clone, Copy, Debug)]
struct PrefixHint {
    server: ServerKey,
    sequence: u64,
}

/// A bounded map from prompt prefixes to servers.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    hints: HashMap<PrefixHash, PrefixHint>,
    insertion_order: VecDeque<(PrefixHash, u64)>,
    capacity: usize,
    last_sequence: u64,
}

impl PrefixHints {
    /// Creates an empty map for at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            hints: HashMap::new(),
            insertion_order: VecDeque::new(),
            capacity: capacity.max(1),
            last_sequence: 0,
        }
    }

    /// Records that the server has processed the prefix.
    pub fn record(&mut self, prefix: PrefixHash, server: ServerKey) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.hints.insert(prefix, PrefixHint { server, sequence });
        self.insertion_order.push_back((prefix, sequence));
        while self.hints.len() > self.capacity || self.insertion_order.len() > self.capacity * 2 {
            self.evict_oldest();
        }
    }

    /// Removes the hint if the server has evicted the prefix from its cache.
    pub fn remove(&mut self, prefix: PrefixHash, server: ServerKey) {
        if self.find(prefix) == Some(server) {
            self.hints.remove(&prefix);
        }
    }

    /// Returns the server that likely caches the prefix.
    #[must_use]
    pub fn find(&self, prefix: PrefixHash) -> Option<ServerKey> {
        self.hints.get(&prefix).map(|hint| hint.server)
    }

    /// Returns the number of hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Returns whether there are no hints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn evict_oldest(&mut self) {
        let Some((prefix, sequence)) = self.insertion_order.pop_front() else {
            return;
        };
        let current = self.hints.get(&prefix).map(|hint| hint.sequence);
        if current == Some(sequence) {
            self.hints.remove(&prefix);
        }
    }
}
