//! Detects truncated and stalled response streams.
//!
//! A stream that ends without its end marker is reported as an error, never as
//! a short success. HTTP framing alone is not enough: a server may terminate a
//! chunked body cleanly in the middle of a response. Event streams are
//! therefore checked for their last event.
//!
//! Only whole events are forwarded, so that the event that reports an error never ends or
//! continues one that was cut off.
//!
//! Bytes alone are no progress of an event stream: a server may send one now and then, or
//! an event without end. Only the time spent waiting for the server counts, so that a
//! slow caller does not end a stream.

use crate::answer::refusal_json;
use crate::body::{AnswerBody, BodyError};
use crate::completeness::{EventBoundary, JsonBoundary, is_malformed};
use bytes::{Bytes, BytesMut};
use chicoryladder_types::prelude::*;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The last event of an event stream.
const END_MARKER: &[u8] = b"data: [DONE]";

/// Number of bytes at the end of a stream that are searched for the end marker: line ends
/// after it and the one before it included.
const TAIL_BYTES: usize = END_MARKER.len() + 5;

/// The maximum size of one event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// The maximum size of a response without events, in bytes.
const ANSWER_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// How a response stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The response was complete.
    Complete,
    /// The response ended before it was complete.
    Truncated,
    /// The server made no progress in time.
    Stalled,
    /// The server sent bytes that are no response, or too many.
    Malformed,
    /// The host stopped the response, with the refusal of [`StreamOptions::stop`].
    Stopped,
    /// The caller disconnected before the response was complete.
    CallerDisconnected,
}

/// Whether an event stream ends with the event that marks its end.
#[must_use]
pub fn ends_with_marker(stream: &[u8]) -> bool {
    let before = stream.trim_ascii_end().strip_suffix(END_MARKER);
    before.is_some_and(|before| matches!(before.last(), None | Some(b'\n' | b'\r')))
}

/// How a response stream is checked, and who is notified of its progress.
pub struct StreamOptions {
    /// Bytes of the body that were already read; they are sent first.
    pub prefix: Bytes,
    /// Whether the body is a stream of events.
    pub has_events: bool,
    /// Whether the body has to end with the end marker of event streams.
    pub needs_end_marker: bool,
    /// Whether the body is a JSON text whose end only its content can tell.
    pub is_unverified_json: bool,
    /// The longest wait for the next whole event, or for the next chunk of a body without
    /// events.
    pub progress_timeout: Duration,
    /// The time by which a body without events has to end.
    pub total_timeout: Duration,
    /// Stops the response with the refusal that this future resolves to.
    pub stop: BoxFuture<'static, RequestRefusal>,
    /// Called once, when the first chunk has arrived.
    pub on_first_chunk: Box<dyn FnOnce() + Send>,
    /// Called once, with how the response ended.
    pub on_end: Box<dyn FnOnce(StreamEnd) + Send>,
}

/// Forwards a response body and checks how it ends.
#[must_use]
pub fn watch_stream(body: Incoming, options: StreamOptions) -> AnswerBody {
    let now = Instant::now();
    let checked = CheckedBody {
        body,
        prefix: options.prefix,
        boundary: options.has_events.then(EventBoundary::default),
        json: options.is_unverified_json.then(JsonBoundary::default),
        unforwarded: BytesMut::new(),
        body_bytes: 0,
        needs_end_marker: options.needs_end_marker,
        progress_timeout: options.progress_timeout,
        ends_at: (!options.has_events).then(|| now + options.total_timeout),
        waited: Duration::ZERO,
        waiting_since: None,
        stop: options.stop,
        on_first_chunk: Some(options.on_first_chunk),
        on_end: Some(options.on_end),
        timer: Box::pin(tokio::time::sleep_until(now)),
        tail: Vec::new(),
        state: StreamState::Open,
    };
    checked.boxed_unsync()
}

enum StreamState {
    Open,
    /// The error event was returned, but may not have been sent yet.
    Flushing(RequestRefusal),
    /// The error event was sent; the body fails next.
    Failing(RequestRefusal),
    Ended,
}

