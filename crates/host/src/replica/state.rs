//! The state machines of the group, applied together.

use super::command::{GroupCommand, GroupOutcome};
use chicoryladder_jobs::{FileStore, ItemStore, JobMachine, MemoryStore};
use chicoryladder_state::{FleetMachine, FleetView};
use chicoryladder_types::LogIndex;
use std::path::Path;

/// Folder of the items' requests and results within the data folder.
const ITEMS_FOLDER: &str = "items";

/// Everything that the commands of the group change.
pub(super) struct GroupState {
    pub(super) fleet: FleetMachine,
    pub(super) jobs: JobMachine,
    applied: LogIndex,
}

impl GroupState {
    /// The empty state; items are kept in `folder` where there is a disk.
    pub(super) fn open(folder: Option<&Path>) -> Result<Self, chicoryladder_jobs::StoreError> {
        let store: Box<dyn ItemStore> = match folder {
            Some(folder) => Box::new(FileStore::open(&folder.join(ITEMS_FOLDER))?),
            None => Box::new(MemoryStore::default()),
        };
        Ok(Self {
            fleet: FleetMachine::new(),
            jobs: JobMachine::new(store),
            applied: LogIndex::default(),
        })
    }

    pub(super) fn applied(&self) -> LogIndex {
        self.applied
    }

    pub(super) fn view(&self) -> FleetView {
        self.fleet.view()
    }

    /// Applies the command at the next position.
    pub(super) fn apply(&mut self, command: &GroupCommand) -> GroupOutcome {
        let index = self.applied.next();
        self.applied = index;
        match command {
            GroupCommand::Fleet(command) => GroupOutcome::Fleet(self.fleet.apply(index, command)),
            GroupCommand::Jobs(command) => GroupOutcome::Jobs(self.jobs.apply(index, command)),
        }
    }
}
