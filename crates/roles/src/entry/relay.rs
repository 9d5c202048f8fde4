//! Relay of a response body to the caller while it arrives.
//!
//! A resumable stream is relayed in whole events, so that another server can continue
//! it after the last one. Any other response is relayed as its chunks arrive. If the
//! server's response is truncated, so is the caller's: an incomplete response must
//! never look complete.

use super::forward::{AnswerEnd, RequestForwarder, RequestState, has_events};
use crate::event_stream::EventParser;
use crate::server_run::{PooledConnection, ServerAnswer};
use crate::slot_client::SlotLease;
use bytes::{Bytes, BytesMut};
use chicoryladder_broker::RunOutcome;
use chicoryladder_gateway::{AnswerBody, BodyError, BodyFraming, EventBoundary};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use std::time::Duration;

/// The time without data, in gap targets of the route, after which a resumable stream
/// fails over to another server.
const GAP_MAX_TARGETS: u32 = 3;

/// The cause recorded when the connection is lost, as in a crash of the server.
const CONNECTION_LOST: &str = "the server broke off";

/// The request and the forwarder of a relayed response.
pub(super) struct RelayContext {
    pub(super) forwarder: Arc<RequestForwarder>,
    pub(super) state: RequestState,
    /// Whether the stream may be resumed on another server.
    pub(super) resumable: bool,
}

/// Relays one response.
pub(super) struct EventRelay {
    context: RelayContext,
    status: StatusCode,
    framing: BodyFraming,
    body: Incoming,
    run: Option<(PooledConnection, SlotLease)>,
    parser: EventParser,
    /// The position in the server's events; `None` if the response has none.
    boundary: Option<EventBoundary>,
    last_event: Option<u64>,
    ended: bool,
}

/// The result of one read from the response.
enum RelayStep {
    Chunk(Bytes),
    End,
    Broken(&'static str),
}

/// Builds the response body of a relay.
pub(super) fn relay_body(relay: EventRelay) -> AnswerBody {
    let frames = unfold(relay, |mut relay| async {
        let frame = relay.next_frame().await?;
        Some((frame, relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl EventRelay {
    pub(super) fn new(context: RelayContext, answer: ServerAnswer, lease: SlotLease) -> Self {
        Self {
            last_event: context.state.request.head.last_event,
            context,
            status: answer.parts.status,
            framing: answer.framing,
            boundary: has_events(&answer.parts).then(EventBoundary::default),
            body: answer.body,
            run: Some((answer.connection, lease)),
            parser: EventParser::default(),
            ended: false,
        }
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                RelayStep::Chunk(chunk) => {
                    let output = self.take_events(chunk);
                    match output {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => return Some(Ok(Frame::data(bytes))),
                        Err(cause) => {
                            if !self.fail_over(cause).await {
                                return Some(self.truncate(cause));
                            }
                        }
                    }
                }
                RelayStep::End => return self.end(),
                RelayStep::Broken(cause) => {
                    if !self.fail_over(cause).await {
                        return Some(self.truncate(cause));
                    }
                }
            }
        }
    }

    /// Reads the next chunk, within the maximum gap and the request's deadline.
    async fn read(&mut self) -> RelayStep {
        let now = self.context.forwarder.clock.now();
        let left = self.context.state.answer_by.saturating_duration_since(now);
        let max_gap = self.max_gap().min(left);
        loop {
            let frame = match tokio::time::timeout(max_gap, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RelayStep::Broken(CONNECTION_LOST),
                Ok(None) => return RelayStep::End,
                Err(_) if max_gap < left => return RelayStep::Broken("the server fell silent"),
                Err(_) => return RelayStep::Broken("the request ran out of time"),
            };
            if let Ok(chunk) = frame.into_data() {
                if let Some(boundary) = &mut self.boundary {
                    boundary.push(&chunk);
                }
                return RelayStep::Chunk(chunk);
            }
        }
    }

    fn max_gap(&self) -> Duration {
        let route = &self.context.state.matched.route;
        let gap = route.gap_target.filter(|_| self.context.resumable);
        gap.map_or(Duration::MAX, |gap| gap * GAP_MAX_TARGETS)
    }

    /// Returns the bytes that may be relayed after a chunk: complete events in sequence,
    /// or the chunk itself if the stream is not resumable.
    fn take_events(&mut self, chunk: Bytes) -> Result<Bytes, &'static str> {
        if !self.context.resumable {
            return Ok(chunk);
        }
        self.parser.push(&chunk);
        let mut output = BytesMut::new();
        while let Some(event) = self.parser.next_event() {
            if let (Some(last), Some(id)) = (self.last_event, event.id)
                && id != last + 1
            {
                if !output.is_empty() {
                    // Relay the events before the gap first; a gap is detected again at
                    // the next event.
                    break;
                }
                return Err("an event is missing or came twice");
            }
            self.last_event = event.id.or(self.last_event);
            output.extend_from_slice(&event.raw);
        }
        if self.parser.exceeds_max_size() {
            return Err("an event is too long");
        }
        Ok(output.freeze())
    }

    /// Resumes the stream after the last complete event on another server.
    async fn fail_over(&mut self, cause: &'static str) -> bool {
        let end = self.answer_end();
        if let Some((_, mut lease)) = self.run.take() {
            if cause == CONNECTION_LOST {
                lease.record_crash(self.context.state.fingerprint);
            }
            lease.end(RunOutcome::Failed);
        }
        let now = self.context.forwarder.clock.now();
        if !self.context.resumable || !self.context.state.may_retry(now) {
            return false;
        }
        let forwarder = self.context.forwarder.clone();
        forwarder.record_broken_stream(&self.context.state, cause, &end);
        let resumed = forwarder
            .resume(&mut self.context.state, self.last_event)
            .await;
        let Some((answer, lease)) = resumed else {
            return false;
        };
        self.framing = answer.framing;
        self.boundary = has_events(&answer.parts).then(EventBoundary::default);
        self.body = answer.body;
        self.run = Some((answer.connection, lease));
        self.parser = EventParser::default();
        true
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.parser.has_partial_event() {
            return Some(self.truncate("the server ended within an event"));
        }
        self.ended = true;
        let end = self.answer_end();
        if let Some((connection, lease)) = self.run.take() {
            let state = &self.context.state;
            let forwarder = &self.context.forwarder;
            forwarder.record_served(state, &lease, self.status, state.runs, &end);
            connection.return_to_pool();
            lease.end(RunOutcome::Served);
        }
        None
    }

    fn answer_end(&self) -> AnswerEnd {
        let within_event = self.boundary.as_ref().map(EventBoundary::is_within_event);
        AnswerEnd {
            framing: self.framing,
            within_event,
            last_event: self.last_event,
            server: self.run.as_ref().map(|(_, lease)| lease.server.clone()),
        }
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    fn truncate(&mut self, cause: &'static str) -> Result<Frame<Bytes>, BodyError> {
        self.ended = true;
        let end = self.answer_end();
        self.context
            .forwarder
            .record_broken_stream(&self.context.state, cause, &end);
        if let Some((_, lease)) = self.run.take() {
            lease.end(RunOutcome::Failed);
        }
        Err(cause.into())
    }
}
