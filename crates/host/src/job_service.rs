//! The batch job API for callers.

mod plan;
mod results;
mod upload;

use crate::admission::{KeyChecker, KeyHolder};
use crate::ids::RandomIds;
use crate::metrics::HostMetrics;
use crate::replica::{ProposeError, ReplicaHandle};
use chicoryladder_gateway::{AnswerBody, ItemCounts, JobPort, JobView, SubmitRequest};
use chicoryladder_jobs::{
    BodyDigest, ItemParser, JobCommand, JobHeader, JobOutcome, JobShare, JobStatus, SubmissionKey,
};
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use plan::JobPlan;
use results::ResultReader;
use std::sync::Arc;
use std::time::Duration;
use upload::{JobUpload, UploadError};

/// The time after a job's deadline at which its waiting items expire.
const EXPIRY_AFTER_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

const MILLIS_PER_SECOND: u64 = 1000;

/// The time between two checks of a job that is being cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The longest time that a cancellation waits for the dispatchers.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves the batch job API.
pub(crate) struct JobService {
    pub(crate) keys: KeyChecker,
    pub(crate) replica: ReplicaHandle,
    pub(crate) ids: Arc<RandomIds>,
    pub(crate) metrics: Arc<HostMetrics>,
}

impl JobPort for JobService {
    fn submit(&self, request: SubmitRequest) -> BoxFuture<'_, Result<JobView, RequestRefusal>> {
        self.count_refusals(self.submit_checked(request)).boxed()
    }

    fn status<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>> {
        let status = async move {
            let holder = self.keys.check(key)?;
            self.view(&holder, job).await
        };
        self.count_refusals(status).boxed()
    }

    fn results<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<AnswerBody, RequestRefusal>> {
        let results = async move {
            let holder = self.keys.check(key)?;
            self.read_results(&holder, job).await
        };
        self.count_refusals(results).boxed()
    }

    fn cancel<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>> {
        let cancel = async move {
            let holder = self.keys.check(key)?;
            self.cancel_owned(&holder, job).await
        };
        self.count_refusals(cancel).boxed()
    }
}

impl JobService {
    async fn count_refusals<T>(
        &self,
        serving: impl Future<Output = Result<T, RequestRefusal>>,
    ) -> Result<T, RequestRefusal> {
        let result = serving.await;
        if let Err(refusal) = &result {
            self.metrics.count_refusal(refusal.reason);
        }
        result
    }

    async fn submit_checked(&self, request: SubmitRequest) -> Result<JobView, RequestRefusal> {
        let holder = self.keys.check(request.key.as_deref())?;
        let key = request
            .idempotency_key
            .map(SubmissionKey::try_from)
            .transpose()
            .map_err(bad_request)?;
        let digest = BodyDigest::of(&request.body);
        if let Some(job) = self.find_earlier(&holder, key.as_ref(), digest).await? {
            return self.view(&holder, job).await;
        }
        let (items, digest) = ItemParser::parse(&request.body).map_err(bad_request)?;
        drop(request.body);
        let view = self.replica.view();
        let plan = JobPlan::new(&view, items, request.class.as_ref())?;
        let now = self.replica.wall();
        let deadline_at = now.after(plan.finish_within);
        let header = JobHeader {
            job: self.ids.job(),
            team: holder.team.clone(),
            class: plan.class,
            key,
            digest,
            share: JobShare(holder.terms.share),
            submitted_at: now,
            deadline_at: Some(deadline_at),
            expires_at: deadline_at.after(EXPIRY_AFTER_DEADLINE),
        };
        let upload = JobUpload {
            replica: &self.replica,
            header,
        };
        match upload.run(plan.items).await {
            Ok(job) => self.view(&holder, job).await,
            Err(UploadError::NoOutcome(error)) => Err(error.refusal()),
            Err(UploadError::Refused(outcome)) => Err(refused(&outcome)),
        }
    }

