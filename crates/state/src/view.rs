//! What requests are served from.

use crate::keys::{KeyId, KeyRecord, KeyRegister, KeyState, KeyText, SecretHash};
use crate::spread::HostPosition;
use crate::tombstones::KeyTombstones;
use chicoryladder_settings::FleetDocument;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, LogIndex};
use std::sync::Arc;

/// The fleet state at one log position, with this host's own withdrawals.
///
/// Clones share their content.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The fleet document.
    pub document: Arc<FleetDocument>,
    /// Its revision.
    pub revision: FleetRevision,
    /// The log position that the view shows.
    pub applied: LogIndex,
    pub(crate) keys: Arc<KeyRegister>,
    pub(crate) tombstones: Arc<KeyTombstones>,
}

/// Whom a key speaks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The key works for the team.
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
    /// Decides about a key that came with a request.
    ///
    /// Takes one lookup and one hash, whatever the number of keys; the hash is
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

    /// Whether the key is withdrawn, in the log or on this host.
    #[must_use]
    pub fn is_withdrawn(&self, id: KeyId) -> bool {
        self.tombstones.contains(id) || self.is_withdrawal_logged(id)
    }

    /// Whether the withdrawal of the key is in the log.
    #[must_use]
    pub fn is_withdrawal_logged(&self, id: KeyId) -> bool {
        let withdrawn = |record: &KeyRecord| record.state == KeyState::Withdrawn;
        self.keys.get(id).is_some_and(withdrawn)
    }

    /// The team that the key speaks for, or spoke for.
    #[must_use]
    pub fn team_of(&self, id: KeyId) -> Option<&TeamName> {
        self.keys.get(id)?.team.as_ref()
    }

    /// What this host says of itself to others.
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

    /// Withdrawals that this host knows of and has not yet seen in the log.
    #[must_use]
    pub fn tombstones(&self) -> &KeyTombstones {
        &self.tombstones
    }
}
