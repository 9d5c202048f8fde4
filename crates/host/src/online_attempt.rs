//! The attempts at one online request.

mod answer;
mod outcome;

pub(crate) use answer::reported_load;
pub(crate) use outcome::failed_outcome;

use crate::admission::{KeyChecker, KeyHolder};
use crate::board::{BoardHandle, ServedRequest};
use crate::metrics::HostMetrics;
use crate::quarantine::SuspectWatch;
use crate::replica::ReplicaHandle;
use crate::retries::RetryRules;
use crate::routing::{QueueTerms, RoutingHandle, ServerGrant, SlotRequest, WorkKind, WorkTarget};
use answer::{AnswerRead, answer_fields, is_event_stream, read_whole};
use chicoryladder_gateway::{
    AnswerBody, OnlineRequest, ServerClient, ServerFailure, ServerRequest, StreamEnd,
    StreamOptions, bytes_body, watch_stream,
};
use chicoryladder_policy::retry::{AttemptFailure, RetryDecision};
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use hyper::http::response::Parts;
use outcome::{count_end, is_server_lost, possible_crash, show_end, stream_outcome};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// The time after which a caller should come back when attempts ran out.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

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
    pub(crate) boards: &'a BoardHandle,
    pub(crate) keys: &'a KeyChecker,
    pub(crate) replica: &'a ReplicaHandle,
}

/// Marks a response whose body goes on to arrive from the server.
#[derive(Clone, Copy)]
pub(crate) struct StreamedAnswer;

/// An answer that is passed on while it arrives.
struct BegunAnswer {
    parts: Parts,
    /// What was read of the body already.
    begun: Bytes,
    body: Incoming,
    needs_marker: bool,
    grant: ServerGrant,
}

impl BegunAnswer {
    fn event_stream(parts: Parts, body: Incoming, grant: ServerGrant) -> Self {
        Self {
            begun: Bytes::new(),
            body,
            needs_marker: parts.status.is_success(),
            grant,
            parts,
        }
    }
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
                let reported = RequestRefusal { detail, ..refusal };
                Err(reported.with_retry_after(FAILED_RETRY_AFTER))
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
        let (parts, body) = response.into_parts();
        grant.load = reported_load(&parts.headers);
        if is_event_stream(&parts.headers) {
            let answer = BegunAnswer::event_stream(parts, body, grant);
            return Ok(self.stream(request, plan, answer, watch.take()));
        }
        let left = patience
            .deadline
            .saturating_duration_since(self.clock.now());
        let read = read_whole(body, left).await;
        let read = read.inspect_err(|failure| {
            grant.outcome = failed_outcome(failure.reason);
        })?;
        match read {
            AnswerRead::Whole(bytes) => {
                grant.outcome = ServerOutcome::Answered;
                drop(grant);
                watch.report_answer();
                Ok(self.whole(request, plan, &parts, bytes))
            }
            AnswerRead::Begun(begun, body) => {
                let answer = BegunAnswer {
                    parts,
                    begun,
                    body,
                    needs_marker: false,
                    grant,
                };
                Ok(self.stream(request, plan, answer, watch.take()))
            }
        }
    }

    /// Passes a stream on while it arrives.
    fn stream(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        answer: BegunAnswer,
        mut watch: SuspectWatch,
    ) -> Response<AnswerBody> {
        let parts = answer.parts;
        let mut grant = answer.grant;
        let metrics = self.metrics.clone();
        let boards = self.boards.clone();
        let clock = self.clock.clone();
        let class = plan.class.clone();
        let received = request.received;
        let first_token = Arc::new(OnceLock::new());
        let first_clock = self.clock.clone();
        let first_seen = Arc::clone(&first_token);
        let options = StreamOptions {
            on_first_chunk: Box::new(move || {
                let elapsed = first_clock.now().saturating_duration_since(received);
                // Called once, so the time is not set yet.
                let _ = first_seen.set(elapsed);
            }),
            prefix: answer.begun,
            needs_end_marker: answer.needs_marker,
            chunk_timeout: plan.give_up,
            stop: self.withdrawal(plan),
            on_end: Box::new(move |end| {
                grant.outcome = stream_outcome(end);
                match end {
                    StreamEnd::Complete => watch.report_answer(),
                    StreamEnd::Truncated => watch.report_crash(possible_crash(&grant)),
                    StreamEnd::Stalled | StreamEnd::Stopped | StreamEnd::CallerDisconnected => {}
                }
                drop(grant);
                let elapsed = clock.now().saturating_duration_since(received);
                count_end(&metrics, end, &class, elapsed);
                let served = ServedRequest {
                    class,
                    first_token: first_token.get().copied(),
                    answer: elapsed,
                };
                show_end(&boards, end, served);
            }),
        };
        let mut response = Response::new(watch_stream(answer.body, options));
        *response.status_mut() = parts.status;
        *response.headers_mut() = answer_fields(&parts.headers);
        response.extensions_mut().insert(StreamedAnswer);
        response
    }

    /// Hands on an answer that was read to its end.
    fn whole(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        parts: &Parts,
        bytes: Bytes,
    ) -> Response<AnswerBody> {
        let elapsed = self.clock.now().saturating_duration_since(request.received);
        self.metrics.count_served(&plan.class, elapsed);
        self.boards.record_served(ServedRequest {
            class: plan.class.clone(),
            first_token: None,
            answer: elapsed,
        });
        let mut response = Response::new(bytes_body(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = answer_fields(&parts.headers);
        response
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

/// The path of a request as it goes to the server.
pub(crate) fn path_and_query(request: &OnlineRequest) -> String {
    if request.query.is_empty() {
        return request.path.clone();
    }
    format!("{}?{}", request.path, request.query)
}
