//! Storage implementations with injected faults.

use chicoryladder_consensus::{
    HardState, LogEntry, LogStorage, MemoryStorage, SnapshotHead, SnapshotPoint, StateWriter,
    StorageError, StoredState,
};
use chicoryladder_types::{LogIndex, TermNumber};
use std::io;

/// Storage that reports each sync as successful without syncing.
pub(crate) struct SyncSkippingStorage {
    inner: MemoryStorage,
}

impl SyncSkippingStorage {
    pub(crate) fn new(inner: MemoryStorage) -> Self {
        Self { inner }
    }
}

impl LogStorage for SyncSkippingStorage {
    fn recover(&mut self) -> Result<(), StorageError> {
        self.inner.recover()
    }

    fn load(&mut self) -> Result<StoredState, StorageError> {
        self.inner.load()
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        self.inner.set_hard_state(state)
    }

    fn set_leadership(&mut self, term: TermNumber) -> Result<(), StorageError> {
        self.inner.set_leadership(term)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        self.inner.append(entries)
    }

    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError> {
        self.inner.truncate_suffix(from)
    }

    fn save_snapshot(
        &mut self,
        point: &SnapshotPoint,
        _: &mut StateWriter<'_>,
    ) -> Result<SnapshotHead, StorageError> {
        let point = point.clone();
        Ok(SnapshotHead { point, size: 0 })
    }

    fn write_snapshot_part(
        &mut self,
        _: &SnapshotHead,
        _: u64,
        _: &[u8],
    ) -> Result<(), StorageError> {
        Ok(())
    }

    fn install_snapshot(&mut self, _: &SnapshotHead) -> Result<(), StorageError> {
        Ok(())
    }

    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.inner.read_snapshot(index, offset, length)
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        Ok(())
    }
}

/// Storage on a disk that is full after a number of syncs.
pub(crate) struct FullDiskStorage {
    pub(crate) inner: MemoryStorage,
    pub(crate) syncs_left: u32,
}

impl LogStorage for FullDiskStorage {
    fn recover(&mut self) -> Result<(), StorageError> {
        self.inner.recover()
    }

    fn load(&mut self) -> Result<StoredState, StorageError> {
        self.inner.load()
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        self.inner.set_hard_state(state)
    }

    fn set_leadership(&mut self, term: TermNumber) -> Result<(), StorageError> {
        self.inner.set_leadership(term)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        self.inner.append(entries)
    }

    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError> {
        self.inner.truncate_suffix(from)
    }

    fn save_snapshot(
        &mut self,
        point: &SnapshotPoint,
        write_state: &mut StateWriter<'_>,
    ) -> Result<SnapshotHead, StorageError> {
        self.inner.save_snapshot(point, write_state)
    }

    fn write_snapshot_part(
        &mut self,
        head: &SnapshotHead,
        offset: u64,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.inner.write_snapshot_part(head, offset, data)
    }

    fn install_snapshot(&mut self, head: &SnapshotHead) -> Result<(), StorageError> {
        self.inner.install_snapshot(head)
    }

    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.inner.read_snapshot(index, offset, length)
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        if self.syncs_left == 0 {
            return Err(StorageError::DiskFull(io::ErrorKind::StorageFull.into()));
        }
        self.syncs_left -= 1;
        self.inner.sync()
    }
}
