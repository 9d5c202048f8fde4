//! Relay of a response body to the caller while it arrives.
//!
//! A resumable stream is relayed in whole events, so that another server can continue
//! it after the last one. Any other response is relayed as its chunks arrive. If the
//! server's response is truncated, so is the caller's: an incomplete response must
//! never look complete. A response whose only end mark is the end of its connection is
//! truncated if it ends within an event.

use super::forward::{
    AnswerEnd, RequestForwarder, RequestState, SEARCH_INTERVAL_MIN, StreamSuccessor,
};
use super::read_ahead::{AnswerReader, FrameResult, ReadError, ReadObserver};
use crate::connection_pool::ConnectionEnd;
use crate::event_stream::{EventSequencer, SequenceFault};
use crate::server_run::{PooledConnection, ServerAnswer};
use crate::slot_client::{EarlyRelease, SlotLease};
use bytes::Bytes;
use chicoryladder_broker::RunOutcome;
use chicoryladder_gateway::{
    AnswerBody, BodyError, BodyFraming, EventBoundary, is_event_stream, is_malformed,
    may_end_by_time_limit,
};
use chicoryladder_plan::RouteKind;
use chicoryladder_types::prelude::*;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time without a whole event, in gap targets of the route, after which another server is
/// searched for to go on with a resumable stream.
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
    ReaderLost,
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
            Self::ReaderLost => "this host stopped reading the answer",
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
            | Self::Malformed
            | Self::ReaderLost => false,
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

impl RelayContext {
    /// The sequencer of a run that goes on after an event, if the stream may be resumed.
    fn sequencer(&self, last_event: Option<u64>) -> Option<EventSequencer> {
        self.resumable
            .then(|| EventSequencer::resume_after(last_event))
    }
}

/// Relays one response.
pub(super) struct EventRelay {
    context: RelayContext,
    status: StatusCode,
    /// The run that is relayed; `None` once the response has ended.
    run: Option<RelayedRun>,
    /// Whether an earlier run broke off within an event; `None` if there was none.
    broke_within_event: Option<bool>,
}

/// A run whose response is being read. Dropping it closes the connection, which ends the
/// run on the server.
struct RelayedRun {
    body: AnswerReader,
    framing: BodyFraming,
    /// The position in the server's events; `None` if the response has none.
    boundary: Option<EventBoundary>,
    /// The events of a resumable stream; `None` for any other response.
    sequencer: Option<EventSequencer>,
    connection: PooledConnection,
    lease: SlotLease,
    /// The part of the body that was read before.
    prefix: Bytes,
    /// The bytes of the body so far.
    body_bytes: u64,
    /// How long the server was waited for since the last whole event.
    waited: Duration,
    /// What `waited` was when the last search for another server ended, if there was one.
    searched_at: Option<Duration>,
}

/// Releases the slot of a run once its response is read ahead to its end, if the response is
/// complete. All others are judged by the relay.
struct SlotObserver {
    release: EarlyRelease,
    framing: BodyFraming,
    boundary: Option<EventBoundary>,
    answer_by: Instant,
    clock: Arc<dyn ClockSource>,
}

impl ReadObserver for SlotObserver {
    fn observe_chunk(&mut self, chunk: &Bytes) -> bool {
        if let Some(boundary) = &mut self.boundary {
            boundary.push(chunk);
        }
        self.release.knows_restart()
    }

    fn observe_end(self) {
        let left = self.answer_by.saturating_duration_since(self.clock.now());
        let has_whole_events = self.boundary.is_none_or(|boundary| {
            boundary.events() > 0
                && !boundary.is_within_event()
                && !may_end_by_time_limit(self.framing, left)
        });
        if self.framing != BodyFraming::UntilClose && has_whole_events {
            self.release.release();
        }
    }
}

impl RelayedRun {
    /// A response without a type has events if its route is for streams.
    fn new(
        answer: ServerAnswer,
        mut lease: SlotLease,
        context: &RelayContext,
        last_event: Option<u64>,
        prefix: Bytes,
    ) -> Self {
        let kind = context.state.kind();
        let fields = &answer.parts.headers;
        let is_stream = is_event_stream(fields)
            || (kind == RouteKind::Stream && !fields.contains_key(CONTENT_TYPE));
        let has_events = is_stream && answer.parts.status != StatusCode::NO_CONTENT;
        let boundary = has_events.then(EventBoundary::default);
        let observer = context.forwarder.pressure.then(|| {
            let mut boundary = boundary.clone();
            if let Some(boundary) = &mut boundary {
                boundary.push(&prefix);
            }
            SlotObserver {
                release: lease.early_release(),
                framing: answer.framing,
                boundary,
                answer_by: context.state.answer_by,
                clock: context.forwarder.clock.clone(),
            }
        });
        Self {
            body: AnswerReader::new(answer.body, observer, &context.forwarder.machine),
            framing: answer.framing,
            boundary,
            sequencer: context.sequencer(last_event),
            connection: answer.connection,
            lease,
            prefix,
            body_bytes: 0,
            waited: Duration::ZERO,
            searched_at: None,
        }
    }

