//! In-memory storage for tests. Its disk can discard unsynced changes and fail a sync.

use super::{
    LogStorage, StateWriter, StorageError, StorageRecord, StoredState, gap_in_parts, reconcile,
    replay,
};
use crate::{HardState, LogEntry, SnapshotHead, SnapshotPoint};
use chicoryladder_types::{LogIndex, TermNumber};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How all writes to a [`MemoryDisk`] fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// There is no room for them.
    Full,
    /// They cannot be made durable.
    SyncFails,
}

#[derive(Debug, Default)]
struct DiskContent {
    durable: StoredState,
    /// The serialized state of the snapshot.
    snapshot_data: Vec<u8>,
    /// The changes since the last successful sync.
    pending: Vec<StorageRecord>,
    /// Whether the next sync fails.
    fail_sync: bool,
    fault: Option<DiskFault>,
    /// Whether a sync failed. The storage then rejects changes until
    /// [`MemoryDisk::discard_unsynced`].
    failed: bool,
}

/// The simulated disk of a [`MemoryStorage`]. Clones share the content, so that a test can
/// restart a seat on the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    content: Arc<Mutex<DiskContent>>,
}

impl MemoryDisk {
    /// Simulates a power failure: discards every change that was not synced, and accepts
    /// changes again after a failed sync.
    pub fn discard_unsynced(&self) {
        let mut content = self.lock();
        content.pending.clear();
        content.failed = false;
    }

    /// Makes the next sync fail.
    pub fn fail_next_sync(&self) {
        self.lock().fail_sync = true;
    }

    /// Makes all writes fail from now on, or succeed again.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.lock().fault = fault;
    }

    fn check_fault(&self) -> Result<(), StorageError> {
        let full = io::Error::from(io::ErrorKind::StorageFull);
        match self.lock().fault {
            None => Ok(()),
            Some(DiskFault::Full) => Err(StorageError::DiskFull(full)),
            Some(DiskFault::SyncFails) => Err(StorageError::SyncFailed(full)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DiskContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Storage on a [`MemoryDisk`].
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    disk: MemoryDisk,
    /// The parts of a snapshot that is received.
    received: Vec<u8>,
}

impl MemoryStorage {
    /// Creates storage on the given disk.
    #[must_use]
    pub fn new(disk: MemoryDisk) -> Self {
        Self {
            disk,
            received: Vec::new(),
        }
    }

    /// Queues changes for the next sync; fails if an earlier sync failed.
    fn record(&self, records: impl IntoIterator<Item = StorageRecord>) -> Result<(), StorageError> {
        let mut content = self.disk.lock();
        if content.failed {
            return Err(StorageError::Stopped);
        }
        content.pending.extend(records);
        Ok(())
    }

    fn replace_snapshot(&mut self, head: SnapshotHead, data: Vec<u8>) -> Result<(), StorageError> {
        self.record([])?;
        self.disk.check_fault()?;
        let mut content = self.disk.lock();
        content.durable.snapshot = Some(head);
        content.snapshot_data = data;
        drop(content);
        self.sync()
    }
}

impl LogStorage for MemoryStorage {
    fn recover(&mut self) -> Result<(), StorageError> {
        self.disk.check_fault()?;
        self.disk.discard_unsynced();
        self.received.clear();
        Ok(())
    }

    fn load(&mut self) -> Result<StoredState, StorageError> {
        let mut content = self.disk.lock();
        reconcile(&mut content.durable);
        Ok(content.durable.clone())
    }

    fn set_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        self.record([StorageRecord::HardState(state)])
    }

    fn set_leadership(&mut self, term: TermNumber) -> Result<(), StorageError> {
        self.record([])?;
        self.disk.lock().durable.led_term = Some(term);
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        self.record(entries.iter().cloned().map(StorageRecord::Append))
    }

    fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StorageError> {
        self.record([StorageRecord::Truncate(from)])
    }

    fn save_snapshot(
        &mut self,
        point: &SnapshotPoint,
        write_state: &mut StateWriter<'_>,
    ) -> Result<SnapshotHead, StorageError> {
        self.record([])?;
        let mut data = Vec::new();
        write_state(&mut data)?;
        let head = SnapshotHead {
            point: point.clone(),
            size: data.len() as u64,
        };
        self.replace_snapshot(head.clone(), data)?;
        Ok(head)
    }

    fn write_snapshot_part(
        &mut self,
        _: &SnapshotHead,
        offset: u64,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.record([])?;
        self.disk.check_fault()?;
        if offset == 0 {
            self.received.clear();
        }
        if self.received.len() as u64 != offset {
            return Err(gap_in_parts(offset));
        }
        self.received.extend_from_slice(data);
        Ok(())
    }

    fn install_snapshot(&mut self, head: &SnapshotHead) -> Result<(), StorageError> {
        let data = std::mem::take(&mut self.received);
        if data.len() as u64 != head.size {
            return Err(gap_in_parts(data.len() as u64));
        }
        self.replace_snapshot(head.clone(), data)
    }

    fn read_snapshot(
        &self,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        let content = self.disk.lock();
        let stored = content.durable.snapshot.as_ref();
        if stored.is_none_or(|snapshot| snapshot.point.index != index) {
            return Ok(None);
        }
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let part = content.snapshot_data.get(start..);
        let part = part.and_then(|rest| rest.get(..length));
        let too_short = || StorageError::Corrupt {
            path: "memory".into(),
            offset,
            detail: "the snapshot is too short",
        };
        part.map(|part| Some(part.to_vec())).ok_or_else(too_short)
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        self.record([])?;
        self.disk.check_fault()?;
        let mut content = self.disk.lock();
        if std::mem::take(&mut content.fail_sync) {
            content.failed = true;
            return Err(StorageError::SyncFailed(io::Error::other("injected fault")));
        }
        for record in std::mem::take(&mut content.pending) {
            replay(&mut content.durable, record);
        }
        Ok(())
    }
}
