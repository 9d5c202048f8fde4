//! Expiry of leases, uploads and jobs.

use super::{JobMachine, TeamName};
use crate::job::BatchJob;
use crate::{ItemResult, JobOutcome, LeaseId, StoreError, UnixMillis};
use chicoryladder_types::JobId;
use std::time::Duration;

/// The period for which results are kept after the end of a job.
const RESULT_RETENTION: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// The time after which an upload without new items is removed.
const UPLOAD_IDLE_MAX: Duration = Duration::from_secs(10 * 60);

impl JobMachine {
    pub(super) fn sweep(&mut self, now: UnixMillis) -> Result<JobOutcome, StoreError> {
        let expired = self.expired_leases(now);
        for lease in &expired {
            self.expire_lease_items(*lease, now)?;
        }
        self.expire_jobs(now)?;
        let dropped = self.drop_uploads(now)? + self.drop_jobs(now)?;
        let leases = u32::try_from(expired.len()).unwrap_or(u32::MAX);
        Ok(JobOutcome::Swept { leases, dropped })
    }

    fn expire_lease_items(&mut self, lease: LeaseId, now: UnixMillis) -> Result<(), StoreError> {
        let Some(chunk) = self.state.leases.get(&lease) else {
            return Ok(());
        };
        let job = chunk.job;
        let items = chunk.items.clone();
        let mut results: Vec<(u32, ItemResult)> = Vec::new();
        for item in items {
            let holder = self.state.jobs.get_mut(&job);
            let change = holder.and_then(|holder| holder.expire_lease(item, lease, now));
            let result = change.and_then(|change| self.apply_change(job, change, now));
            results.extend(result.map(|result| (item, result)));
        }
        self.state.leases.remove(&lease);
        self.store_results(job, &results)
    }

    fn expire_jobs(&mut self, now: UnixMillis) -> Result<(), StoreError> {
        let live: Vec<JobId> = self.state.live.iter().copied().collect();
        for job in live {
            let Some(expiring) = self.state.jobs.get_mut(&job) else {
                continue;
            };
            let results = expiring.expire(now);
            self.remove_live_if_ended(job);
            self.store_results(job, &results)?;
        }
        Ok(())
    }

    fn drop_uploads(&mut self, now: UnixMillis) -> Result<u32, StoreError> {
        let idle: Vec<JobId> = self.idle_uploads(now).collect();
        for job in &idle {
            self.state.uploads.remove(job);
            self.store.remove(*job)?;
        }
        Ok(u32::try_from(idle.len()).unwrap_or(u32::MAX))
    }

    /// The uploads that have received no items for [`UPLOAD_IDLE_MAX`].
    pub(super) fn idle_uploads(&self, now: UnixMillis) -> impl Iterator<Item = JobId> {
        let uploads = self.state.uploads.iter();
        uploads
            .filter(move |(_, upload)| now.since(upload.last_append_at) >= UPLOAD_IDLE_MAX)
            .map(|(job, _)| *job)
    }

    fn drop_jobs(&mut self, now: UnixMillis) -> Result<u32, StoreError> {
        let jobs = self.state.jobs.iter();
        let old: Vec<JobId> = jobs
            .filter(|(_, job)| is_past_retention(job, now))
            .map(|(job, _)| *job)
            .collect();
        for job in &old {
            self.drop_job(*job)?;
        }
        Ok(u32::try_from(old.len()).unwrap_or(u32::MAX))
    }

    fn drop_job(&mut self, job: JobId) -> Result<(), StoreError> {
        let Some(dropped) = self.state.jobs.remove(&job) else {
            return Ok(());
        };
        let header = dropped.header();
        if let Some(key) = &header.key {
            let owner = (header.team.clone(), key.clone());
            self.state.keys.remove(&owner);
        }
        self.remove_idle_service(&header.team);
        self.store.remove(job)
    }

    /// Removes the service record of a team without jobs.
    fn remove_idle_service(&mut self, team: &TeamName) {
        let mut jobs = self.state.jobs.values();
        if !jobs.any(|job| job.header().team == *team) {
            self.state.service.remove(team);
        }
    }
}

/// Whether the retention period of a job's results is over.
pub(super) fn is_past_retention(job: &BatchJob, now: UnixMillis) -> bool {
    let ended_at = job.ended_at();
    ended_at.is_some_and(|at| now.since(at) >= RESULT_RETENTION)
}
