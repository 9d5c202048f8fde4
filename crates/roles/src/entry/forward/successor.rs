//! The search for a server that goes on with a stream.
//!
//! A silent server may go on, and another one may be silent as well. A successor is therefore a
//! server that has just answered on the connection that the stream will take, and it is searched
//! for while the silent run is still under way. A stream that has broken off needs none: it is
//! resumed at whatever server gets a slot.

use super::{RESEND_AFTER_TARGETS, RequestForwarder, RequestState, outcome_of};
use crate::connection_pool::OpenConnection;
use crate::event_stream::announces_events;
use crate::server_run::{RunFailure, ServerAnswer};
use crate::slot_client::SlotLease;
use chicoryladder_plan::RouteKind;
use chicoryladder_types::prelude::*;
use serde_json::json;
use std::time::Duration;

/// The shortest interval between two searches for a successor.
pub(in crate::entry) const SEARCH_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// A server that is ready to go on with a stream.
pub(in crate::entry) struct StreamSuccessor {
    pub(super) lease: SlotLease,
    /// A connection on which the server has just answered.
    pub(super) connection: OpenConnection,
}

impl RequestForwarder {
    /// Resolves once a successor is found for the server of a stream that has not answered for
    /// [`RESEND_AFTER_TARGETS`]. The search for it is repeated at that interval.
    pub(super) async fn search_while_silent(
        &self,
        state: &mut RequestState,
        lease: &SlotLease,
        last_event: Option<u64>,
        successor: &mut Option<StreamSuccessor>,
    ) {
        if state.kind() != RouteKind::Stream || !state.is_repeatable() {
            return std::future::pending().await;
        }
        let interval = state.route().latency_target * RESEND_AFTER_TARGETS;
        let interval = interval.max(SEARCH_INTERVAL_MIN);
        state.avoid_server(&lease.server);
        state.bind_version(&lease.version);
        while successor.is_none() {
            tokio::time::sleep(interval).await;
            if !state.may_retry(self.clock.now()) {
                return std::future::pending().await;
            }
            *successor = self.find_successor(state, last_event).await;
        }
    }

    /// Finds another server that answers, to go on with a stream whose server is silent.
    /// Nothing runs there yet, so a search counts as a slot request only if it finds a server.
    pub(in crate::entry) async fn find_successor(
        &self,
        state: &mut RequestState,
        last_event: Option<u64>,
    ) -> Option<StreamSuccessor> {
        let lease = self.acquire_resuming_slot(state, last_event).await?;
        let request = self.server_request(state, &lease, last_event, self.clock.now());
        match self.runner.prepare(&request).await {
            Ok(connection) => {
                state.slot_requests += 1;
                Some(StreamSuccessor { lease, connection })
            }
            Err(failure) => {
                self.record_failure(state, &lease, &failure);
                state.unanswered = Some(lease.server.clone());
                lease.end(failure.outcome);
                None
            }
        }
    }

    /// Resumes a stream after `last_event` on the server that was found, or on another one if it
    /// has been lost since.
    pub(in crate::entry) async fn resume_at(
        &self,
        state: &mut RequestState,
        successor: StreamSuccessor,
        last_event: Option<u64>,
    ) -> Option<(ServerAnswer, SlotLease)> {
        let StreamSuccessor { lease, connection } = successor;
        let prepared = Some(connection);
        let sent = self.run_on(state, lease, prepared, last_event).await;
        match self.take_resumed(state, sent, last_event) {
            Some(resumed) => Some(resumed),
            None => self.resume(state, last_event).await,
        }
    }

    /// Resumes a stream after `last_event` on another server.
    pub(in crate::entry) async fn resume(
        &self,
        state: &mut RequestState,
        last_event: Option<u64>,
    ) -> Option<(ServerAnswer, SlotLease)> {
        loop {
            let lease = self.acquire_resuming_slot(state, last_event).await?;
            state.slot_requests += 1;
            let sent = self.run_on(state, lease, None, last_event).await;
            let resumed = self.take_resumed(state, sent, last_event);
            if resumed.is_some() {
                return resumed;
            }
        }
    }

    /// Acquires a slot for the rest of a stream; `None` if there is none.
    async fn acquire_resuming_slot(
        &self,
        state: &mut RequestState,
        last_event: Option<u64>,
    ) -> Option<SlotLease> {
        loop {
            let now = self.clock.now();
            if !state.may_retry(now) {
                self.log_not_resumed(state, last_event, &state.failure_refusal());
                return None;
            }
            match self.acquire_slot(state, last_event, now).await {
                Ok(Some(lease)) => return Some(lease),
                Ok(None) => {}
                Err(refusal) => {
                    self.log_not_resumed(state, last_event, &refusal);
                    return None;
                }
            }
        }
    }

    /// Takes the answer of a server that was asked for the rest of a stream, unless it failed.
    fn take_resumed(
        &self,
        state: &mut RequestState,
        sent: Option<(ServerAnswer, SlotLease)>,
        last_event: Option<u64>,
    ) -> Option<(ServerAnswer, SlotLease)> {
        let (answer, lease) = sent?;
        let is_success = answer.parts.status.is_success();
        if is_success && !announces_events(&answer.parts) {
            let failure = RunFailure::malformed("the answer is no stream of events");
            self.end_failed_attempt(state, lease, failure);
            return None;
        }
        state.runs += 1;
        if !is_success {
            state.avoid_server(&lease.server);
            lease.end(outcome_of(answer.parts.status));
            return None;
        }
        self.log_resumed(state, &lease, last_event);
        state.bind_version(&lease.version);
        Some((answer, lease))
    }

    fn log_resumed(&self, state: &RequestState, lease: &SlotLease, last_event: Option<u64>) {
        let fields = json!({
            "request": state.request.id,
            "service": lease.service,
            "server": lease.server,
            "version": lease.version,
            "version_before": state.version,
            "last_event": last_event,
            "plan": state.matched.plan.version().0,
        });
        self.log.note("stream_resumed", &fields);
    }

    /// Logs why no other server goes on with a stream.
    fn log_not_resumed(
        &self,
        state: &RequestState,
        last_event: Option<u64>,
        refusal: &RequestRefusal,
    ) {
        let now = self.clock.now();
        let fields = json!({
            "request": state.request.id,
            "service": state.service,
            "version": state.version,
            "last_event": last_event,
            "reason": refusal.reason.as_str(),
            "detail": refusal.detail,
            "runs": state.runs,
            "asks": state.slot_requests,
            "plan": state.matched.plan.version().0,
            "view_age_ms": self.matcher.view.age(now).map(|age| age.as_millis()),
            "left_ms": state.answer_by.saturating_duration_since(now).as_millis(),
        });
        self.log.note("stream_not_resumed", &fields);
    }
}
