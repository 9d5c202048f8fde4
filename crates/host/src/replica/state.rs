//! The state machines of the group, combined into one.

use super::command::{GroupCommand, GroupOutcome};
use chicoryladder_consensus::{
    RestoreError, SnapshotError, StateDecoder, StateMachine, encode_state,
};
use chicoryladder_jobs::{BodyBytes, FileStore, ItemStore, JobMachine, MemoryStore, StoreError};
use chicoryladder_state::{FleetMachine, FleetView};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::path::Path;

/// The folder of the job items' requests and results within the data folder.
const ITEMS_FOLDER: &str = "items";

/// The combined state of the group.
pub(super) struct GroupState {
    pub(super) fleet: FleetMachine,
    pub(super) jobs: JobMachine,
}

#[derive(Serialize, Deserialize)]
struct GroupSnapshot {
    fleet: BodyBytes,
    jobs: BodyBytes,
}

impl GroupState {
    /// Creates an empty state; items are stored in `folder` if the host has a disk.
    pub(super) fn open(folder: Option<&Path>) -> Result<Self, StoreError> {
        let store: Box<dyn ItemStore> = match folder {
            Some(folder) => Box::new(FileStore::open(&folder.join(ITEMS_FOLDER))?),
            None => Box::new(MemoryStore::default()),
        };
        Ok(Self::with_store(store))
    }

    /// Creates an empty state that holds its items in memory.
    pub(super) fn in_memory() -> Self {
        Self::with_store(Box::new(MemoryStore::default()))
    }

    fn with_store(store: Box<dyn ItemStore>) -> Self {
        Self {
            fleet: FleetMachine::new(),
            jobs: JobMachine::new(store),
        }
    }

    pub(super) fn view(&self) -> FleetView {
        self.fleet.view()
    }

    fn apply_command(&mut self, index: LogIndex, command: &GroupCommand) -> GroupOutcome {
        match command {
            GroupCommand::Fleet(command) => GroupOutcome::Fleet(self.fleet.apply(index, command)),
            GroupCommand::Jobs(command) => GroupOutcome::Jobs(self.jobs.apply(index, command)),
        }
    }
}

impl StateMachine for GroupState {
    /// Applies an encoded [`GroupCommand`] and returns its encoded outcome.
    ///
    /// Bytes that do not decode as a command change nothing on any host and give an
    /// empty result.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes(command) {
            Ok(command) => {
                let outcome = self.apply_command(index, &command);
                postcard::to_stdvec(&outcome).unwrap_or_default()
            }
            Err(error) => {
                log::error!("replica: cannot decode the command of entry {index}: {error}.");
                Vec::new()
            }
        }
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        let snapshot = GroupSnapshot {
            fleet: BodyBytes(self.fleet.snapshot().map_err(snapshot_error)?),
            jobs: BodyBytes(self.jobs.snapshot().map_err(snapshot_error)?),
        };
        encode_state(&snapshot, output)
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        let snapshot: GroupSnapshot = StateDecoder::new(input).decode()?;
        self.fleet
            .restore(snapshot.fleet.as_slice())
            .map_err(restore_error)?;
        self.jobs
            .restore(snapshot.jobs.as_slice())
            .map_err(restore_error)
    }
}

fn snapshot_error(error: impl std::fmt::Display) -> SnapshotError {
    let detail = error.to_string();
    SnapshotError { detail }
}

fn restore_error(error: impl std::fmt::Display) -> RestoreError {
    let detail = error.to_string();
    RestoreError { detail }
}
