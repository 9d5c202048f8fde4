//! The committed tail of a log, as served to observers.
//!
//! Observers poll for entries; the leader does not track them. Any replica or observer
//! can reply, so that requests are distributed over the hosts of an
//! availability zone instead of all going to the leader. If the requested position is
//! no longer in the tail, the reply is a chunk of a snapshot, which does not change
//! while it is transferred.

use crate::{CommandBytes, LogEntry, SnapshotError, StateMachine, snapshot_bytes};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// The default number of applied entries kept for observers.
pub(crate) const TAIL_MAX_ENTRIES: usize = 1_024;

/// The size of the applied entries kept for observers, in bytes. One that needs older entries
/// receives a snapshot.
const TAIL_MAX_BYTES: usize = 8 * 1024 * 1024;

const ANSWER_MAX_BYTES: usize = 256 * 1024;

/// How much of a snapshot an observer has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPosition {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The number of bytes received so far.
    pub received: u64,
}

/// A request for the committed entries after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// The number of the request, echoed in the reply.
    pub number: u64,
    /// The last entry that the observer has applied.
    pub after: LogIndex,
    /// The snapshot that the observer is receiving.
    pub partial: Option<SnapshotPosition>,
}

/// The content of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TailContent {
    /// The entries after the requested position; empty if there are none.
    Entries(Vec<LogEntry>),
    /// A snapshot chunk, since the entries after the requested position are no longer
    /// available.
    Snapshot {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The offset of this chunk, in bytes.
        offset: u64,
        /// The size of the complete snapshot, in bytes.
        total: u64,
        /// The bytes of this chunk.
        data: CommandBytes,
    },
}

/// The reply to a [`TailRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailAnswer {
    /// The number of the request.
    pub number: u64,
    /// The last entry that the replying host has applied.
    pub position: LogIndex,
    /// The maximum age of the replying host's state; `None` if the age is unknown.
    pub age: Option<Duration>,
    /// The entries or a snapshot chunk.
    pub content: TailContent,
}

#[derive(Clone, Debug)]
struct CachedSnapshot {
    index: LogIndex,
    data: CommandBytes,
}

/// The most recently applied entries of a replica or an observer.
#[derive(Debug)]
pub(crate) struct CommittedTail {
    max_entries: usize,
    applied: LogIndex,
    entries: VecDeque<LogEntry>,
    /// The approximate size of the entries, in bytes.
    bytes: usize,
    snapshot: Option<CachedSnapshot>,
}

impl CommittedTail {
    pub(crate) fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            applied: LogIndex::default(),
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: None,
        }
    }

    pub(crate) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Records an applied entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        self.bytes += entry.payload.approximate_bytes();
        self.entries.push_back(entry);
        while self.entries.len() > self.max_entries || self.bytes > TAIL_MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.payload.approximate_bytes();
        }
        // Observers that restore an older snapshot would need entries that are gone.
        let first = self.entries.front().map(|entry| entry.index);
        let first = first.unwrap_or(self.applied.next());
        let is_usable = |cached: &CachedSnapshot| cached.index.next() >= first;
        self.snapshot = self.snapshot.take().filter(is_usable);
    }

    /// Restarts the tail after a snapshot up to `index` was restored.
    pub(crate) fn reset(&mut self, index: LogIndex) {
        self.applied = index;
        self.entries.clear();
        self.bytes = 0;
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
            None => self.snapshot_chunk(request.partial, machine)?,
        };
        Ok(TailAnswer {
            number: request.number,
            position: self.applied,
            age,
            content,
        })
    }

    /// The entries after a position, limited to one reply; `None` if some of them are no
    /// longer available.
    fn entries_after(&self, after: LogIndex) -> Option<Vec<LogEntry>> {
        if after >= self.applied {
            return Some(Vec::new());
        }
        let first = self.entries.front()?.index;
        if after.next() < first {
            return None;
        }
        let skip_count = usize::try_from(after.next().0 - first.0).ok()?;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skip_count) {
            bytes += entry.payload.approximate_bytes();
            if bytes > ANSWER_MAX_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    fn snapshot_chunk(
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

    /// Returns the cached snapshot if the entry after it is still in the tail, else takes a
    /// new one.
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
                data: snapshot_bytes(machine)?.into(),
            },
        };
        self.snapshot = Some(snapshot.clone());
        Ok(snapshot)
    }
}
