//! How far a change has spread over the entry hosts.

use crate::keys::KeyId;
use crate::tombstones::KeyTombstones;
use chicoryladder_types::LogIndex;
use chicoryladder_types::admin::{HostLocation, PropagationReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What a host says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPosition {
    /// The last fleet command that the host has applied.
    pub applied: LogIndex,
    /// The withdrawals that the host applies before they are logged.
    pub tombstones: KeyTombstones,
}

/// What a change needs of a host to be in force there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationGoal {
    /// The host has applied the log up to the position.
    Applied(LogIndex),
    /// The host has heard of a withdrawal that is not logged yet.
    Withdrawn(KeyId),
}

impl PropagationGoal {
    /// Whether the change is in force on a host at `position`.
    #[must_use]
    pub fn is_met_by(self, position: &HostPosition) -> bool {
        match self {
            Self::Applied(index) => position.applied >= index,
            Self::Withdrawn(key_id) => position.tombstones.contains(key_id),
        }
    }
}

/// A host with what it said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// The host.
    pub place: HostLocation,
    /// What it said last, if anything.
    pub position: Option<HostPosition>,
}

impl KnownHost {
    fn meets(&self, goal: PropagationGoal) -> bool {
        self.position.as_ref().is_some_and(|p| goal.is_met_by(p))
    }
}

/// Tells on which hosts a change is in force.
///
/// `contacts` are addresses from the settings under which no host was ever
/// heard; a change is not in force everywhere while there are any.
#[must_use]
pub fn propagation_report(
    goal: PropagationGoal,
    hosts: &[KnownHost],
    contacts: Vec<SocketAddr>,
) -> PropagationReport {
    let (heard, missing): (Vec<_>, Vec<_>) = hosts.iter().partition(|host| host.meets(goal));
    let zones_heard: BTreeSet<_> = heard.iter().map(|host| &host.place.zone).collect();
    let zones_not_heard: BTreeSet<_> = missing
        .iter()
        .map(|host| &host.place.zone)
        .filter(|zone| !zones_heard.contains(zone))
        .collect();
    PropagationReport {
        in_force: missing.is_empty() && contacts.is_empty(),
        hosts_not_heard: missing.iter().map(|host| host.place.clone()).collect(),
        zones_not_heard: zones_not_heard.into_iter().cloned().collect(),
        contacts_not_heard: contacts,
    }
}
