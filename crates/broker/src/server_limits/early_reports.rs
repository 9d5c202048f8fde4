//! Reports on limits that arrive before the check-in of the server they concern, as at a
//! broker that has just begun: hosts report at once, servers check in at their interval.

use super::{LIMITS_MAX, LimitReport};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct EarlyReport {
    report: LimitReport,
    received_at: Instant,
}

impl EarlyReport {
    /// The incarnation that the report concerns, and when the response was read.
    fn position(&self) -> (u64, Option<Instant>) {
        let read_at = self.received_at.checked_sub(self.report.age);
        (self.report.incarnation, read_at)
    }
}

/// The newest report on each server incarnation that has not checked in yet.
#[derive(Debug, Default)]
pub(crate) struct EarlyReports {
    reports: HashMap<ServerName, EarlyReport>,
}

impl EarlyReports {
    /// Keeps a report, unless a newer one on the server is known. At the maximum number of
    /// servers, reports on further ones are dropped: hosts send them again each second.
    pub(crate) fn insert(&mut self, report: &LimitReport, now: Instant) {
        let early = EarlyReport {
            report: report.clone(),
            received_at: now,
        };
        let known = self.reports.get(&report.server);
        let is_newer = known.is_none_or(|known| known.position() < early.position());
        let has_room = known.is_some() || self.reports.len() < LIMITS_MAX;
        if is_newer && has_room {
            self.reports.insert(report.server.clone(), early);
        }
    }

    /// Takes the report on an incarnation that checks in; reports on earlier ones are dropped.
    pub(crate) fn take(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        now: Instant,
    ) -> Option<LimitReport> {
        let known = self.reports.get(server)?;
        if known.report.incarnation > incarnation {
            return None;
        }
        let EarlyReport {
            mut report,
            received_at,
        } = self.reports.remove(server)?;
        report.age += now.saturating_duration_since(received_at);
        (report.incarnation == incarnation).then_some(report)
    }

    /// Drops the reports on servers that have not checked in for too long.
    pub(crate) fn remove_expired(&mut self, max_age: Duration, now: Instant) {
        self.reports
            .retain(|_, early| now.saturating_duration_since(early.received_at) <= max_age);
    }
}
