//! The backend servers known to a host.

use super::handle::{RoutingPlace, SlotRequest, SlotWish, WorkKind, WorkTarget};
use super::home::home_of;
use super::server_load::LoadEstimate;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerLoad};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time without a renewal after which a server gets no new work.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// The time without a renewal after which a server is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Slots of each server that batch work leaves free for the next online request.
const BATCH_RESERVE_SLOTS: u32 = 1;

/// The time for which a server that failed a batch item gets no other.
const BATCH_PAUSE: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a server in the table of one host.
    pub(crate) struct ServerKey;
}

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

struct ServerRecord {
    announcement: ServerAnnouncement,
    heard: Instant,
    load: LoadEstimate,
    batch_paused_until: Option<Instant>,
    /// The host that dispatches batch items to the server.
    home: Option<HostName>,
}

impl ServerRecord {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) <= ANNOUNCEMENT_LEASE
    }

    fn serves(&self, target: &WorkTarget) -> bool {
        match target {
            WorkTarget::Model(name) => self.announcement.models.contains(name),
            WorkTarget::Service(name) => self.announcement.services.contains(name),
        }
    }

    /// Slots that batch work may take.
    fn idle(&self, now: Instant) -> u32 {
        if self.batch_paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        let usable = self.announcement.slots.saturating_sub(BATCH_RESERVE_SLOTS);
        usable.saturating_sub(self.load.occupied())
    }

    /// Slots that a request of the kind may take.
    fn free(&self, kind: WorkKind, now: Instant) -> u32 {
        match kind {
            WorkKind::Online => self
                .announcement
                .slots
                .saturating_sub(self.load.in_flight()),
            WorkKind::Batch { .. } => self.idle(now),
        }
    }

    fn takes_work(&self, now: Instant) -> bool {
        self.is_live(now) && !self.announcement.leaving
    }
}

/// The servers of one host's view.
#[derive(Default)]
pub(super) struct ServerTable {
    hosts: Vec<RoutingPlace>,
    servers: SlotMap<ServerKey, ServerRecord>,
    by_name: HashMap<ServerName, ServerKey>,
}

impl ServerTable {
    /// Takes an announcement; an older incarnation is ignored.
    pub(super) fn announce(&mut self, announcement: ServerAnnouncement, now: Instant) {
        let name = announcement.name.clone();
        let known = self
            .by_name
            .get(&name)
            .and_then(|key| self.servers.get_mut(*key));
        match known {
            Some(record) if announcement.generation < record.announcement.generation => {}
            Some(record) => {
                record.load.report(announcement.load, now);
                record.announcement = announcement;
                record.heard = now;
            }
            None => {
                let key = self.servers.insert(ServerRecord {
                    home: home_of(&announcement, &self.hosts),
                    announcement,
                    heard: now,
                    load: LoadEstimate::new(now),
                    batch_paused_until: None,
                });
                self.by_name.insert(name, key);
            }
        }
    }

    /// Forgets servers that were not heard for long and hold no request.
    pub(super) fn forget_lost(&mut self, now: Instant) {
        let by_name = &mut self.by_name;
        self.servers.retain(|_, record| {
            let silent = now.saturating_duration_since(record.heard) > FORGET_AFTER;
            let kept = !silent || record.load.in_flight() > 0;
            if !kept {
                by_name.remove(&record.announcement.name);
            }
            kept
        });
    }

    /// Whether any server can take the request, now or later.
    pub(super) fn can_serve(&self, request: &SlotRequest, now: Instant) -> bool {
        self.candidates(request, now).next().is_some()
    }

    /// The server with the most free slots, those of the own zone first.
    pub(super) fn choose(
        &self,
        request: &SlotRequest,
        place: &RoutingPlace,
        now: Instant,
    ) -> Option<ServerKey> {
        let allowed = |record: &ServerRecord| match request.kind {
            WorkKind::Online => true,
            WorkKind::Batch { .. } => record.home.as_ref() == Some(&place.host),
        };
        self.candidates(request, now)
            .filter(|(_, record)| allowed(record) && record.free(request.kind, now) > 0)
            .max_by_key(|(_, record)| {
                let local = record.announcement.zone == place.zone;
                (local, record.free(request.kind, now))
            })
            .map(|(key, _)| key)
    }

    /// Notes which hosts share the servers.
    pub(super) fn set_hosts(&mut self, hosts: Vec<RoutingPlace>) {
        self.hosts = hosts;
        for record in self.servers.values_mut() {
            record.home = home_of(&record.announcement, &self.hosts);
        }
    }

    /// The slots that batch work of the host may take now.
    pub(super) fn idle_slots(&self, host: &HostName, now: Instant) -> usize {
        let own = self
            .servers
            .values()
            .filter(|record| record.takes_work(now) && record.home.as_ref() == Some(host));
        own.map(|record| record.idle(now) as usize).sum()
    }

    pub(super) fn key_of(&self, name: &ServerName) -> Option<ServerKey> {
        self.by_name.get(name).copied()
    }

    /// Whether the server can serve the request, apart from its free slots.
    pub(super) fn suits(&self, key: ServerKey, request: &SlotRequest, now: Instant) -> bool {
        self.candidates(request, now).any(|(other, _)| other == key)
    }

    /// Whether requests on the server have to wait inside it.
    pub(super) fn is_crowded(&self, key: ServerKey) -> bool {
        let record = self.servers.get(key);
        record.is_some_and(|record| record.load.occupied() > record.announcement.slots)
    }

    /// The dispatching host of a server, and its name.
    pub(super) fn slot_wish(&self, key: ServerKey) -> Option<SlotWish> {
        let record = self.servers.get(key)?;
        Some(SlotWish {
            home: record.home.clone()?,
            server: record.announcement.name.clone(),
        })
    }

    /// The least occupied server that could serve the request with a slot more.
    pub(super) fn next_choice(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        self.candidates(request, now)
            .min_by_key(|(_, record)| record.load.in_flight())
            .map(|(key, _)| key)
    }

    pub(super) fn take_slot(
        &mut self,
        key: ServerKey,
        now: Instant,
    ) -> Option<&ServerAnnouncement> {
        let record = self.servers.get_mut(key)?;
        record.load.take(now);
        Some(&record.announcement)
    }

    pub(super) fn give_back(&mut self, key: ServerKey, load: Option<ServerLoad>, now: Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            if let Some(load) = load {
                record.load.report(load, now);
            }
            record.load.give_back(now);
        }
    }

    /// Gives the server no batch items for a while.
    pub(super) fn pause_batch(&mut self, key: ServerKey, now: Instant) {
        if let Some(record) = self.servers.get_mut(key) {
            record.batch_paused_until = Some(now + BATCH_PAUSE);
        }
    }

    pub(super) fn views(&self, now: Instant) -> Vec<ServerView> {
        let view = |record: &ServerRecord| ServerView {
            name: record.announcement.name.clone(),
            zone: record.announcement.zone.clone(),
            address: record.announcement.address.to_string(),
            slots: record.announcement.slots,
            in_flight: record.load.in_flight(),
            occupied: record.load.occupied(),
            live: record.is_live(now),
            leaving: record.announcement.leaving,
        };
        let mut views: Vec<_> = self.servers.values().map(view).collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn candidates<'a>(
        &'a self,
        request: &'a SlotRequest,
        now: Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        self.servers.iter().filter(move |(_, record)| {
            record.takes_work(now)
                && record.serves(&request.target)
                && !request.excluded.contains(&record.announcement.name)
        })
    }
}
