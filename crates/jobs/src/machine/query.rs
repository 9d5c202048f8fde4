//! Queries of the state, which reflects committed commands only.

use super::sweep::is_past_retention;
use super::{JobMachine, MachineError};
use crate::job::BatchJob;
use crate::{
    DispatchView, FirstSubmission, ItemRequest, ItemResult, ItemState, JobPhase, JobStatus,
    LeaseId, RecordKind, ResultLine, ResultPage, SubmissionKey, UnixMillis,
};
use chicoryladder_types::{HostName, JobId, TeamName};

impl JobMachine {
    /// The status of a job; `None` if it does not exist or belongs to another team.
    #[must_use]
    pub fn status(&self, team: &TeamName, job: JobId, now: UnixMillis) -> Option<JobStatus> {
        self.owned(team, job).map(|job| self.describe(job, now))
    }

    /// The status of the jobs of a team, or of all teams, oldest first.
    #[must_use]
    pub fn statuses(&self, team: Option<&TeamName>, now: UnixMillis) -> Vec<JobStatus> {
        let jobs = self.state.jobs.values();
        let mut wanted: Vec<&BatchJob> = jobs
            .filter(|job| team.is_none_or(|team| job.header().team == *team))
            .collect();
        wanted.sort_by_key(|job| job.order());
        wanted
            .into_iter()
            .map(|job| self.describe(job, now))
            .collect()
    }

    /// The job that a team submitted with an idempotency key.
    #[must_use]
    pub fn first_submission(
        &self,
        team: &TeamName,
        key: &SubmissionKey,
    ) -> Option<FirstSubmission> {
        let owner = (team.clone(), key.clone());
        let job = self.state.keys.get(&owner)?;
        let digest = self.state.jobs.get(job)?.header().digest;
        Some(FirstSubmission { job: *job, digest })
    }

    /// Up to `limit` results of a job from position `from` on, in the order in
    /// which its items ended. A result never changes once it is visible.
    ///
    /// # Errors
    ///
    /// Fails if the job does not exist or belongs to another team, or if the store
    /// fails.
    pub fn results(
        &self,
        team: &TeamName,
        job: JobId,
        from: u32,
        limit: u32,
    ) -> Result<ResultPage, MachineError> {
        let owned = self.owned(team, job).ok_or(MachineError::UnknownJob)?;
        let ended = owned.ended();
        let begin = (from as usize).min(ended.len());
        let end = begin.saturating_add(limit as usize).min(ended.len());
        let lines = ended[begin..end]
            .iter()
            .map(|item| self.result_line(job, *item))
            .collect::<Result<Vec<ResultLine>, MachineError>>()?;
        Ok(ResultPage {
            lines,
            next: u32::try_from(end).unwrap_or(u32::MAX),
            complete: owned.phase().is_ended() && end == ended.len(),
        })
    }

    /// The request of an item, for its dispatcher.
    ///
    /// # Errors
    ///
    /// Fails if the item does not exist or the store fails.
    pub fn request(&self, job: JobId, item: u32) -> Result<ItemRequest, MachineError> {
        let bytes = self.store.get(job, item, RecordKind::Request)?;
        Ok(postcard::from_bytes(&bytes)?)
    }

    /// The state of an item.
    #[must_use]
    pub fn item_state(&self, job: JobId, item: u32) -> Option<ItemState> {
        let record = self.state.jobs.get(&job)?.item(item)?;
        Some(record.state())
    }

    /// The header of a job, regardless of its team.
    #[must_use]
    pub fn header(&self, job: JobId) -> Option<&crate::JobHeader> {
        self.state.jobs.get(&job).map(BatchJob::header)
    }

    /// Whether any job has items to lease.
    #[must_use]
    pub fn has_work(&self, now: UnixMillis) -> bool {
        let mut live = self
            .state
            .live
            .iter()
            .filter_map(|job| self.state.jobs.get(job));
        live.any(|job| job.has_work(now))
    }

    /// The leases of a dispatcher on cancelled jobs. The dispatcher must start no
    /// further items of them, stop those that run and report every item.
    #[must_use]
    pub fn revoked_leases(&self, host: &HostName) -> Vec<LeaseId> {
        let leases = self.state.leases.iter();
        leases
            .filter(|(_, chunk)| chunk.host == *host)
            .filter(|(_, chunk)| {
                let job = self.state.jobs.get(&chunk.job);
                job.is_some_and(|job| job.phase() == JobPhase::Cancelling)
            })
            .map(|(lease, _)| *lease)
            .collect()
    }

    /// The part of the state that a dispatcher needs.
    #[must_use]
    pub fn dispatch_view(&self, host: &HostName, now: UnixMillis) -> DispatchView {
        DispatchView {
            has_work: self.has_work(now),
            revoked: self.revoked_leases(host),
        }
    }

    /// Whether a sweep at `now` would change anything.
    #[must_use]
    pub fn is_sweep_due(&self, now: UnixMillis) -> bool {
        let due = |job: &BatchJob| job.is_expired(now) || is_past_retention(job, now);
        !self.expired_leases(now).is_empty()
            || self.idle_uploads(now).next().is_some()
            || self.state.jobs.values().any(due)
    }

    fn owned(&self, team: &TeamName, job: JobId) -> Option<&BatchJob> {
        let job = self.state.jobs.get(&job)?;
        (job.header().team == *team).then_some(job)
    }

    fn describe(&self, job: &BatchJob, now: UnixMillis) -> JobStatus {
        let header = job.header();
        let at = job.ended_at().unwrap_or(now);
        JobStatus {
            job: header.job,
            team: header.team.clone(),
            class: header.class.clone(),
            phase: job.phase(),
            counts: *job.counts(),
            submitted_at: header.submitted_at,
            deadline_at: header.deadline_at,
            ended_at: job.ended_at(),
            slack: job.slack(&self.state.meter, at),
        }
    }

    fn result_line(&self, job: JobId, item: u32) -> Result<ResultLine, MachineError> {
        let request = self.request(job, item)?;
        let bytes = self.store.get(job, item, RecordKind::Result)?;
        let result: ItemResult = postcard::from_bytes(&bytes)?;
        Ok(ResultLine {
            custom_id: request.custom_id,
            result,
        })
    }
}
