//! Passing an answer on while it arrives.
//!
//! A stream that may be resumed is passed on in whole events, so that it can go on
//! at another server behind the last one. Any other answer is passed on byte by
//! byte, and cut where the server's was cut: an answer that ended early never looks
//! complete.

use super::forward::{RequestForwarder, RequestState};
use crate::event_stream::EventParser;
use crate::server_run::{PooledConnection, ServerAnswer};
use crate::slot_client::SlotLease;
use bytes::{Bytes, BytesMut};
use chicoryladder_broker::RunOutcome;
use chicoryladder_gateway::{AnswerBody, BodyError};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use std::sync::Arc;
use std::time::Duration;

/// The part of an answer's silence that callers bear, in gap targets, after which
/// a stream that may be resumed goes on elsewhere.
const SILENCE_GAPS: u32 = 3;

/// The cause of an end that may be the crash of the server.
const BROKE_OFF: &str = "the server broke off";

/// What a relay needs beside the answer.
pub(super) struct RelayTerms {
    pub(super) forwarder: Arc<RequestForwarder>,
    pub(super) state: RequestState,
    /// Whether the stream may go on at another server.
    pub(super) resumable: bool,
}

/// Passes one answer on.
pub(super) struct EventRelay {
    terms: RelayTerms,
    status: StatusCode,
    body: Incoming,
    run: Option<(PooledConnection, SlotLease)>,
    parser: EventParser,
    last_event: Option<u64>,
    ended: bool,
}

/// What was read of the answer.
enum RelayStep {
    Chunk(Bytes),
    End,
    Broken(&'static str),
}

/// The body that passes a relay's answer on.
pub(super) fn relay_body(relay: EventRelay) -> AnswerBody {
    let frames = unfold(relay, |mut relay| async {
        let frame = relay.next_frame().await?;
        Some((frame, relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl EventRelay {
    pub(super) fn new(terms: RelayTerms, answer: ServerAnswer, lease: SlotLease) -> Self {
        Self {
            last_event: terms.state.request.head.last_event,
            terms,
            status: answer.parts.status,
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
                    let passed = self.accept(chunk);
                    match passed {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => return Some(Ok(Frame::data(bytes))),
                        Err(cause) => {
                            if !self.go_on_elsewhere(cause).await {
                                return Some(self.cut(cause));
                            }
                        }
                    }
                }
                RelayStep::End => return self.end(),
                RelayStep::Broken(cause) => {
                    if !self.go_on_elsewhere(cause).await {
                        return Some(self.cut(cause));
                    }
                }
            }
        }
    }

    /// Reads on, until the time of the request is over.
    async fn read(&mut self) -> RelayStep {
        let now = self.terms.forwarder.clock.now();
        let left = self.terms.state.answer_by.saturating_duration_since(now);
        let patience = self.patience().min(left);
        loop {
            let frame = match tokio::time::timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RelayStep::Broken(BROKE_OFF),
                Ok(None) => return RelayStep::End,
                Err(_) if patience < left => return RelayStep::Broken("the server fell silent"),
                Err(_) => return RelayStep::Broken("the request ran out of time"),
            };
            if let Ok(chunk) = frame.into_data() {
                return RelayStep::Chunk(chunk);
            }
        }
    }

    fn patience(&self) -> Duration {
        let route = &self.terms.state.matched.route;
        let gap = route.gap_target.filter(|_| self.terms.resumable);
        gap.map_or(Duration::MAX, |gap| gap * SILENCE_GAPS)
    }

    /// What may be passed on after a chunk.
    fn accept(&mut self, chunk: Bytes) -> Result<Bytes, &'static str> {
        if !self.terms.resumable {
            return Ok(chunk);
        }
        self.parser.push(&chunk);
        let mut passed = BytesMut::new();
        while let Some(event) = self.parser.next_event() {
            if let (Some(last), Some(id)) = (self.last_event, event.id)
                && id != last + 1
            {
                if !passed.is_empty() {
                    // The events before it are whole; the fault shows again.
                    break;
                }
                return Err("an event is missing or came twice");
            }
            self.last_event = event.id.or(self.last_event);
            passed.extend_from_slice(&event.raw);
        }
        if self.parser.exceeds_max_size() {
            return Err("an event is too long");
        }
        Ok(passed.freeze())
    }

    /// Goes on behind the last whole event at another server.
    async fn go_on_elsewhere(&mut self, cause: &'static str) -> bool {
        if let Some((_, mut lease)) = self.run.take() {
            if cause == BROKE_OFF {
                lease.record_crash(self.terms.state.fingerprint);
            }
            lease.end(RunOutcome::Failed);
        }
        let now = self.terms.forwarder.clock.now();
        if !self.terms.resumable || !self.terms.state.may_run_again(now) {
            return false;
        }
        let forwarder = self.terms.forwarder.clone();
        forwarder.note_broken(&self.terms.state, cause, self.last_event);
        let resumed = forwarder
            .resume(&mut self.terms.state, self.last_event)
            .await;
        let Some((answer, lease)) = resumed else {
            return false;
        };
        self.body = answer.body;
        self.run = Some((answer.connection, lease));
        self.parser = EventParser::default();
        true
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.parser.has_partial_event() {
            return Some(self.cut("the server ended within an event"));
        }
        self.ended = true;
        if let Some((connection, lease)) = self.run.take() {
            self.terms
                .forwarder
                .note_served(&self.terms.state, &lease, self.status);
            connection.return_to_pool();
            lease.end(RunOutcome::Served);
        }
        None
    }

    /// Ends the answer so that the caller sees that it is not whole.
    fn cut(&mut self, cause: &'static str) -> Result<Frame<Bytes>, BodyError> {
        self.ended = true;
        self.terms
            .forwarder
            .note_broken(&self.terms.state, cause, self.last_event);
        if let Some((_, lease)) = self.run.take() {
            lease.end(RunOutcome::Failed);
        }
        Err(cause.into())
    }
}
