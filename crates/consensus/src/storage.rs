//! The durable state of a seat: log, hard state and snapshots.
//!
//! Changes are appended in order and become durable with the next successful
//! [`LogStorage::sync`]. One sync covers every change before it (group commit). After a
//! failed sync it is unknown which changes since the last successful one are durable:
//! the seat must stop, and start again from what [`LogStorage::recover`] leaves.

mod file;
mod folder;
mod frame;
mod loaded;
mod memory;

pub use file::FileStorage;
pub use folder::StorageFolder;
pub use memory::{DiskFault, MemoryDisk, MemoryStorage};

use crate::{EntryPayload, HardState, LogEntry, SnapshotError, SnapshotHead, SnapshotPoint};
use chicoryladder_types::{LogIndex, TermNumber};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// An error of the storage.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk is full.
    #[error("the disk is full: {0}")]
    DiskFull(#[source] io::Error),
    /// Changes could not be made durable.
    #[error("cannot sync the log: {0}")]
    SyncFailed(#[source] io::Error),
    /// A file could not be read or written.
    #[error("I/O error on {}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is corrupt before its end; a torn write at the end is not an error.
    #[error("{} is corrupt at byte {offset}: {detail}", path.display())]
    Corrupt {
        /// The corrupt file or its directory.
        path: PathBuf,
        /// The offset of the corruption, in bytes.
        offset: u64,
        /// The kind of corruption.
        detail: &'static str,
    },
    /// The state machine could not write its state.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The storage failed earlier and rejects further changes.
    #[error("the storage stopped after an earlier failure")]
    Stopped,
}

/// The state loaded from storage at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotHead>,
    /// The contiguous entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// The last term that the seat led; older builds did not store it.
    pub led_term: Option<TermNumber>,
}

/// The durable storage of one seat.
pub trait LogStorage: Send {
    /// Accepts changes again after a failure. Those since the last successful sync are discarded,
    /// also if they can be read back: they need not be durable, and another sync would not tell.
    /// The state has to be loaded again.
    ///
    /// # Errors
    ///
    /// Fails if the changes cannot be discarded durably; the storage then stays as it is.
    fn recover(&mut self) -> Result<(), StorageError>;

    /// Loads the stored state, before any change, and after [`LogStorage::recover`].
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is corrupt before its end.
    fn load(&mut self) -> Result<StoredState, StorageError>;

    /// Loads the command of an entry that [`LogStorage::load`] left in storage. Does nothing
    /// for other entries.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be read or is corrupt.
    fn load_command(&self, entry: &mut LogEntry) -> Result<(), StorageError> {
        debug_assert!(!matches!(entry.payload, EntryPayload::Stored(_)));
        Ok(())
    }

    /// Stores the term and the vote.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed earlier.
    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError>;

    /// Stores durably that the seat leads a term. The log does not depend on it.
    ///
    /// # Errors
    ///
    /// Fails if that cannot be stored, which does not stop the storage, or if the storage failed
    /// earlier.
    fn set_leadership(&mut self, term: TermNumber) -> Result<(), StorageError>;

    /// Appends entries that follow the last one.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed earlier.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError>;

    /// Removes every entry from `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the storage failed earlier.
    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError>;

    /// Stores a snapshot durably and removes the entries that it covers. `write_state` writes the
    /// serialized state.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be written or the snapshot cannot be made durable.
    fn save_snapshot(
        &mut self,
        point: &SnapshotPoint,
        write_state: &mut StateWriter<'_>,
    ) -> Result<SnapshotHead, StorageError>;

    /// Stores a part of a snapshot that is received, not durably. The part at offset 0 begins a
    /// new one; each other part follows the one before.
    ///
    /// # Errors
    ///
    /// Fails if the part cannot be written or does not follow.
    fn write_snapshot_part(
        &mut self,
        head: &SnapshotHead,
        offset: u64,
        data: &[u8],
    ) -> Result<(), StorageError>;

    /// Stores the snapshot whose parts were written durably, and removes the entries that it
    /// covers.
    ///
    /// # Errors
    ///
    /// Fails if parts are missing or the snapshot cannot be made durable.
    fn install_snapshot(&mut self, head: &SnapshotHead) -> Result<(), StorageError>;

    /// Reads `length` bytes at `offset` of the stored snapshot that covers the log up to
    /// `index`; `None` if a different snapshot is stored.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be read or is too short.
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
    /// Fails if the changes may not be durable; the storage then rejects further changes.
    fn sync(&mut self) -> Result<(), StorageError>;
}

/// Writes the serialized state of a snapshot.
pub type StateWriter<'a> = dyn FnMut(&mut dyn Write) -> Result<(), SnapshotError> + 'a;

/// Reads the serialized state of a stored snapshot.
pub struct SnapshotReader<'a> {
    storage: &'a dyn LogStorage,
    index: LogIndex,
    left: u64,
    offset: u64,
}

impl<'a> SnapshotReader<'a> {
    /// Reads a snapshot of the storage from its beginning.
    pub fn new(storage: &'a dyn LogStorage, head: &SnapshotHead) -> Self {
        Self {
            storage,
            index: head.point.index,
            left: head.size,
            offset: 0,
        }
    }
}

impl Read for SnapshotReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = usize::try_from(self.left).unwrap_or(usize::MAX);
        let length = buffer.len().min(left);
        if length == 0 {
            return Ok(0);
        }
        let part = self.storage.read_snapshot(self.index, self.offset, length);
        let part = part.map_err(io::Error::other)?;
        let part = part.ok_or(io::ErrorKind::NotFound)?;
        if let Some(read) = buffer.get_mut(..length) {
            read.copy_from_slice(&part);
        }
        self.offset += length as u64;
        self.left -= length as u64;
        Ok(length)
    }
}

/// One change, as recorded in a log file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
enum StorageRecord {
    HardState(HardState),
    Append(LogEntry),
    Truncate(LogIndex),
}

impl StorageRecord {
    /// The approximate encoded size, in bytes.
    fn approximate_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        match self {
            Self::Append(entry) => entry.payload.approximate_bytes(),
            Self::HardState(_) | Self::Truncate(_) => FIXED_BYTES,
        }
    }

    /// The index of the appended entry; the default for other records.
    fn entry_index(&self) -> LogIndex {
        match self {
            Self::Append(entry) => entry.index,
            Self::HardState(_) | Self::Truncate(_) => LogIndex::default(),
        }
    }
}

/// Replays one change.
fn replay(state: &mut StoredState, record: StorageRecord) {
    match record {
        StorageRecord::HardState(hard_state) => state.hard_state = hard_state,
        StorageRecord::Append(entry) => state.entries.push(entry),
        StorageRecord::Truncate(from) => state.entries.retain(|entry| entry.index < from),
    }
}

/// The error for a part of a snapshot that does not follow the one before.
fn gap_in_parts(offset: u64) -> StorageError {
    StorageError::Corrupt {
        path: PathBuf::from("the received snapshot"),
        offset,
        detail: "a part is missing",
    }
}

/// Removes entries that the snapshot covers. If the snapshot conflicts with the log,
/// removes all entries.
///
/// Returns whether the remaining entries follow the snapshot without a gap.
fn reconcile(state: &mut StoredState) -> bool {
    let (index, term) = match &state.snapshot {
        Some(snapshot) => (snapshot.point.index, snapshot.point.term),
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
