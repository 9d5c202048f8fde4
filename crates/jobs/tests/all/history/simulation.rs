//! One simulation run: every actor takes random steps, then the faults end and all
//! work is completed.

use super::checker::{HistoryChecker, Violation};
use super::dispatcher::ItemDispatcher;
use super::fleet::{JobFleet, ProposalOwner, REPLICAS, ReplicaFault};
use super::submitter::JobSubmitter;
use crate::support::{START, host_name, team};
use chicoryladder_jobs::{ItemEnd, JobCommand, JobOutcome, JobPhase, UnixMillis};
use chicoryladder_types::JobId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const SUBMITTERS: usize = 5;
const DISPATCHERS: usize = 3;
const DRAIN_STEPS: usize = 20_000;

/// The number of events in a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SimulationReport {
    pub(crate) acknowledged_items: usize,
    pub(crate) cancelled_jobs: usize,
    pub(crate) resends: usize,
    pub(crate) lost_dispatchers: usize,
    pub(crate) leader_changes: usize,
    pub(crate) restarts: usize,
    pub(crate) late_reports: usize,
    pub(crate) unknown_outcomes: usize,
}

impl SimulationReport {
    pub(crate) fn add(&mut self, other: &Self) {
        self.acknowledged_items += other.acknowledged_items;
        self.cancelled_jobs += other.cancelled_jobs;
        self.resends += other.resends;
        self.lost_dispatchers += other.lost_dispatchers;
        self.leader_changes += other.leader_changes;
        self.restarts += other.restarts;
        self.late_reports += other.late_reports;
        self.unknown_outcomes += other.unknown_outcomes;
    }
}

pub(crate) struct HistorySimulation {
    rng: ChaCha8Rng,
    now: UnixMillis,
    fleet: JobFleet,
    submitters: Vec<JobSubmitter>,
    dispatchers: Vec<ItemDispatcher>,
    checker: HistoryChecker,
    cancelling: Vec<JobId>,
    faults_enabled: bool,
    report: SimulationReport,
}

impl HistorySimulation {
    pub(crate) fn new(seed: u64, fault: ReplicaFault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let submitters = (0..SUBMITTERS).map(|number| JobSubmitter::new(number, &mut rng));
        Self {
            submitters: submitters.collect(),
            rng,
            now: START,
            fleet: JobFleet::new(fault),
            dispatchers: (0..DISPATCHERS).map(ItemDispatcher::new).collect(),
            checker: HistoryChecker::default(),
            cancelling: Vec::new(),
            faults_enabled: true,
            report: SimulationReport::default(),
        }
    }

    pub(crate) fn run(mut self, steps: usize) -> Result<SimulationReport, Violation> {
        for _ in 0..steps {
            self.step()?;
        }
        self.faults_enabled = false;
        for step in 0..DRAIN_STEPS {
            self.step()?;
            if step % 100 == 0 && self.is_done() {
                break;
            }
        }
        self.conclude()
    }

    fn step(&mut self) -> Result<(), Violation> {
        let passed = self.rng.random_range(0..60);
        self.now = self.now.after(Duration::from_millis(passed));
        match self.rng.random_range(0..100) {
            0..8 => self.step_submitter(),
            8..38 => self.step_dispatcher(),
            38..52 => self.run_item()?,
            52..85 => self.commit()?,
            85..89 => self.read()?,
            89..92 => self.sweep(),
            92..94 => self.acknowledge_cancels(),
            94..96 => self.revoke(),
            _ if self.faults_enabled => self.inject_fault(),
            _ => {}
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..40) {
            0..6 => self.lose_dispatcher(),
            6..12 => self.change_leader(),
            12..18 => {
                self.fleet.restart(&mut self.rng);
                self.report.restarts += 1;
            }
            18..20 => self.cancel(),
            _ => {}
        }
    }

    fn step_submitter(&mut self) {
        let number = self.rng.random_range(0..SUBMITTERS);
        let submitter = &mut self.submitters[number];
        // An acknowledged job is sometimes resent, as after a lost response.
        let resends = self.faults_enabled && self.rng.random_bool(0.1);
        if submitter.job.is_some() && !resends {
            return;
        }
        if let Some(proposal) = submitter.step(&mut self.rng, self.now) {
            self.fleet.propose(proposal.owner, proposal.command);
        }
    }

    fn step_dispatcher(&mut self) {
        let host = self.rng.random_range(0..DISPATCHERS);
        let proposal = self.dispatchers[host].propose(&mut self.rng, self.now);
        if let Some(proposal) = proposal {
            self.fleet.propose(proposal.owner, proposal.command);
        }
    }

    fn run_item(&mut self) -> Result<(), Violation> {
        let host = self.rng.random_range(0..DISPATCHERS);
        let dispatcher = &mut self.dispatchers[host];
        let Some(run) = dispatcher.begin_run(self.now) else {
            return Ok(());
        };
        if self.faults_enabled && self.rng.random_bool(0.1) {
            dispatcher.report_not_run(run);
            return Ok(());
        }
        let number = self.checker.execute(run.attempt, run.idempotent)?;
        dispatcher.record_run(run, number);
        if self.faults_enabled && self.rng.random_bool(0.2) {
            dispatcher.fail_last(&mut self.rng);
        }
        Ok(())
    }

