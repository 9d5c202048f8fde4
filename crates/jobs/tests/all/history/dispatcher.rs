//! Simulated dispatchers that lease, start, run and report items.

use super::fleet::{FleetProposal, ProposalOwner};
use crate::support::{LEASE, answered, host_name, refused};
use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, ItemGrant, ItemRef, JobCommand, JobOutcome, LeaseId, LeaseRequest,
    UnixMillis,
};
use chicoryladder_types::{RefusalReason, RunVerdict};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldPhase {
    Granted,
    Ready,
}

#[derive(Clone, Copy, Debug)]
struct HeldItem {
    lease: LeaseId,
    grant: ItemGrant,
    phase: HeldPhase,
    expires_at: UnixMillis,
}

/// An attempt that is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchedRun {
    pub(crate) attempt: ItemRef,
    pub(crate) idempotent: bool,
}

/// A dispatcher on one host, whose clock is ahead by `skew_millis`.
pub(crate) struct ItemDispatcher {
    host: usize,
    pub(crate) incarnation: u64,
    skew_millis: u64,
    waiting: bool,
    held: Vec<HeldItem>,
    reports: Vec<AttemptReport>,
}

impl ItemDispatcher {
    pub(crate) fn new(host: usize) -> Self {
        Self {
            host,
            incarnation: 0,
            skew_millis: host as u64 * 400,
            waiting: false,
            held: Vec::new(),
            reports: Vec::new(),
        }
    }

    pub(crate) fn name(&self) -> String {
        format!("h{}", self.host)
    }

    fn owner(&self) -> ProposalOwner {
        ProposalOwner::Dispatcher {
            host: self.host,
            incarnation: self.incarnation,
        }
    }

    /// Restarts the dispatcher, which loses its memory.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.host);
        self.incarnation = incarnation;
    }

    /// The next proposal, unless the dispatcher is waiting for an outcome.
    pub(crate) fn propose(
        &mut self,
        rng: &mut ChaCha8Rng,
        now: UnixMillis,
    ) -> Option<FleetProposal> {
        if self.waiting {
            return None;
        }
        let now = UnixMillis(now.0 + self.skew_millis);
        let command = self.next_command(rng, now);
        self.waiting = true;
        let owner = self.owner();
        Some(FleetProposal { owner, command })
    }

    fn next_command(&mut self, rng: &mut ChaCha8Rng, now: UnixMillis) -> JobCommand {
        if !self.reports.is_empty() && rng.random_bool(0.7) {
            let reports = self.reports.clone();
            return JobCommand::CompleteItems { reports, now };
        }
        let unstarted = self
            .held
            .iter()
            .find(|held| held.phase == HeldPhase::Granted);
        if let Some(held) = unstarted {
            let attempts = vec![held.grant.attempt];
            let lease = held.lease;
            return JobCommand::StartItems {
                lease,
                attempts,
                now,
            };
        }
        JobCommand::LeaseItems(LeaseRequest {
            host: host_name(&self.name()),
            limit: rng.random_range(1..6),
            excluded: Vec::new(),
            now,
            duration: LEASE,
        })
    }

    /// Handles the outcome of a proposal; `None` if it was lost.
    pub(crate) fn answer(&mut self, command: Option<&JobCommand>, outcome: Option<&JobOutcome>) {
        self.waiting = false;
        match outcome {
            Some(JobOutcome::Leased {
                lease,
                expires_at,
                grants,
            }) => {
                for grant in grants {
                    self.hold(*lease, *expires_at, *grant);
                }
            }
            Some(JobOutcome::Started { attempts }) => self.record_started(attempts),
            Some(JobOutcome::Reported(_)) => {
                if let Some(JobCommand::CompleteItems { reports, .. }) = command {
                    self.reports.retain(|report| !reports.contains(report));
                }
            }
            _ => self.drop_unstarted(),
        }
    }

    fn hold(&mut self, lease: LeaseId, expires_at: UnixMillis, grant: ItemGrant) {
        let phase = if grant.idempotent {
            HeldPhase::Ready
        } else {
            HeldPhase::Granted
        };
        self.held.push(HeldItem {
            lease,
            grant,
            phase,
            expires_at,
        });
    }

    fn record_started(&mut self, attempts: &[ItemRef]) {
        let requested = self
            .held
            .iter()
            .position(|held| held.phase == HeldPhase::Granted);
        let Some(requested) = requested else {
            return;
        };
        if attempts.contains(&self.held[requested].grant.attempt) {
            self.held[requested].phase = HeldPhase::Ready;
        } else {
            self.held.remove(requested);
        }
    }

    /// Drops items whose start has an unknown outcome: it may have been granted.
    fn drop_unstarted(&mut self) {
        self.held.retain(|held| held.phase != HeldPhase::Granted);
    }

    /// Returns the held items of revoked leases.
    pub(crate) fn revoke(&mut self, revoked: &[LeaseId]) {
        let is_revoked = |held: &HeldItem| revoked.contains(&held.lease);
        let verdict = RunVerdict::NotRun;
        let returned = self.held.iter().filter(|held| is_revoked(held));
        self.reports.extend(returned.map(|held| AttemptReport {
            attempt: held.grant.attempt,
            end: AttemptEnd::Yielded { verdict },
        }));
        self.held.retain(|held| !is_revoked(held));
    }

    /// The next attempt to send to a backend server.
    pub(crate) fn begin_run(&mut self, now: UnixMillis) -> Option<DispatchedRun> {
        let now = UnixMillis(now.0 + self.skew_millis);
        self.held.retain(|held| now < held.expires_at);
        let ready = self
            .held
            .iter()
            .position(|held| held.phase == HeldPhase::Ready)?;
        let grant = self.held.remove(ready).grant;
        let run = DispatchedRun {
            attempt: grant.attempt,
            idempotent: grant.idempotent,
        };
        Some(run)
    }

    /// Records a run that a backend server has started.
    pub(crate) fn record_run(&mut self, run: DispatchedRun, number: u64) {
        let attempt = run.attempt;
        let end = answered(200, &number.to_string());
        self.reports.push(AttemptReport { attempt, end });
    }

    /// Replaces the planned response of the last run with a failure.
    pub(crate) fn fail_last(&mut self, rng: &mut ChaCha8Rng) {
        let Some(report) = self.reports.last_mut() else {
            return;
        };
        report.end = match rng.random_range(0..3) {
            0 => answered(500, "boom"),
            1 => refused(RunVerdict::MayHaveRun, RefusalReason::ServerSilent),
            _ => AttemptEnd::Yielded {
                verdict: RunVerdict::MayHaveRun,
            },
        };
    }

    /// Reports an attempt that no backend server accepted.
    pub(crate) fn report_not_run(&mut self, run: DispatchedRun) {
        let end = refused(RunVerdict::NotRun, RefusalReason::NoServer);
        let attempt = run.attempt;
        self.reports.push(AttemptReport { attempt, end });
    }
}
