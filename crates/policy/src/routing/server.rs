//! What an entry host knows of one backend server.

use super::ServerHealth;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerLoad, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// What a request needs of a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkTarget {
    /// An engine that serves the model.
    Model(ModelName),
    /// A server that offers the plain service.
    Service(ServiceName),
}

impl fmt::Display for WorkTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => model.fmt(f),
            Self::Service(service) => service.fmt(f),
        }
    }
}

/// How an attempt on a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerOutcome {
    /// The server gave a whole answer.
    Answered,
    /// The server refused before running the request.
    Refused,
    /// The connection failed, or the answer was truncated or crossed.
    Failed,
    /// The server sent nothing in time.
    Silent,
    /// The caller left or the system cancelled the attempt.
    Cancelled,
}

/// One announced server, with this host's own requests on it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub(super) announcement: ServerAnnouncement,
    pub(super) renewed_at: Instant,
    pub(super) leaving: bool,
    pub(super) health: ServerHealth,
    pub(super) in_flight: u32,
    reported_at: Instant,
    reported: ServerLoad,
    started_since: u32,
    finished_since: u32,
    service_time: Duration,
}

impl ServerRecord {
    pub(super) fn new(announcement: &ServerAnnouncement, renewed_at: Instant) -> Self {
        Self {
            announcement: announcement.clone(),
            renewed_at,
            leaving: announcement.leaving,
            health: ServerHealth::default(),
            in_flight: 0,
            reported_at: renewed_at,
            reported: announcement.load,
            started_since: 0,
            finished_since: 0,
            service_time: Duration::ZERO,
        }
    }

    /// The latest announcement.
    #[must_use]
    pub const fn announcement(&self) -> &ServerAnnouncement {
        &self.announcement
    }

    /// This host's own requests on the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the server takes no new work.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// When the server last renewed its announcement.
    #[must_use]
    pub const fn renewed_at(&self) -> Instant {
        self.renewed_at
    }

    /// Whether the server offers the target.
    #[must_use]
    pub fn offers(&self, target: &WorkTarget) -> bool {
        match target {
            WorkTarget::Model(model) => self.announcement.models.contains(model),
            WorkTarget::Service(service) => self.announcement.services.contains(service),
        }
    }

    /// Whether the server gets requests.
    #[must_use]
    pub const fn health(&self) -> ServerHealth {
        self.health
    }

    /// Requests on the server: the report, corrected by what this host started
    /// and finished since; never below this host's own.
    #[must_use]
    pub fn load(&self) -> u32 {
        let reported = self.reported.running.saturating_add(self.reported.waiting);
        let started = reported.saturating_add(self.started_since);
        let corrected = started.saturating_sub(self.finished_since);
        corrected.max(self.in_flight)
    }

    /// The load in thousandths of the slots.
    #[must_use]
    pub fn load_permille(&self) -> u64 {
        let slots = u64::from(self.announcement.slots.max(1));
        u64::from(self.load()) * 1_000 / slots
    }

    /// The time until a slot frees, from the mean service time.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let slots = self.announcement.slots.max(1);
        let over = (self.load() + 1).saturating_sub(slots);
        self.service_time * over / slots
    }

    pub(super) fn has_room(&self, own_floor: u32) -> bool {
        let slots = self.announcement.slots;
        let own_share = own_floor.min(slots);
        self.load() < slots || self.in_flight < own_share
    }

    pub(super) fn renew(&mut self, announcement: &ServerAnnouncement, at: Instant) {
        self.leaving |= announcement.leaving;
        self.renewed_at = at;
        self.announcement = announcement.clone();
        self.report(announcement.load, at);
    }

    /// Takes over a load report, unless a newer one is known.
    pub(super) fn report(&mut self, load: ServerLoad, at: Instant) {
        if at < self.reported_at {
            return;
        }
        self.reported_at = at;
        self.reported = load;
        self.started_since = 0;
        self.finished_since = 0;
    }

    pub(super) fn start(&mut self) {
        self.in_flight += 1;
        self.started_since += 1;
        self.health = self.health.started();
    }

    pub(super) fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished_since += 1;
    }

    pub(super) fn record_freed_slot(&mut self) {
        self.finished_since += 1;
    }

    pub(super) fn note_service_time(&mut self, elapsed: Duration) {
        const WEIGHT: u32 = 8;
        if self.service_time.is_zero() {
            self.service_time = elapsed;
            return;
        }
        self.service_time = (self.service_time * (WEIGHT - 1) + elapsed) / WEIGHT;
    }
}
