//! The task that leases batch items, runs them and reports their results.
//!
//! It owns the leases of its host. Proposals run concurrently in tasks of their
//! own, at most one of each kind at a time, so that a slow commit delays neither
//! running items nor the cancellation of revoked ones.

use super::attempt::{AttemptRunner, FinishedRun};
use super::lease_table::LeaseTable;
use crate::platform::DrainFlag;
use crate::replica::{ProposeError, ReplicaHandle};
use crate::routing::RoutingHandle;
use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, ItemRef, JobCommand, JobOutcome, LeaseId, LeaseRequest,
};
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::{Id as TaskId, JoinError, JoinSet};

/// The time between two checks of the job state and the idle slots.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The duration of a lease.
const LEASE_DURATION: Duration = Duration::from_secs(5);

/// The time after the request of a lease during which its items may start.
const START_WINDOW: Duration = Duration::from_millis(4500);

/// The time between two lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1500);

/// The maximum number of items in one lease.
const LEASE_ITEMS_MAX: usize = 64;

/// The maximum number of reports in one command.
const REPORTS_MAX: usize = 128;

/// The time after which uncommitted reports are proposed again.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The time for which a job is skipped after no slot was found for one of its items.
const NO_SLOT_PAUSE: Duration = Duration::from_secs(1);

/// The result of a proposal.
enum ProposalAnswer {
    Lease {
        start_until: Instant,
        outcome: Result<JobOutcome, ProposeError>,
    },
    Renewal {
        start_until: Instant,
        outcome: Result<JobOutcome, ProposeError>,
    },
    Report {
        count: usize,
        outcome: Result<JobOutcome, ProposeError>,
    },
}

/// Which kinds of proposal are in flight.
#[derive(Default)]
struct PendingProposals {
    lease: bool,
    renewal: bool,
    report: bool,
}

/// Handle through which shutdown waits until a draining dispatcher has no leases or
/// reports left.
#[derive(Clone)]
pub(crate) struct DispatcherHandle {
    idle: watch::Receiver<bool>,
}

impl DispatcherHandle {
    /// Waits until the dispatcher has drained or stopped.
    pub(crate) async fn drained(&mut self) {
        // A closed channel means that the task has stopped.
        let _ = self.idle.wait_for(|idle| *idle).await;
    }
}

/// Dispatches items of batch jobs.
pub(crate) struct BatchDispatcher {
    host: HostName,
    replica: ReplicaHandle,
    routing: RoutingHandle,
    clock: Arc<dyn ClockSource>,
    runner: AttemptRunner,
    drain: DrainFlag,
    idle: watch::Sender<bool>,
    table: LeaseTable,
    runs: JoinSet<FinishedRun>,
    running: HashMap<TaskId, ItemRef>,
    proposals: JoinSet<ProposalAnswer>,
    pending: PendingProposals,
    paused: BTreeMap<JobId, Instant>,
    renewed_at: Instant,
}

