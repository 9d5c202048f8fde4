//! The commands that a start keeps in memory.

use super::{StorageRecord, StoredState, replay};
use crate::{EntryPayload, LogEntry, StoredCommand};
use chicoryladder_types::LogIndex;
use std::collections::VecDeque;

/// Replays the records of a log. Of the commands, it keeps the newest ones in memory up to a
/// size, and of the others only where they are stored.
#[derive(Debug)]
pub(super) struct LogLoader {
    pub(super) state: StoredState,
    /// The commands that are in memory, in the order of the log.
    loaded: VecDeque<(LogIndex, StoredCommand)>,
    loaded_bytes: usize,
    max_bytes: usize,
}

impl LogLoader {
    pub(super) fn new(state: StoredState, max_bytes: usize) -> Self {
        Self {
            state,
            loaded: VecDeque::new(),
            loaded_bytes: 0,
            max_bytes,
        }
    }

    /// Replays a record that is stored at `place`.
    pub(super) fn replay(&mut self, record: StorageRecord, place: StoredCommand) {
        let index = record.entry_index();
        match &record {
            StorageRecord::Append(LogEntry {
                payload: EntryPayload::Command(_),
                ..
            }) => {
                self.loaded.push_back((index, place));
                self.loaded_bytes += place.length;
            }
            StorageRecord::Truncate(from) => self.forget_from(*from),
            StorageRecord::Append(_) | StorageRecord::HardState(_) => {}
        }
        replay(&mut self.state, record);
        while self.loaded_bytes > self.max_bytes {
            self.unload_first();
        }
    }

    fn forget_from(&mut self, from: LogIndex) {
        self.loaded.retain(|(index, _)| *index < from);
        self.loaded_bytes = self.loaded.iter().map(|(_, place)| place.length).sum();
    }

    fn unload_first(&mut self) {
        let Some((index, place)) = self.loaded.pop_front() else {
            return;
        };
        self.loaded_bytes -= place.length;
        let entries = &mut self.state.entries;
        if let Ok(position) = entries.binary_search_by_key(&index, |entry| entry.index)
            && let Some(entry) = entries.get_mut(position)
        {
            entry.payload = EntryPayload::Stored(place);
        }
    }
}
