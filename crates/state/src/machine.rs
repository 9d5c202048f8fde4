//! The replicated state machine of the fleet state.

mod snapshot;

pub use snapshot::SnapshotError;

use crate::claims::ClaimRegistry;
use crate::command::{
    ApplyDocument, FleetCommand, FleetOutcome, GrantKey, KeyRefusal, WithdrawKey,
};
use crate::history::OutcomeHistory;
use crate::keys::{KeyId, KeyRegistry};
use crate::tombstones::KeyTombstones;
use crate::view::FleetView;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, LogIndex, OperationId, ZoneDrains};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of recent revisions whose authors are kept, to name the winner of
/// a conflict.
const AUTHORS_MAX: usize = 1024;

/// The operation that created a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DocumentAuthor {
    operation_id: OperationId,
    host: HostName,
}

/// Applies the committed fleet commands in log order.
///
/// The revision increases by one with each accepted document and never decreases.
/// Withdrawals received from other hosts are kept separate from the replicated
/// state, which stays identical on every host, and take effect in the view
/// immediately.
#[derive(Clone, Debug, Default)]
pub struct FleetMachine {
    applied: LogIndex,
    revision: FleetRevision,
    authors: BTreeMap<FleetRevision, DocumentAuthor>,
    document: Arc<FleetDocument>,
    keys: Arc<KeyRegistry>,
    history: OutcomeHistory,
    claims: ClaimRegistry,
    tombstones: Arc<KeyTombstones>,
    drains: Arc<ZoneDrains>,
}

impl FleetMachine {
    /// Creates the empty state before the first log entry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The last applied log position.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Applies the command at `index`.
    ///
    /// An entry at or below the last applied position has no effect, so duplicate
    /// delivery is safe.
    pub fn apply(&mut self, index: LogIndex, command: &FleetCommand) -> FleetOutcome {
        if index <= self.applied {
            let recorded = self.history.first_outcome(command);
            return recorded.unwrap_or(FleetOutcome::AlreadyApplied);
        }
        self.applied = index;
        if let Some(recorded) = self.history.first_outcome(command) {
            return recorded;
        }
        let outcome = match command {
            FleetCommand::ApplyDocument(command) => self.apply_document(command),
            FleetCommand::GrantKey(command) => self.grant_key(command),
            FleetCommand::WithdrawKey(command) => self.withdraw_key(command),
            FleetCommand::ClaimRequest(claim) => FleetOutcome::Claimed(self.claims.claim(claim)),
            FleetCommand::SettleRequest(settle) => {
                self.claims.settle(settle);
                FleetOutcome::Settled
            }
            FleetCommand::SetZoneDrain(command) => {
                Arc::make_mut(&mut self.drains).apply(command.order.clone());
                FleetOutcome::ZoneDrainSet
            }
        };
        self.history.record(command, &outcome);
        outcome
    }

    /// Withdraws a key on this host before the withdrawal is logged; returns
    /// whether it was new.
    pub fn withdraw_locally(&mut self, key_id: KeyId) -> bool {
        let tombstones = KeyTombstones::from_iter([key_id]);
        self.merge_tombstones(&tombstones)
    }

    /// Adds withdrawals received from another host; returns whether any was new.
    pub fn merge_tombstones(&mut self, received: &KeyTombstones) -> bool {
        let view = self.view();
        let new_tombstones: KeyTombstones = received
            .iter()
            .filter(|id| !view.is_withdrawn(*id))
            .collect();
        drop(view);
        !new_tombstones.is_empty() && Arc::make_mut(&mut self.tombstones).merge(&new_tombstones)
    }

    /// The current view, from which requests are served.
    #[must_use]
    pub fn view(&self) -> FleetView {
        FleetView {
            document: Arc::clone(&self.document),
            revision: self.revision,
            applied: self.applied,
            keys: Arc::clone(&self.keys),
            tombstones: Arc::clone(&self.tombstones),
            drains: Arc::clone(&self.drains),
        }
    }

    fn apply_document(&mut self, command: &ApplyDocument) -> FleetOutcome {
        if command.expected_revision != self.revision {
            return self.conflict(command.expected_revision);
        }
        match FleetDocument::parse("document", &command.text) {
            Ok(document) => {
                self.document = Arc::new(document);
                self.revision = self.revision.next();
                self.record_author(command);
                let revision = self.revision;
                FleetOutcome::Accepted { revision }
            }
            Err(report) => FleetOutcome::Malformed {
                faults: report.to_lines(),
            },
        }
    }

    /// Names the operation that replaced the expected revision or, if that is no
    /// longer known, the one that created the current revision.
    fn conflict(&self, expected: FleetRevision) -> FleetOutcome {
        let next_revision = expected.0.saturating_add(1);
        let winner = self.authors.get(&FleetRevision(next_revision));
        let winner = winner.or_else(|| self.authors.get(&self.revision));
        FleetOutcome::Conflict {
            expected,
            current: self.revision,
            winner: winner.map(|author| author.operation_id.clone()),
            winner_host: winner.map(|author| author.host.clone()),
        }
    }

    fn record_author(&mut self, command: &ApplyDocument) {
        let author = DocumentAuthor {
            operation_id: command.operation_id.clone(),
            host: command.host.clone(),
        };
        self.authors.insert(self.revision, author);
        if self.authors.len() > AUTHORS_MAX {
            self.authors.pop_first();
        }
    }

    fn grant_key(&mut self, command: &GrantKey) -> FleetOutcome {
        if !self.document.teams.contains_key(&command.team) {
            let refusal = KeyRefusal::UnknownTeam;
            return FleetOutcome::NotGranted { refusal };
        }
        match Arc::make_mut(&mut self.keys).grant(command) {
            Ok(()) => FleetOutcome::Granted {
                team: command.team.clone(),
                key_id: command.key_id,
                salt: command.salt,
            },
            Err(refusal) => FleetOutcome::NotGranted { refusal },
        }
    }

    fn withdraw_key(&mut self, command: &WithdrawKey) -> FleetOutcome {
        let key_id = command.key_id;
        let known = Arc::make_mut(&mut self.keys).withdraw(key_id);
        if self.tombstones.contains(key_id) {
            Arc::make_mut(&mut self.tombstones).remove_logged(key_id);
        }
        FleetOutcome::Withdrawn { key_id, known }
    }
}
