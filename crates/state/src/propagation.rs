//! Tracks the propagation of a change over the entry hosts.

use crate::keys::KeyId;
use crate::tombstones::KeyTombstones;
use chicoryladder_types::LogIndex;
use chicoryladder_types::admin::{HostLocation, PropagationReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The progress that a host reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPosition {
    /// The log position of the last fleet command that the host has applied.
    pub applied: LogIndex,
    /// The withdrawals that the host enforces although they are not logged yet.
    pub tombstones: KeyTombstones,
}

/// The condition under which a change is in force on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationGoal {
    /// The host has applied the log up to this position.
    Applied(LogIndex),
    /// The host has received a withdrawal that is not logged yet.
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

/// A host with its last reported position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// The name and the availability zone of the host.
    pub location: HostLocation,
    /// The last reported position; `None` if the host has not reported yet.
    pub position: Option<HostPosition>,
}

impl KnownHost {
    fn meets(&self, goal: PropagationGoal) -> bool {
        self.position.as_ref().is_some_and(|p| goal.is_met_by(p))
    }
}

/// Reports on which hosts a change is in force.
///
/// `contacts` are the addresses from the settings at which no host has ever
/// responded; while there are any, a change does not count as in force
/// everywhere.
#[must_use]
pub fn propagation_report(
    goal: PropagationGoal,
    hosts: &[KnownHost],
    contacts: Vec<SocketAddr>,
) -> PropagationReport {
    let (confirmed, missing): (Vec<_>, Vec<_>) = hosts.iter().partition(|host| host.meets(goal));
    let zones_confirmed: BTreeSet<_> = confirmed.iter().map(|host| &host.location.zone).collect();
    let zones_not_heard: BTreeSet<_> = missing
        .iter()
        .map(|host| &host.location.zone)
        .filter(|zone| !zones_confirmed.contains(zone))
        .collect();
    PropagationReport {
        in_force: missing.is_empty() && contacts.is_empty(),
        hosts_not_heard: missing.iter().map(|host| host.location.clone()).collect(),
        zones_not_heard: zones_not_heard.into_iter().cloned().collect(),
        contacts_not_heard: contacts,
    }
}
