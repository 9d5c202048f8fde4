//! Which server likely holds a prompt prefix in its cache.
//!
//! Engines tell of their caches late and with gaps, so an entry is only a
//! hint: a wrong one costs a cache miss and nothing else. Memory is bounded;
//! the oldest hints go first.

use super::ServerKey;
use std::collections::{HashMap, VecDeque};

/// Identifies the first blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

#[derive(Clone, Copy, Debug)]
struct PrefixHint {
    server: ServerKey,
    written: u64,
}

/// A bounded map from prompt prefixes to servers.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    hints: HashMap<PrefixHash, PrefixHint>,
    oldest: VecDeque<(PrefixHash, u64)>,
    capacity: usize,
    writes: u64,
}

impl PrefixHints {
    /// Hints for at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            hints: HashMap::new(),
            oldest: VecDeque::new(),
            capacity: capacity.max(1),
            writes: 0,
        }
    }

    /// Notes that the server has worked on the prefix.
    pub fn record(&mut self, prefix: PrefixHash, server: ServerKey) {
        self.writes += 1;
        let written = self.writes;
        self.hints.insert(prefix, PrefixHint { server, written });
        self.oldest.push_back((prefix, written));
        while self.hints.len() > self.capacity || self.oldest.len() > self.capacity * 2 {
            self.drop_oldest();
        }
    }

    /// Notes that the server has dropped the prefix.
    pub fn forget(&mut self, prefix: PrefixHash, server: ServerKey) {
        if self.find(prefix) == Some(server) {
            self.hints.remove(&prefix);
        }
    }

    /// The server that likely holds the prefix.
    #[must_use]
    pub fn find(&self, prefix: PrefixHash) -> Option<ServerKey> {
        self.hints.get(&prefix).map(|hint| hint.server)
    }

    /// The number of hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Whether there is no hint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some((prefix, written)) = self.oldest.pop_front() else {
            return;
        };
        let current = self.hints.get(&prefix).map(|hint| hint.written);
        if current == Some(written) {
            self.hints.remove(&prefix);
        }
    }
}
