//! The backend servers known to a host, and which host dispatches to each.

use super::handle::{RoutingLocation, SlotEvent, SlotNotice, SlotRequest, WorkKind};
use super::home::home_of;
use super::server_load::LoadEstimate;
use chicoryladder_policy::routing::{
    RouteChoice, RouteQuery, RouteTimes, ServerKey, ServerRecord, ServerTable,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerLoad};
use rand_chacha::ChaCha12Rng;
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// The time without a renewal after which a server gets no new work.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Slots of each server that batch work leaves free for the next online request.
const BATCH_RESERVE_SLOTS: u32 = 1;

/// The time for which a server that failed a batch item gets no other.
const BATCH_PAUSE: Duration = Duration::from_secs(1);

/// A server as operators see it.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct ServerView {
    pub(crate) name: ServerName,
    pub(crate) zone: ZoneName,
    pub(crate) address: String,
    pub(crate) slots: u32,
    pub(crate) in_flight: u32,
    pub(crate) occupied: u32,
    pub(crate) live: bool,
    pub(crate) leaving: bool,
}

/// The servers of one host's view.
pub(super) struct RoutingTable {
    place: RoutingLocation,
    servers: ServerTable,
    hosts: Vec<RoutingLocation>,
    homes: SecondaryMap<ServerKey, HostName>,
    loads: SecondaryMap<ServerKey, LoadEstimate>,
    /// Until when servers that failed a batch item get no other.
    batch_pauses: SecondaryMap<ServerKey, Instant>,
    rng: ChaCha12Rng,
}

impl RoutingTable {
    pub(super) fn new(place: RoutingLocation, rng: ChaCha12Rng) -> Self {
        let times = RouteTimes {
            server_lease: ANNOUNCEMENT_LEASE,
            ..RouteTimes::default()
        };
        Self {
            servers: ServerTable::new(place.zone.clone(), times),
            place,
            hosts: Vec::new(),
            homes: SecondaryMap::new(),
            loads: SecondaryMap::new(),
            batch_pauses: SecondaryMap::new(),
            rng,
        }
    }

    /// The servers themselves.
    pub(super) const fn servers(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Takes an announcement; an older one is ignored.
    pub(super) fn announce(&mut self, announcement: &ServerAnnouncement, now: Instant) {
        self.servers.announce(announcement, now);
        let Some(key) = self.servers.find(&announcement.name) else {
            return;
        };
        if !self.homes.contains_key(key) {
            self.find_home(key);
        }
        self.note_load(key, announcement.load, now);
    }

    /// Notes which hosts share the servers.
    pub(super) fn set_hosts(&mut self, hosts: Vec<RoutingLocation>) {
        self.servers
            .set_live_hosts(u32::try_from(hosts.len()).unwrap_or(u32::MAX));
        self.hosts = hosts;
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.find_home(key);
        }
    }

    /// Forgets servers that were not heard for long and hold no request.
    pub(super) fn forget_lost(&mut self, now: Instant) {
        for name in self.servers.expire(now) {
            log::info!("routing: forgets the lost server {name}.");
        }
        let servers = &self.servers;
        self.homes.retain(|key, _| servers.get(key).is_some());
        self.loads.retain(|key, _| servers.get(key).is_some());
        self.batch_pauses
            .retain(|key, until| servers.get(key).is_some() && now < *until);
    }

    /// Whether any server can take the request, now or later.
    pub(super) fn can_serve(&self, request: &SlotRequest, now: Instant) -> bool {
        self.candidates(request, now).next().is_some()
    }

    /// The server for a request, if one has a slot.
    pub(super) fn choose(&mut self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        match &request.kind {
            WorkKind::Online(terms) => {
                let excluded = request.excluded.iter();
                let avoid: Vec<ServerKey> = excluded
                    .filter_map(|name| self.servers.find(name))
                    .collect();
                let query = RouteQuery {
                    target: &request.target,
                    prefixes: &terms.prefixes,
                    avoid: &avoid,
                    reserve: 0,
                };
                match self.servers.choose(&query, &mut self.rng, now) {
                    RouteChoice::Server(key) => Some(key),
                    RouteChoice::Busy | RouteChoice::NoServer => None,
                }
            }
            WorkKind::Batch { .. } => self.idle_choice(request, now),
        }
    }

    /// Notes that a request begins on the server.
    pub(super) fn take_slot(
        &mut self,
        key: ServerKey,
        now: Instant,
    ) -> Option<&ServerAnnouncement> {
        self.servers.start(key);
        if let Some(load) = self.loads.get_mut(key) {
            load.take(now);
        }
        self.servers.get(key).map(ServerRecord::announcement)
    }

    /// Notes that a request on the server has ended.
    pub(super) fn give_back(&mut self, key: ServerKey, load: Option<ServerLoad>, now: Instant) {
        if let Some(load) = load {
            self.note_load(key, load, now);
        }
        if let Some(load) = self.loads.get_mut(key) {
            load.give_back(now);
        }
    }

