//! Snapshots of the state together with the records of the store.
//!
//! A snapshot is self-contained: a replica with an empty store can be restored
//! from it, so the store does not have to be durable before the log is truncated.

use super::{JobMachine, MachineError, MachineState, encode};
use crate::{BodyBytes, RecordKind, StoreError, StoreRecord};
use chicoryladder_types::JobId;
use serde::{Deserialize, Serialize};

/// What a record of a snapshot holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SnapshotKind {
    /// The request of an item, for the store.
    Request,
    /// The result of an item, for the store.
    Result,
    /// The time until which an item pauses, as an encoded [`UnixMillis`].
    Pause,
}

impl From<RecordKind> for SnapshotKind {
    fn from(kind: RecordKind) -> Self {
        match kind {
            RecordKind::Request => Self::Request,
            RecordKind::Result => Self::Result,
        }
    }
}

#[derive(Serialize, Deserialize)]
struct SnapshotRecord {
    job: JobId,
    item: u32,
    kind: SnapshotKind,
    bytes: BodyBytes,
}

impl JobMachine {
    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Fails if a record of the store cannot be read.
    pub fn snapshot(&self) -> Result<Vec<u8>, MachineError> {
        let mut snapshot = encode(&self.state);
        for job in self.known_jobs() {
            for (item, kind) in self.known_records(job) {
                let bytes = BodyBytes(self.store.get(job, item, kind)?);
                let record = SnapshotRecord {
                    job,
                    item,
                    kind: kind.into(),
                    bytes,
                };
                snapshot.extend_from_slice(&encode(&record));
            }
        }
        for (job, record) in &self.state.jobs {
            for (item, until) in record.pauses() {
                let record = SnapshotRecord {
                    job: *job,
                    item,
                    kind: SnapshotKind::Pause,
                    bytes: BodyBytes(encode(&until)),
                };
                snapshot.extend_from_slice(&encode(&record));
            }
        }
        Ok(snapshot)
    }

    /// Replaces the state with that of a snapshot and adds the records of the
    /// snapshot to the store.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded, which leaves the state unchanged, or
    /// if the store fails.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError> {
        let (mut state, mut rest): (MachineState, &[u8]) = postcard::take_from_bytes(snapshot)?;
        while !rest.is_empty() {
            let (record, after): (SnapshotRecord, &[u8]) = postcard::take_from_bytes(rest)?;
            rest = after;
            let kind = match record.kind {
                SnapshotKind::Request => RecordKind::Request,
                SnapshotKind::Result => RecordKind::Result,
                SnapshotKind::Pause => {
                    let until = postcard::from_bytes(record.bytes.as_slice())?;
                    if let Some(job) = state.jobs.get_mut(&record.job) {
                        job.restore_pause(record.item, until);
                    }
                    continue;
                }
            };
            let stored = StoreRecord {
                item: record.item,
                kind,
                bytes: record.bytes.as_slice(),
            };
            self.store.put(record.job, &[stored])?;
        }
        self.state = state;
        self.failure = None;
        self.remove_unreferenced_records()?;
        Ok(())
    }

    /// Removes the records of jobs that are not part of the state.
    fn remove_unreferenced_records(&mut self) -> Result<(), StoreError> {
        let state = &self.state;
        let known = |job: &JobId| state.jobs.contains_key(job) || state.uploads.contains_key(job);
        let stored = self.store.jobs();
        let unreferenced: Vec<JobId> = stored.into_iter().filter(|job| !known(job)).collect();
        for job in unreferenced {
            self.store.remove(job)?;
        }
        Ok(())
    }

    fn known_jobs(&self) -> impl Iterator<Item = JobId> {
        let uploads = self.state.uploads.keys();
        self.state.jobs.keys().chain(uploads).copied()
    }

    fn known_records(&self, job: JobId) -> Vec<(u32, RecordKind)> {
        let accepted = self.state.jobs.get(&job);
        let upload = self.state.uploads.get(&job);
        let total = accepted.map(|accepted| accepted.counts().total());
        let total = total.or(upload.map(super::submit::JobUpload::next_item));
        let requests = (0..total.unwrap_or_default()).map(|item| (item, RecordKind::Request));
        let ended = accepted
            .map(crate::job::BatchJob::ended)
            .unwrap_or_default();
        let results = ended.iter().map(|item| (*item, RecordKind::Result));
        requests.chain(results).collect()
    }
}
