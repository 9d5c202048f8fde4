//! The state machine of group 0.

mod snapshot;

pub use snapshot::SnapshotError;

use crate::command::{
    ApplyDocument, FleetCommand, FleetOutcome, GrantKey, KeyRefusal, WithdrawKey,
};
use crate::history::OutcomeHistory;
use crate::keys::{KeyId, KeyRegister};
use crate::ledger::RequestLedger;
use crate::tombstones::KeyTombstones;
use crate::view::FleetView;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, LogIndex, OperationId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Revisions whose authors are remembered, to name the winner of a race.
const AUTHORS_MAX: usize = 1024;

/// The operation that set a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DocumentAuthor {
    operation_id: OperationId,
    host: HostName,
}

/// Applies the committed commands of group 0 in log order.
///
/// The revision grows by one with each accepted document and never falls.
/// Withdrawals heard from other hosts are kept apart from the replicated state,
/// which stays the same on every host, and take effect in the view at once.
#[derive(Clone, Debug, Default)]
pub struct FleetMachine {
    applied: LogIndex,
    revision: FleetRevision,
    authors: BTreeMap<FleetRevision, DocumentAuthor>,
    document: Arc<FleetDocument>,
    keys: Arc<KeyRegister>,
    history: OutcomeHistory,
    ledger: RequestLedger,
    tombstones: Arc<KeyTombstones>,
}

impl FleetMachine {
    /// The empty state before the first log entry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The last log position applied.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Applies the command at `index`.
    ///
    /// A position at or below the last one applied changes nothing, so entries
    /// that are delivered twice do no harm.
    pub fn apply(&mut self, index: LogIndex, command: &FleetCommand) -> FleetOutcome {
        if index <= self.applied {
            let recalled = self.history.recall(command);
            return recalled.unwrap_or(FleetOutcome::AlreadyApplied);
        }
        self.applied = index;
        if let Some(first) = self.history.recall(command) {
            return first;
        }
        let outcome = match command {
            FleetCommand::ApplyDocument(command) => self.apply_document(command),
            FleetCommand::GrantKey(command) => self.grant_key(command),
            FleetCommand::WithdrawKey(command) => self.withdraw_key(command),
            FleetCommand::ClaimRequest(claim) => FleetOutcome::Claimed(self.ledger.claim(claim)),
            FleetCommand::SettleRequest(settle) => {
                self.ledger.settle(settle);
                FleetOutcome::Settled
            }
        };
        self.history.record(command, &outcome);
        outcome
    }

    /// Withdraws a key on this host alone, before the log does; tells whether
    /// that was news.
    pub fn withdraw_locally(&mut self, key_id: KeyId) -> bool {
        let tombstones = KeyTombstones::from_iter([key_id]);
        self.merge_tombstones(&tombstones)
    }

    /// Takes over withdrawals heard from another host; tells whether any was
    /// news.
    pub fn merge_tombstones(&mut self, heard: &KeyTombstones) -> bool {
        let view = self.view();
        let news: KeyTombstones = heard.iter().filter(|id| !view.is_withdrawn(*id)).collect();
        drop(view);
        !news.is_empty() && Arc::make_mut(&mut self.tombstones).merge(&news)
    }

    /// What requests are served from; cheap to clone.
    #[must_use]
    pub fn view(&self) -> FleetView {
        FleetView {
            document: Arc::clone(&self.document),
            revision: self.revision,
            applied: self.applied,
            keys: Arc::clone(&self.keys),
            tombstones: Arc::clone(&self.tombstones),
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

    /// Names the change that took the expected revision, or, where that is no
    /// longer known, the one in force.
    fn conflict(&self, expected: FleetRevision) -> FleetOutcome {
        let taken = expected.0.saturating_add(1);
        let winner = self.authors.get(&FleetRevision(taken));
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
            Arc::make_mut(&mut self.tombstones).settle(key_id);
        }
        FleetOutcome::Withdrawn { key_id, known }
    }
}
