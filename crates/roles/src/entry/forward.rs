//! Forwarding of a caller's request to backend servers, with retries.

mod successor;

pub(super) use successor::{SEARCH_INTERVAL_MIN, StreamSuccessor};

use super::matching::{MatchedRequest, RequestMatcher};
use super::relay::{EventRelay, RelayContext, relay_body};
use crate::connection_pool::OpenConnection;
use crate::event_log::EventLog;
use crate::event_stream::announces_events;
use crate::metrics::RoleMetrics;
use crate::online_attempt::{OnlineAttempt, SEND_TIME_MIN};
use crate::ports::{CallerHead, RunContext};
use crate::server_run::{RunFailure, ServerAnswer, ServerRequest, ServerRunner};
use crate::slot_client::{SlotClient, SlotError, SlotLease, expected_fields};
use bytes::Bytes;
use chicoryladder_broker::{RunOutcome, SlotRefusalReason, StreamId, StreamPart};
use chicoryladder_gateway::{
    AnswerBody, BodyFraming, HeldAnswer, MachineBounds, bytes_body, check_whole_body,
    is_event_stream, is_malformed, may_end_by_time_limit,
};
use chicoryladder_plan::{PlanRoute, PlanVersion, RouteKind};
use chicoryladder_policy::quarantine::{QuarantineCause, RequestFingerprint};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName, SoftwareVersion};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time to wait for the response head, in latency targets of the route, before a
/// repeatable request is sent to another server.
const RESEND_AFTER_TARGETS: u32 = 2;

/// A request counts as a caller's retry after a refusal if its time left is below
/// this share of the longest time left seen on its route.
const RETRY_SHARE: f64 = 0.93;

/// The maximum number of slot requests per request. It bounds the tries at servers
/// that refuse without running the request, which do not count as attempts.
const SLOT_REQUESTS_MAX: u32 = 6;

/// The maximum content length of a response that is buffered before it is sent to the
/// caller, in bytes.
const BUFFERED_ANSWER_MAX_BYTES: u64 = 1024 * 1024;

/// A caller's request with its complete body.
pub(super) struct ForwardRequest {
    pub(super) id: String,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: CallerHead,
    pub(super) arrived_at: Instant,
}

/// Where the body of a server's response ended.
#[derive(Clone, Debug)]
pub(super) struct AnswerEnd {
    pub(super) framing: BodyFraming,
    /// Whether the body ended within an event; `None` if it has no events.
    pub(super) within_event: Option<bool>,
    /// The last complete event of a resumable stream.
    pub(super) last_event: Option<u64>,
    pub(super) server: ServerName,
}

/// Forwards requests to backend servers.
pub(super) struct RequestForwarder {
    pub(super) slots: SlotClient,
    pub(super) runner: ServerRunner,
    pub(super) matcher: RequestMatcher,
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) zone: ZoneName,
    pub(super) log: EventLog,
    pub(super) metrics: Arc<RoleMetrics>,
    pub(super) machine: MachineBounds,
    /// The longest time left that a caller has announced, per route.
    pub(super) longest_timeouts: Mutex<HashMap<RouteName, Duration>>,
    /// Whether the broker learns what callers need before a server has stated how long work
    /// takes, and answers are read ahead of slow callers (feature `pressure`).
    pub(super) pressure: bool,
}

/// The state of a request while it is forwarded.
pub(super) struct RequestState {
    pub(super) request: ForwardRequest,
    pub(super) matched: MatchedRequest,
    /// The deadline of the complete response.
    pub(super) answer_by: Instant,
    /// Whether the caller appears to retry after a refusal, judged by its time left.
    is_caller_retry: bool,
    /// The number of attempts that may have run on a server.
    pub(super) runs: u32,
    slot_requests: u32,
    charged: bool,
    avoid: Vec<ServerName>,
    /// The server that did not answer the latest search. It may answer a later one.
    unanswered: Option<ServerName>,
    last_failure: Option<RunFailure>,
    service: ServiceName,
    /// The version of the server whose response is relayed, or may be: while the request waits
    /// for its head, another server is searched for at the same version. `None` otherwise.
    version: Option<SoftwareVersion>,
    /// Identifies the request when the caller sends it again.
    pub(super) fingerprint: RequestFingerprint,
}

