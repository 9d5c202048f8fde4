//! The attempts at one online request, including retries on other servers.

mod answer;
mod outcome;
mod send;

pub(crate) use answer::reported_load;
pub(crate) use outcome::failed_outcome;

use crate::admission::{KeyChecker, KeyHolder};
use crate::board::{BoardHandle, ServedRequest};
use crate::metrics::HostMetrics;
use crate::quarantine::SuspectWatch;
use crate::replica::ReplicaHandle;
use crate::retries::RetryRules;
use crate::routing::{
    QueueParameters, RoutingHandle, ServerGrant, SlotRequest, WorkKind, WorkTarget,
};
use answer::{AnswerRead, answer_fields, read_body};
use chicoryladder_gateway::{
    AnswerBody, BodyFraming, MachineBounds, OnlineRequest, ServerClient, ServerFailure,
    ServerRequest, StreamEnd, StreamOptions, bytes_body, is_event_stream, is_unverified_json,
    watch_stream,
};
use chicoryladder_policy::retry::{AttemptFailure, RetryDecision};
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use hyper::http::response::Parts;
use outcome::{count_stream_end, is_server_lost, possible_crash, report_end, stream_outcome};
use send::AttemptSender;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// The number of servers that a request may find unreachable without an attempt being
/// counted: nothing was sent to them.
const UNREACHABLE_SERVERS_MAX: usize = 8;

/// The longest wait for the next event of a stream.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// The retry hint for callers when no attempt is left.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The parameters that all attempts at a request share.
pub(crate) struct AttemptPlan {
    pub(crate) target: WorkTarget,
    pub(crate) queue: QueueParameters,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    pub(crate) class: ClassName,
    pub(crate) holder: Option<KeyHolder>,
}

/// Runs attempts until one succeeds or no further attempt is allowed.
pub(crate) struct OnlineAttempts<'a> {
    pub(crate) routing: &'a RoutingHandle,
    pub(crate) retries: &'a RetryRules,
    pub(crate) client: &'a ServerClient,
    pub(crate) clock: &'a Arc<dyn ClockSource>,
    pub(crate) metrics: &'a Arc<HostMetrics>,
    pub(crate) boards: &'a BoardHandle,
    pub(crate) keys: &'a KeyChecker,
    pub(crate) replica: &'a ReplicaHandle,
    pub(crate) bounds: &'a MachineBounds,
}

/// Marks a response whose body is still being received from the server.
#[derive(Clone, Copy)]
pub(crate) struct StreamedAnswer;

/// A response that is forwarded while it is received.
struct PartialAnswer {
    parts: Parts,
    /// The part of the body that has been read already.
    prefix: Bytes,
    body: Incoming,
    has_events: bool,
    needs_end_marker: bool,
    is_unverified_json: bool,
    grant: ServerGrant,
}

