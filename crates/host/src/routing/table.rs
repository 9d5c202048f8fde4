//! The backend servers known to a host, with the load and the dispatch host of each.

use super::dispatch_host::dispatch_host_of;
use super::handle::{
    RoutingLocation, SlotEvent, SlotNotice, SlotRequest, WorkKind, no_server, only_drained_servers,
};
use super::server_load::LoadEstimate;
use chicoryladder_policy::routing::{
    RouteChoice, RouteQuery, RouteTimes, ServerKey, ServerRecord, ServerTable,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerLoad};
use rand_chacha::ChaCha12Rng;
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// The time after its last announcement for which a server gets new work.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Slots of each server that batch items leave free for the next online request.
const BATCH_RESERVE_SLOTS: u32 = 1;

/// The time for which a server gets no batch items after it failed one.
const BATCH_PAUSE: Duration = Duration::from_secs(1);

/// The state of a server as shown to operators.
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

/// The servers known to one host.
pub(super) struct RoutingTable {
    location: RoutingLocation,
    servers: ServerTable,
    hosts: Vec<RoutingLocation>,
    dispatch_hosts: SecondaryMap<ServerKey, HostName>,
    loads: SecondaryMap<ServerKey, LoadEstimate>,
    /// The instant until which a server that failed a batch item gets no other.
    batch_pauses: SecondaryMap<ServerKey, Instant>,
    rng: ChaCha12Rng,
}

impl RoutingTable {
    pub(super) fn new(location: RoutingLocation, rng: ChaCha12Rng) -> Self {
        let times = RouteTimes {
            server_lease: ANNOUNCEMENT_LEASE,
            ..RouteTimes::default()
        };
        Self {
            servers: ServerTable::new(location.zone.clone(), times),
            location,
            hosts: Vec::new(),
            dispatch_hosts: SecondaryMap::new(),
            loads: SecondaryMap::new(),
            batch_pauses: SecondaryMap::new(),
            rng,
        }
    }

    /// Returns the underlying server table.
    pub(super) const fn servers(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Records an announcement; one older than the latest is ignored.
    pub(super) fn announce(&mut self, announcement: &ServerAnnouncement, now: Instant) {
        self.servers.announce(announcement, now);
        let Some(key) = self.servers.find(&announcement.name) else {
            return;
        };
        if !self.dispatch_hosts.contains_key(key) {
            self.assign_dispatch_host(key);
        }
        self.record_load(key, announcement.load, now);
    }

    /// Sets the live hosts and reassigns the dispatch host of each server.
    pub(super) fn set_hosts(&mut self, hosts: Vec<RoutingLocation>) {
        self.servers
            .set_live_hosts(u32::try_from(hosts.len()).unwrap_or(u32::MAX));
        self.hosts = hosts;
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.assign_dispatch_host(key);
        }
    }

