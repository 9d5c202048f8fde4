//! The HTTP service of an entry host.

use super::forward::{ForwardRequest, RequestForwarder};
use super::jobs::{JobGateway, Submission, outcome_unknown};
use super::matching::{MatchedRequest, RequestMatcher};
use super::rotation::RotationState;
use crate::event_log::EventLog;
use crate::metrics::RoleMetrics;
use crate::ports::{CallerDialect, CallerHead};
use chicoryladder_gateway::{AnswerBody, BodyLimits, HttpService, read_body};
use chicoryladder_plan::RouteKind;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::sync::Arc;
use std::time::Instant;

/// The maximum number of attempts at a submission whose plan is replaced meanwhile.
const SUBMISSIONS_MAX: usize = 3;

/// Serves callers' requests.
pub(super) struct EntryService {
    pub(super) dialect: Arc<dyn CallerDialect>,
    pub(super) matcher: RequestMatcher,
    pub(super) forwarder: Arc<RequestForwarder>,
    pub(super) jobs: JobGateway,
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) log: EventLog,
    pub(super) metrics: Arc<RoleMetrics>,
    pub(super) rotation: Arc<RotationState>,
}

impl EntryService {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived_at = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = self.dialect.read_head(&parts);
        let result = tokio::select! {
            result = self.serve(&parts, body, &head, arrived_at) => result,
            refusal = self.wait_for_stop() => Err(refusal),
        };
        let mut response = result.unwrap_or_else(|refusal| {
            self.record_refusal(&parts, &head, &refusal, arrived_at);
            self.dialect.refusal(&refusal)
        });
        if self.rotation.closes_connections() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Waits until a planned stop leaves no more time for an answer. Returns the answer to a
    /// request that is still under way, which may have been passed on.
    async fn wait_for_stop(&self) -> RequestRefusal {
        let stop = self.rotation.wait_for_stop().await;
        let left = stop.answer_by.saturating_duration_since(self.clock.now());
        tokio::time::sleep(left).await;
        let detail = "the host stopped before the request ended";
        RequestRefusal::new(RefusalReason::DeadlineUnmet, RunVerdict::MayHaveRun, detail)
    }

    async fn serve(
        &self,
        parts: &request::Parts,
        body: Incoming,
        head: &CallerHead,
        arrived_at: Instant,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let host = host_of(parts);
        if let Some(call) = self.dialect.read_job_call(parts) {
            let caller = self.matcher.job_caller(head).await?;
            return self.jobs.call(&call, caller, &*self.dialect).await;
        }
        let matched = self.matcher.resolve(&host, parts.uri.path(), head).await?;
        let limits = BodyLimits {
            max_bytes: matched.plan.limits().body_max_bytes,
            timeout: matched.route.timeout,
        };
        let body = read_body(&parts.extensions, body, limits).await?;
        let time_limit = matched.route.timeout;
        let time_limit = head
            .time_left
            .map_or(time_limit, |left| left.min(time_limit));
        let time_left = match self.rotation.stop() {
            Some(stop) => Some(stop.limit(time_limit, arrived_at, self.clock.now())?),
            None => head.time_left,
        };
        if matched.route.kind == RouteKind::Batch && parts.method == Method::POST {
            let path = parts.uri.path();
            return self.submit_job(matched, &host, path, head, &body).await;
        }
        let request = ForwardRequest {
            id: head.id.clone().ok_or_else(missing_id_refusal)?,
            method: parts.method.clone(),
            path: path_of(parts),
            headers: parts.headers.clone(),
            body,
            head: CallerHead {
                time_left,
                ..head.clone()
            },
            arrived_at,
        };
        self.forwarder.clone().forward(matched, request).await
    }

    /// Submits a job, again by the plan in force if the host held an older one.
    async fn submit_job(
        &self,
        mut matched: MatchedRequest,
        host: &str,
        path: &str,
        head: &CallerHead,
        body: &[u8],
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let mut may_have_run = false;
        for _ in 0..SUBMISSIONS_MAX {
            let team = self.matcher.submitter(&matched, head).await;
            let team = team.map_err(|refusal| uncertain(refusal, may_have_run))?;
            let submitted = MatchedRequest { team, ..matched };
            let result = self
                .jobs
                .submit(&submitted, host, head, body, &*self.dialect)
                .await;
            let result = result.map_err(|refusal| uncertain(refusal, may_have_run))?;
            let (in_force, is_repeated) = match result {
                Submission::Accepted(response) => return Ok(response),
                Submission::StalePlan {
                    in_force,
                    is_repeated,
                } => (in_force, is_repeated),
            };
            may_have_run |= is_repeated;
            let resolving = self.matcher.resolve_since(in_force, host, path, head);
            matched = resolving
                .await
                .map_err(|refusal| uncertain(refusal, may_have_run))?;
            let body_max = matched.plan.limits().body_max_bytes;
            if matched.route.kind != RouteKind::Batch || body.len() > body_max {
                break;
            }
        }
        Err(uncertain(self.matcher.stale_view(), may_have_run))
    }

    fn record_refusal(
        &self,
        parts: &request::Parts,
        head: &CallerHead,
        refusal: &RequestRefusal,
        arrived_at: Instant,
    ) {
        let now = self.clock.now();
        self.metrics.count_refusal(refusal.reason);
        let view_age = self.matcher.view.age(now).map(|age| age.as_millis());
        let fields = json!({
            "request": head.id,
            "path": parts.uri.path(),
            "reason": refusal.reason.as_str(),
            "verdict": refusal.verdict.as_str(),
            "detail": refusal.detail,
            "retry_after_ms": refusal.retry_after.map(|after| after.as_millis()),
            "held_ms": now.saturating_duration_since(arrived_at).as_millis(),
            "plan": self.matcher.view.plan().version().0,
            "view_age_ms": view_age,
        });
        self.log.note("refused", &fields);
    }
}

impl HttpService for EntryService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.answer(request).map(Ok).boxed()
    }
}

/// A refusal of a job of which an earlier attempt may still arrive, or not.
fn uncertain(refusal: RequestRefusal, may_have_run: bool) -> RequestRefusal {
    if may_have_run {
        outcome_unknown()
    } else {
        refusal
    }
}

fn missing_id_refusal() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, "the request has no id")
}

fn host_of(parts: &request::Parts) -> String {
    let host_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host_header.or_else(|| parts.uri.host());
    host.unwrap_or_default().to_owned()
}

fn path_of(parts: &request::Parts) -> String {
    let path = parts.uri.path_and_query();
    path.map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}