impl RequestState {
    /// The ids of the prompt segments, in order, as the log shows them.
    fn segment_ids(&self) -> Vec<String> {
        let segments = self.request.head.prompt.segments.iter();
        segments
            .map(|segment| format!("{:x}", segment.id))
            .collect()
    }

    fn route(&self) -> &PlanRoute {
        &self.matched.route
    }

    pub(super) fn kind(&self) -> RouteKind {
        self.route().kind
    }

    /// The part of a stream that follows `last_event`; `None` if the route has no streams.
    fn stream_part(&self, last_event: Option<u64>) -> Option<StreamPart> {
        if self.kind() != RouteKind::Stream {
            return None;
        }
        let head = &self.request.head;
        let is_named = head.last_event.is_none() || head.resumed_attempt.is_some();
        let stream = is_named.then(|| StreamId::of_attempt(self.request.first_attempt()));
        Some(match (last_event, stream) {
            (None, Some(stream)) if !self.has_begun() => StreamPart::Beginning(stream),
            (_, stream) => StreamPart::Rest {
                stream,
                version: self.version.clone(),
            },
        })
    }

    /// Whether a run of the request is under way that may become the caller's response.
    fn has_begun(&self) -> bool {
        self.version.is_some()
    }

    /// Records the version of the server that ran the stream last.
    pub(super) fn bind_version(&mut self, version: &SoftwareVersion) {
        self.version = Some(version.clone());
    }

    fn is_repeatable(&self) -> bool {
        let route = self.route();
        match route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Stream => route.resumable,
            RouteKind::AtMostOnce | RouteKind::Batch => false,
        }
    }

    /// Whether the request may be sent to another server, given its attempts and deadline.
    pub(super) fn may_retry(&self, now: Instant) -> bool {
        let never_ran = self.runs == 0;
        let has_attempts = self.runs < self.route().max_attempts.max(1);
        let has_time =
            now + SEND_TIME_MIN < self.answer_by && self.slot_requests < SLOT_REQUESTS_MAX;
        has_time && (never_ran || (self.is_repeatable() && has_attempts))
    }

    fn verdict(&self) -> RunVerdict {
        if self.runs == 0 {
            RunVerdict::NotRun
        } else {
            RunVerdict::MayHaveRun
        }
    }

    /// The refusal sent when no attempts are left.
    fn failure_refusal(&self) -> RequestRefusal {
        let cause = self
            .last_failure
            .as_ref()
            .map_or("no server was tried", |f| f.cause);
        let reason = match self.verdict() {
            RunVerdict::NotRun => RefusalReason::NoServer,
            RunVerdict::MayHaveRun | RunVerdict::Ran => RefusalReason::ServerFailed,
        };
        let refusal = RequestRefusal::new(reason, self.verdict(), cause);
        if self.runs == 0 {
            refusal.with_retry_after(self.route().latency_target)
        } else {
            refusal
        }
    }

    fn deadline_refusal(&self) -> RequestRefusal {
        let detail = "the request ran out of time";
        RequestRefusal::new(RefusalReason::DeadlineUnmet, self.verdict(), detail)
    }

    /// Excludes a server from further attempts.
    pub(super) fn avoid_server(&mut self, server: &ServerName) {
        if !self.avoid.contains(server) {
            self.avoid.push(server.clone());
        }
    }

    /// Records a failed attempt and excludes its server from further ones.
    pub(super) fn record_failure(&mut self, server: &ServerName, failure: RunFailure) {
        if failure.verdict != RunVerdict::NotRun {
            self.runs += 1;
        }
        self.avoid_server(server);
        self.last_failure = Some(failure);
    }
}