    /// Takes a frame that was waited for from `since` to `now`. Returns `None` if there is
    /// nothing to relay yet.
    fn take_frame(
        &mut self,
        frame: FrameResult<hyper::Error>,
        since: Instant,
        now: Instant,
    ) -> Option<RelayStep> {
        match frame {
            Some(Ok(read)) => {
                let chunk = read.frame.into_data().ok()?;
                let waited = now.saturating_duration_since(since);
                self.take_chunk(chunk, waited, read.follows_restart, now)
            }
            Some(Err(ReadError::Body(error))) if is_malformed(&error) => {
                Some(RelayStep::Broken(BreakCause::Malformed))
            }
            Some(Err(ReadError::ReaderLost)) => Some(RelayStep::Broken(BreakCause::ReaderLost)),
            Some(Err(ReadError::Body(_))) => Some(RelayStep::Broken(BreakCause::ConnectionLost)),
            None => Some(RelayStep::End),
        }
    }

    /// Takes a chunk: complete events in sequence may be relayed, or the chunk itself if the
    /// stream is not resumable.
    fn take_chunk(
        &mut self,
        chunk: Bytes,
        waited: Duration,
        follows_restart: bool,
        now: Instant,
    ) -> Option<RelayStep> {
        self.lease.record_data(follows_restart, now);
        if let Some(cause) = self.record_chunk(&chunk, waited) {
            return Some(RelayStep::Broken(cause));
        }
        let Some(sequencer) = &mut self.sequencer else {
            return (!chunk.is_empty()).then_some(RelayStep::Data(chunk));
        };
        let events = sequencer.push(&chunk);
        if !events.is_empty() {
            return Some(RelayStep::Data(events));
        }
        self.sequence_fault().map(RelayStep::Broken)
    }

    /// Records a chunk that arrived after a wait for it. Returns why the response can't go on,
    /// if it is too long.
    fn record_chunk(&mut self, chunk: &[u8], waited: Duration) -> Option<BreakCause> {
        self.body_bytes += chunk.len() as u64;
        self.waited += waited;
        let Some(boundary) = &mut self.boundary else {
            self.record_progress();
            return (self.body_bytes > ANSWER_MAX_BYTES).then_some(BreakCause::AnswerTooLong);
        };
        let events = boundary.events();
        boundary.push(chunk);
        let is_too_long = boundary.event_bytes() > EVENT_MAX_BYTES;
        if boundary.events() > events {
            self.record_progress();
        }
        is_too_long.then_some(BreakCause::EventTooLong)
    }

    fn record_progress(&mut self) {
        self.waited = Duration::ZERO;
        self.searched_at = None;
    }

    fn sequence_fault(&self) -> Option<BreakCause> {
        let fault = self.sequencer.as_ref().and_then(EventSequencer::fault)?;
        Some(match fault {
            SequenceFault::OutOfSequence => BreakCause::EventSequence,
            SequenceFault::WithoutId => BreakCause::EventWithoutId,
            SequenceFault::EventTooLong => BreakCause::EventTooLong,
        })
    }

    fn is_within_event(&self) -> bool {
        let boundary = self.boundary.as_ref();
        let sequencer = self.sequencer.as_ref();
        boundary.is_some_and(EventBoundary::is_within_event)
            || sequencer.is_some_and(EventSequencer::is_within_event)
    }

    fn has_no_events(&self) -> bool {
        let boundary = self.boundary.as_ref();
        boundary.is_some_and(|boundary| boundary.events() == 0)
    }

    fn last_event(&self) -> Option<u64> {
        self.sequencer.as_ref().and_then(EventSequencer::last_event)
    }

    fn answer_end(&self) -> AnswerEnd {
        AnswerEnd {
            framing: self.framing,
            within_event: self.boundary.as_ref().map(EventBoundary::is_within_event),
            last_event: self.last_event(),
            server: self.lease.server.clone(),
        }
    }
}

/// The result of waiting for the response.
enum RelayStep {
    /// Bytes that may be relayed.
    Data(Bytes),
    End,
    /// No whole event arrived within the maximum gap.
    Silent,
    Broken(BreakCause),
}

