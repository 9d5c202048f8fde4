//! The in-memory part of a seat's log.

use crate::{EntryPayload, LogEntry};
use chicoryladder_types::{LogIndex, TermNumber};
use std::collections::VecDeque;

/// Contiguous entries after a base position; earlier entries are compacted.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLog {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    /// The approximate size of the entries in memory, in bytes.
    bytes: usize,
}

impl EntryLog {
    pub(crate) fn new(base_index: LogIndex, base_term: TermNumber, entries: Vec<LogEntry>) -> Self {
        let bytes = entries
            .iter()
            .map(|entry| entry.payload.memory_bytes())
            .sum();
        Self {
            base_index,
            base_term,
            entries: entries.into(),
            bytes,
        }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of an entry, unless the entry is compacted or beyond the log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += entry.payload.memory_bytes();
        self.entries.push_back(entry);
    }

    /// Removes every entry from `from` on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        let kept = from.0.saturating_sub(self.base_index.0 + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        let dropped = self.entries.iter().skip(kept);
        self.bytes -= dropped
            .map(|entry| entry.payload.memory_bytes())
            .sum::<usize>();
        self.entries.truncate(kept);
    }

    /// Removes every entry up to and including `index`, which becomes the base.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.payload.memory_bytes();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Removes the entries up to the last one, at most up to `index`, whose command is in
    /// storage only.
    pub(crate) fn drop_stored(&mut self, index: LogIndex) {
        let is_stored = |entry: &&LogEntry| {
            entry.index <= index && matches!(entry.payload, EntryPayload::Stored(_))
        };
        if let Some(last) = self.entries.iter().rfind(is_stored) {
            self.compact_to(last.index);
        }
    }

    /// Removes the oldest entries, at most up to `index`, until the rest take no more
    /// than `max_bytes`.
    pub(crate) fn trim(&mut self, index: LogIndex, max_bytes: usize) {
        while self.bytes > max_bytes && self.base_index < index {
            self.compact_to(self.base_index.next());
        }
    }

    /// Clones the entries from `from` to `to`, limited to `max_bytes` but at least one.
    pub(crate) fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while index <= to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.payload.approximate_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }
}
