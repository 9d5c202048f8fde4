//! Key withdrawals that a host knows of, logged or not.
//!
//! A withdrawal must work without a quorum, so any host takes one, applies it
//! at once and spreads it. The set only grows and merging is a union: it is
//! commutative, associative and idempotent, so messages between hosts may be
//! lost, doubled or reordered and the hosts still agree in the end.

use crate::keys::KeyId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Withdrawals not yet seen in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTombstones {
    ids: BTreeSet<KeyId>,
}

impl KeyTombstones {
    /// Adds a withdrawal; tells whether it was new.
    pub fn insert(&mut self, id: KeyId) -> bool {
        self.ids.insert(id)
    }

    /// Takes over the withdrawals of `other`; tells whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let known = self.ids.len();
        self.ids.extend(&other.ids);
        self.ids.len() > known
    }

    /// Whether the key is withdrawn here.
    #[must_use]
    pub fn contains(&self, id: KeyId) -> bool {
        self.ids.contains(&id)
    }

    /// The withdrawn keys, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = KeyId> {
        self.ids.iter().copied()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Drops a withdrawal that the log has taken over.
    pub(crate) fn settle(&mut self, id: KeyId) {
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
