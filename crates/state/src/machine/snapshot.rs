//! Snapshots of the replicated state.

use super::{DocumentAuthor, FleetMachine};
use crate::history::OutcomeHistory;
use crate::keys::{KeyRegister, KeyState};
use crate::ledger::RequestLedger;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::{FleetRevision, LogIndex};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The layout of the bytes; a changed layout takes another number.
const SNAPSHOT_FORMAT: u8 = 2;

/// Why a snapshot cannot be taken or restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are of an unknown layout.
    #[error("the snapshot has the unknown format {0}")]
    UnknownFormat(u8),
    /// The bytes are no snapshot.
    #[error("the snapshot cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    /// The document within is not valid.
    #[error("the fleet document of the snapshot is not valid: {0}")]
    BadDocument(String),
    /// The snapshot is older than the state that it would replace.
    #[error("the snapshot ends at {offered}, the state is at {applied} already")]
    Older {
        /// The position of the snapshot.
        offered: LogIndex,
        /// The position of the state.
        applied: LogIndex,
    },
}

#[derive(Serialize, Deserialize)]
struct SnapshotContent {
    format: u8,
    applied: LogIndex,
    revision: FleetRevision,
    authors: BTreeMap<FleetRevision, DocumentAuthor>,
    document: String,
    keys: Arc<KeyRegister>,
    history: OutcomeHistory,
    ledger: RequestLedger,
}

impl FleetMachine {
    /// The replicated state as bytes, the same on every host at one position.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be serialised, which no state built by
    /// [`FleetMachine::apply`] does.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let content = SnapshotContent {
            format: SNAPSHOT_FORMAT,
            applied: self.applied,
            revision: self.revision,
            authors: self.authors.clone(),
            document: self.document.to_string(),
            keys: Arc::clone(&self.keys),
            history: self.history.clone(),
            ledger: self.ledger.clone(),
        };
        Ok(postcard::to_stdvec(&content)?)
    }

    /// Replaces the replicated state by that of a snapshot; withdrawals that
    /// this host knows of stay in force.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the bytes are no snapshot or end before
    /// the state's own position.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        match bytes.first() {
            Some(&SNAPSHOT_FORMAT) => {}
            Some(&format) => return Err(SnapshotError::UnknownFormat(format)),
            None => return Err(postcard::Error::DeserializeUnexpectedEnd.into()),
        }
        let content: SnapshotContent = postcard::from_bytes(bytes)?;
        if content.applied < self.applied {
            return Err(SnapshotError::Older {
                offered: content.applied,
                applied: self.applied,
            });
        }
        let document = FleetDocument::parse("snapshot", &content.document)
            .map_err(|report| SnapshotError::BadDocument(report.to_lines()))?;
        self.applied = content.applied;
        self.revision = content.revision;
        self.authors = content.authors;
        self.document = Arc::new(document);
        self.keys = content.keys;
        self.history = content.history;
        self.ledger = content.ledger;
        self.settle_tombstones();
        Ok(())
    }

    fn settle_tombstones(&mut self) {
        let keys = &self.keys;
        let tombstones = Arc::make_mut(&mut self.tombstones);
        let withdrawn = |id| keys.get(id).is_some_and(|r| r.state == KeyState::Withdrawn);
        let settled: Vec<_> = tombstones.iter().filter(|id| withdrawn(*id)).collect();
        for id in settled {
            tombstones.settle(id);
        }
    }
}