    /// Takes in a load report.
    fn note_load(&mut self, key: ServerKey, load: ServerLoad, now: Instant) {
        if let Some(entry) = self.loads.entry(key) {
            let estimate = entry.or_insert_with(|| LoadEstimate::new(now));
            estimate.report(load, now);
        }
    }

    /// The slots that batch work of this host may take now.
    pub(super) fn idle_slots(&self, now: Instant) -> usize {
        let servers = self.servers.iter();
        let own = servers.filter(|(key, _)| self.takes_batch(*key, now));
        let open = own.filter(|(key, _)| self.servers.is_open(*key, now));
        open.map(|(key, record)| self.idle(key, record) as usize)
            .sum()
    }

    pub(super) fn key_of(&self, name: &ServerName) -> Option<ServerKey> {
        self.servers.find(name)
    }

    /// Whether the server can serve the request, apart from its free slots.
    pub(super) fn suits(&self, key: ServerKey, request: &SlotRequest, now: Instant) -> bool {
        let Some(record) = self.servers.get(key) else {
            return false;
        };
        self.is_candidate(key, record, request, now)
    }

    /// Whether requests on the server have to wait inside it, as the dispatching
    /// host of the server knows best.
    pub(super) fn is_crowded(&self, key: ServerKey) -> bool {
        let record = self.servers.get(key);
        let slots = record.map_or(0, |record| record.announcement().slots);
        let load = self.loads.get(key);
        load.is_some_and(|load| load.occupied() > slots)
    }

    /// Notes a request that another host has sent to the server.
    pub(super) fn note_placed(&mut self, key: ServerKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.note_foreign();
        }
    }

    /// A notice to the dispatching host of the server; none if that is this host.
    pub(super) fn slot_notice(&self, key: ServerKey, event: SlotEvent) -> Option<SlotNotice> {
        let home = self.homes.get(key)?;
        let server = self.servers.get(key)?.announcement().name.clone();
        (*home != self.place.host).then(|| SlotNotice {
            receiver: home.clone(),
            server,
            event,
        })
    }

    /// The least occupied server that could serve the request with a slot more.
    pub(super) fn next_choice(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        let candidates = self.candidates(request, now);
        candidates
            .min_by_key(|(_, record)| record.load())
            .map(|(key, _)| key)
    }

    pub(super) fn views(&self, now: Instant) -> Vec<ServerView> {
        let view = |record: &ServerRecord| {
            let announcement = record.announcement();
            ServerView {
                name: announcement.name.clone(),
                zone: announcement.zone.clone(),
                address: announcement.address.to_string(),
                slots: announcement.slots,
                in_flight: record.in_flight(),
                occupied: record.load(),
                live: now.saturating_duration_since(record.renewed_at()) < ANNOUNCEMENT_LEASE,
                leaving: record.is_leaving(),
            }
        };
        let mut views: Vec<_> = self
            .servers
            .iter()
            .map(|(_, record)| view(record))
            .collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn find_home(&mut self, key: ServerKey) {
        let record = self.servers.get(key);
        let home = record.and_then(|record| home_of(record.announcement(), &self.hosts));
        match home {
            Some(home) => self.homes.insert(key, home),
            None => self.homes.remove(key),
        };
    }

    /// Gives the server no batch items for a while. Its ejection is not enough,
    /// as it needs several failures and spares half of the servers.
    pub(super) fn pause_batch(&mut self, key: ServerKey, now: Instant) {
        if self.servers.get(key).is_some() {
            self.batch_pauses.insert(key, now + BATCH_PAUSE);
        }
    }

    /// Whether this host may dispatch batch items to the server.
    fn takes_batch(&self, key: ServerKey, now: Instant) -> bool {
        let is_home = self.homes.get(key) == Some(&self.place.host);
        let pause = self.batch_pauses.get(key);
        is_home && pause.is_none_or(|until| *until <= now)
    }

    /// The server of this host with the most slots idle for batch work.
    fn idle_choice(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        let own = self
            .candidates(request, now)
            .filter(|(key, _)| self.takes_batch(*key, now));
        let best = own.max_by_key(|(key, record)| self.idle(*key, record));
        best.filter(|(key, record)| self.idle(*key, record) > 0)
            .map(|(key, _)| key)
    }

    /// The slots of a server that batch work may take.
    fn idle(&self, key: ServerKey, record: &ServerRecord) -> u32 {
        let slots = record.announcement().slots;
        let usable = slots.saturating_sub(BATCH_RESERVE_SLOTS);
        let occupied = self.loads.get(key).map_or(0, LoadEstimate::occupied);
        usable.saturating_sub(occupied)
    }

    fn candidates<'a>(
        &'a self,
        request: &'a SlotRequest,
        now: Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let servers = self.servers.iter();
        servers.filter(move |(key, record)| self.is_candidate(*key, record, request, now))
    }

    fn is_candidate(
        &self,
        key: ServerKey,
        record: &ServerRecord,
        request: &SlotRequest,
        now: Instant,
    ) -> bool {
        self.servers.is_open(key, now)
            && record.offers(&request.target)
            && !request.excluded.contains(&record.announcement().name)
    }
}
