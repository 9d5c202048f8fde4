//! Zones that operators have drained: their servers get no work.

use super::SlotBroker;
use crate::directory::{ServerCheckIn, ServerPhase, ServerRecord};
use chicoryladder_types::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

impl SlotBroker {
    /// Replaces the set of drained zones. Runs in progress go on; queued requests that only
    /// drained servers could run are refused.
    pub fn set_drained_zones(&mut self, zones: &BTreeSet<ZoneName>, now: Instant) {
        if self.drained_zones == *zones {
            return;
        }
        let drained_before = std::mem::replace(&mut self.drained_zones, zones.clone());
        self.cold_zones.retain(|zone, _| !zones.contains(zone));
        for zone in drained_before.difference(zones) {
            self.mark_zone_cold(zone, now, now);
        }
        self.drains_number += 1;
        self.directory_version += 1;
        self.refuse_unservable();
        self.dispatch_all(now);
    }

    /// Records that an earlier broker's drain of a zone was withdrawn at the given time.
    pub fn restore_undrained(&mut self, zone: &ZoneName, at: Instant, now: Instant) {
        if !self.drained_zones.contains(zone) {
            self.mark_zone_cold(zone, at, now);
        }
    }

    /// When the last drain of a zone was withdrawn; `None` if it never was, or if the zone is
    /// drained.
    #[must_use]
    pub fn undrained_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.cold_zones.get(zone).copied()
    }

    /// The zones whose servers get no work.
    #[must_use]
    pub fn drained_zones(&self) -> &BTreeSet<ZoneName> {
        &self.drained_zones
    }

    /// The number of the set of drained zones, which changes with it.
    #[must_use]
    pub fn drains_number(&self) -> u64 {
        self.drains_number
    }

    /// Whether servers are ready for work, all of them in drained zones.
    #[must_use]
    pub fn is_wholly_drained(&self) -> bool {
        if self.drained_zones.is_empty() {
            return false;
        }
        let records = self.servers.values().map(|entry| &entry.record);
        let is_ready =
            |record: &&ServerRecord| record.check_in.phase == ServerPhase::Ready && !record.is_lost;
        let mut ready = records.filter(is_ready).peekable();
        ready.peek().is_some() && ready.all(|record| self.is_drained(&record.check_in))
    }

    pub(super) fn is_drained(&self, check_in: &ServerCheckIn) -> bool {
        self.drained_zones.contains(&check_in.zone)
    }
}
