//! The read-only view of the fleet state from which requests are served.

use crate::keys::{KeyId, KeyRecord, KeyRegistry, KeyState, KeyText, SecretHash};
use crate::propagation::HostPosition;
use crate::tombstones::KeyTombstones;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, LogIndex, ZoneDrains};
use std::sync::Arc;

/// The fleet state at one log position, including key withdrawals that this host
/// knows of but has not applied from the log.
///
/// Clones share their contents.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The fleet document.
    pub document: Arc<FleetDocument>,
    /// The revision of the document.
    pub revision: FleetRevision,
    /// The log position of the view.
    pub applied: LogIndex,
    /// The drains of zones.
    pub drains: Arc<ZoneDrains>,
    pub(crate) keys: Arc<KeyRegistry>,
    pub(crate) tombstones: Arc<KeyTombstones>,
}

/// The result of a key check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The key is valid and belongs to the team.
    Team {
        /// The team.
        team: TeamName,
        /// The id of the key.
        key_id: KeyId,
    },
    /// No such key was granted.
    Unknown,
    /// The key was withdrawn.
    Withdrawn,
}

impl FleetView {
    /// Checks a key presented with a request.
    ///
    /// Costs one lookup and one hash regardless of the number of keys. The hash is
    /// compared in constant time.
    #[must_use]
    pub fn check_key(&self, key: &str) -> KeyDecision {
        let Ok(key) = KeyText::try_from(key) else {
            return KeyDecision::Unknown;
        };
        let Some(record) = self.keys.get(key.id) else {
            return KeyDecision::Unknown;
        };
        if SecretHash::of(record.salt, key.secret) != record.secret_hash {
            return KeyDecision::Unknown;
        }
        match &record.team {
            _ if self.is_withdrawn(key.id) => KeyDecision::Withdrawn,
            Some(team) if self.document.teams.contains_key(team) => KeyDecision::Team {
                team: team.clone(),
                key_id: key.id,
            },
            _ => KeyDecision::Unknown,
        }
    }

    /// Whether the key is withdrawn, either in the log or by a tombstone on this
    /// host.
    #[must_use]
    pub fn is_withdrawn(&self, id: KeyId) -> bool {
        self.tombstones.contains(id) || self.is_withdrawal_logged(id)
    }

    /// Whether the withdrawal of the key has been applied from the log.
    #[must_use]
    pub fn is_withdrawal_logged(&self, id: KeyId) -> bool {
        let withdrawn = |record: &KeyRecord| record.state == KeyState::Withdrawn;
        self.keys.get(id).is_some_and(withdrawn)
    }

    /// The team that owns the key, also if the key is withdrawn.
    #[must_use]
    pub fn team_of(&self, id: KeyId) -> Option<&TeamName> {
        self.keys.get(id)?.team.as_ref()
    }

    /// The position that this host reports to other hosts.
    #[must_use]
    pub fn position(&self) -> HostPosition {
        HostPosition {
            applied: self.applied,
            tombstones: KeyTombstones::clone(&self.tombstones),
        }
    }

    /// All keys, in the order of their ids.
    pub fn keys(&self) -> impl Iterator<Item = (KeyId, &KeyRecord)> {
        self.keys.iter()
    }

    /// Withdrawals that this host knows of but has not yet applied from the log.
    #[must_use]
    pub fn tombstones(&self) -> &KeyTombstones {
        &self.tombstones
    }
}
