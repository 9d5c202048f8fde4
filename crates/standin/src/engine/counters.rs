//! The event counters of an engine.

use std::sync::atomic::{AtomicU64, Ordering};

/// A snapshot of the counters of a stand-in engine, all since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Completion requests received.
    pub received: u64,
    /// Completion requests refused with the verdict `not-run`.
    pub refused: u64,
    /// Sequences that were given a slot.
    pub started: u64,
    /// Sequences whose last token was generated.
    pub completed: u64,
    /// Sequences cancelled by id or because their caller disconnected.
    pub cancelled: u64,
    /// Prompt tokens of the sequences that were given a slot.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
    /// Crashes triggered by the body of a request.
    pub crashes: u64,
}

#[derive(Debug, Default)]
pub(super) struct CounterSet {
    pub(super) received: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) started: AtomicU64,
    pub(super) completed: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) prompt_tokens: AtomicU64,
    pub(super) cached_tokens: AtomicU64,
    pub(super) output_tokens: AtomicU64,
    pub(super) crashes: AtomicU64,
}

impl CounterSet {
    pub(super) fn snapshot(&self) -> EngineCounters {
        EngineCounters {
            received: read(&self.received),
            refused: read(&self.refused),
            started: read(&self.started),
            completed: read(&self.completed),
            cancelled: read(&self.cancelled),
            prompt_tokens: read(&self.prompt_tokens),
            cached_tokens: read(&self.cached_tokens),
            output_tokens: read(&self.output_tokens),
            crashes: read(&self.crashes),
        }
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    add(counter, 1);
}

pub(super) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
