//! Batch jobs as callers see them.

use crate::admission::{KeyChecker, KeyHolder, WorkRules};
use crate::ids::RandomIds;
use crate::job_upload::submit_job;
use crate::metrics::HostMetrics;
use crate::platform::DrainFlag;
use crate::replica::{ProposeError, ReplicaHandle, ResultQuery};
use chicoryladder_gateway::{AnswerBody, ItemCounts, JobPort, JobView, SubmitRequest, bytes_body};
use chicoryladder_jobs::{
    ItemDraft, ItemParser, ItemRequest, JobCommand, JobHeader, JobOutcome, JobShare, JobStatus,
    SubmissionKey,
};
use chicoryladder_settings::ClassTarget;
use chicoryladder_state::FleetView;
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;

/// The time for which items of a job may wait after its deadline.
const EXPIRY_AFTER_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Results read from the replica at a time.
const RESULT_PAGE_ITEMS: u32 = 1000;

/// The time between two looks at a job that is being cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves batch jobs.
pub(crate) struct JobService {
    pub(crate) keys: KeyChecker,
    pub(crate) replica: ReplicaHandle,
    pub(crate) ids: Arc<RandomIds>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) drain: DrainFlag,
}

impl JobPort for JobService {
    fn submit(&self, request: SubmitRequest) -> BoxFuture<'_, Result<JobView, RequestRefusal>> {
        self.counted(self.submit_checked(request)).boxed()
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
        self.counted(status).boxed()
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
        self.counted(results).boxed()
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
        self.counted(cancel).boxed()
    }
}

impl JobService {
    async fn counted<T>(
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
        if self.drain.is_raised() {
            let detail = "this host is shutting down";
            return Err(RequestRefusal::not_run(RefusalReason::Draining, detail));
        }
        let holder = self.keys.check(request.key.as_deref())?;
        let (items, digest) = ItemParser::parse(&request.body).map_err(bad_request)?;
        let view = self.replica.view();
        let plan = JobPlan::new(&view, &items, request.class.as_ref())?;
        let key = request
            .idempotency_key
            .map(SubmissionKey::try_from)
            .transpose()
            .map_err(bad_request)?;
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
        let submitted = submit_job(&self.replica, header, plan.items).await;
        match submitted.map_err(ProposeError::refusal)? {
            JobOutcome::Submitted { job, .. } => self.view(&holder, job).await,
            outcome => Err(refused(&outcome)),
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
        let mut text = String::new();
        let mut from = 0;
        loop {
            let query = ResultQuery {
                team: holder.team.clone(),
                job,
                from,
                limit: RESULT_PAGE_ITEMS,
            };
            let page = self.replica.job_results(query).await;
            let page = page.ok_or_else(unknown_job)?.map_err(unreadable)?;
            for line in &page.lines {
                text.push_str(&line.to_json().map_err(unreadable)?);
                text.push('\n');
            }
            if page.lines.is_empty() {
                return Ok(bytes_body(text));
            }
            from = page.next;
        }
    }

    /// Cancels a job and waits until no dispatcher holds an item of it.
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

/// What the fleet document says of a job.
struct JobPlan {
    class: ClassName,
    finish_within: Duration,
    items: Vec<ItemDraft>,
}

impl JobPlan {
    fn new(
        view: &Arc<FleetView>,
        items: &[ItemRequest],
        class: Option<&ClassName>,
    ) -> Result<Self, RequestRefusal> {
        let class = match class {
            Some(class) => class.clone(),
            None => default_class(view)?,
        };
        let known = view.document.classes.get(&class).map(|known| known.target);
        let Some(ClassTarget::Batch(target)) = known else {
            let detail = format!("the fleet document has no batch class {class}");
            return Err(RequestRefusal::not_run(
                RefusalReason::ClassForbidden,
                detail,
            ));
        };
        let items = items
            .iter()
            .map(|item| draft(view, item, &class))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            class,
            finish_within: target.finish_within,
            items,
        })
    }
}

fn draft(
    view: &Arc<FleetView>,
    item: &ItemRequest,
    class: &ClassName,
) -> Result<ItemDraft, RequestRefusal> {
    let rules = WorkRules::find(view, &item.method, &item.url, Some(class));
    let rules = rules.map_err(|mut refusal| {
        refusal.detail = format!("item {}: {}", item.custom_id, refusal.detail);
        refusal
    })?;
    Ok(ItemDraft {
        idempotent: rules.route.idempotent,
        request: item.clone(),
    })
}

/// The first batch class of the fleet document.
fn default_class(view: &Arc<FleetView>) -> Result<ClassName, RequestRefusal> {
    let classes = view.document.classes.iter();
    let mut batch = classes.filter(|(_, class)| !class.target.is_online());
    batch.next().map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "the fleet document has no batch class";
        RequestRefusal::not_run(RefusalReason::ClassForbidden, detail)
    })
}

fn job_view(status: &JobStatus) -> JobView {
    let counts = &status.counts;
    JobView {
        id: status.job.to_string(),
        object: "batch",
        status: status.phase.as_str(),
        class: status.class.to_string(),
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

fn unknown_job() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::UnknownJob, "no such job")
}

fn bad_request(error: impl std::fmt::Display) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
}

fn unreadable(error: impl std::fmt::Display) -> RequestRefusal {
    let detail = format!("the results cannot be read: {error}");
    RequestRefusal::not_run(RefusalReason::StorageFailed, detail)
}