struct CheckedBody {
    body: Incoming,
    prefix: Bytes,
    boundary: Option<EventBoundary>,
    json: Option<JsonBoundary>,
    /// The beginning of an event that is not whole yet.
    unforwarded: BytesMut,
    body_bytes: u64,
    needs_end_marker: bool,
    progress_timeout: Duration,
    ends_at: Option<Instant>,
    /// The time spent waiting for the server since the last progress.
    waited: Duration,
    waiting_since: Option<Instant>,
    stop: BoxFuture<'static, RequestRefusal>,
    on_first_chunk: Option<Box<dyn FnOnce() + Send>>,
    on_end: Option<Box<dyn FnOnce(StreamEnd) + Send>>,
    timer: Pin<Box<Sleep>>,
    tail: Vec<u8>,
    state: StreamState,
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl CheckedBody {
    fn finish(&mut self, end: StreamEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    /// Ends the response with an error. An event stream gets an error event as
    /// its last event first.
    fn fail(&mut self, end: StreamEnd, refusal: RequestRefusal) -> FramePoll {
        self.finish(end);
        if !self.needs_end_marker {
            self.state = StreamState::Ended;
            return Poll::Ready(Some(Err(refusal.into())));
        }
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&refusal_json(&refusal));
        event.extend_from_slice(b"\n\n");
        self.state = StreamState::Flushing(refusal);
        Poll::Ready(Some(Ok(Frame::data(event.into()))))
    }

    /// Records a chunk; returns the fault of a response that is too long.
    fn record_chunk(&mut self, chunk: &[u8]) -> Option<&'static str> {
        if let Some(on_first_chunk) = self.on_first_chunk.take() {
            on_first_chunk();
        }
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
        let kept = chunk.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&chunk[kept..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
        self.body_bytes += chunk.len() as u64;
        if let Some(json) = &mut self.json {
            json.push(chunk);
        }
        let Some(boundary) = &mut self.boundary else {
            self.waited = Duration::ZERO;
            return (self.body_bytes > ANSWER_MAX_BYTES).then_some("the answer is too long");
        };
        let events = boundary.events();
        boundary.push(chunk);
        if boundary.events() > events {
            self.waited = Duration::ZERO;
        }
        (boundary.event_bytes() > EVENT_MAX_BYTES).then_some("an event is too long")
    }

    /// Forwards a chunk, of a body that needs an end marker only what ends with a whole
    /// event. Returns `None` if there is nothing to forward yet.
    fn forward(&mut self, chunk: Bytes) -> Option<FramePoll> {
        if let Some(detail) = self.record_chunk(&chunk) {
            return Some(self.fail(StreamEnd::Malformed, truncated(detail)));
        }
        let whole = match &self.boundary {
            Some(boundary) if self.needs_end_marker => {
                self.unforwarded.extend_from_slice(&chunk);
                let length = self.unforwarded.len() - boundary.event_bytes();
                self.unforwarded.split_to(length).freeze()
            }
            _ => chunk,
        };
        (!whole.is_empty()).then(|| Poll::Ready(Some(Ok(Frame::data(whole)))))
    }

    fn has_marker(&self) -> bool {
        ends_with_marker(&self.tail)
    }

    fn end(&mut self) -> FramePoll {
        if self.needs_end_marker && !self.has_marker() {
            let detail = "the answer ended before its end marker";
            return self.fail(StreamEnd::Truncated, truncated(detail));
        }
        let is_within_event = self
            .boundary
            .as_ref()
            .is_some_and(EventBoundary::is_within_event);
        if !self.needs_end_marker && is_within_event {
            let detail = "the answer ended within an event";
            return self.fail(StreamEnd::Truncated, truncated(detail));
        }
        if self.json.as_ref().is_some_and(|json| !json.is_whole()) {
            let detail = "the connection ended within a JSON text";
            return self.fail(StreamEnd::Truncated, truncated(detail));
        }
        self.state = StreamState::Ended;
        self.finish(StreamEnd::Complete);
        // The end marker may lack its blank line.
        let rest = self.unforwarded.split().freeze();
        Poll::Ready((!rest.is_empty()).then(|| Ok(Frame::data(rest))))
    }

    fn poll_open(&mut self, context: &mut Context<'_>) -> FramePoll {
        if let Poll::Ready(refusal) = self.stop.as_mut().poll(context) {
            return self.fail(StreamEnd::Stopped, refusal);
        }
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            if let Some(forwarded) = self.forward(prefix) {
                return forwarded;
            }
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    let chunk = frame.into_data().unwrap_or_default();
                    if let Some(forwarded) = self.forward(chunk) {
                        return forwarded;
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    let detail = format!("the answer ended early: {error}");
                    let end = if is_malformed(&error) {
                        StreamEnd::Malformed
                    } else {
                        StreamEnd::Truncated
                    };
                    return self.fail(end, truncated(detail));
                }
                Poll::Ready(None) => return self.end(),
                Poll::Pending => return self.poll_timer(context),
            }
        }
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) -> FramePoll {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let progress_by = now + self.progress_timeout.saturating_sub(self.waited);
            let deadline = self.ends_at.map_or(progress_by, |at| at.min(progress_by));
            self.timer.as_mut().reset(deadline);
        }
        if self.timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let refusal = RequestRefusal::new(
            RefusalReason::ServerSilent,
            RunVerdict::MayHaveRun,
            "the backend server made no progress in time",
        );
        self.fail(StreamEnd::Stalled, refusal)
    }
}

fn truncated(detail: impl Into<String>) -> RequestRefusal {
    RequestRefusal::new(
        RefusalReason::AnswerTruncated,
        RunVerdict::MayHaveRun,
        detail,
    )
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        match std::mem::replace(&mut self.state, StreamState::Ended) {
            StreamState::Open => {
                self.state = StreamState::Open;
                self.poll_open(context)
            }
            StreamState::Flushing(refusal) => {
                // hyper flushes its write buffer while the body is pending; an
                // error now would discard the event unsent.
                self.state = StreamState::Failing(refusal);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            StreamState::Failing(refusal) => Poll::Ready(Some(Err(refusal.into()))),
            StreamState::Ended => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        if self.needs_end_marker {
            // The length is unknown: a failure adds an event to the stream.
            return SizeHint::default();
        }
        let prefix = self.prefix.len() as u64;
        let rest = self.body.size_hint().exact();
        rest.map_or_else(SizeHint::default, |rest| {
            SizeHint::with_exact(prefix + rest)
        })
    }
}

impl Drop for CheckedBody {
    fn drop(&mut self) {
        self.finish(StreamEnd::CallerDisconnected);
    }
}
