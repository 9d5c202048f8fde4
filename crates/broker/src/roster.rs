//! The entry hosts of a fleet, and which of them holds the reserve of a team in each zone.
//!
//! A reserve that every host holds a part of is less than one request in a large fleet,
//! so the hosts of a zone share one: the reserve of a team is held by one host of the
//! zone, which the others find by consistent hashing.

use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The points of each host on a [`HolderRing`], which even out the teams per host.
const POINTS_PER_HOST: usize = 8;

/// An entry host and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    /// The peer address of the host.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The entry hosts of one zone, as told to them by the broker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRoster {
    /// The peer addresses of the hosts, in ascending order.
    pub hosts: Vec<SocketAddr>,
    /// The number of entry hosts in all zones.
    pub fleet_hosts: u32,
}

impl ZoneRoster {
    /// The share of a team's rate that its holder in this zone may admit on its own.
    #[must_use]
    pub fn share(&self) -> f64 {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        f64::from(hosts) / f64::from(self.fleet_hosts.max(1))
    }
}

/// Finds the host of a zone that holds the reserve of a team, by consistent hashing: a
/// host that joins or leaves changes the holders of few teams.
#[derive(Clone, Debug, Default)]
pub struct HolderRing {
    points: Vec<(u64, SocketAddr)>,
}

impl HolderRing {
    /// Creates the ring of the given hosts.
    #[must_use]
    pub fn new(hosts: &[SocketAddr]) -> Self {
        let mut points = Vec::with_capacity(hosts.len() * POINTS_PER_HOST);
        for host in hosts {
            let mut hasher = blake3::Hasher::new();
            hasher.update(host.to_string().as_bytes());
            let mut reader = hasher.finalize_xof();
            for _ in 0..POINTS_PER_HOST {
                let mut point = [0; 8];
                reader.fill(&mut point);
                points.push((u64::from_le_bytes(point), *host));
            }
        }
        points.sort_unstable();
        Self { points }
    }

    /// The host that holds the reserve of a team; `None` if the ring has no hosts.
    #[must_use]
    pub fn holder(&self, team: &TeamName) -> Option<SocketAddr> {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&blake3::hash(team.as_str().as_bytes()).as_bytes()[..8]);
        let hash = u64::from_le_bytes(prefix);
        let next = self.points.partition_point(|(point, _)| *point < hash);
        let found = self.points.get(next).or_else(|| self.points.first());
        found.map(|(_, host)| *host)
    }
}

/// The silences after which the broker no longer counts on an entry host.
#[derive(Clone, Copy, Debug)]
pub struct RosterSettings {
    /// A host that is silent for longer may admit requests on its own.
    pub detached_after: Duration,
    /// A host that is silent for longer is removed. By then its view of the keys is too old
    /// for it to admit any request of a team.
    pub remove_after: Duration,
}

#[derive(Debug)]
struct RosterEntry {
    zone: ZoneName,
    /// When the host last synced while it was in touch; `None` if it never did.
    in_touch_at: Option<Instant>,
    /// When the host was last heard of, or the roster restored.
    heard_at: Instant,
    /// Whether the last sync told that the host was detached before it.
    was_detached: bool,
}

/// The entry hosts of all zones, as the broker hears from them.
#[derive(Debug)]
pub struct EntryRoster {
    settings: RosterSettings,
    hosts: BTreeMap<SocketAddr, RosterEntry>,
    version: u64,
}

impl EntryRoster {
    /// Creates an empty roster.
    #[must_use]
    pub fn new(settings: RosterSettings) -> Self {
        Self {
            settings,
            hosts: BTreeMap::new(),
            version: 0,
        }
    }

    /// Adds hosts that an earlier broker knew. They count as detached until they sync.
    pub fn restore(&mut self, members: &[RosterMember], now: Instant) {
        for member in members {
            let entry = RosterEntry {
                zone: member.zone.clone(),
                in_touch_at: None,
                heard_at: now,
                was_detached: false,
            };
            self.hosts.entry(member.address).or_insert(entry);
        }
        self.version += 1;
    }

