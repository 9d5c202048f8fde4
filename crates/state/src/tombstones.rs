//! Key withdrawals that a host enforces before they are in the log.
//!
//! A withdrawal must work without a quorum, so any host accepts one, enforces it
//! immediately and sends it to the other hosts. Hosts merge their sets by union,
//! which is commutative, associative and idempotent. Messages between hosts may
//! therefore be lost, duplicated or reordered and the hosts still converge.

use crate::keys::KeyId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The withdrawals that are not yet applied from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTombstones {
    ids: BTreeSet<KeyId>,
}

impl KeyTombstones {
    /// Adds a withdrawal; returns whether it was new.
    pub fn insert(&mut self, id: KeyId) -> bool {
        self.ids.insert(id)
    }

    /// Adds the withdrawals of `other`; returns whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let previous_count = self.ids.len();
        self.ids.extend(&other.ids);
        self.ids.len() > previous_count
    }

    /// Whether the set contains a withdrawal of the key.
    #[must_use]
    pub fn contains(&self, id: KeyId) -> bool {
        self.ids.contains(&id)
    }

    /// The withdrawn keys, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = KeyId> {
        self.ids.iter().copied()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Removes a withdrawal that has been applied from the log.
    pub(crate) fn remove_logged(&mut self, id: KeyId) {
        self.ids.remove(&id);
    }
}

impl FromIterator<KeyId> for KeyTombstones {
    fn from_iter<I: IntoIterator<Item = KeyId>>(ids: I) -> Self {
        Self {
            ids: ids.into_iter().collect(),
        }
    }
}
