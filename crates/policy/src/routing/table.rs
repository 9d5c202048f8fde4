//! The table of announced servers and of this host's requests on them.

use super::{
    HealthTimes, PrefixHash, PrefixHints, ServerHealth, ServerOutcome, ServerRecord, WorkTarget,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerLoad};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The maximum number of prompt prefixes with a server hint.
const PREFIX_HINTS_MAX: usize = 16_384;

new_key_type! {
    /// One incarnation of a backend server in a [`ServerTable`].
    pub struct ServerKey;
}

/// Time limits of routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTimes {
    /// The time without a renewal after which a server receives no new work.
    pub server_lease: Duration,
    /// The time without a renewal after which an idle server is removed.
    pub remove_after: Duration,
    /// The round-trip time to a server in another availability zone.
    pub zone_round_trip: Duration,
    /// The durations of ejections of failing servers.
    pub health: HealthTimes,
}

impl Default for RouteTimes {
    fn default() -> Self {
        Self {
            server_lease: Duration::from_secs(3),
            remove_after: Duration::from_secs(60),
            zone_round_trip: Duration::from_millis(3),
            health: HealthTimes::default(),
        }
    }
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// A server joined, possibly as a new incarnation.
    Joined,
    /// The registration of a known server was renewed.
    Renewed,
    /// A known server started to leave.
    Leaving,
    /// The announcement is older than the known one and was ignored.
    Stale,
}

/// The servers of one target, split into those of the local and of other zones.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetServers {
    pub(super) local: Vec<ServerKey>,
    pub(super) remote: Vec<ServerKey>,
}

/// All announced servers.
#[derive(Clone, Debug)]
pub struct ServerTable {
    pub(super) zone: ZoneName,
    pub(super) times: RouteTimes,
    /// The number of live entry hosts.
    pub(super) hosts: u32,
    pub(super) servers: SlotMap<ServerKey, ServerRecord>,
    pub(super) targets: HashMap<WorkTarget, TargetServers>,
    pub(super) hints: PrefixHints,
    names: HashMap<ServerName, ServerKey>,
    /// The zones whose servers get no new work.
    drained_zones: BTreeSet<ZoneName>,
}

impl ServerTable {
    /// Creates an empty table for a host in the zone.
    #[must_use]
    pub fn new(zone: ZoneName, times: RouteTimes) -> Self {
        Self {
            zone,
            times,
            hosts: 1,
            servers: SlotMap::with_key(),
            targets: HashMap::new(),
            hints: PrefixHints::new(PREFIX_HINTS_MAX),
            names: HashMap::new(),
            drained_zones: BTreeSet::new(),
        }
    }

