//! The drains of zones that operators ordered, as part of the replicated state.

use crate::ZoneName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What an operator orders for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneDrainStep {
    /// Nothing more is sent to the servers of the zone.
    Begin,
    /// The servers of the zone are used again.
    Finish,
}

impl ZoneDrainStep {
    /// The name of the step in the event log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::Finish => "finish",
        }
    }
}

/// A zone that is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrain {
    /// The zone.
    pub zone: ZoneName,
    /// The address from which the order came, if known.
    pub asked_by: Option<SocketAddr>,
    /// When the order was accepted, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// An order for a zone, as a command for the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrainOrder {
    /// The zone.
    pub zone: ZoneName,
    /// What is ordered.
    pub step: ZoneDrainStep,
    /// The address from which the order came, if known.
    pub asked_by: Option<SocketAddr>,
    /// The time at the host that proposes the order, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The last order that changed the state of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DrainRecord {
    is_drained: bool,
    asked_by: Option<SocketAddr>,
    changed_at_ms: u64,
}

/// The drains of all zones. Withdrawn ones are kept, so that a new leader knows when that
/// was: servers of the zone may be cold for a time afterwards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrains {
    /// The number of changes so far, which orders copies of this state.
    changes: u64,
    records: BTreeMap<ZoneName, DrainRecord>,
}

impl ZoneDrains {
    /// Carries out an order. One that changes nothing leaves the record of the earlier one.
    pub fn apply(&mut self, order: ZoneDrainOrder) {
        let is_drained = order.step == ZoneDrainStep::Begin;
        if self.is_drained(&order.zone) == is_drained {
            return;
        }
        self.changes += 1;
        let record = DrainRecord {
            is_drained,
            asked_by: order.asked_by,
            changed_at_ms: order.at_ms,
        };
        self.records.insert(order.zone, record);
    }

    /// The number of changes so far, by which copies of this state are ordered.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether the zone is drained.
    #[must_use]
    pub fn is_drained(&self, zone: &ZoneName) -> bool {
        let record = self.records.get(zone);
        record.is_some_and(|record| record.is_drained)
    }

    /// Whether the zone was drained at any time.
    #[must_use]
    pub fn was_ordered(&self, zone: &ZoneName) -> bool {
        self.records.contains_key(zone)
    }

    /// The drained zones, in the order of their names.
    #[must_use]
    pub fn drained(&self) -> Vec<ZoneDrain> {
        let drained = self.records.iter().filter(|(_, record)| record.is_drained);
        let listed = drained.map(|(zone, record)| ZoneDrain {
            zone: zone.clone(),
            asked_by: record.asked_by,
            since_ms: record.changed_at_ms,
        });
        listed.collect()
    }

    /// The names of the drained zones.
    #[must_use]
    pub fn drained_zones(&self) -> BTreeSet<ZoneName> {
        self.drained().into_iter().map(|drain| drain.zone).collect()
    }

    /// The zones whose drains were withdrawn, with the time since then. Clocks of hosts
    /// differ, so a withdrawal in the future counts as one that happens now.
    #[must_use]
    pub fn withdrawn(&self, since_epoch: Duration) -> Vec<(ZoneName, Duration)> {
        let withdrawn = self.records.iter().filter(|(_, record)| !record.is_drained);
        let aged = withdrawn.map(|(zone, record)| {
            let at = Duration::from_millis(record.changed_at_ms);
            (zone.clone(), since_epoch.saturating_sub(at))
        });
        aged.collect()
    }
}
