//! The attempts at one online request.

use crate::admission::{KeyChecker, KeyHolder};
use crate::metrics::HostMetrics;
use crate::quarantine::SuspectWatch;
use crate::replica::ReplicaHandle;
use crate::retries::RetryRules;
use crate::routing::{QueueTerms, RoutingHandle, ServerGrant, SlotRequest, WorkKind, WorkTarget};
use chicoryladder_gateway::{
    AnswerBody, BodyError, OnlineRequest, ServerClient, ServerFailure, ServerRequest, StreamEnd,
    StreamTerms, bytes_body, watch_stream,
};
use chicoryladder_policy::quarantine::ServerCrash;
use chicoryladder_policy::retry::{AttemptFailure, RetryDecision};
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest answer that is held until it is whole, in bytes.
const WHOLE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The time after which a caller should come back when attempts ran out.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Header fields of an answer that hold for the server's connection only.
const CONNECTION_FIELDS: &[&str] = &["connection", "keep-alive", "proxy-connection", "upgrade"];

/// What the attempts have to keep to.
pub(crate) struct AttemptPlan {
    pub(crate) target: WorkTarget,
    pub(crate) queue: QueueTerms,
    pub(crate) idempotent: bool,
    pub(crate) give_up: Duration,
    pub(crate) class: ClassName,
    pub(crate) holder: Option<KeyHolder>,
}

/// Runs attempts until one succeeds or none is left.
pub(crate) struct OnlineAttempts<'a> {
    pub(crate) routing: &'a RoutingHandle,
    pub(crate) retries: &'a RetryRules,
    pub(crate) client: &'a ServerClient,
    pub(crate) clock: &'a Arc<dyn ClockSource>,
    pub(crate) metrics: &'a Arc<HostMetrics>,
    pub(crate) keys: &'a KeyChecker,
    pub(crate) replica: &'a ReplicaHandle,
}

/// An answer whose header fields have arrived.
struct BegunAnswer {
    response: Response<Incoming>,
    grant: ServerGrant,
}

