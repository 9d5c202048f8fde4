//! What one process knows of servers from their responses, and the versions that its streams
//! are bound to.
//!
//! Everything in a process that sends to servers shares these marks: the runner sets and
//! checks them, the slot client returns slots of servers that leave and reports the marks
//! to the broker with the next call that is sent anyway.

use crate::event_log::EventLog;
use crate::metrics::RoleMetrics;
use chicoryladder_broker::{
    DepartureReport, DepartureSource, LeavingServers, LimitReport, LimitStatement, NamedLimits,
    SentTimes, ServerLimit, SlotRequest, StreamReport, StreamVersions,
};
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An incarnation of a server, as a request is addressed to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerIdentity {
    pub(crate) name: ServerName,
    pub(crate) incarnation: u64,
}

struct MarksShared {
    leaving: Mutex<LeavingServers>,
    limits: Mutex<NamedLimits>,
    /// When this process last sent to servers that may be cold.
    sent: Mutex<SentTimes>,
    streams: Mutex<StreamVersions>,
    /// The broker that the last reports went to.
    reported_to: Mutex<Option<SocketAddr>>,
    clock: Arc<dyn ClockSource>,
    log: EventLog,
    metrics: Arc<RoleMetrics>,
}

/// The marks of a process; clones share them.
#[derive(Clone)]
pub(crate) struct ServerMarks {
    shared: Arc<MarksShared>,
}

impl ServerMarks {
    pub(crate) fn new(
        clock: Arc<dyn ClockSource>,
        log: EventLog,
        metrics: Arc<RoleMetrics>,
    ) -> Self {
        let shared = MarksShared {
            leaving: Mutex::default(),
            limits: Mutex::default(),
            sent: Mutex::default(),
            streams: Mutex::default(),
            reported_to: Mutex::default(),
            clock,
            log,
            metrics,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Logs and counts a slot request with homes that is refused: no server at home is known, or
    /// one elsewhere was granted.
    pub(crate) fn record_home_refusal(
        &self,
        slot_request: &SlotRequest,
        cause: &'static str,
        granted: Option<(&ServerName, &ZoneName)>,
    ) {
        self.shared.metrics.count_home_refusal(cause);
        let fields = json!({
            "ticket": slot_request.ticket,
            "service": slot_request.service,
            "request_hash": slot_request.fingerprint.to_string(),
            "homes": slot_request.homes,
            "cause": cause,
            "server": granted.map(|(server, _)| server),
            "zone": granted.map(|(_, zone)| zone),
        });
        self.shared.log.note("home_refused", &fields);
    }

    pub(crate) fn leaving(&self) -> MutexGuard<'_, LeavingServers> {
        let leaving = self.shared.leaving.lock();
        leaving.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, NamedLimits> {
        let limits = self.shared.limits.lock();
        limits.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn sent(&self) -> MutexGuard<'_, SentTimes> {
        let sent = self.shared.sent.lock();
        sent.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn streams(&self) -> MutexGuard<'_, StreamVersions> {
        let streams = self.shared.streams.lock();
        streams.unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets which broker knows the limits and versions. All of them are in the next
    /// reports.
    pub(crate) fn forget_broker(&self) {
        *self.reported_to() = None;
    }

    fn reported_to(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        let reported_to = self.shared.reported_to.lock();
        reported_to.unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a server as leaving by the response to a request.
    pub(crate) fn mark_leaving(&self, server: &ServerIdentity, address: SocketAddr, request: &str) {
        let now = self.shared.clock.now();
        if !self.leaving().mark(&server.name, server.incarnation, now) {
            return;
        }
        let source = DepartureSource::Answer;
        self.shared.metrics.count_departure(source);
        let fields = json!({
            "server": server.name,
            "born": server.incarnation,
            "address": address,
            "request": request,
            "source": source.as_str(),
        });
        self.shared.log.note("server_leaving", &fields);
    }

    /// Whether a server must not be given any request.
    pub(crate) fn is_leaving(&self, server: &ServerIdentity) -> bool {
        self.leaving().is_leaving(&server.name, server.incarnation)
    }

    /// Records what the response to a request says of its server's limit.
    pub(crate) fn record_limit(
        &self,
        server: &ServerIdentity,
        statement: LimitStatement,
        request: &str,
    ) {
        let now = self.shared.clock.now();
        let mut limits = self.limits();
        if !limits.record(&server.name, server.incarnation, statement, now) {
            return;
        }
        let limit = limits.limit(&server.name, server.incarnation);
        drop(limits);
        let fields = json!({
            "server": server.name,
            "born": server.incarnation,
            "request": request,
            "per_second": limit.map(ServerLimit::per_second),
            "source": "answer",
        });
        self.shared.log.note("server_limit", &fields);
    }

    /// Takes the reports for a call to the broker. They are due again if the call fails. A
    /// broker that had none from this host gets all limits and versions.
    pub(crate) fn take_reports(&self, broker: Option<SocketAddr>) -> PendingReports {
        let now = self.shared.clock.now();
        let is_known = broker.is_some() && *self.reported_to() == broker;
        if !is_known {
            *self.reported_to() = broker;
            self.limits().report_all();
            self.streams().report_all(now);
        }
        let reports = ServerReports {
            departures: self.leaving().take_reports(),
            limits: self.limits().take_reports(now),
            streams: self.streams().take_reports(now),
        };
        PendingReports {
            reports,
            marks: self.clone(),
            arrived: false,
        }
    }
}

/// What a host learned since its last call to the broker.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServerReports {
    pub(crate) departures: Vec<DepartureReport>,
    pub(crate) limits: Vec<LimitReport>,
    /// The versions of streams that were begun without the broker, or under an earlier one.
    pub(crate) streams: Vec<StreamReport>,
}

/// Reports on their way to the broker, which are due again unless they arrive.
pub(crate) struct PendingReports {
    reports: ServerReports,
    marks: ServerMarks,
    arrived: bool,
}

impl PendingReports {
    pub(crate) fn reports(&self) -> &ServerReports {
        &self.reports
    }

    pub(crate) fn mark_arrived(&mut self) {
        self.arrived = true;
    }
}

impl Drop for PendingReports {
    fn drop(&mut self) {
        if self.arrived {
            return;
        }
        let ServerReports {
            departures,
            limits,
            streams,
        } = &self.reports;
        if !departures.is_empty() {
            self.marks.leaving().return_reports(departures);
        }
        if !limits.is_empty() {
            self.marks.limits().return_reports(limits);
        }
        if !streams.is_empty() {
            self.marks.streams().return_reports(streams);
        }
    }
}