    /// Sets the number of live entry hosts. Each host may use its share of a
    /// server's slots even if the latest report shows the server as full.
    pub fn set_live_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Sets the zones whose servers get no new work. Requests on them go on.
    pub fn set_drained_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.drained_zones = zones;
    }

    /// The zones whose servers get no new work.
    #[must_use]
    pub fn drained_zones(&self) -> &BTreeSet<ZoneName> {
        &self.drained_zones
    }

    /// Whether the server is in a drained zone.
    #[must_use]
    pub fn is_drained(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|record| self.is_in_drained_zone(record))
    }

    fn is_in_drained_zone(&self, record: &ServerRecord) -> bool {
        self.drained_zones.contains(&record.announcement.zone)
    }

    /// Whether servers are ready for work, all of them in drained zones.
    #[must_use]
    pub fn is_wholly_drained(&self, now: Instant) -> bool {
        if self.drained_zones.is_empty() {
            return false;
        }
        let records = self.servers.values();
        let mut ready = records
            .filter(|record| self.is_ready(record, now))
            .peekable();
        ready.peek().is_some() && ready.all(|record| self.is_in_drained_zone(record))
    }

    /// Whether servers that are ready for work offer the target, all of them in drained zones.
    #[must_use]
    pub fn is_target_drained(&self, target: &WorkTarget, now: Instant) -> bool {
        let Some(servers) = self.targets.get(target) else {
            return false;
        };
        let keys = servers.local.iter().chain(&servers.remote);
        let records = keys.filter_map(|key| self.servers.get(*key));
        let mut ready = records
            .filter(|record| self.is_ready(record, now))
            .peekable();
        ready.peek().is_some() && ready.all(|record| self.is_in_drained_zone(record))
    }

    /// Applies an announcement that the server sent at `at`. It can be outdated if
    /// other hosts relayed it.
    pub fn announce(&mut self, announcement: &ServerAnnouncement, at: Instant) -> AnnounceOutcome {
        let Some(key) = self.names.get(&announcement.name).copied() else {
            self.join(announcement, at);
            return AnnounceOutcome::Joined;
        };
        let Some(record) = self.servers.get_mut(key) else {
            self.join(announcement, at);
            return AnnounceOutcome::Joined;
        };
        let known = record.announcement.generation;
        if announcement.generation > known {
            self.remove(key);
            self.join(announcement, at);
            return AnnounceOutcome::Joined;
        }
        // `leaving` is final for an incarnation, so it applies even if the
        // announcement is out of date otherwise.
        let starts_leaving = announcement.leaving && !record.leaving;
        if announcement.generation == known && starts_leaving {
            record.leaving = true;
            return AnnounceOutcome::Leaving;
        }
        if announcement.generation < known || at < record.renewed_at {
            return AnnounceOutcome::Stale;
        }
        if same_offer(&record.announcement, announcement) {
            record.renew(announcement, at);
            return AnnounceOutcome::Renewed;
        }
        self.unindex(key);
        if let Some(record) = self.servers.get_mut(key) {
            record.renew(announcement, at);
        }
        self.index(key);
        AnnounceOutcome::Renewed
    }

    /// Records that a server said itself that it leaves. Returns its announcement with that
    /// change, unless it was known.
    pub fn mark_leaving(&mut self, key: ServerKey) -> Option<ServerAnnouncement> {
        let record = self.servers.get_mut(key).filter(|record| !record.leaving)?;
        record.leaving = true;
        Some(ServerAnnouncement {
            leaving: true,
            ..record.announcement.clone()
        })
    }

    /// Removes idle servers without a recent renewal and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        let remove_after = self.times.remove_after;
        let expired = self.servers.iter().filter(|(_, record)| {
            now.saturating_duration_since(record.renewed_at) >= remove_after
                && record.in_flight == 0
        });
        let expired: Vec<ServerKey> = expired.map(|(key, _)| key).collect();
        let names = expired.into_iter().filter_map(|key| self.remove(key));
        names.collect()
    }

    /// Returns a server, unless it was removed or replaced by a new incarnation.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.servers.get(key)
    }

    /// Returns the key of the current incarnation of a server.
    #[must_use]
    pub fn find(&self, name: &ServerName) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns whether any server that accepts new work offers the target.
    #[must_use]
    pub fn serves(&self, target: &WorkTarget, now: Instant) -> bool {
        let Some(servers) = self.targets.get(target) else {
            return false;
        };
        let mut keys = servers.local.iter().chain(&servers.remote);
        keys.any(|key| self.is_open(*key, now))
    }

    /// Records the start of a request on the server.
    pub fn start(&mut self, key: ServerKey) {
        if let Some(record) = self.servers.get_mut(key) {
            record.start();
        }
    }

    /// Records the end of a request, with the load that the server reported.
    pub fn finish(
        &mut self,
        key: ServerKey,
        outcome: ServerOutcome,
        elapsed: Duration,
        load: Option<ServerLoad>,
        now: Instant,
    ) {
        let failed = matches!(outcome, ServerOutcome::Failed | ServerOutcome::Silent);
        let may_eject = failed && self.may_eject(key);
        let health_times = self.times.health;
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        record.finish();
        record.health = match outcome {
            ServerOutcome::Answered => {
                record.record_service_time(elapsed);
                record.health.answered()
            }
            ServerOutcome::Refused | ServerOutcome::Cancelled => record.health.inconclusive(now),
            ServerOutcome::Failed | ServerOutcome::Silent => {
                record.health.failed(health_times, may_eject, now)
            }
        };
        if let Some(load) = load {
            record.report(load, now);
        }
    }

    /// Records that a request of another host ended, ahead of the server's next load
    /// report.
    pub fn record_freed_slot(&mut self, key: ServerKey) {
        if let Some(record) = self.servers.get_mut(key) {
            record.record_freed_slot();
        }
    }

    /// Records that a server has processed a prompt prefix or reported it as cached.
    pub fn record_prefix(&mut self, prefix: PrefixHash, key: ServerKey) {
        self.hints.record(prefix, key);
    }

    /// Records that a server has evicted a prompt prefix.
    pub fn remove_prefix(&mut self, prefix: PrefixHash, key: ServerKey) {
        self.hints.remove(prefix, key);
    }

    /// Returns whether the server accepts new work, regardless of its load.
    #[must_use]
    pub fn is_open(&self, key: ServerKey, now: Instant) -> bool {
        self.servers.get(key).is_some_and(|record| {
            self.is_ready(record, now)
                && record.health.accepts_requests(now)
                && !self.is_in_drained_zone(record)
        })
    }

    /// Whether the server is announced and does not leave.
    fn is_ready(&self, record: &ServerRecord, now: Instant) -> bool {
        let age = now.saturating_duration_since(record.renewed_at);
        !record.leaving && age < self.times.server_lease
    }

    /// Returns whether at most half of the servers of each target would be ejected.
    /// Without this bound, a common cause could eject every server of a target. Those of drained
    /// zones and the others are counted apart, since neither take the work of the others.
    fn may_eject(&self, key: ServerKey) -> bool {
        let Some(record) = self.servers.get(key) else {
            return false;
        };
        let ejected = |key: &&ServerKey| {
            let record = self.servers.get(**key);
            record.is_some_and(|record| !matches!(record.health, ServerHealth::Serving { .. }))
        };
        let is_drained = self.is_in_drained_zone(record);
        let within_bound = |target: &WorkTarget| {
            let servers = self.targets.get(target);
            servers.is_none_or(|servers| {
                let all = || servers.local.iter().chain(&servers.remote);
                let keys = || all().filter(|key| self.is_drained(**key) == is_drained);
                (keys().filter(ejected).count() + 1) * 2 <= keys().count()
            })
        };
        targets_of(&record.announcement).iter().all(within_bound)
    }

    fn join(&mut self, announcement: &ServerAnnouncement, at: Instant) {
        let key = self.servers.insert(ServerRecord::new(announcement, at));
        self.names.insert(announcement.name.clone(), key);
        self.index(key);
    }

    fn remove(&mut self, key: ServerKey) -> Option<ServerName> {
        self.unindex(key);
        let record = self.servers.remove(key)?;
        let name = record.announcement.name;
        if self.names.get(&name) == Some(&key) {
            self.names.remove(&name);
        }
        Some(name)
    }

    fn index(&mut self, key: ServerKey) {
        let Some(record) = self.servers.get(key) else {
            return;
        };
        let local = record.announcement.zone == self.zone;
        for target in targets_of(&record.announcement) {
            let servers = self.targets.entry(target).or_default();
            let keys = if local {
                &mut servers.local
            } else {
                &mut servers.remote
            };
            keys.push(key);
        }
    }

    fn unindex(&mut self, key: ServerKey) {
        for servers in self.targets.values_mut() {
            servers.local.retain(|known| *known != key);
            servers.remote.retain(|known| *known != key);
        }
    }
}

fn same_offer(known: &ServerAnnouncement, newer: &ServerAnnouncement) -> bool {
    known.zone == newer.zone && known.models == newer.models && known.services == newer.services
}

fn targets_of(announcement: &ServerAnnouncement) -> Vec<WorkTarget> {
    let models = announcement.models.iter().cloned().map(WorkTarget::Model);
    let services = announcement.services.iter().cloned();
    models.chain(services.map(WorkTarget::Service)).collect()
}