impl OnlineAttempts<'_> {
    pub(crate) async fn run(
        &self,
        request: OnlineRequest,
        plan: AttemptPlan,
        mut watch: SuspectWatch,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let deadline = request.received + plan.give_up;
        let mut excluded = Vec::new();
        let mut verdict = RunVerdict::NotRun;
        self.retries.record_first_attempt(&plan.class);
        loop {
            let admitted = watch.admit(self.clock.as_ref(), deadline).await;
            admitted.map_err(|refusal| joined(refusal, verdict))?;
            let grant = self.acquire(&plan, &excluded, deadline, verdict).await?;
            excluded.push(grant.name.clone());
            let crash = possible_crash(&grant);
            let now = self.clock.now();
            let patience = first_byte_patience(&plan, excluded.len(), deadline, now);
            let attempt = self.attempt(&request, &plan, grant, &mut watch, patience);
            let failure = match attempt.await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if is_server_lost(&failure) {
                watch.report_crash(crash);
            }
            verdict = verdict.join(failure.verdict);
            let attempts = u32::try_from(excluded.len()).unwrap_or(u32::MAX);
            let failed = AttemptFailure {
                reason: failure.reason,
                verdict,
                attempts,
                idempotent: plan.idempotent,
                deadline,
            };
            self.await_retry(&plan, &failed, &failure).await?;
            self.metrics.count_retry(failure.reason);
            log::debug!("online: retries request {}: {failure}.", request.id);
        }
    }

    /// Waits for the time of the next attempt.
    ///
    /// # Errors
    ///
    /// Gives the final answer if there is none.
    async fn await_retry(
        &self,
        plan: &AttemptPlan,
        failed: &AttemptFailure,
        failure: &ServerFailure,
    ) -> Result<(), RequestRefusal> {
        let now = self.clock.now();
        match self.retries.decide(&plan.class, failed, now) {
            RetryDecision::Retry { not_before, .. } => {
                tokio::time::sleep(not_before.saturating_duration_since(now)).await;
                Ok(())
            }
            RetryDecision::GiveUp { refusal, .. } => {
                let detail = format!("{}: {}", failure.detail, refusal.detail);
                let told = RequestRefusal { detail, ..refusal };
                Err(told.with_retry_after(FAILED_RETRY_AFTER))
            }
        }
    }

    async fn acquire(
        &self,
        plan: &AttemptPlan,
        excluded: &[ServerName],
        deadline: Instant,
        verdict: RunVerdict,
    ) -> Result<ServerGrant, RequestRefusal> {
        let wanted = SlotRequest {
            target: plan.target.clone(),
            kind: WorkKind::Online(plan.queue.clone()),
            excluded: excluded.to_vec(),
        };
        let result = tokio::select! {
            result = self.routing.acquire(wanted, deadline) => result,
            refusal = self.revoked(plan) => Err(refusal),
        };
        result.map_err(|refusal| joined(refusal, verdict))
    }

    async fn attempt(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        mut grant: ServerGrant,
        watch: &mut SuspectWatch,
        patience: AttemptPatience,
    ) -> Result<Response<AnswerBody>, ServerFailure> {
        let message = ServerRequest {
            address: grant.address,
            id: request.id,
            requires_id: matches!(plan.target, WorkTarget::Model(_)),
            method: request.method.clone(),
            path_and_query: path_and_query(request),
            headers: request.headers.clone(),
            body: request.body.clone(),
            first_byte_timeout: patience.first_byte,
        };
        let sent = self.client.send(&message).await;
        let response = sent.inspect_err(|failure| {
            grant.outcome = failed_outcome(failure.reason);
        })?;
        let answer = BegunAnswer { response, grant };
        if is_event_stream(answer.response.headers()) {
            return Ok(self.stream(request, plan, answer, watch.take()));
        }
        let whole = self.whole(request, plan, answer, patience.deadline).await?;
        watch.report_answer();
        Ok(whole)
    }

    /// Passes a stream on while it arrives.
    fn stream(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        answer: BegunAnswer,
        mut watch: SuspectWatch,
    ) -> Response<AnswerBody> {
        let (parts, body) = answer.response.into_parts();
        let mut grant = answer.grant;
        grant.load = reported_load(&parts.headers);
        let metrics = self.metrics.clone();
        let clock = self.clock.clone();
        let class = plan.class.clone();
        let received = request.received;
        let terms = StreamTerms {
            needs_marker: parts.status.is_success(),
            chunk_timeout: plan.give_up,
            stop: self.withdrawal(plan),
            on_end: Box::new(move |end| {
                grant.outcome = stream_outcome(end);
                match end {
                    StreamEnd::Whole => watch.report_answer(),
                    StreamEnd::Truncated => watch.report_crash(possible_crash(&grant)),
                    StreamEnd::Silent | StreamEnd::Stopped | StreamEnd::CallerLeft => {}
                }
                drop(grant);
                let elapsed = clock.now().saturating_duration_since(received);
                count_end(&metrics, end, &class, elapsed);
            }),
        };
        let mut response = Response::new(watch_stream(body, terms));
        *response.status_mut() = parts.status;
        *response.headers_mut() = answer_fields(&parts.headers);
        response
    }

    /// Holds an answer until it is whole, so that a truncated one is an error.
    async fn whole(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        answer: BegunAnswer,
        deadline: Instant,
    ) -> Result<Response<AnswerBody>, ServerFailure> {
        let (parts, body) = answer.response.into_parts();
        let mut grant = answer.grant;
        grant.load = reported_load(&parts.headers);
        let left = deadline.saturating_duration_since(self.clock.now());
        let read = read_whole(body, left).await;
        grant.outcome = match &read {
            Ok(_) => ServerOutcome::Answered,
            Err(failure) => failed_outcome(failure.reason),
        };
        let bytes = read?;
        drop(grant);
        let elapsed = self.clock.now().saturating_duration_since(request.received);
        self.metrics.count_served(&plan.class, elapsed);
        let mut response = Response::new(bytes_body(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = answer_fields(&parts.headers);
        Ok(response)
    }

    /// Resolves once the key of the request may not be used any more.
    async fn revoked(&self, plan: &AttemptPlan) -> RequestRefusal {
        match &plan.holder {
            Some(holder) => self.keys.revoked(holder).await,
            None => std::future::pending().await,
        }
    }

    /// Resolves once the key of the request is withdrawn.
    fn withdrawal(&self, plan: &AttemptPlan) -> BoxFuture<'static, RequestRefusal> {
        let Some(holder) = plan.holder.clone() else {
            return std::future::pending().boxed();
        };
        let mut replica = self.replica.clone();
        let waiting = async move {
            while !replica.view().is_withdrawn(holder.key_id) {
                if !replica.changed().await {
                    std::future::pending::<()>().await;
                }
            }
            let detail = "the key was withdrawn";
            RequestRefusal::new(RefusalReason::WithdrawnKey, RunVerdict::MayHaveRun, detail)
        };
        waiting.boxed()
    }
}

/// How long one attempt may take.
#[derive(Clone, Copy)]
struct AttemptPatience {
    /// The longest wait for the header fields of the answer.
    first_byte: Duration,
    /// The instant by which the whole answer is due.
    deadline: Instant,
}

