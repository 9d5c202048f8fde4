//! Hosts that reach no server, told from servers that no host reaches.
//!
//! A host that cannot open a connection to a server sees the same whether the server or its
//! own path to it is at fault. A response of that server to another host afterwards refutes
//! the report.

use crate::grants::ServerKey;
use crate::request::RequesterId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of servers for which the reports of a host have to be refuted until it counts
/// as cut off. A single server may be cut off from a host, or be out of connections.
const REFUTED_SERVERS_MIN: usize = 2;

/// The time for which a refuted report counts against the host.
const REFUTATION_PERIOD: Duration = Duration::from_secs(5);

/// The servers that hosts could not reach, and which of these others reached since.
#[derive(Debug, Default)]
pub(super) struct PathReports {
    /// When each host reported that it cannot reach a server, unless that was refuted.
    unrefuted: HashMap<ServerKey, HashMap<RequesterId, Instant>>,
    /// When the report of a host on a server was refuted.
    refuted: HashMap<RequesterId, HashMap<ServerKey, Instant>>,
}

impl PathReports {
    /// Records that a host cannot reach a server.
    pub(super) fn record_unreached(
        &mut self,
        requester: &RequesterId,
        server: ServerKey,
        now: Instant,
    ) {
        let reports = self.unrefuted.entry(server).or_default();
        reports.insert(requester.clone(), now);
    }

    /// Records that the report of a host on a server is refuted. Returns whether the host
    /// counts as cut off from now on.
    pub(super) fn refute(
        &mut self,
        requester: &RequesterId,
        server: ServerKey,
        now: Instant,
    ) -> bool {
        let was_cut_off = self.is_cut_off(requester, now);
        let refuted = self.refuted.entry(requester.clone()).or_default();
        refuted.insert(server, now);
        !was_cut_off && self.is_cut_off(requester, now)
    }

    /// Records the response of a server to a host. Returns the other hosts whose reports it
    /// refutes and that count as cut off from now on.
    pub(super) fn record_contact(
        &mut self,
        requester: &RequesterId,
        server: ServerKey,
        at: Instant,
        now: Instant,
    ) -> Vec<RequesterId> {
        if let Some(refuted) = self.refuted.get_mut(requester) {
            refuted.remove(&server);
        }
        let Some(reports) = self.unrefuted.get_mut(&server) else {
            return Vec::new();
        };
        reports.remove(requester);
        let earlier = reports.extract_if(|_, reported_at| *reported_at <= at);
        let refuted: Vec<RequesterId> = earlier.map(|(requester, _)| requester).collect();
        if reports.is_empty() {
            self.unrefuted.remove(&server);
        }
        let hosts = refuted.into_iter();
        hosts
            .filter(|host| self.refute(host, server, now))
            .collect()
    }

    /// Whether a host reaches so few servers that its reports say nothing of them.
    pub(super) fn is_cut_off(&self, requester: &RequesterId, now: Instant) -> bool {
        let Some(refuted) = self.refuted.get(requester) else {
            return false;
        };
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < REFUTATION_PERIOD;
        refuted.values().filter(is_recent).count() >= REFUTED_SERVERS_MIN
    }

    pub(super) fn forget_host(&mut self, requester: &RequesterId) {
        self.refuted.remove(requester);
        for reports in self.unrefuted.values_mut() {
            reports.remove(requester);
        }
        self.unrefuted.retain(|_, reports| !reports.is_empty());
    }

    pub(super) fn forget_server(&mut self, server: ServerKey) {
        self.unrefuted.remove(&server);
        for refuted in self.refuted.values_mut() {
            refuted.remove(&server);
        }
    }
}
