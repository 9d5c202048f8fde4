//! Relay of a response body to the caller while it arrives.
//!
//! A resumable stream is relayed in whole events, so that another server can continue
//! it after the last one. Any other response is relayed as its chunks arrive. If the
//! server's response is truncated, so is the caller's: an incomplete response must
//! never look complete. A response whose only end mark is the end of its connection is
//! truncated if it ends within an event.

use super::forward::{AnswerEnd, RequestForwarder, RequestState};
use crate::connection_pool::ConnectionEnd;
use crate::event_stream::{EventSequencer, SequenceFault};
use crate::server_run::{PooledConnection, ServerAnswer};
use crate::slot_client::SlotLease;
use bytes::Bytes;
use chicoryladder_broker::RunOutcome;
use chicoryladder_gateway::{
    AnswerBody, BodyError, BodyFraming, EventBoundary, is_event_stream, is_malformed,
};
use chicoryladder_plan::RouteKind;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;
use std::time::Duration;

/// The time without a whole event, in gap targets of the route, after which a resumable
/// stream fails over to another server.
const GAP_MAX_TARGETS: u32 = 3;

/// The maximum size of one event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// The maximum size of a response without events, in bytes.
const ANSWER_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Why a response is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakCause {
    ConnectionLost,
    EndedWithinEvent,
    NoEvents,
    ServerSilent,
    DeadlinePassed,
    EventSequence,
    EventWithoutId,
    EventTooLong,
    AnswerTooLong,
    Malformed,
}

impl BreakCause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "the server broke off",
            Self::EndedWithinEvent => "the server ended within an event",
            Self::NoEvents => "the server ended without events",
            Self::ServerSilent => "the server fell silent",
            Self::DeadlinePassed => "the request ran out of time",
            Self::EventSequence => "an event is missing or came twice",
            Self::EventWithoutId => "an event has no id",
            Self::EventTooLong => "an event is too long",
            Self::AnswerTooLong => "the answer is too long",
            Self::Malformed => "the server sent bytes that are no answer",
        }
    }

    /// How the connection ended, if the path to the server may have been lost.
    fn connection_end(self, framing: BodyFraming) -> Option<ConnectionEnd> {
        if self == Self::ServerSilent {
            return Some(ConnectionEnd::Silent);
        }
        self.suggests_crash(framing).then_some(ConnectionEnd::Lost)
    }

    /// Whether the server may have crashed while it ran the request.
    fn suggests_crash(self, framing: BodyFraming) -> bool {
        match self {
            Self::ConnectionLost => true,
            Self::EndedWithinEvent => framing == BodyFraming::UntilClose,
            Self::NoEvents
            | Self::ServerSilent
            | Self::DeadlinePassed
            | Self::EventSequence
            | Self::EventWithoutId
            | Self::EventTooLong
            | Self::AnswerTooLong
            | Self::Malformed => false,
        }
    }
}

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
    /// The run that is relayed; `None` once the response has ended.
    run: Option<RelayedRun>,
    /// The events of a resumable stream.
    sequencer: EventSequencer,
    /// Whether an earlier run broke off within an event; `None` if there was none.
    broke_within_event: Option<bool>,
}

/// A run whose response is being read. Dropping it closes the connection, which ends the
/// run on the server.
struct RelayedRun {
    body: Incoming,
    framing: BodyFraming,
    /// The position in the server's events; `None` if the response has none.
    boundary: Option<EventBoundary>,
    connection: PooledConnection,
    lease: SlotLease,
    /// The part of the body that was read before.
    prefix: Bytes,
    /// The bytes of the body so far.
    body_bytes: u64,
    /// How long the server was waited for since the last whole event.
    waited: Duration,
}

impl RelayedRun {
    /// A response without a type has events if its route is for streams.
    fn new(answer: ServerAnswer, lease: SlotLease, kind: RouteKind, prefix: Bytes) -> Self {
        let fields = &answer.parts.headers;
        let is_stream = is_event_stream(fields)
            || (kind == RouteKind::Stream && !fields.contains_key(CONTENT_TYPE));
        let has_events = is_stream && answer.parts.status != StatusCode::NO_CONTENT;
        Self {
            body: answer.body,
            framing: answer.framing,
            boundary: has_events.then(EventBoundary::default),
            connection: answer.connection,
            lease,
            prefix,
            body_bytes: 0,
            waited: Duration::ZERO,
        }
    }

