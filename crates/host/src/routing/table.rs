//! The backend servers known to a host.

use super::handle::{SlotRequest, WorkTarget};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerLoad};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time without a renewal after which a server gets no new work.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// The time without a renewal after which a server is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

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
    pub(crate) live: bool,
    pub(crate) leaving: bool,
}

struct ServerRecord {
    announcement: ServerAnnouncement,
    heard: Instant,
    in_flight: u32,
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

    fn takes_work(&self, now: Instant) -> bool {
        self.is_live(now) && !self.announcement.leaving
    }
}

/// The servers of one host's view.
#[derive(Default)]
pub(super) struct ServerTable {
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
                record.announcement = announcement;
                record.heard = now;
            }
            None => {
                let key = self.servers.insert(ServerRecord {
                    announcement,
                    heard: now,
                    in_flight: 0,
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
            let kept = !silent || record.in_flight > 0;
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

    /// The server with the most free slots, those of `zone` first.
    pub(super) fn choose(
        &self,
        request: &SlotRequest,
        zone: &ZoneName,
        now: Instant,
    ) -> Option<ServerKey> {
        let free = self
            .candidates(request, now)
            .filter(|(_, record)| record.in_flight < record.announcement.slots);
        free.max_by_key(|(_, record)| {
            let local = record.announcement.zone == *zone;
            (local, record.announcement.slots - record.in_flight)
        })
        .map(|(key, _)| key)
    }

    pub(super) fn take_slot(&mut self, key: ServerKey) -> Option<&ServerAnnouncement> {
        let record = self.servers.get_mut(key)?;
        record.in_flight += 1;
        Some(&record.announcement)
    }

    pub(super) fn give_back(&mut self, key: ServerKey, load: Option<ServerLoad>) {
        if let Some(record) = self.servers.get_mut(key) {
            record.in_flight = record.in_flight.saturating_sub(1);
            if let Some(load) = load {
                record.announcement.load = load;
            }
        }
    }

    pub(super) fn views(&self, now: Instant) -> Vec<ServerView> {
        let view = |record: &ServerRecord| ServerView {
            name: record.announcement.name.clone(),
            zone: record.announcement.zone.clone(),
            address: record.announcement.address.to_string(),
            slots: record.announcement.slots,
            in_flight: record.in_flight,
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