impl BatchDispatcher {
    pub(crate) fn new(
        host: HostName,
        runner: AttemptRunner,
        drain: DrainFlag,
    ) -> (Self, DispatcherHandle) {
        let (idle, receiver) = watch::channel(false);
        let clock = runner.clock.clone();
        let dispatcher = Self {
            host,
            replica: runner.replica.clone(),
            routing: runner.routing.clone(),
            renewed_at: clock.now(),
            clock,
            runner,
            drain,
            idle,
            table: LeaseTable::default(),
            runs: JoinSet::new(),
            running: HashMap::new(),
            proposals: JoinSet::new(),
            pending: PendingProposals::default(),
            paused: BTreeMap::new(),
        };
        (dispatcher, DispatcherHandle { idle: receiver })
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                Some(run) = self.runs.join_next_with_id() => self.handle_run(run),
                Some(Ok(answer)) = self.proposals.join_next() => self.handle_answer(answer),
            }
            self.report();
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let view = self.replica.dispatch_view(&self.host).await;
        self.table.revoke(&view.revoked);
        self.renew(now);
        if self.drain.is_raised() {
            self.table.yield_queued();
            let is_idle = self.table.is_empty() && !self.pending.lease;
            self.idle.send_replace(is_idle);
            return;
        }
        let capacity = self.routing.batch_capacity().await;
        // Runs that have no slot yet are about to occupy an idle one.
        let placing = self.runs.len().saturating_sub(capacity.occupied);
        let idle = capacity.idle.saturating_sub(placing);
        let started = self.start_runs(idle, now);
        self.table.yield_waiting(now);
        let wanted = idle.saturating_sub(started);
        if view.has_work && wanted > 0 {
            self.lease(wanted, now);
        }
    }

    /// Starts as many queued items as there are idle slots; returns their number.
    fn start_runs(&mut self, idle: usize, now: Instant) -> usize {
        for started in 0..idle {
            let Some(item) = self.table.next(now) else {
                return started;
            };
            let attempt = item.grant.attempt;
            let task = self.runs.spawn(self.runner.clone().run(item));
            self.running.insert(task.id(), attempt);
        }
        idle
    }

    fn lease(&mut self, wanted: usize, now: Instant) {
        if self.pending.lease {
            return;
        }
        self.pending.lease = true;
        self.paused.retain(|_, until| now < *until);
        let limit = wanted.min(LEASE_ITEMS_MAX);
        let request = LeaseRequest {
            host: self.host.clone(),
            limit: u32::try_from(limit).unwrap_or(u32::MAX),
            excluded: self.paused.keys().copied().collect(),
            now: self.replica.wall(),
            duration: LEASE_DURATION,
        };
        let replica = self.replica.clone();
        let start_until = now + START_WINDOW;
        self.proposals.spawn(async move {
            let command = JobCommand::LeaseItems(request);
            let outcome = replica.propose_jobs(command).await;
            ProposalAnswer::Lease {
                start_until,
                outcome,
            }
        });
    }

    fn renew(&mut self, now: Instant) {
        let leases = self.table.leases();
        let is_due = now.saturating_duration_since(self.renewed_at) >= RENEW_INTERVAL;
        if leases.is_empty() || !is_due || self.pending.renewal {
            return;
        }
        self.pending.renewal = true;
        self.renewed_at = now;
        let command = JobCommand::RenewLeases {
            host: self.host.clone(),
            leases,
            now: self.replica.wall(),
            duration: LEASE_DURATION,
        };
        let replica = self.replica.clone();
        let start_until = now + START_WINDOW;
        self.proposals.spawn(async move {
            let outcome = replica.propose_jobs(command).await;
            ProposalAnswer::Renewal {
                start_until,
                outcome,
            }
        });
    }

    /// Proposes the waiting reports; they are retained until they are committed.
    fn report(&mut self) {
        let reports: Vec<AttemptReport> = self.table.reports(REPORTS_MAX);
        if reports.is_empty() || self.pending.report {
            return;
        }
        self.pending.report = true;
        let count = reports.len();
        let now = self.replica.wall();
        let replica = self.replica.clone();
        self.proposals.spawn(async move {
            let command = JobCommand::CompleteItems { reports, now };
            let outcome = replica.propose_jobs(command).await;
            if !matches!(outcome, Ok(JobOutcome::Reported(_))) {
                log::warn!(
                    "batch: cannot report the results of {count} items, will retry: {outcome:?}."
                );
                tokio::time::sleep(REPORT_RETRY_INTERVAL).await;
            }
            ProposalAnswer::Report { count, outcome }
        });
    }

    fn handle_run(&mut self, run: Result<(TaskId, FinishedRun), JoinError>) {
        match run {
            Ok((id, run)) => {
                self.running.remove(&id);
                self.handle_finished(run);
            }
            Err(error) => self.handle_panic(&error),
        }
    }

    /// Reports an item whose task panicked as failed, so that its lease is released.
    fn handle_panic(&mut self, error: &JoinError) {
        log::error!("batch: the task that ran an item failed: {error}.");
        if let Some(attempt) = self.running.remove(&error.id()) {
            let end = AttemptEnd::Refused {
                verdict: RunVerdict::MayHaveRun,
                reason: RefusalReason::ServerFailed,
                detail: "the attempt failed inside its host".to_owned(),
            };
            self.table.add_report(AttemptReport { attempt, end });
        }
    }

    fn handle_finished(&mut self, run: FinishedRun) {
        if run.found_no_slot {
            let until = self.clock.now() + NO_SLOT_PAUSE;
            self.paused.insert(run.attempt.job, until);
        }
        match run.report {
            Some(report) => self.table.add_report(report),
            None => self.table.remove_attempt(run.attempt),
        }
    }

    fn handle_answer(&mut self, answer: ProposalAnswer) {
        match answer {
            ProposalAnswer::Lease {
                start_until,
                outcome,
            } => {
                self.pending.lease = false;
                self.handle_lease(outcome, start_until);
            }
            ProposalAnswer::Renewal {
                start_until,
                outcome,
            } => {
                self.pending.renewal = false;
                if let Ok(JobOutcome::Renewed { leases, .. }) = outcome {
                    self.handle_renewal(&leases, start_until);
                }
            }
            ProposalAnswer::Report { count, outcome } => {
                self.pending.report = false;
                if matches!(outcome, Ok(JobOutcome::Reported(_))) {
                    self.table.remove_committed(count);
                }
            }
        }
    }

    fn handle_lease(&mut self, outcome: Result<JobOutcome, ProposeError>, start_until: Instant) {
        match outcome {
            Ok(outcome) => {
                log_lease(&outcome);
                let now = self.clock.now();
                self.table.add(&outcome, start_until, now);
            }
            // Items that were leased nevertheless return when their lease expires.
            Err(error) => log::debug!("batch: cannot lease items: {error}."),
        }
    }

    fn handle_renewal(&mut self, leases: &[LeaseId], start_until: Instant) {
        self.table.extend(leases, start_until);
    }
}

fn log_lease(outcome: &JobOutcome) {
    if let JobOutcome::Leased { lease, grants, .. } = outcome
        && let Some(first) = grants.first()
    {
        let job = first.attempt.job;
        let count = grants.len();
        log::debug!("batch: leased {count} items of job {job} as lease {lease}.");
    }
}
