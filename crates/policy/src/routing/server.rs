//! An entry host's record of one backend server.

use super::ServerHealth;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerLoad, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// What a request requires a server to offer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkTarget {
    /// An engine that serves the model.
    Model(ModelName),
    /// A server that offers the service.
    Service(ServiceName),
}

impl WorkTarget {
    /// The name under which crashes of the servers are counted.
    #[must_use]
    pub fn pool(&self) -> ServiceName {
        match self {
            Self::Model(model) => model.into(),
            Self::Service(service) => service.clone(),
        }
    }
}

impl fmt::Display for WorkTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => model.fmt(f),
            Self::Service(service) => service.fmt(f),
        }
    }
}

/// The outcome of an attempt on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerOutcome {
    /// The server sent a complete response.
    Answered,
    /// The server refused the request before running it.
    Refused,
    /// The connection failed, or the response was truncated or mismatched.
    Failed,
    /// The server did not respond in time.
    Silent,
    /// The caller disconnected, or the attempt was cancelled.
    Cancelled,
}

/// An announced server with the requests of this host on it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub(super) announcement: ServerAnnouncement,
    pub(super) renewed_at: Instant,
    pub(super) leaving: bool,
    pub(super) health: ServerHealth,
    pub(super) in_flight: u32,
    reported_at: Instant,
    reported: ServerLoad,
    started_since_report: u32,
    finished_since_report: u32,
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
            started_since_report: 0,
            finished_since_report: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Returns the latest announcement.
    #[must_use]
    pub const fn announcement(&self) -> &ServerAnnouncement {
        &self.announcement
    }

    /// Returns the number of requests of this host on the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the server is leaving and accepts no new work.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the instant of the latest renewal of the announcement.
    #[must_use]
    pub const fn renewed_at(&self) -> Instant {
        self.renewed_at
    }

    /// Returns whether the server offers the target.
    #[must_use]
    pub fn offers(&self, target: &WorkTarget) -> bool {
        match target {
            WorkTarget::Model(model) => self.announcement.models.contains(model),
            WorkTarget::Service(service) => self.announcement.services.contains(service),
        }
    }

    /// Returns the health of the server.
    #[must_use]
    pub const fn health(&self) -> ServerHealth {
        self.health
    }

    /// Returns the estimated number of requests on the server: the reported load,
    /// corrected for the requests that this host started and finished since the
    /// report. It is at least the number of requests of this host.
    #[must_use]
    pub fn load(&self) -> u32 {
        let reported = self.reported.running.saturating_add(self.reported.waiting);
        let started = reported.saturating_add(self.started_since_report);
        let corrected = started.saturating_sub(self.finished_since_report);
        corrected.max(self.in_flight)
    }

    /// Returns the load in thousandths of the slots.
    #[must_use]
    pub fn load_permille(&self) -> u64 {
        let slots = u64::from(self.announcement.slots.max(1));
        u64::from(self.load()) * 1_000 / slots
    }

    /// Returns the estimated time until a slot is free, from the mean service time.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let slots = self.announcement.slots.max(1);
        let excess = (self.load() + 1).saturating_sub(slots);
        self.service_time * excess / slots
    }

    pub(super) fn has_free_slot(&self, own_slots_min: u32) -> bool {
        let slots = self.announcement.slots;
        let own_share = own_slots_min.min(slots);
        self.load() < slots || self.in_flight < own_share
    }

    pub(super) fn renew(&mut self, announcement: &ServerAnnouncement, at: Instant) {
        self.leaving |= announcement.leaving;
        self.renewed_at = at;
        self.announcement = announcement.clone();
        self.report(announcement.load, at);
    }

    /// Applies a load report unless it is older than the current one.
    pub(super) fn report(&mut self, load: ServerLoad, at: Instant) {
        if at < self.reported_at {
            return;
        }
        self.reported_at = at;
        self.reported = load;
        self.started_since_report = 0;
        self.finished_since_report = 0;
    }

    pub(super) fn start(&mut self) {
        self.in_flight += 1;
        self.started_since_report += 1;
        self.health = self.health.started();
    }

    pub(super) fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished_since_report += 1;
    }

    pub(super) fn record_freed_slot(&mut self) {
        self.finished_since_report += 1;
    }

    pub(super) fn record_service_time(&mut self, elapsed: Duration) {
        const WEIGHT: u32 = 8;
        if self.service_time.is_zero() {
            self.service_time = elapsed;
            return;
        }
        self.service_time = (self.service_time * (WEIGHT - 1) + elapsed) / WEIGHT;
    }
}