/// How the search for another server ended. The silent one is read from meanwhile.
enum SearchEnd {
    /// The silent server went on.
    Step(RelayStep),
    Found(Box<StreamSuccessor>),
    NotFound,
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
        let first_event_after = context.state.request.head.last_event;
        Self {
            status: answer.parts.status,
            run: Some(RelayedRun::new(
                answer,
                lease,
                &context,
                first_event_after,
                prefix,
            )),
            broke_within_event: None,
            context,
        }
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let mut run = self.run.take()?;
        loop {
            let step = match self.read(&mut run).await {
                RelayStep::Silent => match self.search_under_silence(&mut run).await {
                    SearchEnd::Step(step) => step,
                    SearchEnd::NotFound => continue,
                    SearchEnd::Found(successor) => {
                        let end = self.interrupt(run, BreakCause::ServerSilent).await;
                        match self.continue_at(*successor, &end).await {
                            Some(resumed) => run = resumed,
                            None => return Some(self.truncate(BreakCause::ServerSilent, &end)),
                        }
                        continue;
                    }
                },
                step => step,
            };
            let cause = match step {
                RelayStep::Data(bytes) => {
                    self.run = Some(run);
                    return Some(Ok(Frame::data(bytes)));
                }
                RelayStep::End => match self.find_early_end(&run) {
                    Some(cause) => cause,
                    None => return self.end(run),
                },
                RelayStep::Broken(cause) => cause,
                RelayStep::Silent => continue,
            };
            let end = self.interrupt(run, cause).await;
            match self.fail_over(cause, &end).await {
                Some(resumed) => run = resumed,
                None => return Some(self.truncate(cause, &end)),
            }
        }
    }

    /// Reads until there is something to relay, within the maximum gap and the request's
    /// deadline.
    async fn read(&self, run: &mut RelayedRun) -> RelayStep {
        if let Some(cause) = run.sequence_fault() {
            return RelayStep::Broken(cause);
        }
        let clock = &self.context.forwarder.clock;
        if !run.prefix.is_empty() {
            let prefix = std::mem::take(&mut run.prefix);
            if let Some(step) = run.take_chunk(prefix, Duration::ZERO, true, clock.now()) {
                return step;
            }
        }
        loop {
            let since = clock.now();
            let answer_by = self.context.state.answer_by;
            let left = answer_by.saturating_duration_since(since);
            // A server that always has more to read would never let a timer come first.
            if left.is_zero() {
                return RelayStep::Broken(BreakCause::DeadlinePassed);
            }
            let search_after = self.search_after(run, since);
            let max_wait = search_after.saturating_sub(run.waited).min(left);
            let Ok(frame) = tokio::time::timeout(max_wait, run.body.frame()).await else {
                run.waited += clock.now().saturating_duration_since(since);
                return if max_wait < left {
                    RelayStep::Silent
                } else {
                    RelayStep::Broken(BreakCause::DeadlinePassed)
                };
            };
            if let Some(step) = run.take_frame(frame, since, clock.now()) {
                return step;
            }
        }
    }

    /// The time without a whole event after which another server is searched for.
    fn search_after(&self, run: &RelayedRun, now: Instant) -> Duration {
        let state = &self.context.state;
        let is_replaceable = self.context.resumable && state.may_retry(now);
        let Some(gap) = state.matched.route.gap_target.filter(|_| is_replaceable) else {
            return Duration::MAX;
        };
        let (searched_at, gaps) = match run.searched_at {
            Some(searched_at) => (searched_at, 1),
            None => (Duration::ZERO, GAP_MAX_TARGETS),
        };
        searched_at + (gap * gaps).max(SEARCH_INTERVAL_MIN)
    }

    /// Searches for another server that answers, while the silent one may still go on: silence
    /// tells neither that it is lost, nor that any other server is better off.
    async fn search_under_silence(&mut self, run: &mut RelayedRun) -> SearchEnd {
        let RelayContext {
            forwarder, state, ..
        } = &mut self.context;
        let clock = forwarder.clock.clone();
        state.avoid_server(&run.lease.server);
        state.bind_version(&run.lease.version);
        let answer_by = state.answer_by;
        let deadline = forwarder.sleep_until(answer_by);
        let search = forwarder.find_successor(state, run.last_event());
        tokio::pin!(search, deadline);
        loop {
            let since = clock.now();
            if since >= answer_by {
                return SearchEnd::Step(RelayStep::Broken(BreakCause::DeadlinePassed));
            }
            tokio::select! {
                biased;
                frame = run.body.frame() => {
                    if let Some(step) = run.take_frame(frame, since, clock.now()) {
                        return SearchEnd::Step(step);
                    }
                }
                found = &mut search => {
                    run.waited += clock.now().saturating_duration_since(since);
                    run.searched_at = Some(run.waited);
                    return found.map_or(SearchEnd::NotFound, |found| SearchEnd::Found(found.into()));
                }
                () = &mut deadline => {
                    return SearchEnd::Step(RelayStep::Broken(BreakCause::DeadlinePassed));
                }
            }
        }
    }

    /// Why a response that its server ended in order is incomplete, if it is.
    fn find_early_end(&self, run: &RelayedRun) -> Option<BreakCause> {
        if run.is_within_event() {
            return Some(BreakCause::EndedWithinEvent);
        }
        if self.may_end_by_time_limit(run) {
            return Some(BreakCause::DeadlinePassed);
        }
        if !run.has_no_events() {
            return None;
        }
        if run.last_event().is_some() {
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

    fn may_end_by_time_limit(&self, run: &RelayedRun) -> bool {
        let now = self.context.forwarder.clock.now();
        let left = self.context.state.answer_by.saturating_duration_since(now);
        run.boundary.is_some() && may_end_by_time_limit(run.framing, left)
    }

    /// Ends a run whose response does not go on, before another server gets the stream.
    async fn interrupt(&mut self, run: RelayedRun, cause: BreakCause) -> AnswerEnd {
        let end = run.answer_end();
        self.record_break(&run);
        self.context.forwarder.count_answer_end(&end);
        self.end_broken_run(run, cause).await;
        end
    }

    /// Closes the connection to the server and returns its slot.
    async fn end_broken_run(&mut self, run: RelayedRun, cause: BreakCause) {
        let outcome = self.broken_outcome(&run, cause);
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
        lease.end(outcome);
    }

    /// The outcome of a run whose response was not completed. A server that wrote events up to
    /// the deadline has not failed: the request had less time than it needed.
    fn broken_outcome(&self, run: &RelayedRun, cause: BreakCause) -> RunOutcome {
        let events = run.boundary.as_ref().map_or(0, EventBoundary::events);
        let gap_target = self.context.state.matched.route.gap_target;
        let is_in_progress = gap_target.is_some_and(|gap| run.waited < gap * GAP_MAX_TARGETS);
        let is_out_of_time = cause == BreakCause::DeadlinePassed && events > 0 && is_in_progress;
        if is_out_of_time || cause == BreakCause::ReaderLost {
            RunOutcome::Stopped
        } else {
            RunOutcome::Failed
        }
    }

    /// Resumes the stream after the last complete event on another server.
    async fn fail_over(&mut self, cause: BreakCause, end: &AnswerEnd) -> Option<RelayedRun> {
        let now = self.context.forwarder.clock.now();
        if !self.context.resumable || !self.context.state.may_retry(now) {
            return None;
        }
        let RelayContext {
            forwarder, state, ..
        } = &mut self.context;
        forwarder.record_interruption(state, cause.as_str(), end);
        let resumed = forwarder.resume(state, end.last_event).await;
        Some(self.resumed_run(resumed?, end.last_event))
    }

    /// Resumes the stream at the server that was found while the one before was silent.
    async fn continue_at(
        &mut self,
        successor: StreamSuccessor,
        end: &AnswerEnd,
    ) -> Option<RelayedRun> {
        let RelayContext {
            forwarder, state, ..
        } = &mut self.context;
        let cause = BreakCause::ServerSilent.as_str();
        forwarder.record_interruption(state, cause, end);
        let resumed = forwarder.resume_at(state, successor, end.last_event).await;
        Some(self.resumed_run(resumed?, end.last_event))
    }

    fn resumed_run(
        &self,
        (answer, lease): (ServerAnswer, SlotLease),
        last_event: Option<u64>,
    ) -> RelayedRun {
        RelayedRun::new(answer, lease, &self.context, last_event, Bytes::new())
    }

    /// Ends the response. Returns what follows the last event, such as a comment.
    fn end(&mut self, mut run: RelayedRun) -> Option<Result<Frame<Bytes>, BodyError>> {
        let end = run.answer_end();
        let state = &self.context.state;
        let forwarder = &self.context.forwarder;
        forwarder.record_served(state, &run.lease, self.status, state.runs, &end);
        run.connection.return_to_pool();
        run.lease.record_completion();
        run.lease.end(RunOutcome::Served);
        let rest = run.sequencer.as_mut().map(EventSequencer::take_rest);
        let rest = rest.unwrap_or_default();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    fn truncate(&self, cause: BreakCause, end: &AnswerEnd) -> Result<Frame<Bytes>, BodyError> {
        let forwarder = &self.context.forwarder;
        forwarder.record_broken_stream(&self.context.state, cause.as_str(), end);
        Err(cause.as_str().into())
    }
}