    /// Removes servers that have not announced themselves for a long time and hold no
    /// request.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        for name in self.servers.expire(now) {
            log::info!("routing: removed server {name}, which no longer announces itself.");
        }
        let servers = &self.servers;
        self.dispatch_hosts
            .retain(|key, _| servers.get(key).is_some());
        self.loads.retain(|key, _| servers.get(key).is_some());
        self.batch_pauses
            .retain(|key, until| servers.get(key).is_some() && now < *until);
    }

    /// Returns whether any server can take the request, now or once it has a free
    /// slot.
    pub(super) fn can_serve(&self, request: &SlotRequest, now: Instant) -> bool {
        self.candidates(request, now).next().is_some()
    }

    /// Returns the refusal of a request that no server can take.
    pub(super) fn refusal(&self, request: &SlotRequest, now: Instant) -> RequestRefusal {
        if self.servers.is_target_drained(&request.target, now) {
            only_drained_servers(&request.target)
        } else {
            no_server(&request.target)
        }
    }

    /// Returns whether servers are ready for work, all of them in drained zones.
    pub(super) fn is_wholly_drained(&self, now: Instant) -> bool {
        self.servers.is_wholly_drained(now)
    }

    /// Chooses a server with a free slot for the request.
    pub(super) fn choose(&mut self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        match &request.kind {
            WorkKind::Online(parameters) => {
                let excluded = request.excluded.iter();
                let avoid: Vec<ServerKey> = excluded
                    .filter_map(|name| self.servers.find(name))
                    .collect();
                let query = RouteQuery {
                    target: &request.target,
                    prefixes: &parameters.prefixes,
                    avoid: &avoid,
                    reserved_slots: 0,
                };
                match self.servers.choose(&query, &mut self.rng, now) {
                    RouteChoice::Server(key) => Some(key),
                    RouteChoice::Busy | RouteChoice::NoServer => None,
                }
            }
            WorkKind::Batch { .. } => self.choose_for_batch(request, now),
        }
    }

    /// Records that a request starts on the server.
    pub(super) fn take_slot(
        &mut self,
        key: ServerKey,
        now: Instant,
    ) -> Option<&ServerAnnouncement> {
        self.servers.start(key);
        if let Some(load) = self.loads.get_mut(key) {
            load.start_request(now);
        }
        self.servers.get(key).map(ServerRecord::announcement)
    }

    /// Records that a request on the server has ended.
    pub(super) fn release_slot(&mut self, key: ServerKey, load: Option<ServerLoad>, now: Instant) {
        if let Some(load) = load {
            self.record_load(key, load, now);
        }
        if let Some(load) = self.loads.get_mut(key) {
            load.finish_request(now);
        }
    }

    /// Records a load report.
    fn record_load(&mut self, key: ServerKey, load: ServerLoad, now: Instant) {
        if let Some(entry) = self.loads.entry(key) {
            let estimate = entry.or_insert_with(|| LoadEstimate::new(now));
            estimate.record_report(load, now);
        }
    }

    /// Returns the number of slots that batch items of this host may occupy now.
    pub(super) fn idle_slots(&self, now: Instant) -> usize {
        let servers = self.servers.iter();
        let accepting = servers.filter(|(key, _)| self.accepts_batch(*key, now));
        let open = accepting.filter(|(key, _)| self.servers.is_open(*key, now));
        open.map(|(key, record)| self.idle_batch_slots(key, record) as usize)
            .sum()
    }

    pub(super) fn find(&self, name: &ServerName) -> Option<ServerKey> {
        self.servers.find(name)
    }

    /// Returns whether the server can serve the request, regardless of free slots.
    pub(super) fn is_eligible(&self, key: ServerKey, request: &SlotRequest, now: Instant) -> bool {
        let Some(record) = self.servers.get(key) else {
            return false;
        };
        self.is_candidate(key, record, request, now)
    }

    /// Returns whether the server has more requests than slots, so that some queue
    /// inside it. The dispatch host of the server has the best estimate.
    pub(super) fn is_overcommitted(&self, key: ServerKey) -> bool {
        let record = self.servers.get(key);
        let slots = record.map_or(0, |record| record.announcement().slots);
        let load = self.loads.get(key);
        load.is_some_and(|load| load.occupied() > slots)
    }

    /// Records an online request that another host has dispatched to the server.
    pub(super) fn record_online_dispatch(&mut self, key: ServerKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.record_foreign();
        }
    }

    /// Returns a notice to the dispatch host of the server; `None` if that is this
    /// host or unknown.
    pub(super) fn slot_notice(&self, key: ServerKey, event: SlotEvent) -> Option<SlotNotice> {
        let dispatch_host = self.dispatch_hosts.get(key)?;
        let server = self.servers.get(key)?.announcement().name.clone();
        (*dispatch_host != self.location.host).then(|| SlotNotice {
            receiver: dispatch_host.clone(),
            server,
            event,
        })
    }

    /// Returns the least loaded server that could serve the request if it had a free
    /// slot.
    pub(super) fn least_loaded(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
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

    fn assign_dispatch_host(&mut self, key: ServerKey) {
        let record = self.servers.get(key);
        let dispatch_host =
            record.and_then(|record| dispatch_host_of(record.announcement(), &self.hosts));
        match dispatch_host {
            Some(dispatch_host) => self.dispatch_hosts.insert(key, dispatch_host),
            None => self.dispatch_hosts.remove(key),
        };
    }

    /// Sends the server no batch items for [`BATCH_PAUSE`]. Ejection by the health
    /// check is not enough: it takes several failures and never ejects more than half
    /// of the servers.
    pub(super) fn pause_batch(&mut self, key: ServerKey, now: Instant) {
        if self.servers.get(key).is_some() {
            self.batch_pauses.insert(key, now + BATCH_PAUSE);
        }
    }

    /// Returns whether this host may dispatch batch items to the server.
    fn accepts_batch(&self, key: ServerKey, now: Instant) -> bool {
        let is_dispatch_host = self.dispatch_hosts.get(key) == Some(&self.location.host);
        let pause = self.batch_pauses.get(key);
        is_dispatch_host && pause.is_none_or(|until| *until <= now)
    }

    /// Chooses the server dispatched to by this host that has the most slots idle for
    /// batch items.
    fn choose_for_batch(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        let accepting = self
            .candidates(request, now)
            .filter(|(key, _)| self.accepts_batch(*key, now));
        let best = accepting.max_by_key(|(key, record)| self.idle_batch_slots(*key, record));
        best.filter(|(key, record)| self.idle_batch_slots(*key, record) > 0)
            .map(|(key, _)| key)
    }

    /// Returns the number of slots of a server that batch items may occupy.
    fn idle_batch_slots(&self, key: ServerKey, record: &ServerRecord) -> u32 {
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
