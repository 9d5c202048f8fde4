//! The areas to which requests are confined, by the zones of servers and hosts.

use chicoryladder_types::AreaName;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The area of each zone, by the settings. A zone that they do not name is in no area.
#[derive(Clone, Debug, Default)]
pub struct ZoneAreas {
    by_zone: Arc<BTreeMap<ZoneName, AreaName>>,
}

impl ZoneAreas {
    /// Creates the map from the settings.
    #[must_use]
    pub fn new(by_zone: &BTreeMap<ZoneName, AreaName>) -> Self {
        Self {
            by_zone: Arc::new(by_zone.clone()),
        }
    }

    /// Whether the servers of a zone may run a request with the given homes; `None` allows all.
    #[must_use]
    pub fn allows_server(&self, homes: Option<&BTreeSet<AreaName>>, zone: &ZoneName) -> bool {
        homes.is_none_or(|homes| self.is_home(homes, zone))
    }

    /// Whether the body of a request with homes may go to the hosts of a zone: those of a home
    /// area, and those of the area in which the request is now.
    #[must_use]
    pub fn allows_host(
        &self,
        homes: &BTreeSet<AreaName>,
        own_zone: &ZoneName,
        zone: &ZoneName,
    ) -> bool {
        let area = self.by_zone.get(zone);
        let is_own_area = area.is_some() && area == self.by_zone.get(own_zone);
        zone == own_zone || is_own_area || self.is_home(homes, zone)
    }

    /// A zone of the settings to whose hosts the body of a request with homes may not go.
    #[must_use]
    pub fn foreign_zone(
        &self,
        homes: &BTreeSet<AreaName>,
        own_zone: &ZoneName,
    ) -> Option<(&ZoneName, &AreaName)> {
        let mut zones = self.by_zone.iter();
        zones.find(|(zone, _)| !self.allows_host(homes, own_zone, zone))
    }

    /// Whether the settings name no area of any zone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }

    fn is_home(&self, homes: &BTreeSet<AreaName>, zone: &ZoneName) -> bool {
        let area = self.by_zone.get(zone);
        area.is_some_and(|area| homes.contains(area))
    }
}
