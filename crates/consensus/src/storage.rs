//! Where a seat keeps what must survive a restart.
//!
//! Changes are appended in order and become durable together with the next
//! successful [`LogStorage::sync`]; one sync covers every change before it, which
//! is what makes group commit cheap. After a failed sync nothing is known about
//! the changes since the last good one, so the seat must stop.

mod file;
mod frame;
mod memory;

pub use file::FileStorage;
pub use memory::{MemoryDisk, MemoryStorage};

use crate::{HardState, LogEntry, SnapshotRecord};
use chicoryladder_types::LogIndex;
use std::io;
use std::path::PathBuf;

/// Why storage failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk is full.
    #[error("the disk is full: {0}")]
    DiskFull(#[source] io::Error),
    /// Changes could not be made durable.
    #[error("the sync of the log failed: {0}")]
    SyncFailed(#[source] io::Error),
    /// A file could not be read or written.
    #[error("input or output failed on {}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is damaged before its end.
    #[error("{} is damaged at byte {offset}: {detail}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// The place of the damage, in bytes.
        offset: u64,
        /// What is wrong.
        detail: &'static str,
    },
    /// The storage failed before and takes no more changes.
    #[error("the storage failed before")]
    Stopped,
}

/// Everything found on disk at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// The durable state of one seat.
pub trait LogStorage: Send {
    /// Reads everything back; called once, before any change.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is damaged before its end.
    fn load(&mut self) -> Result<StoredState, StorageError>;

    /// Records the term and the vote.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed before.
    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError>;

    /// Appends entries that follow the last one.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed before.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError>;

    /// Drops every entry from `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed before.
    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError>;

    /// Stores a snapshot durably and drops the entries that it covers.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be made durable.
    fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), StorageError>;

    /// Reads `length` bytes of the stored snapshot up to entry `index`; `None` if
    /// another one is stored.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be read or is shorter.
    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError>;

    /// Makes every earlier change durable.
    ///
    /// # Errors
    ///
    /// Fails if the changes may not be durable; the storage then takes no more.
    fn sync(&mut self) -> Result<(), StorageError>;
}

/// One change, as recorded in a log file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
enum StorageRecord {
    HardState(HardState),
    Append(LogEntry),
    Truncate(LogIndex),
}

/// Replays one change.
fn replay(state: &mut StoredState, record: StorageRecord) {
    match record {
        StorageRecord::HardState(hard_state) => state.hard_state = hard_state,
        StorageRecord::Append(entry) => state.entries.push(entry),
        StorageRecord::Truncate(from) => state.entries.retain(|entry| entry.index < from),
    }
}

/// Drops entries that the snapshot covers or contradicts.
///
/// Returns whether the entries that are left follow the snapshot without a gap.
fn reconcile(state: &mut StoredState) -> bool {
    let (index, term) = match &state.snapshot {
        Some(snapshot) => (snapshot.index, snapshot.term),
        None => Default::default(),
    };
    let contradicted = state
        .entries
        .iter()
        .any(|entry| entry.index == index && entry.term != term);
    if contradicted {
        state.entries.clear();
    }
    state.entries.retain(|entry| entry.index > index);
    let expected = (index.0 + 1..).map(LogIndex);
    state
        .entries
        .iter()
        .zip(expected)
        .all(|(entry, expected)| entry.index == expected)
}
