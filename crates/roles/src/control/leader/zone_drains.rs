//! How drains of zones take effect on the leader.

use super::{HostRecord, LeaderState};
use crate::message::HostRole;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, TermNumber, ZoneDrainStep, ZoneDrains};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time after which a new leader has heard from all running hosts and servers, so that
/// a zone that none of them named does not exist.
const ZONES_KNOWN_AFTER: Duration = Duration::from_secs(3);

impl LeaderState {
    /// Takes the drains over at the begin of a leadership, before any slot is granted.
    /// `since_epoch` is the wall-clock time, against which withdrawals are recorded.
    pub(super) fn restore_drains(
        &mut self,
        drains: &ZoneDrains,
        since_epoch: Duration,
        now: Instant,
    ) {
        self.drains = drains.clone();
        self.drained_directory = None;
        self.is_wholly_drained = false;
        self.broker.set_drained_zones(&drains.drained_zones(), now);
        for (zone, age) in drains.withdrawn(since_epoch) {
            let at = now.checked_sub(age).unwrap_or(now);
            self.broker.restore_undrained(&zone, at, now);
        }
    }

    /// Applies drains that changed during the leadership, and has the entry hosts fetch a
    /// directory that follows them.
    pub(super) fn apply_drains(&mut self, drains: &ZoneDrains, now: Instant) {
        // Copies of the replicated state may arrive here in another order than they were read.
        if drains.changes() <= self.drains.changes() {
            return;
        }
        self.drains = drains.clone();
        self.broker.set_drained_zones(&drains.drained_zones(), now);
        self.drained_directory = Some(self.broker.directory_version());
        self.notices.begin(self.hosts.keys().cloned());
    }

    /// Whether a host may send to drained servers if it loses the broker now, since it holds
    /// a directory from before the last change.
    pub(super) fn holds_earlier_drains(
        term: TermNumber,
        drained_directory: Option<u64>,
        host: &HostRecord,
    ) -> bool {
        let is_earlier = |version| host.directory < (term.0, version);
        host.role == HostRole::Entry && drained_directory.is_some_and(is_earlier)
    }

    /// Whether a zone exists: by the settings, or without any by the zones of the hosts and
    /// servers; `None` if this leader does not know all of them yet. The drain of a zone that
    /// has left the settings can still be withdrawn, also by an order that is repeated since its
    /// acknowledgement was lost.
    pub(crate) fn is_zone(
        &self,
        zone: &ZoneName,
        step: ZoneDrainStep,
        areas: &BTreeMap<ZoneName, AreaName>,
        now: Instant,
    ) -> Option<bool> {
        let was_drained = step == ZoneDrainStep::Finish && self.drains.was_ordered(zone);
        if areas.contains_key(zone) || self.drains.is_drained(zone) || was_drained {
            return Some(true);
        }
        if !areas.is_empty() {
            return Some(false);
        }
        let is_of_host = self.hosts.values().any(|host| host.zone == *zone);
        let mut servers = self.broker.servers().into_iter();
        if is_of_host || servers.any(|server| server.zone == *zone) {
            return Some(true);
        }
        let led_for = now.saturating_duration_since(self.leads_since);
        (led_for >= ZONES_KNOWN_AFTER).then_some(false)
    }

    /// Whether all zones with servers have become drained since the last call.
    pub(crate) fn becomes_wholly_drained(&mut self) -> bool {
        let is_drained = self.broker.is_wholly_drained();
        !std::mem::replace(&mut self.is_wholly_drained, is_drained) && is_drained
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chicoryladder_broker::{
        BrokerSettings, ColdTolerance, RateTolerance, RosterSettings, ZoneAreas,
    };
    use chicoryladder_types::ZoneDrainOrder;

    const MINUTE: Duration = Duration::from_secs(60);

    fn leader(now: Instant) -> LeaderState {
        let settings = BrokerSettings {
            check_in_interval: Duration::from_millis(1_200),
            lost_after: Duration::from_secs(3),
            remove_after: MINUTE,
            requester_lost_after: MINUTE,
            tolerance: RateTolerance {
                requests: 1.0,
                share: 1.0,
                window: Duration::from_secs(1),
            },
            cold_tolerance: ColdTolerance::default(),
            pressure: false,
            weighs_placement: false,
            areas: ZoneAreas::default(),
        };
        let roster = RosterSettings {
            detached_after: MINUTE,
            remove_after: MINUTE,
        };
        LeaderState::new(settings, roster, now)
    }

    /// Guards against a withdrawal whose acknowledgement was lost and that gets 404 for ever
    /// when it is repeated, although it is in force. A drain of the same zone is refused.
    #[test]
    fn a_withdrawal_is_repeated_for_a_zone_that_has_left_the_settings() {
        let now = Instant::now();
        let mut leader = leader(now);
        let zone = |name: &str| ZoneName::try_from(name).expect("it is valid");
        let area = AreaName::try_from("north").expect("it is valid");
        let areas = BTreeMap::from([(zone("a"), area)]);
        let gone = zone("gone");
        let (begin, finish) = (ZoneDrainStep::Begin, ZoneDrainStep::Finish);
        assert_eq!(leader.is_zone(&gone, finish, &areas, now), Some(false));
        let mut drains = ZoneDrains::default();
        for step in [begin, finish] {
            drains.apply(ZoneDrainOrder {
                zone: gone.clone(),
                step,
                asked_by: None,
                at_ms: 0,
            });
            leader.apply_drains(&drains, now);
            assert_eq!(leader.is_zone(&gone, finish, &areas, now), Some(true));
        }
        assert_eq!(leader.is_zone(&gone, begin, &areas, now), Some(false));
    }
}