impl RequestForwarder {
    /// Sends a request to servers until one has answered it or no attempt is left.
    pub(super) async fn forward(
        self: Arc<Self>,
        matched: MatchedRequest,
        request: ForwardRequest,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let mut state = self.initial_state(matched, request);
        let deadline = self.sleep_until(state.answer_by);
        tokio::pin!(deadline);
        loop {
            let attempt = tokio::select! {
                attempt = self.attempt(&mut state) => attempt,
                () = &mut deadline => return Err(state.deadline_refusal()),
            };
            let (answer, lease) = match attempt {
                Ok(Some(found)) => found,
                Ok(None) => continue,
                Err(refusal) => return Err(refusal),
            };
            if let Some(response) = self.deliver(&mut state, answer, lease).await {
                return response;
            }
        }
    }

    pub(super) fn sleep_until(&self, at: Instant) -> tokio::time::Sleep {
        let left = at.saturating_duration_since(self.clock.now());
        tokio::time::sleep(left)
    }

    fn initial_state(&self, matched: MatchedRequest, request: ForwardRequest) -> RequestState {
        let route = &matched.route;
        let announced = request.head.time_left;
        let time = announced.map_or(route.timeout, |left| left.min(route.timeout));
        let is_caller_retry = announced.is_some_and(|left| self.is_caller_retry(&route.name, left));
        let service = choose_service(route, request.first_attempt());
        let team = matched.team.as_ref().map(|team| &team.name);
        let fingerprint = RequestFingerprint::new(team, &route.name, &request.path, &request.body);
        RequestState {
            fingerprint,
            answer_by: request.arrived_at + time,
            is_caller_retry,
            runs: 0,
            slot_requests: 0,
            charged: false,
            avoid: Vec::new(),
            unanswered: None,
            last_failure: None,
            service,
            version: None,
            matched,
            request,
        }
    }

    /// Whether a caller announces notably less time than other callers of its route,
    /// presumably because it spent part of its time on a refused attempt.
    fn is_caller_retry(&self, route: &RouteName, left: Duration) -> bool {
        let mut longest_timeouts = self
            .longest_timeouts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = longest_timeouts.entry(route.clone()).or_insert(left);
        *known = left.max(*known);
        left < known.mul_f64(RETRY_SHARE)
    }

    /// Makes one attempt. Returns `None` if another one should follow.
    pub(super) async fn attempt(
        &self,
        state: &mut RequestState,
    ) -> Result<Option<(ServerAnswer, SlotLease)>, RequestRefusal> {
        let now = self.clock.now();
        if !state.may_retry(now) {
            return Err(if now + SEND_TIME_MIN < state.answer_by {
                state.failure_refusal()
            } else {
                state.deadline_refusal()
            });
        }
        state.slot_requests += 1;
        let last_event = state.request.head.last_event;
        let Some(lease) = self.acquire_slot(state, last_event, now).await? else {
            return Ok(None);
        };
        let now = self.clock.now();
        // The key may have been withdrawn while the request waited for a slot.
        if state.matched.team.is_some() && !self.matcher.keys_are_fresh(now) {
            lease.end(RunOutcome::Stopped);
            let detail = "the view of the keys grew too old while the request waited";
            let refusal = RequestRefusal::new(RefusalReason::KeyViewStale, state.verdict(), detail);
            return Err(refusal);
        }
        Ok(self.run_on(state, lease, None, last_event).await)
    }

    /// Sends a request to the server of a slot, on a prepared connection if there is one. While
    /// the server of a stream is silent, another one that answers is searched for, and gets the
    /// request once it is found. Returns `None` after a failure.
    async fn run_on(
        &self,
        state: &mut RequestState,
        mut lease: SlotLease,
        mut prepared: Option<OpenConnection>,
        last_event: Option<u64>,
    ) -> Option<(ServerAnswer, SlotLease)> {
        loop {
            let now = self.clock.now();
            let request = self.server_request(state, &lease, last_event, now);
            self.log_sent(state, &lease, now);
            let mut successor = None;
            // The request may run from here on, even if this future is dropped.
            state.runs += 1;
            let version = state.version.clone();
            let search = self.search_while_silent(state, &lease, last_event, &mut successor);
            let sent = self.runner.send_until(&request, prepared.take(), search);
            let sent = sent.await;
            state.runs -= 1;
            state.version = version;
            match sent {
                Ok(answer) => {
                    let elapsed = self.clock.now().saturating_duration_since(now);
                    lease.record_first_answer(elapsed);
                    lease.record_load(answer.head.load);
                    lease.record_work(answer.head.work, answer.parts.status.is_success());
                    return Some((answer, lease));
                }
                Err(failure) => self.end_failed_attempt(state, lease, failure),
            }
            let next = successor?;
            lease = next.lease;
            prepared = Some(next.connection);
        }
    }

