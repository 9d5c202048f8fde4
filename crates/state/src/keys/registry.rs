//! The registry of granted and withdrawn keys.

use super::{KeyId, KeySalt, SecretHash};
use crate::command::{GrantKey, KeyRefusal};
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a key is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The key is valid.
    Granted,
    /// The key was withdrawn, which is permanent.
    Withdrawn,
}

/// The record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The team that the key authenticates; absent if the key was withdrawn
    /// before its grant was applied.
    pub team: Option<TeamName>,
    /// Whether the key is valid.
    pub state: KeyState,
    pub(crate) salt: KeySalt,
    pub(crate) secret_hash: SecretHash,
}

/// All keys by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyRegistry {
    records: BTreeMap<KeyId, KeyRecord>,
}

impl KeyRegistry {
    pub(crate) fn get(&self, id: KeyId) -> Option<&KeyRecord> {
        self.records.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (KeyId, &KeyRecord)> {
        self.records.iter().map(|(id, record)| (*id, record))
    }

    /// Adds a key; the id of a withdrawn key is always refused.
    pub(crate) fn grant(&mut self, grant: &GrantKey) -> Result<(), KeyRefusal> {
        match self.records.get(&grant.key_id) {
            Some(record) if record.state == KeyState::Withdrawn => {
                return Err(KeyRefusal::Withdrawn);
            }
            Some(_) => return Err(KeyRefusal::IdTaken),
            None => {}
        }
        let record = KeyRecord {
            team: Some(grant.team.clone()),
            state: KeyState::Granted,
            salt: grant.salt,
            secret_hash: grant.secret_hash,
        };
        self.records.insert(grant.key_id, record);
        Ok(())
    }

    /// Withdraws a key; returns whether it had been granted.
    ///
    /// An unknown id is recorded as withdrawn too, so that a later grant of it is refused.
    /// Such a record has a salt of zeros and the hash of an empty secret.
    pub(crate) fn withdraw(&mut self, id: KeyId) -> bool {
        if let Some(record) = self.records.get_mut(&id) {
            record.state = KeyState::Withdrawn;
            return record.team.is_some();
        }
        let record = KeyRecord {
            team: None,
            state: KeyState::Withdrawn,
            salt: KeySalt([0; 16]),
            secret_hash: SecretHash::of(KeySalt([0; 16]), ""),
        };
        self.records.insert(id, record);
        false
    }
}
