//! An in-memory replicated log with replicas that lag, restart and serve reads.

use crate::support::team;
use chicoryladder_jobs::{
    AttemptEnd, BodyBytes, ItemEnd, ItemResult, JobCommand, JobMachine, JobOutcome, JobStatus,
    MemoryStore, ResultLine, ResultPage, UnixMillis,
};
use chicoryladder_types::{JobId, LogIndex};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub(crate) const REPLICAS: usize = 3;

/// A deliberate fault of the replicas, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaFault {
    /// The replicas are correct.
    None,
    /// A result is readable as soon as it is proposed.
    VisibleBeforeCommit,
    /// A later result replaces the first one.
    LateOverwrites,
}

/// Results that a faulty replica returns instead of the committed ones.
type ResultOverlay = BTreeMap<(JobId, String), Vec<u8>>;

struct FleetReplica {
    machine: JobMachine,
    overlay: ResultOverlay,
}

impl FleetReplica {
    fn new() -> Self {
        Self {
            machine: JobMachine::new(Box::new(MemoryStore::default())),
            overlay: ResultOverlay::new(),
        }
    }
}

/// The actor that waits for the outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalOwner {
    Submitter(usize),
    Canceller(usize),
    Dispatcher { host: usize, incarnation: u64 },
    Sweeper,
}

/// A proposed command that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct FleetProposal {
    pub(crate) owner: ProposalOwner,
    pub(crate) command: JobCommand,
}

/// The log and its replicas.
pub(crate) struct JobFleet {
    log: Vec<JobCommand>,
    replicas: Vec<FleetReplica>,
    in_flight: Vec<FleetProposal>,
    fault: ReplicaFault,
}

impl JobFleet {
    pub(crate) fn new(fault: ReplicaFault) -> Self {
        Self {
            log: Vec::new(),
            replicas: (0..REPLICAS).map(|_| FleetReplica::new()).collect(),
            in_flight: Vec::new(),
            fault,
        }
    }

    pub(crate) fn propose(&mut self, owner: ProposalOwner, command: JobCommand) {
        if self.fault == ReplicaFault::VisibleBeforeCommit {
            overlay_reports(&mut self.replicas[0], &command);
        }
        self.in_flight.push(FleetProposal { owner, command });
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Commits one proposal, not always the oldest, and returns its outcome.
    pub(crate) fn commit(&mut self, rng: &mut ChaCha8Rng) -> (FleetProposal, JobOutcome) {
        let at = rng.random_range(0..self.in_flight.len());
        let proposal = self.in_flight.remove(at);
        self.log.push(proposal.command.clone());
        let leader = rng.random_range(0..REPLICAS);
        let outcome = self.catch_up(leader).expect("an outcome of the last entry");
        (proposal, outcome)
    }

    /// Applies everything committed to one replica; returns the last outcome.
    pub(crate) fn catch_up(&mut self, replica: usize) -> Option<JobOutcome> {
        let from = usize::try_from(self.replicas[replica].machine.applied().0).expect("an index");
        let mut last = None;
        for position in from..self.log.len() {
            let command = &self.log[position];
            let index = LogIndex(position as u64 + 1);
            let replica = &mut self.replicas[replica];
            last = Some(replica.machine.apply(index, command));
            if self.fault == ReplicaFault::LateOverwrites {
                overlay_reports(replica, command);
            }
        }
        // `None` if this replica had already applied every entry.
        last
    }

    /// Drops each proposal in flight or commits it later without reporting its
    /// outcome.
    pub(crate) fn change_leader(&mut self, rng: &mut ChaCha8Rng) -> Vec<ProposalOwner> {
        let proposals = std::mem::take(&mut self.in_flight);
        let owners = proposals.iter().map(|proposal| proposal.owner).collect();
        for mut proposal in proposals {
            if rng.random_bool(0.5) {
                proposal.owner = ProposalOwner::Sweeper;
                self.in_flight.push(proposal);
            }
        }
        owners
    }

    /// Restarts a replica from its own snapshot, or from another's.
    pub(crate) fn restart(&mut self, rng: &mut ChaCha8Rng) {
        let replica = rng.random_range(0..REPLICAS);
        let source = rng.random_range(0..REPLICAS);
        let snapshot = self.replicas[source].machine.snapshot();
        let mut fresh = FleetReplica::new();
        let restored = fresh.machine.restore(&snapshot.expect("a snapshot"));
        restored.expect("a snapshot that restores");
        self.replicas[replica] = fresh;
    }

    pub(crate) fn machine(&self, replica: usize) -> &JobMachine {
        &self.replicas[replica].machine
    }

    pub(crate) fn status(&self, replica: usize, job: JobId, now: UnixMillis) -> Option<JobStatus> {
        self.replicas[replica].machine.status(&team(), job, now)
    }

    pub(crate) fn results(&self, replica: usize, job: JobId) -> Option<ResultPage> {
        let replica = &self.replicas[replica];
        let mut page = replica.machine.results(&team(), job, 0, u32::MAX).ok()?;
        if self.fault == ReplicaFault::LateOverwrites {
            overwrite_results(&mut page, job, &replica.overlay);
        }
        if self.fault == ReplicaFault::VisibleBeforeCommit {
            append_uncommitted(&mut page, job, &replica.overlay);
        }
        Some(page)
    }

    pub(crate) fn late_reports(&self) -> u32 {
        self.replicas[0].machine.totals().late
    }
}

fn overwrite_results(page: &mut ResultPage, job: JobId, overlay: &ResultOverlay) {
    for line in &mut page.lines {
        let name = (job, line.custom_id.clone());
        if let Some(body) = overlay.get(&name) {
            line.result.body.0.clone_from(body);
        }
    }
}

fn append_uncommitted(page: &mut ResultPage, job: JobId, overlay: &ResultOverlay) {
    for ((result_job, custom_id), body) in overlay {
        let committed = page.lines.iter().any(|line| line.custom_id == *custom_id);
        if *result_job != job || committed {
            continue;
        }
        let mut result = ItemResult::without_answer(ItemEnd::Succeeded, 1, "");
        result.status = Some(200);
        result.body = BodyBytes(body.clone());
        let custom_id = custom_id.clone();
        page.lines.push(ResultLine { custom_id, result });
    }
}

fn overlay_reports(replica: &mut FleetReplica, command: &JobCommand) {
    let JobCommand::CompleteItems { reports, .. } = command else {
        return;
    };
    for report in reports {
        if let AttemptEnd::Answered { status: 200, body } = &report.end {
            let name = (
                report.attempt.job,
                format!("letter-{}", report.attempt.item),
            );
            replica.overlay.insert(name, body.0.clone());
        }
    }
}