    /// Records a sync of a host. `was_detached` tells that the host's view was so old that
    /// it may have admitted requests on its own until now. The reply to the sync ends that,
    /// unless it is lost, so a host that is detached in two syncs in a row stays detached.
    pub fn record(
        &mut self,
        address: SocketAddr,
        zone: &ZoneName,
        was_detached: bool,
        now: Instant,
    ) {
        let known = self.hosts.get(&address);
        if known.is_none_or(|entry| entry.zone != *zone) {
            self.version += 1;
        }
        let is_still_detached = was_detached && known.is_some_and(|entry| entry.was_detached);
        let in_touch_at = known.and_then(|entry| entry.in_touch_at);
        let entry = RosterEntry {
            zone: zone.clone(),
            in_touch_at: if is_still_detached {
                in_touch_at
            } else {
                Some(now)
            },
            heard_at: now,
            was_detached,
        };
        self.hosts.insert(address, entry);
    }

    /// Removes the hosts that have been silent for too long.
    pub fn remove_silent(&mut self, now: Instant) {
        let limit = self.settings.remove_after;
        let before = self.hosts.len();
        self.hosts
            .retain(|_, entry| now.saturating_duration_since(entry.heard_at) < limit);
        if self.hosts.len() != before {
            self.version += 1;
        }
    }

    /// The version of the roster, which changes with its hosts.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a host may be admitting requests on its own.
    #[must_use]
    pub fn is_detached(&self, address: SocketAddr, now: Instant) -> bool {
        let in_touch_at = self.hosts.get(&address).and_then(|host| host.in_touch_at);
        in_touch_at
            .is_none_or(|at| now.saturating_duration_since(at) > self.settings.detached_after)
    }

    /// The zones with their hosts.
    fn zones(&self) -> BTreeMap<ZoneName, ZoneRoster> {
        let mut zones: BTreeMap<ZoneName, ZoneRoster> = BTreeMap::new();
        for (address, entry) in &self.hosts {
            let zone = zones.entry(entry.zone.clone()).or_default();
            zone.hosts.push(*address);
            zone.fleet_hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        }
        zones
    }
}

/// The holders of the reserves of all teams, computed from a version of a roster.
///
/// The computation takes too long to repeat it for every host that joins, as after a
/// restart of the whole fleet; callers repeat it at an interval.
#[derive(Debug, Default)]
pub struct ReserveHolders {
    /// The teams whose reserves a host holds, and the share of its zone.
    by_host: HashMap<SocketAddr, (f64, Vec<TeamName>)>,
    zones: BTreeMap<ZoneName, ZoneRoster>,
    version: u64,
}

impl ReserveHolders {
    /// Assigns the reserves of the teams of a plan to the hosts of a roster.
    #[must_use]
    pub fn assign(roster: &EntryRoster, plan: &ServicePlan) -> Self {
        let zones = roster.zones();
        let mut by_host: HashMap<SocketAddr, (f64, Vec<TeamName>)> = HashMap::new();
        for zone in zones.values() {
            let share = zone.share();
            let ring = HolderRing::new(&zone.hosts);
            for team in &plan.raw().teams {
                if let Some(holder) = ring.holder(&team.name) {
                    let (_, held) = by_host.entry(holder).or_insert((share, Vec::new()));
                    held.push(team.name.clone());
                }
            }
        }
        Self {
            by_host,
            zones,
            version: roster.version(),
        }
    }

    /// The version of the roster that the holders were computed from.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of zones, each of which holds a reserve of every team.
    #[must_use]
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// The hosts of one zone.
    #[must_use]
    pub fn zone(&self, zone: &ZoneName) -> ZoneRoster {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// All hosts, for the next broker.
    #[must_use]
    pub fn members(&self) -> Vec<RosterMember> {
        let members = self.zones.iter().flat_map(|(zone, roster)| {
            let member = |address: &SocketAddr| RosterMember {
                address: *address,
                zone: zone.clone(),
            };
            roster.hosts.iter().map(member)
        });
        members.collect()
    }

    /// The teams whose reserves a host holds.
    #[must_use]
    pub fn teams_of(&self, host: SocketAddr) -> &[TeamName] {
        self.by_host.get(&host).map_or(&[], |(_, teams)| teams)
    }

    /// The share of each team's rate that detached holders may admit on their own.
    #[must_use]
    pub fn detached_shares(&self, roster: &EntryRoster, now: Instant) -> HashMap<TeamName, f64> {
        let mut shares: HashMap<TeamName, f64> = HashMap::new();
        for (host, (share, teams)) in &self.by_host {
            if roster.is_detached(*host, now) {
                for team in teams {
                    *shares.entry(team.clone()).or_default() += share;
                }
            }
        }
        shares
    }
}