    /// The job of an earlier submission under the key, if this host's state contains
    /// it. A resent submission that is found here is not uploaded again.
    async fn find_earlier(
        &self,
        holder: &KeyHolder,
        key: Option<&SubmissionKey>,
        digest: BodyDigest,
    ) -> Result<Option<JobId>, RequestRefusal> {
        let Some(key) = key else {
            return Ok(None);
        };
        match self.replica.first_submission(&holder.team, key).await {
            Some(first) if first.digest == digest => Ok(Some(first.job)),
            Some(_) => Err(refused(&JobOutcome::Refused(RefusalReason::KeyReused))),
            None => Ok(None),
        }
    }

    async fn view(&self, holder: &KeyHolder, job: JobId) -> Result<JobView, RequestRefusal> {
        let status = self.replica.job_status(&holder.team, job).await;
        status.as_ref().map(job_view).ok_or_else(unknown_job)
    }

    async fn read_results(
        &self,
        holder: &KeyHolder,
        job: JobId,
    ) -> Result<AnswerBody, RequestRefusal> {
        let reader = ResultReader {
            replica: self.replica.clone(),
            team: holder.team.clone(),
            job,
        };
        reader.into_body().await
    }

    /// Cancels a job and waits until no dispatcher holds a lease on its items.
    async fn cancel_owned(
        &self,
        holder: &KeyHolder,
        job: JobId,
    ) -> Result<JobView, RequestRefusal> {
        let command = JobCommand::CancelJob {
            team: holder.team.clone(),
            job,
            now: self.replica.wall(),
        };
        match self.propose(command).await? {
            JobOutcome::Cancelled { .. } => {}
            outcome => return Err(refused(&outcome)),
        }
        let settled = self.wait_until_ended(holder, job);
        let waited = tokio::time::timeout(CANCEL_TIMEOUT, settled).await;
        waited.unwrap_or_else(|_| Err(still_held()))
    }

    async fn wait_until_ended(
        &self,
        holder: &KeyHolder,
        job: JobId,
    ) -> Result<JobView, RequestRefusal> {
        loop {
            let status = self.replica.job_status(&holder.team, job).await;
            let status = status.ok_or_else(unknown_job)?;
            if status.phase.is_ended() {
                return Ok(job_view(&status));
            }
            tokio::time::sleep(CANCEL_POLL_INTERVAL).await;
        }
    }

    async fn propose(&self, command: JobCommand) -> Result<JobOutcome, RequestRefusal> {
        let result = self.replica.propose_jobs(command).await;
        result.map_err(ProposeError::refusal)
    }
}

fn job_view(status: &JobStatus) -> JobView {
    let counts = &status.counts;
    JobView {
        id: status.job.to_string(),
        object: "batch",
        status: status.phase.as_str(),
        class: status.class.to_string(),
        deadline_at: status
            .deadline_at
            .map(|deadline| deadline.0 / MILLIS_PER_SECOND),
        expected_late: status.slack.is_late(),
        request_counts: ItemCounts {
            total: counts.total().into(),
            completed: counts.succeeded.into(),
            failed: counts.failed.into(),
            cancelled: counts.cancelled.into(),
            outcome_unknown: counts.outcome_unknown.into(),
        },
    }
}

fn refused(outcome: &JobOutcome) -> RequestRefusal {
    match outcome {
        JobOutcome::Refused(reason) => {
            RequestRefusal::not_run(*reason, "the job state refused the command")
        }
        _ => RequestRefusal::not_run(RefusalReason::BadRequest, "unexpected outcome"),
    }
}

fn still_held() -> RequestRefusal {
    let detail = "the cancellation is logged, but a dispatcher has not let go of its items yet";
    let reason = RefusalReason::StillRunning;
    RequestRefusal::new(reason, RunVerdict::MayHaveRun, detail)
        .with_retry_after(CANCEL_POLL_INTERVAL)
}

fn unknown_job() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::UnknownJob, "no such job")
}

fn bad_request(error: impl std::fmt::Display) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
}