    /// Records a chunk that arrived after a wait for it. Returns why the response can't go on,
    /// if it is too long.
    fn record_chunk(&mut self, chunk: &[u8], waited: Duration) -> Option<BreakCause> {
        self.body_bytes += chunk.len() as u64;
        self.waited += waited;
        let Some(boundary) = &mut self.boundary else {
            self.waited = Duration::ZERO;
            return (self.body_bytes > ANSWER_MAX_BYTES).then_some(BreakCause::AnswerTooLong);
        };
        let events = boundary.events();
        boundary.push(chunk);
        if boundary.events() > events {
            self.waited = Duration::ZERO;
        }
        (boundary.event_bytes() > EVENT_MAX_BYTES).then_some(BreakCause::EventTooLong)
    }

    fn is_within_event(&self) -> bool {
        let boundary = self.boundary.as_ref();
        boundary.is_some_and(EventBoundary::is_within_event)
    }

    fn has_no_events(&self) -> bool {
        let boundary = self.boundary.as_ref();
        boundary.is_some_and(|boundary| boundary.events() == 0)
    }

    fn answer_end(&self, last_event: Option<u64>) -> AnswerEnd {
        AnswerEnd {
            framing: self.framing,
            within_event: self.boundary.as_ref().map(EventBoundary::is_within_event),
            last_event,
            server: self.lease.server.clone(),
        }
    }
}

/// The result of one read from the response.
enum RelayStep {
    Chunk(Bytes),
    End,
    Broken(BreakCause),
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
    pub(super) fn new(
        context: RelayContext,
        answer: ServerAnswer,
        lease: SlotLease,
        prefix: Bytes,
    ) -> Self {
        Self {
            sequencer: EventSequencer::resume_after(context.state.request.head.last_event),
            status: answer.parts.status,
            run: Some(RelayedRun::new(answer, lease, context.state.kind(), prefix)),
            broke_within_event: None,
            context,
        }
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let mut run = self.run.take()?;
        loop {
            let cause = match self.read(&mut run).await {
                RelayStep::Chunk(chunk) => {
                    let bytes = self.take_events(chunk);
                    if bytes.is_empty() {
                        continue;
                    }
                    self.run = Some(run);
                    return Some(Ok(Frame::data(bytes)));
                }
                RelayStep::End => match self.find_early_end(&run) {
                    Some(cause) => cause,
                    None => return self.end(run),
                },
                RelayStep::Broken(cause) => cause,
            };
            let end = run.answer_end(self.sequencer.last_event());
            self.record_break(&run);
            self.context.forwarder.count_answer_end(&end);
            self.end_broken_run(run, cause).await;
            match self.fail_over(cause, &end).await {
                Some(resumed) => run = resumed,
                None => return Some(self.truncate(cause, &end)),
            }
        }
    }

