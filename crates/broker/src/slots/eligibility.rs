//! Which servers may run a request at all, by their versions, by the limits they name, and by
//! the homes of the request.

use super::{NO_SERVER_RETRY, RETRY_AFTER_MAX, SlotBroker};
use crate::directory::{ServerPhase, ServerRecord};
use crate::grants::ServerKey;
use crate::request::{PoolLoad, SlotRefusalReason, SlotRequest};
use crate::server_limits::LimitReport;
use crate::streams::{StreamPart, StreamReport};
use chicoryladder_types::{AreaName, ServiceName, SoftwareVersion};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl SlotBroker {
    /// Records the limit that a server names, as a host reports it. Returns whether the
    /// limit changed. A report on an incarnation that has not checked in yet takes effect
    /// when it does; one on an earlier incarnation changes nothing.
    pub fn record_limit(&mut self, report: &LimitReport, now: Instant) -> bool {
        let key = self.by_name.get(&report.server).copied();
        let entry = key.and_then(|key| self.servers.get_mut(key));
        let Some(entry) = entry.filter(|entry| entry.incarnation() >= report.incarnation) else {
            self.early_limits.insert(report, now);
            return false;
        };
        let changed = entry.incarnation() == report.incarnation && entry.limit.apply(report, now);
        if let Some(key) = key.filter(|_| changed) {
            // A response that says that its server is cold is reported as a limit.
            self.refresh_cold(key, now);
        }
        changed
    }

    /// Applies what hosts reported on a server before it checked in.
    pub(super) fn apply_early_limit(&mut self, key: ServerKey, now: Instant) {
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        let check_in = &entry.record.check_in;
        let (name, incarnation) = (&check_in.name, check_in.incarnation);
        if let Some(report) = self.early_limits.take(name, incarnation, now) {
            entry.limit.apply(&report, now);
        }
    }

    /// The number of servers with a limit.
    #[must_use]
    pub fn limited_servers(&self) -> usize {
        let limits = self.servers.values().map(|entry| entry.limit.get());
        limits.flatten().count()
    }

    /// Whether a server of a service is ready for work, in no drained zone, and in one of the
    /// homes if there are any.
    pub(super) fn has_servers(
        &self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
        homes: Option<&BTreeSet<AreaName>>,
    ) -> bool {
        let Some(pool) = self.services.get(service) else {
            return false;
        };
        let mut entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        entries.any(|entry| {
            let record = &entry.record;
            let is_ready = record.check_in.phase == ServerPhase::Ready && !record.is_lost;
            is_ready
                && !self.is_drained(&record.check_in)
                && has_version(record, version)
                && self
                    .settings
                    .areas
                    .allows_server(homes, &record.check_in.zone)
        })
    }

    /// Why no server will run a request, whatever it waits for.
    pub(super) fn unservable(
        &self,
        request: &SlotRequest,
    ) -> Option<(SlotRefusalReason, Duration)> {
        let service = &request.service;
        if !self.has_servers(service, None, None) {
            return Some((SlotRefusalReason::NoServer, NO_SERVER_RETRY));
        }
        if self.exceeds_memory(request) {
            // Earlier builds do not know a reason of its own.
            let load = PoolLoad::default();
            return Some((SlotRefusalReason::NoSlot(load), RETRY_AFTER_MAX));
        }
        let homes = request.homes.as_ref();
        if homes.is_some() && !self.has_servers(service, None, homes) {
            return Some((SlotRefusalReason::NoHomeServer, NO_SERVER_RETRY));
        }
        let version = request.required_version();
        let is_gone = version.is_some() && !self.has_servers(service, version, homes);
        is_gone.then_some((SlotRefusalReason::VersionGone, RETRY_AFTER_MAX))
    }

    /// Whether a request needs more memory than any server of its service has.
    fn exceeds_memory(&self, request: &SlotRequest) -> bool {
        let pool = self.services.get(&request.service);
        let memory = pool.and_then(|pool| pool.engine_tokens);
        memory.is_some_and(|memory| request.tokens > memory)
    }

    /// Finds out the version that the rest of a stream is bound to. Returns whether it is
    /// known, or the request bound to none.
    pub(super) fn bind_version(&self, request: &mut SlotRequest, now: Instant) -> bool {
        let Some(StreamPart::Rest { stream, version }) = &mut request.stream else {
            return true;
        };
        if version.is_none() {
            let bound = stream.and_then(|stream| self.streams.version(stream, now));
            let is_complete = self.versions_complete_at.is_none_or(|at| now >= at);
            let pool = self.services.get(&request.service);
            let sole = || pool.filter(|_| is_complete)?.versions.sole(now);
            *version = bound.or_else(sole).cloned();
        }
        version.is_some()
    }

    /// Whether a server has the version that a request requires, or a stream may begin at its
    /// version.
    pub(super) fn admits_version(&self, record: &ServerRecord, request: &SlotRequest) -> bool {
        let version = &record.check_in.version;
        match &request.stream {
            Some(StreamPart::Beginning(_)) => {
                let pool = self.services.get(&record.check_in.service);
                pool.is_some_and(|pool| pool.versions.may_begin(version))
            }
            Some(StreamPart::Rest { .. }) | None => has_version(record, request.required_version()),
        }
    }

    /// Whether a server is in a zone whose servers the homes of a request allow.
    pub(super) fn is_allowed_home(&self, record: &ServerRecord, request: &SlotRequest) -> bool {
        let homes = request.homes.as_ref();
        self.settings
            .areas
            .allows_server(homes, &record.check_in.zone)
    }

    /// Whether a request may have to wait although servers are free, since streams may not
    /// begin at some of the versions yet.
    pub(super) fn waits_for_version(&self, request: &SlotRequest) -> bool {
        let pool = self.services.get(&request.service);
        request.begins_stream() && pool.is_some_and(|pool| pool.versions.has_held())
    }

    /// Records the version that a stream is bound to, as a host reports it.
    pub fn record_stream(&mut self, report: &StreamReport, now: Instant) {
        self.streams.apply(report, now);
    }

    /// The requests a second that the servers of a service can take up, by their slots,
    /// by the limits that they name and by their rates while they are cold; of one version or
    /// of some homes only if they are given.
    pub(super) fn request_rate(
        &self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
        homes: Option<&BTreeSet<AreaName>>,
        now: Instant,
    ) -> f64 {
        let Some(pool) = self.services.get(service) else {
            return 0.0;
        };
        let is_engine = pool.engine_tokens.is_some();
        let entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        let open = entries.filter(|entry| {
            let record = &entry.record;
            self.accepts_work(record, now)
                && has_version(record, version)
                && self
                    .settings
                    .areas
                    .allows_server(homes, &record.check_in.zone)
        });
        let rates = open.map(|entry| {
            let by_slots = f64::from(entry.capacity(is_engine, now)) / pool.averages.hold_seconds;
            let limit = entry.limit.get();
            let by_limit = limit.map_or(by_slots, |limit| by_slots.min(limit.per_second()));
            let pace = entry.cold.pace(limit, now);
            pace.map_or(by_limit, |pace| by_limit.min(pace.per_second()))
        });
        rates.sum()
    }

    /// The part of `all_rate` that falls to the servers which may run a request.
    pub(super) fn own_rate(&self, request: &SlotRequest, all_rate: f64, now: Instant) -> f64 {
        let (version, homes) = (request.required_version(), request.homes.as_ref());
        if version.is_none() && homes.is_none() {
            return all_rate;
        }
        self.request_rate(&request.service, version, homes, now)
    }
}

/// Whether a server has the given version, if there is one.
fn has_version(record: &ServerRecord, version: Option<&SoftwareVersion>) -> bool {
    version.is_none_or(|version| *version == record.check_in.version)
}
