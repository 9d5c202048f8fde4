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
        | RunOutcome::Leaving => report.first_answer.map(|after| grant.granted_at + after),
    }
}

impl SlotBroker {
    /// Updates the record of a server by the outcome of a run.
    pub(super) fn record_outcome(&mut self, grant: &SlotGrant, report: &RunReport, now: Instant) {
        let Some(entry) = self.servers.get_mut(grant.server) else {
            return;
        };
        let requester = &grant.requester;
        if let Some(at) = contact_of(report, grant, now) {
            entry.contacts.record(requester, at);
        }
        let record = &mut entry.record;
        let pause = match report.outcome {
            RunOutcome::Served => {
                record.lift_suspension();
                return;
            }
            RunOutcome::Stopped | RunOutcome::Leaving => return,
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
        let others = entry.contacts.with_other(requester);
        let suspension = ServerSuspension {
            server: record.check_in.name.clone(),
            reported_by: requester.clone(),
            outcome: report.outcome,
            failures: record.failures,
            pause,
            other_contact_age: others.map(|at| now.saturating_duration_since(at)),
        };
        if report.outcome != RunOutcome::Shed {
            self.events.push(BrokerEvent::Suspended(suspension));
        }
    }
}

fn doubled_suspension(doublings: u32) -> Duration {
    let pause = SUSPENSION * 2u32.pow(doublings.min(8));
    pause.min(SUSPENSION_MAX)
}
