//! Tracks which batches are durable and defers the messages that depend on them.

use super::action::{BatchNumber, PersistBatch, PersistStep};
use crate::{LogEntry, SeatEnvelope};
use chicoryladder_types::LogIndex;
use std::collections::VecDeque;

#[derive(Debug)]
struct PendingBatch {
    number: BatchNumber,
    last_index: LogIndex,
    deferred: Vec<SeatEnvelope>,
}

/// Ensures that a change is durable before a message that depends on it is sent.
#[derive(Debug)]
pub(super) struct DurabilityQueue {
    staged: Vec<PersistStep>,
    deferred: Vec<SeatEnvelope>,
    ready: Vec<SeatEnvelope>,
    pending: VecDeque<PendingBatch>,
    last_number: BatchNumber,
    durable_index: LogIndex,
}

impl DurabilityQueue {
    pub(super) fn new(durable_index: LogIndex) -> Self {
        Self {
            staged: Vec::new(),
            deferred: Vec::new(),
            ready: Vec::new(),
            pending: VecDeque::new(),
            last_number: BatchNumber::default(),
            durable_index,
        }
    }

    /// The last entry that is durable and was not truncated since.
    pub(super) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    pub(super) fn stage(&mut self, step: PersistStep) {
        self.staged.push(step);
    }

    pub(super) fn stage_entry(&mut self, entry: LogEntry) {
        match self.staged.last_mut() {
            Some(PersistStep::Append(entries)) => entries.push(entry),
            _ => self.staged.push(PersistStep::Append(vec![entry])),
        }
    }

    /// Stages a truncation; entries from `from` on no longer count as durable.
    pub(super) fn truncate_from(&mut self, from: LogIndex) {
        let last = LogIndex(from.0.saturating_sub(1));
        self.durable_index = self.durable_index.min(last);
        for batch in &mut self.pending {
            batch.last_index = batch.last_index.min(last);
        }
        self.staged.push(PersistStep::Truncate(from));
    }

    pub(super) fn send_now(&mut self, envelope: SeatEnvelope) {
        self.ready.push(envelope);
    }

    pub(super) fn send_after_sync(&mut self, envelope: SeatEnvelope) {
        self.deferred.push(envelope);
    }

    /// Returns the staged steps as one batch, if there are any. Deferred messages are
    /// released with the last batch that is not durable yet.
    pub(super) fn seal(&mut self, last_index: LogIndex) -> Option<PersistBatch> {
        let steps = std::mem::take(&mut self.staged);
        let deferred = std::mem::take(&mut self.deferred);
        if steps.is_empty() {
            match self.pending.back_mut() {
                Some(batch) => batch.deferred.extend(deferred),
                None => self.ready.extend(deferred),
            }
            return None;
        }
        self.last_number = BatchNumber(self.last_number.0 + 1);
        let number = self.last_number;
        self.pending.push_back(PendingBatch {
            number,
            last_index,
            deferred,
        });
        Some(PersistBatch { number, steps })
    }

    /// Marks the batches up to `number` as durable and releases their messages.
    pub(super) fn persisted(&mut self, number: BatchNumber) {
        while self.pending.front().is_some_and(|b| b.number <= number) {
            if let Some(batch) = self.pending.pop_front() {
                self.durable_index = batch.last_index;
                self.ready.extend(batch.deferred);
            }
        }
    }

    pub(super) fn take_ready(&mut self) -> Vec<SeatEnvelope> {
        std::mem::take(&mut self.ready)
    }
}
