//! What the reports of hosts say of servers: that one answered, or that it failed.

use super::{PROBATION_FAILURES, SHED_SUSPENSION, SUSPENSION, SUSPENSION_MAX, SlotBroker};
use crate::grants::{RunOutcome, RunReport, SlotGrant};
use crate::request::{BrokerEvent, RequesterId, ServerSuspension};
use std::time::{Duration, Instant};

/// The latest responses of a server to two different hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct ContactHistory {
    latest: Option<(RequesterId, Instant)>,
    /// The latest to a host other than that of `latest`.
    before: Option<(RequesterId, Instant)>,
}

impl ContactHistory {
    fn record(&mut self, requester: &RequesterId, at: Instant) {
        match &mut self.latest {
            Some((known, latest)) if known == requester => *latest = at.max(*latest),
            _ => self.before = self.latest.replace((requester.clone(), at)),
        }
    }

    /// When the server last responded to a host other than `requester`.
    fn with_other(&self, requester: &RequesterId) -> Option<Instant> {
        let contacts = [&self.latest, &self.before];
        let mut others = contacts.into_iter().flatten();
        others
            .find(|(known, _)| known != requester)
            .map(|(_, at)| *at)
    }
}

/// When the server responded to a run, if it did.
fn contact_of(report: &RunReport, grant: &SlotGrant, now: Instant) -> Option<Instant> {
    match report.outcome {
        RunOutcome::Served | RunOutcome::Errored | RunOutcome::Shed => Some(now),
        RunOutcome::Stopped
        | RunOutcome::Unreachable
        | RunOutcome::WrongServer
        | RunOutcome::Failed
        | RunOutcome::Leaving
        | RunOutcome::PathLost => {
            let after = report.first_answer?;
            grant.granted_at.checked_add(after)
        }
    }
}

impl SlotBroker {
    /// Updates the record of a server by the outcome of a run.
    pub(super) fn record_outcome(&mut self, grant: &SlotGrant, report: &RunReport, now: Instant) {
        if let Some(at) = contact_of(report, grant, now) {
            self.record_contact(grant, at, now);
        }
        if !self.weigh_failure(grant, report.outcome, now) {
            return;
        }
        let Some(entry) = self.servers.get_mut(grant.server) else {
            return;
        };
        let record = &mut entry.record;
        let pause = match report.outcome {
            RunOutcome::Served => {
                record.lift_suspension();
                entry.suspended_by = None;
                return;
            }
            RunOutcome::Stopped | RunOutcome::Leaving | RunOutcome::PathLost => return,
            RunOutcome::Errored => {
                // Single errors may be due to the requests.
                record.failures += 1;
                let Some(repeated) = record.failures.checked_sub(PROBATION_FAILURES) else {
                    return;
                };
                doubled_suspension(repeated)
            }
            RunOutcome::Shed => SHED_SUSPENSION,
            RunOutcome::Unreachable | RunOutcome::WrongServer | RunOutcome::Failed => {
                record.failures += 1;
                doubled_suspension(record.failures - 1)
            }
        };
        record.suspended_until = Some(now + pause);
        let may_be_path = matches!(report.outcome, RunOutcome::Unreachable | RunOutcome::Failed);
        entry.suspended_by = may_be_path.then(|| grant.requester.clone());
        if report.outcome == RunOutcome::Shed {
            return;
        }
        let others = entry.contacts.with_other(&grant.requester);
        let suspension = ServerSuspension {
            server: record.check_in.name.clone(),
            reported_by: grant.requester.clone(),
            outcome: report.outcome,
            failures: record.failures,
            pause,
            other_contact_age: others.map(|at| now.saturating_duration_since(at)),
        };
        self.events.push(BrokerEvent::Suspended(suspension));
    }

    fn record_contact(&mut self, grant: &SlotGrant, at: Instant, now: Instant) {
        let requester = &grant.requester;
        if let Some(entry) = self.servers.get_mut(grant.server) {
            entry.contacts.record(requester, at);
        }
        let reports = &mut self.path_reports;
        for host in reports.record_contact(requester, grant.server, at, now) {
            self.disbelieve(host);
        }
    }

    /// Records what a failure tells of the host that reports it. Returns whether it says something
    /// of the server; an outcome that is no failure does.
    fn weigh_failure(&mut self, grant: &SlotGrant, outcome: RunOutcome, now: Instant) -> bool {
        let requester = &grant.requester;
        match outcome {
            RunOutcome::Unreachable => {}
            RunOutcome::Failed => return !self.path_reports.is_cut_off(requester, now),
            _ => return true,
        }
        let contacts = self.servers.get(grant.server).map(|entry| &entry.contacts);
        let others = contacts.and_then(|contacts| contacts.with_other(requester));
        if others.is_some_and(|at| at >= grant.granted_at) {
            if self.path_reports.refute(requester, grant.server, now) {
                self.disbelieve(requester.clone());
            }
            return false;
        }
        let reports = &mut self.path_reports;
        reports.record_unreached(requester, grant.server, now);
        !reports.is_cut_off(requester, now)
    }

    /// Ends the suspensions by reports of a host that turns out to be cut off.
    fn disbelieve(&mut self, requester: RequesterId) {
        let mut restored = Vec::new();
        for entry in self.servers.values_mut() {
            if entry.suspended_by.as_ref() == Some(&requester) {
                entry.suspended_by = None;
                entry.record.lift_suspension();
                restored.push(entry.record.check_in.name.clone());
            }
        }
        self.events.push(BrokerEvent::CutOff {
            requester,
            restored,
        });
    }
}

fn doubled_suspension(doublings: u32) -> Duration {
    let pause = SUSPENSION * 2u32.pow(doublings.min(8));
    pause.min(SUSPENSION_MAX)
}
