//! An in-memory store, for tests and for hosts without a disk.

use super::{ItemStore, RecordKind, StoreError, StoreRecord};
use chicoryladder_types::JobId;
use std::collections::{BTreeMap, HashMap};

/// Keeps every record in memory.
#[derive(Debug, Default)]
pub struct MemoryStore {
    records: BTreeMap<JobId, HashMap<(u32, RecordKind), Vec<u8>>>,
}

impl ItemStore for MemoryStore {
    fn put(&mut self, job: JobId, records: &[StoreRecord<'_>]) -> Result<(), StoreError> {
        let stored = self.records.entry(job).or_default();
        for record in records {
            stored
                .entry((record.item, record.kind))
                .or_insert_with(|| record.bytes.to_vec());
        }
        Ok(())
    }

    fn get(&self, job: JobId, item: u32, kind: RecordKind) -> Result<Vec<u8>, StoreError> {
        let stored = self.records.get(&job);
        stored
            .and_then(|records| records.get(&(item, kind)))
            .cloned()
            .ok_or(StoreError::Missing { job, item })
    }

    fn remove(&mut self, job: JobId) -> Result<(), StoreError> {
        self.records.remove(&job);
        Ok(())
    }

    fn jobs(&self) -> Vec<JobId> {
        self.records.keys().copied().collect()
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Ok(())
    }
}
