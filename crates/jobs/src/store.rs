//! Storage of item requests and results.
//!
//! The replicated log and its snapshots are the authority on what was accepted; a
//! store only holds the contents, which are not part of the state of the job
//! machine. Writing a record that already exists has no effect, so a replica that
//! replays its log after a restart keeps the records written before the restart and
//! adds those that are missing.

mod file;
mod memory;

pub use file::FileStore;
pub use memory::MemoryStore;

use chicoryladder_types::JobId;
use serde::{Deserialize, Serialize};
use std::io;

/// The kind of an item's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordKind {
    /// The request.
    Request,
    /// The result.
    Result,
}

/// A record to store.
#[derive(Clone, Copy, Debug)]
pub struct StoreRecord<'a> {
    /// The index of the item in its job.
    pub item: u32,
    /// The kind of the record.
    pub kind: RecordKind,
    /// The content.
    pub bytes: &'a [u8],
}

/// An error in writing or reading records.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file system operation failed.
    #[error("batch storage: {0}")]
    Io(#[from] io::Error),
    /// The record does not exist.
    #[error("batch storage: no record of item {item} of job {job}")]
    Missing {
        /// The job.
        job: JobId,
        /// The index of the item in its job.
        item: u32,
    },
    /// The content does not match its checksum.
    #[error("batch storage: the record of item {item} of job {job} is corrupt")]
    Corrupt {
        /// The job.
        job: JobId,
        /// The index of the item in its job.
        item: u32,
    },
    /// The record is larger than 4 GiB.
    #[error("batch storage: a record of {bytes} bytes is too large")]
    TooLarge {
        /// The size of the record, in bytes.
        bytes: usize,
    },
}

/// Stores the requests and results of items.
pub trait ItemStore: Send {
    /// Writes records of one job; existing records are kept.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails. Some of the records may have been written.
    fn put(&mut self, job: JobId, records: &[StoreRecord<'_>]) -> Result<(), StoreError>;

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Fails if the record is missing or corrupt, or if the storage fails.
    fn get(&self, job: JobId, item: u32, kind: RecordKind) -> Result<Vec<u8>, StoreError>;

    /// Removes every record of a job.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails.
    fn remove(&mut self, job: JobId) -> Result<(), StoreError>;

    /// The jobs that have records.
    fn jobs(&self) -> Vec<JobId>;

    /// Makes every written record durable.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails.
    fn sync(&mut self) -> Result<(), StoreError>;
}