impl PartialAnswer {
    fn event_stream(parts: Parts, body: Incoming, grant: ServerGrant) -> Self {
        Self {
            prefix: Bytes::new(),
            body,
            has_events: true,
            needs_end_marker: parts.status.is_success(),
            is_unverified_json: false,
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
        let deadline = request.received + plan.timeout;
        let mut excluded = Vec::new();
        let mut unreachable = 0;
        let mut verdict = RunVerdict::NotRun;
        self.retries.record_first_attempt(&plan.class);
        loop {
            let admitted = watch.admit(self.clock.as_ref(), deadline).await;
            admitted.map_err(|refusal| join_verdict(refusal, verdict))?;
            let grant = self.acquire(&plan, &excluded, deadline, verdict).await?;
            excluded.push(grant.name.clone());
            let crash = possible_crash(&grant);
            let address = grant.address;
            let now = self.clock.now();
            let attempts = excluded.len() - unreachable;
            let timeouts = attempt_timeouts(&plan, attempts, deadline, now);
            let sender = AttemptSender {
                attempts: self,
                plan: &plan,
                excluded: &excluded,
                timeouts,
            };
            let attempt = self.attempt(&request, &sender, grant, &mut watch);
            let failure = match attempt.await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if is_server_lost(&failure) && !self.client.is_path_lost(address) {
                let took = self.clock.now().saturating_duration_since(now);
                watch.report_crash(crash, took);
            }
            verdict = verdict.join(failure.verdict);
            if failure.reason == RetryReason::ConnectFailed && unreachable < UNREACHABLE_SERVERS_MAX
            {
                unreachable += 1;
            }
            let attempts = excluded.len() - unreachable;
            let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
            let attempt_failure = AttemptFailure {
                reason: failure.reason,
                verdict,
                attempts,
                idempotent: plan.idempotent,
                deadline,
            };
            self.await_retry(&plan, &attempt_failure, &failure).await?;
            self.metrics.count_retry(failure.reason);
            log::debug!("online: retrying request {}: {failure}.", request.id);
        }
    }

    /// Waits until the next attempt is due.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if there is no further attempt.
    async fn await_retry(
        &self,
        plan: &AttemptPlan,
        attempt_failure: &AttemptFailure,
        failure: &ServerFailure,
    ) -> Result<(), RequestRefusal> {
        let now = self.clock.now();
        match self.retries.decide(&plan.class, attempt_failure, now) {
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
        let wanted = slot_request(plan, excluded);
        let result = tokio::select! {
            result = self.routing.acquire(wanted, deadline) => result,
            refusal = self.revoked(plan) => Err(refusal),
        };
        result.map_err(|refusal| join_verdict(refusal, verdict))
    }

    async fn attempt(
        &self,
        request: &OnlineRequest,
        sender: &AttemptSender<'_>,
        mut grant: ServerGrant,
        watch: &mut SuspectWatch,
    ) -> Result<Response<AnswerBody>, ServerFailure> {
        let AttemptSender { plan, timeouts, .. } = *sender;
        let sent_at = self.clock.now();
        let message = ServerRequest {
            address: grant.address,
            id: request.id,
            requires_id: matches!(plan.target, WorkTarget::Model(_)),
            method: request.method.clone(),
            path_and_query: path_and_query(request),
            headers: request.headers.clone(),
            body: request.body.clone(),
            first_byte_timeout: timeouts.deadline.saturating_duration_since(sent_at),
        };
        let sent = sender.send(&message).await;
        grant.departure_reporter().read(request.id, &sent);
        let response = sent.inspect_err(|failure| {
            grant.outcome = failed_outcome(failure.reason);
        })?;
        let framing = BodyFraming::of(&response);
        let (parts, body) = response.into_parts();
        grant.load = reported_load(&parts.headers);
        if is_event_stream(&parts.headers) {
            let answer = PartialAnswer::event_stream(parts, body, grant);
            return Ok(self.stream_response(request, plan, answer, watch.take(), sent_at));
        }
        let remaining = timeouts
            .deadline
            .saturating_duration_since(self.clock.now());
        let held = self.bounds.hold_answer();
        let read = read_body(body, held, framing, &parts.headers, remaining).await;
        let read = read.inspect_err(|failure| {
            grant.outcome = failed_outcome(failure.reason);
        })?;
        match read {
            AnswerRead::Complete(bytes) => {
                grant.outcome = ServerOutcome::Answered;
                let server = possible_crash(&grant);
                drop(grant);
                if parts.status.is_success() {
                    let took = self.clock.now().saturating_duration_since(sent_at);
                    watch.report_completion(server, took);
                } else {
                    watch.report_answer();
                }
                Ok(self.buffered_response(request, plan, &parts, bytes))
            }
            AnswerRead::Partial(prefix, body) => {
                let answer = PartialAnswer {
                    is_unverified_json: is_unverified_json(framing, &parts.headers),
                    parts,
                    prefix,
                    body,
                    has_events: false,
                    needs_end_marker: false,
                    grant,
                };
                Ok(self.stream_response(request, plan, answer, watch.take(), sent_at))
            }
        }
    }

    /// Returns a response that forwards the server's response while it is received.
    fn stream_response(
        &self,
        request: &OnlineRequest,
        plan: &AttemptPlan,
        answer: PartialAnswer,
        mut watch: SuspectWatch,
        sent_at: Instant,
    ) -> Response<AnswerBody> {
        let parts = answer.parts;
        let is_success = parts.status.is_success();
        let mut grant = answer.grant;
        let client = self.client.clone();
        let metrics = self.metrics.clone();
        let boards = self.boards.clone();
        let clock = self.clock.clone();
        let class = plan.class.clone();
        let received = request.received;
        let first_token = Arc::new(OnceLock::new());
        let first_clock = self.clock.clone();
        let first_seen = Arc::clone(&first_token);
        let elapsed = self.clock.now().saturating_duration_since(received);
        let options = StreamOptions {
            on_first_chunk: Box::new(move || {
                let elapsed = first_clock.now().saturating_duration_since(received);
                // The callback runs once, so the time is not set yet.
                let _ = first_seen.set(elapsed);
            }),
            prefix: answer.prefix,
            needs_end_marker: answer.needs_end_marker,
            is_unverified_json: answer.is_unverified_json,
            has_events: answer.has_events,
            progress_timeout: plan.timeout.min(PROGRESS_TIMEOUT),
            total_timeout: plan.timeout.saturating_sub(elapsed),
            stop: self.key_withdrawn(plan),
            on_end: Box::new(move |end| {
                grant.outcome = stream_outcome(end);
                match end {
                    StreamEnd::Complete if is_success => {
                        let took = clock.now().saturating_duration_since(sent_at);
                        watch.report_completion(possible_crash(&grant), took);
                    }
                    StreamEnd::Complete => watch.report_answer(),
                    StreamEnd::Truncated if client.is_path_lost(grant.address) => {}
                    StreamEnd::Truncated => {
                        let took = clock.now().saturating_duration_since(sent_at);
                        watch.report_crash(possible_crash(&grant), took);
                    }
                    StreamEnd::Stalled
                    | StreamEnd::Malformed
                    | StreamEnd::Stopped
                    | StreamEnd::CallerDisconnected => {}
                }
                drop(grant);
                let elapsed = clock.now().saturating_duration_since(received);
                count_stream_end(&metrics, end, &class, elapsed);
                let served = ServedRequest {
                    class,
                    first_token: first_token.get().copied(),
                    answer: elapsed,
                };
                report_end(&boards, end, served);
            }),
        };
        let mut response = Response::new(watch_stream(answer.body, options));
        *response.status_mut() = parts.status;
        *response.headers_mut() = answer_fields(&parts.headers);
        response.extensions_mut().insert(StreamedAnswer);
        response
    }

    /// Returns a response with a body that has been read completely.
    fn buffered_response(
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

    /// Resolves once the key of the request is withdrawn or the view of the keys is
    /// stale.
    async fn revoked(&self, plan: &AttemptPlan) -> RequestRefusal {
        match &plan.holder {
            Some(holder) => self.keys.revoked(holder).await,
            None => std::future::pending().await,
        }
    }

    /// Resolves once the key of the request is withdrawn.
    fn key_withdrawn(&self, plan: &AttemptPlan) -> BoxFuture<'static, RequestRefusal> {
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

fn slot_request(plan: &AttemptPlan, excluded: &[ServerName]) -> SlotRequest {
    SlotRequest {
        target: plan.target.clone(),
        kind: WorkKind::Online(plan.queue.clone()),
        excluded: excluded.to_vec(),
    }
}

/// The timeouts of one attempt.
#[derive(Clone, Copy)]
struct AttemptTimeouts {
    /// The longest wait for the header fields of the response while another server could run
    /// the request.
    first_byte: Duration,
    /// The instant by which the response must be complete.
    deadline: Instant,
}

/// Returns timeouts that leave time for another attempt: an attempt that may be
/// retried waits for its first byte for a third of the remaining time, the last
/// attempt for all of it.
fn attempt_timeouts(
    plan: &AttemptPlan,
    attempt: usize,
    deadline: Instant,
    now: Instant,
) -> AttemptTimeouts {
    const TIME_SHARES: u32 = 3;
    let remaining = deadline.saturating_duration_since(now);
    let repeatable = plan.idempotent && attempt < TIME_SHARES as usize;
    AttemptTimeouts {
        first_byte: if repeatable {
            remaining / TIME_SHARES
        } else {
            remaining
        },
        deadline,
    }
}

fn join_verdict(refusal: RequestRefusal, verdict: RunVerdict) -> RequestRefusal {
    RequestRefusal {
        verdict: refusal.verdict.join(verdict),
        ..refusal
    }
}

/// Returns the path and query of a request as sent to the server.
pub(crate) fn path_and_query(request: &OnlineRequest) -> String {
    if request.query.is_empty() {
        return request.path.clone();
    }
    format!("{}?{}", request.path, request.query)
}
