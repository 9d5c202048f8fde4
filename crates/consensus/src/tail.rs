//! The committed end of a log, as handed to observers.
//!
//! An observer asks and gets an answer; it never has to be known to the leader.
//! Any replica or observer can answer, so requests spread over the hosts of an
//! availability zone instead of all reaching the leader. A position that is too
//! old is answered by parts of a snapshot, which stays the same while it is read.

use crate::{CommandBytes, LogEntry, SnapshotError, StateMachine};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// The applied entries that are kept for observers, unless a group has none.
pub(crate) const TAIL_MAX_ENTRIES: usize = 1_024;

const ANSWER_MAX_BYTES: usize = 256 * 1024;

/// How much of a snapshot an observer has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPosition {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The bytes received so far.
    pub received: u64,
}

/// Asks for the committed entries after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// Told back with the answer.
    pub number: u64,
    /// The last entry that the observer has applied.
    pub after: LogIndex,
    /// The snapshot that is being received.
    pub partial: Option<SnapshotPosition>,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TailContent {
    /// The entries after the asked position; empty if there are none.
    Entries(Vec<LogEntry>),
    /// A part of the whole state, as the asked position is too old.
    Snapshot {
        /// The last entry that the state covers.
        index: LogIndex,
        /// The place of this part, in bytes.
        offset: u64,
        /// The size of the whole snapshot, in bytes.
        total: u64,
        /// The bytes of this part.
        data: CommandBytes,
    },
}

/// Answers a [`TailRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailAnswer {
    /// The number of the request.
    pub number: u64,
    /// The last entry that the answering host has applied.
    pub position: LogIndex,
    /// How old the answering host's view is at most; `None` if it is not fresh.
    pub age: Option<Duration>,
    /// The entries or the state.
    pub content: TailContent,
}

#[derive(Clone, Debug)]
struct CachedSnapshot {
    index: LogIndex,
    data: CommandBytes,
}

/// The last applied entries of a replica or an observer.
#[derive(Debug)]
pub(crate) struct CommittedTail {
    max_entries: usize,
    applied: LogIndex,
    entries: VecDeque<LogEntry>,
    snapshot: Option<CachedSnapshot>,
}

impl CommittedTail {
    pub(crate) fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            applied: LogIndex::default(),
            entries: VecDeque::new(),
            snapshot: None,
        }
    }

    pub(crate) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Notes an applied entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
    }

    /// Notes a restored state.
    pub(crate) fn reset(&mut self, index: LogIndex) {
        self.applied = index;
        self.entries.clear();
        self.snapshot = None;
    }

    pub(crate) fn answer(
        &mut self,
        request: &TailRequest,
        age: Option<Duration>,
        machine: &dyn StateMachine,
    ) -> Result<TailAnswer, SnapshotError> {
        let content = match self.entries_after(request.after) {
            Some(entries) => TailContent::Entries(entries),
            None => self.snapshot_part(request.partial, machine)?,
        };
        Ok(TailAnswer {
            number: request.number,
            position: self.applied,
            age,
            content,
        })
    }

    /// The entries after a position, or nothing if some of them are gone.
    fn entries_after(&self, after: LogIndex) -> Option<Vec<LogEntry>> {
        if after >= self.applied {
            return Some(Vec::new());
        }
        let first = self.entries.front()?.index;
        if after.next() < first {
            return None;
        }
        let skipped = usize::try_from(after.next().0 - first.0).ok()?;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            bytes += entry.payload.approximate_bytes();
            if bytes > ANSWER_MAX_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    fn snapshot_part(
        &mut self,
        partial: Option<SnapshotPosition>,
        machine: &dyn StateMachine,
    ) -> Result<TailContent, SnapshotError> {
        let CachedSnapshot { index, data } = self.usable_snapshot(machine)?;
        let received = partial.filter(|p| p.index == index).map(|p| p.received);
        let offset = received.unwrap_or_default();
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let end = start.saturating_add(ANSWER_MAX_BYTES).min(data.len());
        Ok(TailContent::Snapshot {
            index,
            offset,
            total: data.len() as u64,
            data: data.get(start..end).unwrap_or_default().into(),
        })
    }

    /// A snapshot from which the kept entries lead on.
    fn usable_snapshot(
        &mut self,
        machine: &dyn StateMachine,
    ) -> Result<CachedSnapshot, SnapshotError> {
        let cached = self.snapshot.take();
        let usable = cached.filter(|cached| self.entries_after(cached.index).is_some());
        let snapshot = match usable {
            Some(snapshot) => snapshot,
            None => CachedSnapshot {
                index: self.applied,
                data: machine.snapshot()?.into(),
            },
        };
        self.snapshot = Some(snapshot.clone());
        Ok(snapshot)
    }
}