    fn log_sent(&self, state: &RequestState, lease: &SlotLease, now: Instant) {
        let waited = now.saturating_duration_since(state.request.arrived_at);
        let left = state.answer_by.saturating_duration_since(now);
        let mut fields = json!({
            "request": state.request.id,
            "route": state.route().name,
            "service": lease.service,
            "server": lease.server,
            "version": lease.version,
            "plan": state.matched.plan.version().0,
            "takes_up": state.request.head.resumed_attempt,
            "address": lease.address,
            "waited_ms": waited.as_millis(),
            "left_ms": left.as_millis(),
            "without_broker": lease.brokerless,
        });
        if let Some(expected) = &lease.expected {
            fields["expected"] = expected_fields(expected);
        }
        self.log.routine("sent", &fields);
    }

    fn record_failure(&self, state: &RequestState, lease: &SlotLease, failure: &RunFailure) {
        self.metrics.count_retry(failure.outcome);
        let fields = json!({
            "request": state.request.id,
            "server": lease.server,
            "outcome": format!("{:?}", failure.outcome),
            "verdict": failure.verdict.as_str(),
            "cause": failure.cause,
            "connection_lost": failure.connection_lost,
            "request_hash": state.fingerprint.to_string(),
            "segments": state.segment_ids(),
            "runs": state.runs,
            "without_broker": lease.brokerless,
        });
        self.log.note("attempt_failed", &fields);
    }

    /// The plan under which a slot is requested. A stream keeps the route, service and team that
    /// it began with, whatever a newer plan says of them.
    fn slot_plan(&self, state: &RequestState) -> PlanVersion {
        let matched = state.matched.plan.version();
        if state.has_begun() {
            matched.max(self.matcher.view.plan().version())
        } else {
            matched
        }
    }

    /// Acquires a slot. Returns `None` if the plan has changed and the request has to ask
    /// again.
    async fn acquire_slot(
        &self,
        state: &mut RequestState,
        last_event: Option<u64>,
        now: Instant,
    ) -> Result<Option<SlotLease>, RequestRefusal> {
        let attempt = self.online_attempt(state, last_event, now);
        let request = attempt.slot_request();
        let knows_work = self.pressure || self.slots.knows_work();
        let terms = knows_work.then(|| attempt.caller_terms());
        let plan = self.slot_plan(state);
        match self.slots.request_slot(plan, request, terms).await {
            Ok(lease) => {
                state.charged = true;
                Ok(Some(lease))
            }
            Err(SlotError::StalePlan) if state.has_begun() => {
                self.matcher.refresh().await;
                Ok(None)
            }
            Err(SlotError::StalePlan) => {
                self.rematch(state).await?;
                Ok(None)
            }
            Err(SlotError::Refused {
                reason,
                retry_after,
            }) => {
                let (reason, detail) = match reason {
                    SlotRefusalReason::RateExceeded => (
                        RefusalReason::RateExceeded,
                        "the team is beyond its rate and burst".to_owned(),
                    ),
                    SlotRefusalReason::NoReserve => (
                        RefusalReason::NoQuorum,
                        "the broker is out of reach and the reserve of the team's rate is spent"
                            .to_owned(),
                    ),
                    SlotRefusalReason::NoSlot(load) if load.slots == 0 => (
                        RefusalReason::NoServer,
                        "no slot comes free in time: no server accepts new work".to_owned(),
                    ),
                    SlotRefusalReason::NoSlot(load) => (
                        RefusalReason::NoServer,
                        format!(
                            "no slot comes free in time: {} run in {} slots, held for {} ms on \
                             average, and {} wait",
                            load.running, load.slots, load.hold_ms, load.waiting
                        ),
                    ),
                    SlotRefusalReason::Quarantined(QuarantineCause::Request) => (
                        RefusalReason::Quarantined,
                        "the request crashed the servers that ran it".to_owned(),
                    ),
                    SlotRefusalReason::Quarantined(QuarantineCause::Segment(segment)) => (
                        RefusalReason::Quarantined,
                        format!("requests with prompt segment {segment} crashed their servers"),
                    ),
                    SlotRefusalReason::VersionGone => (
                        RefusalReason::NoVersion,
                        "no server of the version that began the stream accepts work".to_owned(),
                    ),
                    SlotRefusalReason::VersionUnknown => (
                        RefusalReason::NoVersion,
                        "the version that began the stream is not known, and servers have several"
                            .to_owned(),
                    ),
                    SlotRefusalReason::NoHomeServer => (
                        RefusalReason::NoServer,
                        "no server of the service is known in an area that the route and the \
                         team allow"
                            .to_owned(),
                    ),
                    SlotRefusalReason::NoServer => (
                        RefusalReason::NoServer,
                        "no server of the service is known".to_owned(),
                    ),
                };
                let refusal = RequestRefusal::new(reason, state.verdict(), detail);
                Err(refusal.with_retry_after(retry_after))
            }
        }
    }

