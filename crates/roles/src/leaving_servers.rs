//! The servers that said in their responses that they leave, as known to one process.
//!
//! Everything in a process that sends to servers shares these marks: the runner sets and
//! checks them, the slot client returns slots of marked servers and reports the marks to
//! the broker with the next call that is sent anyway.

use crate::event_log::EventLog;
use crate::metrics::RoleMetrics;
use chicoryladder_broker::{DepartureReport, DepartureSource, LeavingServers};
use chicoryladder_types::prelude::*;
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
    servers: Mutex<LeavingServers>,
    clock: Arc<dyn ClockSource>,
    log: EventLog,
    metrics: Arc<RoleMetrics>,
}

/// The marks of a process; clones share them.
#[derive(Clone)]
pub(crate) struct DepartureMarks {
    shared: Arc<MarksShared>,
}

impl DepartureMarks {
    pub(crate) fn new(
        clock: Arc<dyn ClockSource>,
        log: EventLog,
        metrics: Arc<RoleMetrics>,
    ) -> Self {
        let shared = MarksShared {
            servers: Mutex::default(),
            clock,
            log,
            metrics,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    pub(crate) fn servers(&self) -> MutexGuard<'_, LeavingServers> {
        let servers = self.shared.servers.lock();
        servers.unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a server by the response to a request.
    pub(crate) fn mark(&self, server: &ServerIdentity, address: SocketAddr, request: &str) {
        let now = self.shared.clock.now();
        if !self.servers().mark(&server.name, server.incarnation, now) {
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
        self.servers().is_leaving(&server.name, server.incarnation)
    }

    /// Takes the reports for a call to the broker. They are due again if the call fails.
    pub(crate) fn take_reports(&self) -> PendingReports {
        PendingReports {
            reports: self.servers().take_reports(),
            marks: self.clone(),
            arrived: false,
        }
    }
}

/// Reports on their way to the broker, which are due again unless they arrive.
pub(crate) struct PendingReports {
    reports: Vec<DepartureReport>,
    marks: DepartureMarks,
    arrived: bool,
}

impl PendingReports {
    pub(crate) fn reports(&self) -> &[DepartureReport] {
        &self.reports
    }

    pub(crate) fn mark_arrived(&mut self) {
        self.arrived = true;
    }
}

impl Drop for PendingReports {
    fn drop(&mut self) {
        if !self.arrived && !self.reports.is_empty() {
            self.marks.servers().return_reports(&self.reports);
        }
    }
}