/// Leaves time for another attempt: one that may be repeated waits a third of
/// the time left for its first byte, and the last one all of it.
fn first_byte_patience(
    plan: &AttemptPlan,
    attempt: usize,
    deadline: Instant,
    now: Instant,
) -> AttemptPatience {
    const SHARES: u32 = 3;
    let left = deadline.saturating_duration_since(now);
    let repeatable = plan.idempotent && attempt < SHARES as usize;
    AttemptPatience {
        first_byte: if repeatable { left / SHARES } else { left },
        deadline,
    }
}

fn joined(refusal: RequestRefusal, verdict: RunVerdict) -> RequestRefusal {
    RequestRefusal {
        verdict: refusal.verdict.join(verdict),
        ..refusal
    }
}

/// The incarnation that crashed, if the attempt loses its server.
fn possible_crash(grant: &ServerGrant) -> ServerCrash {
    ServerCrash {
        server: grant.name.clone(),
        generation: grant.generation,
    }
}

/// Whether the server went away with the request on it.
fn is_server_lost(failure: &ServerFailure) -> bool {
    let lost = matches!(
        failure.reason,
        RetryReason::ConnectionLost | RetryReason::ServerCrashed
    );
    lost && failure.verdict == RunVerdict::MayHaveRun
}

/// What a failure tells of the health of the server.
pub(crate) fn failed_outcome(reason: RetryReason) -> ServerOutcome {
    match reason {
        RetryReason::ServerRefused => ServerOutcome::Refused,
        RetryReason::ServerSilent => ServerOutcome::Silent,
        RetryReason::AnswerCrossed
        | RetryReason::ConnectFailed
        | RetryReason::ConnectionLost
        | RetryReason::ServerCrashed => ServerOutcome::Failed,
    }
}

/// What the end of a stream tells of the server.
fn stream_outcome(end: StreamEnd) -> ServerOutcome {
    match end {
        StreamEnd::Whole => ServerOutcome::Answered,
        StreamEnd::Truncated => ServerOutcome::Failed,
        StreamEnd::Silent => ServerOutcome::Silent,
        StreamEnd::Stopped | StreamEnd::CallerLeft => ServerOutcome::Cancelled,
    }
}

/// The path of a request as it goes to the server.
pub(crate) fn path_and_query(request: &OnlineRequest) -> String {
    if request.query.is_empty() {
        return request.path.clone();
    }
    format!("{}?{}", request.path, request.query)
}

fn is_event_stream(fields: &HeaderMap) -> bool {
    let kind = fields.get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// The load that an answer reports in its header fields.
pub(crate) fn reported_load(fields: &HeaderMap) -> Option<chicoryladder_types::ServerLoad> {
    let text = fields.get(headers::SERVER_LOAD)?.to_str().ok()?;
    let mut load = chicoryladder_types::ServerLoad::default();
    for part in text.split(';') {
        let (name, count) = part.trim().split_once('=')?;
        let count = count.parse().ok()?;
        match name {
            "running" => load.running = count,
            "waiting" => load.waiting = count,
            _ => {}
        }
    }
    Some(load)
}

/// The header fields of a server's answer that reach the caller.
fn answer_fields(fields: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(fields.len() + 1);
    for (name, value) in fields {
        let dropped = CONNECTION_FIELDS.contains(&name.as_str())
            || *name == CONTENT_LENGTH
            || *name == TRANSFER_ENCODING
            || name.as_str() == headers::SERVER_LOAD
            || name.as_str() == headers::SERVER_VERDICT;
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    let verdict = HeaderValue::from_static(RunVerdict::Ran.as_str());
    kept.insert(headers::VERDICT, verdict);
    kept
}

async fn read_whole(body: Incoming, left: Duration) -> Result<Bytes, ServerFailure> {
    let limited = http_body_util::Limited::new(body, WHOLE_ANSWER_MAX_BYTES);
    match tokio::time::timeout(left, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(truncated(&error)),
        Err(_) => Err(ServerFailure {
            verdict: RunVerdict::MayHaveRun,
            reason: RetryReason::ServerSilent,
            detail: "the backend server stopped sending".to_owned(),
        }),
    }
}

fn truncated(error: &BodyError) -> ServerFailure {
    ServerFailure {
        verdict: RunVerdict::MayHaveRun,
        reason: RetryReason::ConnectionLost,
        detail: format!("the answer ended early: {error}"),
    }
}

fn count_end(metrics: &HostMetrics, end: StreamEnd, class: &ClassName, elapsed: Duration) {
    match end {
        StreamEnd::Whole => metrics.count_served(class, elapsed),
        StreamEnd::Truncated => metrics.count_refusal(RefusalReason::AnswerTruncated),
        StreamEnd::Silent => metrics.count_refusal(RefusalReason::ServerSilent),
        StreamEnd::Stopped => metrics.count_refusal(RefusalReason::WithdrawnKey),
        StreamEnd::CallerLeft => {}
    }
}