    /// Reads the next chunk, within the maximum gap and the request's deadline.
    async fn read(&self, run: &mut RelayedRun) -> RelayStep {
        match self.sequencer.fault() {
            Some(SequenceFault::OutOfSequence) => {
                return RelayStep::Broken(BreakCause::EventSequence);
            }
            Some(SequenceFault::WithoutId) => {
                return RelayStep::Broken(BreakCause::EventWithoutId);
            }
            Some(SequenceFault::EventTooLong) => {
                return RelayStep::Broken(BreakCause::EventTooLong);
            }
            None => {}
        }
        let now = self.context.forwarder.clock.now();
        if run.body_bytes > 0 {
            run.lease.record_data(now);
        }
        if !run.prefix.is_empty() {
            let prefix = std::mem::take(&mut run.prefix);
            let cause = run.record_chunk(&prefix, Duration::ZERO);
            return cause.map_or(RelayStep::Chunk(prefix), RelayStep::Broken);
        }
        let left = self.context.state.answer_by.saturating_duration_since(now);
        let max_wait = self.max_gap().saturating_sub(run.waited).min(left);
        let deadline = tokio::time::sleep(max_wait);
        tokio::pin!(deadline);
        loop {
            let read = tokio::select! {
                frame = run.body.frame() => Ok(frame),
                () = &mut deadline => Err(()),
            };
            let frame = match read {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) if is_malformed(&error) => {
                    return RelayStep::Broken(BreakCause::Malformed);
                }
                Ok(Some(Err(_))) => return RelayStep::Broken(BreakCause::ConnectionLost),
                Ok(None) => return RelayStep::End,
                Err(()) if max_wait < left => return RelayStep::Broken(BreakCause::ServerSilent),
                Err(()) => return RelayStep::Broken(BreakCause::DeadlinePassed),
            };
            if let Ok(chunk) = frame.into_data() {
                let read_at = self.context.forwarder.clock.now();
                let waited = read_at.saturating_duration_since(now);
                let cause = run.record_chunk(&chunk, waited);
                return cause.map_or(RelayStep::Chunk(chunk), RelayStep::Broken);
            }
        }
    }

    /// Why a response that its server ended in order is incomplete, if it is.
    fn find_early_end(&self, run: &RelayedRun) -> Option<BreakCause> {
        if run.is_within_event() || self.sequencer.is_within_event() {
            return Some(BreakCause::EndedWithinEvent);
        }
        if !run.has_no_events() {
            return None;
        }
        if self.sequencer.last_event().is_some() {
            return (!self.may_be_empty(run)).then_some(BreakCause::NoEvents);
        }
        Some(match run.framing {
            // The server may have crashed after the head.
            BodyFraming::UntilClose => BreakCause::ConnectionLost,
            BodyFraming::Length | BodyFraming::Chunks => BreakCause::NoEvents,
        })
    }

    /// Whether nothing may follow the last event. A response with a length is no stream that a
    /// server goes on with, and one without framing may have been cut off.
    fn may_be_empty(&self, run: &RelayedRun) -> bool {
        match run.framing {
            BodyFraming::Chunks => self.broke_within_event != Some(true),
            BodyFraming::Length => self.broke_within_event.is_none(),
            BodyFraming::UntilClose => false,
        }
    }

    /// Records whether the stream goes on for certain, since a run broke off within an event.
    fn record_break(&mut self, run: &RelayedRun) {
        let is_certain = run.has_no_events() && self.broke_within_event == Some(true);
        self.broke_within_event = Some(is_certain || run.is_within_event());
    }

    fn max_gap(&self) -> Duration {
        let route = &self.context.state.matched.route;
        let gap = route.gap_target.filter(|_| self.context.resumable);
        gap.map_or(Duration::MAX, |gap| gap * GAP_MAX_TARGETS)
    }

    /// Returns the bytes that may be relayed after a chunk: complete events in sequence,
    /// or the chunk itself if the stream is not resumable.
    fn take_events(&mut self, chunk: Bytes) -> Bytes {
        if self.context.resumable {
            self.sequencer.push(&chunk)
        } else {
            chunk
        }
    }

    /// Closes the connection to the server and returns its slot, before another server
    /// gets the stream.
    async fn end_broken_run(&mut self, run: RelayedRun, cause: BreakCause) {
        let RelayedRun {
            body,
            connection,
            mut lease,
            framing,
            ..
        } = run;
        drop(body);
        self.context.state.avoid_server(&lease.server);
        self.context.state.bind_version(&lease.version);
        if let Some(end) = cause.connection_end(framing)
            && connection.close_broken(end).await
        {
            lease.end(RunOutcome::PathLost);
            return;
        }
        if cause.suggests_crash(framing) {
            lease.record_crash();
        }
        lease.end(RunOutcome::Failed);
    }

    /// Resumes the stream after the last complete event on another server.
    async fn fail_over(&mut self, cause: BreakCause, end: &AnswerEnd) -> Option<RelayedRun> {
        let now = self.context.forwarder.clock.now();
        if !self.context.resumable || !self.context.state.may_retry(now) {
            return None;
        }
        let forwarder = self.context.forwarder.clone();
        forwarder.record_interruption(&self.context.state, cause.as_str(), end);
        let last_event = self.sequencer.last_event();
        let resumed = forwarder.resume(&mut self.context.state, last_event).await;
        let (answer, lease) = resumed?;
        self.sequencer = EventSequencer::resume_after(last_event);
        let kind = self.context.state.kind();
        Some(RelayedRun::new(answer, lease, kind, Bytes::new()))
    }

    /// Ends the response. Returns what follows the last event, such as a comment.
    fn end(&mut self, mut run: RelayedRun) -> Option<Result<Frame<Bytes>, BodyError>> {
        let end = run.answer_end(self.sequencer.last_event());
        let state = &self.context.state;
        let forwarder = &self.context.forwarder;
        forwarder.record_served(state, &run.lease, self.status, state.runs, &end);
        run.connection.return_to_pool();
        run.lease.record_completion();
        run.lease.end(RunOutcome::Served);
        let rest = self.sequencer.take_rest();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    fn truncate(&self, cause: BreakCause, end: &AnswerEnd) -> Result<Frame<Bytes>, BodyError> {
        let forwarder = &self.context.forwarder;
        forwarder.record_broken_stream(&self.context.state, cause.as_str(), end);
        Err(cause.as_str().into())
    }
}