    /// Matches a request again after a newer plan has come into force.
    async fn rematch(&self, state: &mut RequestState) -> Result<(), RequestRefusal> {
        self.matcher.refresh().await;
        let host = state.route().host.clone();
        let path = state.request.path.clone();
        let path = path.split('?').next().unwrap_or_default();
        let plan_before = state.matched.plan.version();
        let matched = self.matcher.resolve(&host, path, &state.request.head).await;
        // An earlier attempt may have run.
        let matched = matched.map_err(|refusal| RequestRefusal {
            verdict: refusal.verdict.join(state.verdict()),
            ..refusal
        });
        self.log_rematch(state, plan_before, &matched);
        state.matched = matched?;
        state.service = choose_service(state.route(), state.request.first_attempt());
        Ok(())
    }

    fn log_rematch(
        &self,
        state: &RequestState,
        plan_before: PlanVersion,
        matched: &Result<MatchedRequest, RequestRefusal>,
    ) {
        let found = matched.as_ref().ok();
        let service = found.map(|m| choose_service(&m.route, state.request.first_attempt()));
        let fields = json!({
            "request": state.request.id,
            "plan_before": plan_before.0,
            "plan": found.map(|matched| matched.plan.version().0),
            "route_before": state.route().name,
            "route": found.map(|matched| &matched.route.name),
            "service_before": state.service,
            "service": service,
            "refused": matched.as_ref().err().map(|refusal| refusal.reason.as_str()),
            "runs": state.runs,
        });
        self.log.note("rematched", &fields);
    }

