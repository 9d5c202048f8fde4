//! The committed end of a log, as handed to observers.
//!
//! An observer asks and gets an answer; it never has to be known to the leader.
//! Any replica or observer can answer, so requests spread over the hosts of an
//! availability zone instead of all reaching the leader.

use crate::{CommandBytes, LogEntry, StateMachine};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

const TAIL_MAX_ENTRIES: usize = 1_024;
const ANSWER_MAX_BYTES: usize = 256 * 1024;

/// Asks for the committed entries after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// Told back with the answer.
    pub number: u64,
    /// The last entry that the observer has applied.
    pub after: LogIndex,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TailContent {
    /// The entries after the asked position; empty if there are none.
    Entries(Vec<LogEntry>),
    /// The whole state, as the asked position is too old.
    Snapshot {
        /// The last entry that the state covers.
        index: LogIndex,
        /// The snapshot of the state machine.
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

/// The last applied entries of a replica or an observer.
#[derive(Debug, Default)]
pub(crate) struct CommittedTail {
    applied: LogIndex,
    entries: VecDeque<LogEntry>,
    snapshot: Option<(LogIndex, CommandBytes)>,
}

impl CommittedTail {
    pub(crate) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Notes an applied entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        self.entries.push_back(entry);
        if self.entries.len() > TAIL_MAX_ENTRIES {
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
    ) -> TailAnswer {
        let content = match self.entries_after(request.after) {
            Some(entries) => TailContent::Entries(entries),
            None => self.whole_state(machine),
        };
        TailAnswer {
            number: request.number,
            position: self.applied,
            age,
            content,
        }
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
            bytes += entry.payload.weight();
            if bytes > ANSWER_MAX_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    fn whole_state(&mut self, machine: &dyn StateMachine) -> TailContent {
        let applied = self.applied;
        let cached = self.snapshot.take().filter(|(index, _)| *index == applied);
        let (index, data) = cached.unwrap_or_else(|| (applied, machine.snapshot().into()));
        self.snapshot = Some((index, data.clone()));
        TailContent::Snapshot { index, data }
    }
}
