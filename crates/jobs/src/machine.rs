//! The replicated state machine of a job group.

mod leasing;
mod query;
mod snapshot;
mod submit;
mod sweep;

use crate::job::{BatchJob, ItemChange};
use crate::schedule::ThroughputMeter;
use crate::{
    AttemptReport, ChunkLease, ItemResult, ItemStore, JobCommand, JobOutcome, LeaseId, RecordKind,
    ReportCounts, ReportEffect, StoreError, StoreRecord, SubmissionKey, UnixMillis,
};
use chicoryladder_types::{JobId, LogIndex, RefusalReason, TeamName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use submit::JobUpload;

/// An error in a query, a snapshot or a restore.
#[derive(Debug, thiserror::Error)]
pub enum MachineError {
    /// The job does not exist or belongs to another team.
    #[error("no such job")]
    UnknownJob,
    /// The item store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record or snapshot cannot be decoded.
    #[error("batch: cannot decode a record: {0}")]
    Codec(#[from] postcard::Error),
}

/// The state in memory; snapshots hold it along with the records of the store.
#[derive(Debug, Default, Serialize, Deserialize)]
struct MachineState {
    applied: LogIndex,
    jobs: BTreeMap<JobId, BatchJob>,
    /// The jobs that have not ended.
    live: BTreeSet<JobId>,
    keys: BTreeMap<(TeamName, SubmissionKey), JobId>,
    uploads: BTreeMap<JobId, JobUpload>,
    leases: BTreeMap<LeaseId, ChunkLease>,
    /// The service received by each team: items leased, scaled and divided by the
    /// share of the team.
    service: BTreeMap<TeamName, u64>,
    meter: ThroughputMeter,
    totals: ReportCounts,
}

/// The state machine of a job group.
///
/// A failure of the item store stops the machine: it refuses all later commands,
/// and [`JobMachine::failure`] signals the replica to stop. Continuing after a
/// lost record would make the replicas diverge.
pub struct JobMachine {
    state: MachineState,
    store: Box<dyn ItemStore>,
    failure: Option<StoreError>,
}

impl JobMachine {
    /// Creates an empty machine that uses `store`.
    #[must_use]
    pub fn new(store: Box<dyn ItemStore>) -> Self {
        Self {
            state: MachineState::default(),
            store,
            failure: None,
        }
    }

    /// The index of the last applied command.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.state.applied
    }

    /// The storage failure that stopped the machine, if any.
    #[must_use]
    pub const fn failure(&self) -> Option<&StoreError> {
        self.failure.as_ref()
    }

    /// The effects of all reports so far.
    #[must_use]
    pub const fn totals(&self) -> &ReportCounts {
        &self.state.totals
    }

    /// Applies the command committed at `index`.
    ///
    /// Indexes must increase; a command at or below the last applied index is
    /// refused.
    pub fn apply(&mut self, index: LogIndex, command: &JobCommand) -> JobOutcome {
        if self.failure.is_some() {
            return JobOutcome::Refused(RefusalReason::StorageFailed);
        }
        if index <= self.state.applied {
            return JobOutcome::Refused(RefusalReason::BadRequest);
        }
        match self.apply_next(index, command) {
            Ok(outcome) => {
                self.state.applied = index;
                outcome
            }
            Err(error) => {
                log::error!("batch: state machine stopped at log entry {index}: {error}.");
                self.failure = Some(error);
                JobOutcome::Refused(RefusalReason::StorageFailed)
            }
        }
    }

    fn apply_next(
        &mut self,
        index: LogIndex,
        command: &JobCommand,
    ) -> Result<JobOutcome, StoreError> {
        match command {
            JobCommand::Submit { header, items } => self.submit(index, header, items),
            JobCommand::BeginUpload { job, team, now } => Ok(self.begin_upload(*job, team, *now)),
            JobCommand::AppendItems {
                job,
                first_item,
                items,
                now,
            } => self.append_items(*job, *first_item, items, *now),
            JobCommand::CommitUpload { header, item_count } => {
                self.commit_upload(index, header, *item_count)
            }
            JobCommand::LeaseItems(request) => Ok(self.lease_items(index, request)),
            JobCommand::StartItems {
                lease,
                attempts,
                now,
            } => Ok(self.start_items(*lease, attempts, *now)),
            JobCommand::RenewLeases {
                host,
                leases,
                now,
                duration,
            } => Ok(self.renew_leases(host, leases, now.after(*duration))),
            JobCommand::CompleteItems { reports, now } => self.complete_items(reports, *now),
            JobCommand::CancelJob { team, job, now } => self.cancel_job(team, *job, *now),
            JobCommand::Sweep { now } => self.sweep(*now),
        }
    }

    fn complete_items(
        &mut self,
        reports: &[AttemptReport],
        now: UnixMillis,
    ) -> Result<JobOutcome, StoreError> {
        let mut counts = ReportCounts::default();
        let mut results: BTreeMap<JobId, Vec<(u32, ItemResult)>> = BTreeMap::new();
        for report in reports {
            let attempt = report.attempt;
            let job = self.state.jobs.get_mut(&attempt.job);
            let change =
                job.and_then(|job| job.report(attempt.item, attempt.attempt, &report.end, now));
            let Some(change) = change else {
                counts.unknown += 1;
                continue;
            };
            count_effect(&mut counts, &change.effect);
            if let Some(result) = self.apply_change(attempt.job, change, now) {
                let entry = results.entry(attempt.job).or_default();
                entry.push((attempt.item, result));
            }
        }
        for (job, results) in &results {
            self.store_results(*job, results)?;
        }
        self.add_totals(&counts);
        Ok(JobOutcome::Reported(counts))
    }

    fn cancel_job(
        &mut self,
        team: &TeamName,
        job: JobId,
        now: UnixMillis,
    ) -> Result<JobOutcome, StoreError> {
        let owned = self.state.jobs.get_mut(&job);
        let Some(owned) = owned.filter(|owned| owned.header().team == *team) else {
            return Ok(JobOutcome::Refused(RefusalReason::UnknownJob));
        };
        let results = owned.cancel(now);
        let held = owned.counts().leased;
        self.remove_live_if_ended(job);
        self.store_results(job, &results)?;
        Ok(JobOutcome::Cancelled { held })
    }

    /// Updates leases, service and throughput after a change of an item; returns
    /// the result to store if the item ended.
    fn apply_change(
        &mut self,
        job: JobId,
        change: ItemChange,
        now: UnixMillis,
    ) -> Option<ItemResult> {
        if let Some(lease) = change.released {
            self.release_item(lease);
        }
        match change.effect {
            ReportEffect::Ended(result) => {
                self.state.meter.record(1, now);
                self.remove_live_if_ended(job);
                Some(result)
            }
            ReportEffect::Returned => {
                self.refund_service(job);
                None
            }
            ReportEffect::Late | ReportEffect::Fenced => None,
        }
    }

    fn remove_live_if_ended(&mut self, job: JobId) {
        let ended = self.state.jobs.get(&job);
        if ended.is_some_and(|ended| ended.phase().is_ended()) {
            self.state.live.remove(&job);
        }
    }

    fn store_results(
        &mut self,
        job: JobId,
        results: &[(u32, ItemResult)],
    ) -> Result<(), StoreError> {
        if results.is_empty() {
            return Ok(());
        }
        let encoded: Vec<(u32, Vec<u8>)> = results
            .iter()
            .map(|(item, result)| (*item, encode(result)))
            .collect();
        self.store_records(job, RecordKind::Result, &encoded)
    }

    fn store_records(
        &mut self,
        job: JobId,
        kind: RecordKind,
        encoded: &[(u32, Vec<u8>)],
    ) -> Result<(), StoreError> {
        let records: Vec<StoreRecord<'_>> = encoded
            .iter()
            .map(|(item, bytes)| StoreRecord {
                item: *item,
                kind,
                bytes,
            })
            .collect();
        self.store.put(job, &records)
    }

    fn add_totals(&mut self, counts: &ReportCounts) {
        let totals = &mut self.state.totals;
        totals.ended = totals.ended.saturating_add(counts.ended);
        totals.returned = totals.returned.saturating_add(counts.returned);
        totals.late = totals.late.saturating_add(counts.late);
        totals.fenced = totals.fenced.saturating_add(counts.fenced);
        totals.unknown = totals.unknown.saturating_add(counts.unknown);
    }
}

fn count_effect(counts: &mut ReportCounts, effect: &ReportEffect) {
    match effect {
        ReportEffect::Ended(_) => counts.ended += 1,
        ReportEffect::Returned => counts.returned += 1,
        ReportEffect::Late => counts.late += 1,
        ReportEffect::Fenced => counts.fenced += 1,
    }
}

/// Encodes a value, which cannot fail for the types of this crate.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}
