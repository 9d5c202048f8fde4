//! Snapshots of the replicated state.

use super::{DocumentAuthor, FleetMachine};
use crate::claims::ClaimRegistry;
use crate::history::OutcomeHistory;
use crate::keys::{KeyRegistry, KeyState};
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::{FleetRevision, LogIndex, ZoneDrains};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The version of the snapshot format; incremented with each change of the
/// layout.
const SNAPSHOT_FORMAT: u8 = 2;

/// An error in taking or restoring a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The format version is unknown.
    #[error("unknown snapshot format {0}")]
    UnknownFormat(u8),
    /// The bytes do not decode to a snapshot.
    #[error("cannot encode or decode the snapshot: {0}")]
    Malformed(#[from] postcard::Error),
    /// The fleet document in the snapshot is invalid.
    #[error("invalid fleet document in the snapshot: {0}")]
    BadDocument(String),
    /// The snapshot is older than the current state.
    #[error("the snapshot at index {offered} is older than the applied state at index {applied}")]
    Older {
        /// The log position of the snapshot.
        offered: LogIndex,
        /// The last applied log position.
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
    keys: Arc<KeyRegistry>,
    history: OutcomeHistory,
    claims: ClaimRegistry,
}

impl FleetMachine {
    /// Encodes the replicated state; hosts at the same log position produce
    /// identical bytes.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be serialized, which does not occur for a state
    /// built by [`FleetMachine::apply`].
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let content = SnapshotContent {
            format: SNAPSHOT_FORMAT,
            applied: self.applied,
            revision: self.revision,
            authors: self.authors.clone(),
            document: self.document.to_string(),
            keys: Arc::clone(&self.keys),
            history: self.history.clone(),
            claims: self.claims.clone(),
        };
        let mut bytes = postcard::to_stdvec(&content)?;
        // Behind what earlier builds read. Snapshots without drains are the same as theirs.
        if *self.drains != ZoneDrains::default() {
            bytes.extend(postcard::to_stdvec(&*self.drains)?);
        }
        Ok(bytes)
    }

    /// Replaces the replicated state with that of a snapshot. Withdrawals that this
    /// host knows of stay in force.
    ///
    /// # Errors
    ///
    /// Fails, leaving the state unchanged, if the bytes are not a valid snapshot or
    /// the snapshot is older than the current state.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        match bytes.first() {
            Some(&SNAPSHOT_FORMAT) => {}
            Some(&format) => return Err(SnapshotError::UnknownFormat(format)),
            None => return Err(postcard::Error::DeserializeUnexpectedEnd.into()),
        }
        let (content, rest): (SnapshotContent, _) = postcard::take_from_bytes(bytes)?;
        let drains = match rest {
            [] => ZoneDrains::default(),
            rest => postcard::from_bytes(rest)?,
        };
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
        self.claims = content.claims;
        self.drains = Arc::new(drains);
        self.remove_logged_tombstones();
        Ok(())
    }

    fn remove_logged_tombstones(&mut self) {
        let keys = &self.keys;
        let tombstones = Arc::make_mut(&mut self.tombstones);
        let is_logged = |id| {
            keys.get(id)
                .is_some_and(|record| record.state == KeyState::Withdrawn)
        };
        let logged: Vec<_> = tombstones.iter().filter(|id| is_logged(*id)).collect();
        for id in logged {
            tombstones.remove_logged(id);
        }
    }
}
