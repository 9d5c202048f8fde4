//! Checks the invariants of a history as observed from outside the system.

use chicoryladder_jobs::{ItemEnd, ItemRef, JobPhase, JobStatus, ResultLine, ResultPage};
use chicoryladder_types::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of times an idempotent item may run: its failed attempts
/// and one for each dispatcher lost with it.
const RUNS_MAX: usize = 24;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two submissions with one key were acknowledged as different jobs.
    DuplicateJob { first: JobId, second: JobId },
    /// An acknowledged job cannot be found.
    JobLost { job: JobId },
    /// A result differs from the one read before, or has disappeared since.
    ResultChanged { job: JobId, position: usize },
    /// Two results belong to the same item.
    DuplicateResult { job: JobId, custom_id: String },
    /// A result holds a response that no backend server sent for the item.
    UnknownResponse { job: JobId, custom_id: String },
    /// An ended job lacks results.
    ResultsMissing { job: JobId },
    /// A job did not end.
    Unfinished { job: JobId },
    /// A non-idempotent item ran twice.
    RanTwice { attempt: ItemRef },
    /// An idempotent item ran more than [`RUNS_MAX`] times.
    RanTooOften { attempt: ItemRef },
    /// An item started after the cancellation of its job was acknowledged.
    StartedAfterCancel { attempt: ItemRef },
    /// An item of a job that was not cancelled ended as cancelled.
    UnrequestedCancel { job: JobId },
}

/// One execution of an item at a backend server.
#[derive(Clone, Copy, Debug)]
struct Execution {
    number: u64,
}

#[derive(Debug, Default)]
pub(crate) struct HistoryChecker {
    acknowledged: BTreeMap<String, JobId>,
    item_counts: BTreeMap<JobId, usize>,
    cancelled: BTreeSet<JobId>,
    seen: BTreeMap<JobId, Vec<ResultLine>>,
    runs: BTreeMap<(JobId, u32), Vec<Execution>>,
    executions: u64,
}

impl HistoryChecker {
    pub(crate) fn acknowledge(
        &mut self,
        key: &str,
        job: JobId,
        item_count: usize,
    ) -> Result<(), Violation> {
        let first = *self.acknowledged.entry(key.to_owned()).or_insert(job);
        if first != job {
            return Err(Violation::DuplicateJob { first, second: job });
        }
        self.item_counts.insert(job, item_count);
        Ok(())
    }

    pub(crate) fn acknowledged(&self) -> impl Iterator<Item = JobId> {
        self.item_counts.keys().copied()
    }

    pub(crate) fn acknowledged_items(&self) -> usize {
        self.item_counts.values().sum()
    }

    pub(crate) fn acknowledge_cancel(&mut self, job: JobId) {
        self.cancelled.insert(job);
    }

    pub(crate) fn cancelled_jobs(&self) -> usize {
        self.cancelled.len()
    }

    /// Records that a backend server starts an attempt; returns the number that its
    /// response carries.
    pub(crate) fn execute(&mut self, attempt: ItemRef, idempotent: bool) -> Result<u64, Violation> {
        if self.cancelled.contains(&attempt.job) {
            return Err(Violation::StartedAfterCancel { attempt });
        }
        self.executions += 1;
        let number = self.executions;
        let runs = self.runs.entry((attempt.job, attempt.item)).or_default();
        runs.push(Execution { number });
        if !idempotent && runs.len() > 1 {
            return Err(Violation::RanTwice { attempt });
        }
        if runs.len() > RUNS_MAX {
            return Err(Violation::RanTooOften { attempt });
        }
        Ok(number)
    }

    /// Checks a read of all results of a job. `caught_up` tells whether the replica
    /// has applied the whole log, so that it must hold every result seen before.
    pub(crate) fn read(
        &mut self,
        job: JobId,
        page: &ResultPage,
        caught_up: bool,
    ) -> Result<(), Violation> {
        let seen = self.seen.entry(job).or_default();
        let pairs = seen.iter().zip(&page.lines);
        for (position, (before, now)) in pairs.enumerate() {
            if before != now {
                return Err(Violation::ResultChanged { job, position });
            }
        }
        if caught_up && page.lines.len() < seen.len() {
            let position = page.lines.len();
            return Err(Violation::ResultChanged { job, position });
        }
        if page.lines.len() > seen.len() {
            seen.clone_from(&page.lines);
        }
        self.check_lines(job, &page.lines)
    }

    fn check_lines(&self, job: JobId, lines: &[ResultLine]) -> Result<(), Violation> {
        let mut custom_ids = BTreeSet::new();
        for line in lines {
            let custom_id = line.custom_id.clone();
            if !custom_ids.insert(&line.custom_id) {
                return Err(Violation::DuplicateResult { job, custom_id });
            }
            if line.result.end == ItemEnd::Succeeded && !self.was_sent(job, line) {
                return Err(Violation::UnknownResponse { job, custom_id });
            }
        }
        Ok(())
    }

    fn was_sent(&self, job: JobId, line: &ResultLine) -> bool {
        let item = line.custom_id.trim_start_matches("letter-").parse();
        let Ok(item) = item else {
            return false;
        };
        let runs = self.runs.get(&(job, item));
        runs.is_some_and(|runs| {
            runs.iter()
                .any(|run| line.result.body.as_slice() == run.number.to_string().as_bytes())
        })
    }

    /// Checks a job after all faults have ended and all work is done.
    pub(crate) fn conclude(
        &mut self,
        job: JobId,
        status: Option<&JobStatus>,
        page: &ResultPage,
    ) -> Result<(), Violation> {
        let status = status.ok_or(Violation::JobLost { job })?;
        if !status.phase.is_ended() {
            return Err(Violation::Unfinished { job });
        }
        if !page.complete || page.lines.len() != self.item_counts[&job] {
            return Err(Violation::ResultsMissing { job });
        }
        let cancelled_item = |line: &ResultLine| line.result.end == ItemEnd::Cancelled;
        if status.phase == JobPhase::Completed && page.lines.iter().any(cancelled_item) {
            return Err(Violation::UnrequestedCancel { job });
        }
        self.read(job, page, true)
    }
}