    fn commit(&mut self) -> Result<(), Violation> {
        if self.fleet.in_flight() == 0 {
            return Ok(());
        }
        let (proposal, outcome) = self.fleet.commit(&mut self.rng);
        let response_lost = self.faults_enabled && self.rng.random_bool(0.1);
        let outcome = (!response_lost).then_some(outcome);
        self.deliver(proposal.owner, Some(&proposal.command), outcome.as_ref())
    }

    fn deliver(
        &mut self,
        owner: ProposalOwner,
        command: Option<&JobCommand>,
        outcome: Option<&JobOutcome>,
    ) -> Result<(), Violation> {
        match owner {
            ProposalOwner::Submitter(number) => {
                let submitter = &mut self.submitters[number];
                if let Some(job) = submitter.answer(outcome) {
                    let count = submitter.item_count();
                    self.checker.acknowledge(submitter.key(), job, count)?;
                }
            }
            ProposalOwner::Canceller(number) => {
                if let (Some(JobOutcome::Cancelled { .. }), Some(job)) =
                    (outcome, self.submitters[number].job)
                {
                    self.cancelling.push(job);
                }
            }
            ProposalOwner::Dispatcher { host, incarnation } => {
                let dispatcher = &mut self.dispatchers[host];
                if dispatcher.incarnation == incarnation {
                    dispatcher.answer(command, outcome);
                }
            }
            ProposalOwner::Sweeper => {}
        }
        Ok(())
    }

    fn read(&mut self) -> Result<(), Violation> {
        let replica = self.rng.random_range(0..REPLICAS);
        let jobs: Vec<JobId> = self.checker.acknowledged().collect();
        for job in jobs {
            if let Some(page) = self.fleet.results(replica, job) {
                self.checker.read(job, &page, false)?;
            }
        }
        Ok(())
    }

    fn sweep(&mut self) {
        let now = self.now;
        let command = JobCommand::Sweep { now };
        self.fleet.propose(ProposalOwner::Sweeper, command);
    }

    fn cancel(&mut self) {
        let number = self.rng.random_range(0..SUBMITTERS);
        let Some(job) = self.submitters[number].job else {
            return;
        };
        let now = self.now;
        let team = team();
        let command = JobCommand::CancelJob { team, job, now };
        let owner = ProposalOwner::Canceller(number);
        self.fleet.propose(owner, command);
    }

    /// Acknowledges cancellations of jobs of which no dispatcher holds an item.
    fn acknowledge_cancels(&mut self) {
        let replica = self.rng.random_range(0..REPLICAS);
        for job in std::mem::take(&mut self.cancelling) {
            let status = self.fleet.status(replica, job, self.now);
            match status.map(|status| status.phase) {
                Some(JobPhase::Cancelled) => self.checker.acknowledge_cancel(job),
                Some(JobPhase::Completed) => {}
                _ => self.cancelling.push(job),
            }
        }
    }

    fn revoke(&mut self) {
        let replica = self.rng.random_range(0..REPLICAS);
        self.fleet.catch_up(replica);
        for dispatcher in &mut self.dispatchers {
            let host = host_name(&dispatcher.name());
            let revoked = self.fleet.machine(replica).revoked_leases(&host);
            dispatcher.revoke(&revoked);
        }
    }

    fn lose_dispatcher(&mut self) {
        let host = self.rng.random_range(0..DISPATCHERS);
        self.dispatchers[host].restart();
        self.report.lost_dispatchers += 1;
    }

    fn change_leader(&mut self) {
        let owners = self.fleet.change_leader(&mut self.rng);
        for owner in owners {
            // A lost outcome by itself violates no invariant.
            let _ = self.deliver(owner, None, None);
        }
        self.report.leader_changes += 1;
    }

    fn is_done(&self) -> bool {
        let ended = |job: JobId| {
            let status = self.fleet.status(0, job, self.now);
            status.is_some_and(|status| status.phase.is_ended())
        };
        let acknowledged = self
            .submitters
            .iter()
            .all(|submitter| submitter.job.is_some());
        acknowledged && self.checker.acknowledged().all(ended)
    }

    fn conclude(mut self) -> Result<SimulationReport, Violation> {
        let jobs: Vec<JobId> = self.checker.acknowledged().collect();
        for replica in 0..REPLICAS {
            self.fleet.catch_up(replica);
            for job in &jobs {
                let status = self.fleet.status(replica, *job, self.now);
                let page = self.fleet.results(replica, *job);
                let page = page.ok_or(Violation::JobLost { job: *job })?;
                self.checker.conclude(*job, status.as_ref(), &page)?;
                let unknown = |end: ItemEnd| end == ItemEnd::OutcomeUnknown;
                let lines = page.lines.iter().filter(|line| unknown(line.result.end));
                self.report.unknown_outcomes += lines.count();
            }
        }
        let submissions = self.submitters.iter().map(|one| one.submissions as usize);
        self.report.resends = submissions.sum::<usize>() - SUBMITTERS;
        self.report.acknowledged_items = self.checker.acknowledged_items();
        self.report.cancelled_jobs = self.checker.cancelled_jobs();
        self.report.late_reports = self.fleet.late_reports() as usize;
        Ok(self.report)
    }
}
