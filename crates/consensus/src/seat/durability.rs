//! Which batches are durable, and which messages wait for them.

use super::action::{BatchNumber, PersistBatch, PersistStep};
use crate::{LogEntry, SeatEnvelope};
use chicoryladder_types::LogIndex;
use std::collections::VecDeque;

#[derive(Debug)]
struct PendingBatch {
    number: BatchNumber,
    last_index: LogIndex,
    held: Vec<SeatEnvelope>,
}

/// Orders storing before sending.
#[derive(Debug)]
pub(super) struct DurabilityQueue {
    staged: Vec<PersistStep>,
    held: Vec<SeatEnvelope>,
    ready: Vec<SeatEnvelope>,
    pending: VecDeque<PendingBatch>,
    last_number: BatchNumber,
    durable_index: LogIndex,
}

impl DurabilityQueue {
    pub(super) fn new(durable_index: LogIndex) -> Self {
        Self {
            staged: Vec::new(),
            held: Vec::new(),
            ready: Vec::new(),
            pending: VecDeque::new(),
            last_number: BatchNumber::default(),
            durable_index,
        }
    }

    /// The last entry that is durable and still part of the log.
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

    /// Stages a truncation; what was durable behind it no longer counts.
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
        self.held.push(envelope);
    }

    /// Closes the staged steps as one batch.
    pub(super) fn seal(&mut self, last_index: LogIndex) -> Option<PersistBatch> {
        let steps = std::mem::take(&mut self.staged);
        let held = std::mem::take(&mut self.held);
        if steps.is_empty() {
            match self.pending.back_mut() {
                Some(batch) => batch.held.extend(held),
                None => self.ready.extend(held),
            }
            return None;
        }
        self.last_number = BatchNumber(self.last_number.0 + 1);
        let number = self.last_number;
        self.pending.push_back(PendingBatch {
            number,
            last_index,
            held,
        });
        Some(PersistBatch { number, steps })
    }

    /// Notes that batches up to `number` are durable.
    pub(super) fn persisted(&mut self, number: BatchNumber) {
        while self.pending.front().is_some_and(|b| b.number <= number) {
            if let Some(batch) = self.pending.pop_front() {
                self.durable_index = batch.last_index;
                self.ready.extend(batch.held);
            }
        }
    }

    pub(super) fn take_ready(&mut self) -> Vec<SeatEnvelope> {
        std::mem::take(&mut self.ready)
    }
}