    /// What the broker is asked for the next attempt.
    fn online_attempt<'a>(
        &'a self,
        state: &'a RequestState,
        last_event: Option<u64>,
        now: Instant,
    ) -> OnlineAttempt<'a> {
        let avoid = state.avoid.iter().chain(&state.unanswered);
        OnlineAttempt {
            plan: &state.matched.plan,
            route: state.route(),
            team: state.matched.team.as_ref(),
            service: &state.service,
            zone: &self.zone,
            prompt: &state.request.head.prompt,
            fingerprint: state.fingerprint,
            stream: state.stream_part(last_event),
            avoid: avoid.cloned().collect(),
            is_charged: state.charged,
            is_repeated: state.is_caller_retry || state.runs > 0,
            goes_on: state.has_begun() || last_event.is_some(),
            left: state.answer_by.saturating_duration_since(now),
            waited: now.saturating_duration_since(state.request.arrived_at),
        }
    }

    fn server_request(
        &self,
        state: &RequestState,
        lease: &SlotLease,
        last_event: Option<u64>,
        now: Instant,
    ) -> ServerRequest {
        let left = state.answer_by.saturating_duration_since(now);
        let request = &state.request;
        let team = state.matched.team.as_ref();
        let context = RunContext {
            id: &request.id,
            server: &lease.server,
            team: team.map(|team| &team.name),
            time_left: left,
            last_event: last_event.or(request.head.last_event),
        };
        // A silent stream keeps its server until another one is found that answers.
        let is_stream = state.kind() == RouteKind::Stream;
        let has_attempts = state.runs + 1 < state.route().max_attempts;
        let may_resend = state.is_repeatable() && has_attempts && !is_stream;
        let resend_after = state.route().latency_target * RESEND_AFTER_TARGETS;
        ServerRequest {
            server: lease.identity(),
            address: lease.address,
            id: request.id.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: self
                .runner
                .dialect
                .request_headers(&request.headers, &context),
            body: request.body.clone(),
            at_most_once: !state.is_repeatable(),
            continues_run: context.last_event.is_some() || state.has_begun(),
            cold_limit: lease.cold_limit(),
            tunnel_filter: self.slots.tunnel_filter(state.matched.homes()),
            head_timeout: if may_resend {
                resend_after.min(left)
            } else {
                left
            },
        }
    }

    /// Sends a response to the caller, buffered or streamed. Returns `None` if the body
    /// was truncated, or if the server reported a failure and the request may run again.
    async fn deliver(
        self: &Arc<Self>,
        state: &mut RequestState,
        answer: ServerAnswer,
        mut lease: SlotLease,
    ) -> Option<Result<Response<AnswerBody>, RequestRefusal>> {
        let is_stream = state.route().kind == RouteKind::Stream;
        let status = answer.parts.status;
        let length = content_length(&answer.parts);
        let is_long = length.is_some_and(|length| length > BUFFERED_ANSWER_MAX_BYTES);
        if status.is_success() && (is_stream || is_long) {
            return Some(Ok(self.relay(state, answer, lease, Bytes::new())));
        }
        let retryable = state.runs + 1 < state.route().max_attempts && state.is_repeatable();
        let ServerAnswer {
            parts,
            head,
            framing,
            body,
            connection,
        } = answer;
        let fields = &parts.headers;
        let held = self.machine.hold_answer();
        let reading = read_whole_body(body, held, framing, fields, state.answer_by, &*self.clock);
        let bytes = match reading.await {
            Ok(BufferedBody::Whole(bytes)) => bytes,
            Ok(BufferedBody::Partial(prefix, body)) if status.is_success() => {
                let answer = ServerAnswer {
                    parts,
                    head,
                    framing,
                    body,
                    connection,
                };
                return Some(Ok(self.relay(state, answer, lease, prefix)));
            }
            Ok(BufferedBody::Partial(..)) => {
                let failure = RunFailure::malformed("the server's error is too long");
                self.end_failed_attempt(state, lease, failure);
                return None;
            }
            Err(failure) => {
                let failure = failure.attribute(connection).await;
                self.end_failed_attempt(state, lease, failure);
                return None;
            }
        };
        connection.return_to_pool();
        if status == StatusCode::INTERNAL_SERVER_ERROR && retryable {
            let failure = RunFailure::new(
                RunVerdict::MayHaveRun,
                RunOutcome::Errored,
                "the server answered that it failed",
            );
            self.record_failure(state, &lease, &failure);
            state.record_failure(&lease.server, failure);
            lease.end(RunOutcome::Errored);
            return None;
        }
        let end = AnswerEnd {
            framing,
            within_event: is_event_stream(&parts.headers).then_some(false),
            last_event: None,
            server: lease.server.clone(),
        };
        self.record_served(state, &lease, status, state.runs + 1, &end);
        if status.is_success() {
            lease.record_completion();
        }
        lease.end(outcome_of(status));
        let mut response = Response::new(bytes_body(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = self.runner.dialect.answer_headers(&parts.headers);
        Some(Ok(response))
    }

    /// Builds a response whose body is relayed as it arrives, after the part of it that was
    /// read before.
    fn relay(
        self: &Arc<Self>,
        state: &mut RequestState,
        answer: ServerAnswer,
        lease: SlotLease,
        prefix: Bytes,
    ) -> Response<AnswerBody> {
        let mut headers = self.runner.dialect.answer_headers(&answer.parts.headers);
        let resumable = state.kind() == RouteKind::Stream
            && state.is_repeatable()
            && announces_events(&answer.parts);
        // With a length, a response would look complete to the caller although it ends
        // within an event.
        if resumable || is_event_stream(&answer.parts.headers) {
            headers.remove(CONTENT_LENGTH);
        }
        let status = answer.parts.status;
        let relayed = RequestState {
            request: state.request.take(),
            matched: MatchedRequest {
                plan: state.matched.plan.clone(),
                route: state.matched.route.clone(),
                team: state.matched.team.clone(),
            },
            answer_by: state.answer_by,
            is_caller_retry: state.is_caller_retry,
            runs: state.runs + 1,
            slot_requests: state.slot_requests,
            charged: state.charged,
            avoid: std::mem::take(&mut state.avoid),
            unanswered: state.unanswered.take(),
            last_failure: state.last_failure.take(),
            service: state.service.clone(),
            version: Some(lease.version.clone()),
            fingerprint: state.fingerprint,
        };
        let context = RelayContext {
            forwarder: self.clone(),
            state: relayed,
            resumable,
        };
        let mut response =
            Response::new(relay_body(EventRelay::new(context, answer, lease, prefix)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Ends an attempt that got no complete response.
    fn end_failed_attempt(
        &self,
        state: &mut RequestState,
        mut lease: SlotLease,
        failure: RunFailure,
    ) {
        self.record_failure(state, &lease, &failure);
        lease.record_load(failure.load);
        if failure.connection_lost {
            lease.record_crash();
        }
        let outcome = failure.outcome;
        if outcome == RunOutcome::Leaving {
            // The server was never tried, so the request may ask for another slot instead.
            state.slot_requests = state.slot_requests.saturating_sub(1);
        }
        state.record_failure(&lease.server, failure);
        lease.end(outcome);
    }

    pub(super) fn record_served(
        &self,
        state: &RequestState,
        lease: &SlotLease,
        status: StatusCode,
        runs: u32,
        end: &AnswerEnd,
    ) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(state.request.arrived_at);
        self.metrics.count_served(&state.route().name, elapsed);
        self.metrics.count_answer_end(end.framing, end.within_event);
        let fields = json!({
            "request": state.request.id,
            "route": state.route().name,
            "team": state.matched.team.as_ref().map(|team| &team.name),
            "server": lease.server,
            "version": lease.version,
            "status": status.as_u16(),
            "elapsed_ms": elapsed.as_millis(),
            "runs": runs,
            "framing": end.framing.as_str(),
            "within_event": end.within_event,
            "asks": state.slot_requests,
            "plan": state.matched.plan.version().0,
            "without_broker": lease.brokerless,
        });
        self.log.routine("served", &fields);
    }

    /// Counts the end of a server's response that broke off.
    pub(super) fn count_answer_end(&self, end: &AnswerEnd) {
        self.metrics.count_answer_end(end.framing, end.within_event);
    }

    /// Records that a stream broke off and is to be resumed on another server.
    pub(super) fn record_interruption(&self, state: &RequestState, cause: &str, end: &AnswerEnd) {
        self.log_broken_stream("stream_interrupted", state, cause, end);
    }

    /// Records that a caller's response broke off.
    pub(super) fn record_broken_stream(&self, state: &RequestState, cause: &str, end: &AnswerEnd) {
        self.metrics.count_refusal(RefusalReason::AnswerTruncated);
        self.log_broken_stream("stream_broken", state, cause, end);
    }

    fn log_broken_stream(&self, event: &str, state: &RequestState, cause: &str, end: &AnswerEnd) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(state.request.arrived_at);
        let fields = json!({
            "request": state.request.id,
            "route": state.route().name,
            "server": end.server,
            "version": state.version,
            "cause": cause,
            "framing": end.framing.as_str(),
            "within_event": end.within_event,
            "last_event": end.last_event,
            "request_hash": state.fingerprint.to_string(),
            "segments": state.segment_ids(),
            "elapsed_ms": elapsed.as_millis(),
            "runs": state.runs,
        });
        self.log.note(event, &fields);
    }
}

impl ForwardRequest {
    /// The attempt of the caller that brought the first event of the stream, or this one.
    /// All attempts at a stream go to the same service.
    fn first_attempt(&self) -> &str {
        let resumed = self.head.resumed_attempt.as_deref();
        let resumed = resumed.filter(|_| self.head.last_event.is_some());
        resumed.unwrap_or(&self.id)
    }

    /// Moves the request out. Its id, path, headers and body are left empty.
    fn take(&mut self) -> Self {
        Self {
            id: std::mem::take(&mut self.id),
            method: self.method.clone(),
            path: std::mem::take(&mut self.path),
            headers: std::mem::take(&mut self.headers),
            body: std::mem::take(&mut self.body),
            head: std::mem::take(&mut self.head),
            arrived_at: self.arrived_at,
        }
    }
}

/// The outcome of a run whose response is complete.
fn outcome_of(status: StatusCode) -> RunOutcome {
    if status.is_server_error() {
        RunOutcome::Errored
    } else {
        RunOutcome::Served
    }
}

/// The part of a body that was read into memory.
enum BufferedBody {
    Whole(Bytes),
    /// The first part of a long body, and the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body to its end and checks that it is complete, or reads the first part of one
/// that exceeds [`BUFFERED_ANSWER_MAX_BYTES`].
async fn read_whole_body(
    mut body: Incoming,
    mut prefix: HeldAnswer,
    framing: BodyFraming,
    fields: &HeaderMap,
    answer_by: Instant,
    clock: &dyn ClockSource,
) -> Result<BufferedBody, RunFailure> {
    let timeout = answer_by.saturating_duration_since(clock.now());
    let reading = async {
        while let Some(frame) = body.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                prefix.push(&chunk);
            }
            if prefix.bytes().len() as u64 > BUFFERED_ANSWER_MAX_BYTES {
                return Ok(BufferedBody::Partial(prefix.freeze(), body));
            }
        }
        Ok(BufferedBody::Whole(prefix.freeze()))
    };
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(BufferedBody::Whole(bytes))) => {
            let left = answer_by.saturating_duration_since(clock.now());
            if is_event_stream(fields) && may_end_by_time_limit(framing, left) {
                return Err(late_answer());
            }
            check_whole_body(framing, fields, &bytes)
                .map(|()| BufferedBody::Whole(bytes))
                .map_err(RunFailure::connection_lost)
        }
        Ok(Ok(partial)) => Ok(partial),
        Ok(Err(error)) if is_malformed(&error) => Err(RunFailure::malformed(
            "the server sent bytes that are no answer",
        )),
        Ok(Err(_)) => Err(RunFailure::connection_lost("the answer broke off")),
        Err(_) => Err(late_answer()),
    }
}

fn late_answer() -> RunFailure {
    let cause = "the answer was not complete in time";
    RunFailure::new(RunVerdict::MayHaveRun, RunOutcome::Failed, cause)
}

fn content_length(parts: &response::Parts) -> Option<u64> {
    let announced = parts.headers.get(CONTENT_LENGTH)?;
    announced.to_str().ok()?.parse().ok()
}

/// Chooses the service of a request by its id, in proportion to the target weights of
/// the route.
pub(crate) fn choose_service(route: &PlanRoute, id: &str) -> ServiceName {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let mut offset = hasher.finish() % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if offset < weight {
            return target.service.clone();
        }
        offset -= weight;
    }
    // Validation of the plan ensures that every route has a target with a weight.
    route.targets[0].service.clone()
}
