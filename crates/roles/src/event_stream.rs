//! Parsing of server-sent event streams, and the order of their events.

use bytes::{Bytes, BytesMut};
use chicoryladder_gateway::is_event_stream;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;

/// The maximum size of one event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Whether the head of a response announces a stream of events. One without a type may be a
/// stream.
pub(crate) fn announces_events(head: &response::Parts) -> bool {
    let fields = &head.headers;
    head.status == StatusCode::OK && (is_event_stream(fields) || !fields.contains_key(CONTENT_TYPE))
}

/// Whether a part of a stream has fields, rather than only comments and blank lines.
fn has_fields(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// One complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The id, if the event has a numeric one.
    pub id: Option<u64>,
    /// The values of the `data` lines, joined by line feeds.
    pub data: String,
    /// The bytes of the event as received, with the blank line that ends it.
    pub raw: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// The length of the buffer's prefix that is known to hold no end of an event.
    searched_bytes: usize,
}

impl EventParser {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds bytes. Once [`Self::next_event`] has returned `None`, they
    /// belong to an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered bytes exceed the maximum size of an event, 1 MiB.
    #[must_use]
    pub fn exceeds_max_size(&self) -> bool {
        self.buffer.len() > EVENT_MAX_BYTES
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        Some(parse_event(raw))
    }

    /// The offset just past the blank line that ends the first event in the buffer.
    fn find_end(&mut self) -> Option<usize> {
        // The end of an event, `\n\n` or `\n\r\n`, may span the searched and the new bytes.
        let from = self.searched_bytes.saturating_sub(3);
        let bytes = &self.buffer[..];
        let mut at = from;
        while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
            let newline = at + offset;
            let rest = &bytes[newline + 1..];
            if rest.starts_with(b"\n") {
                return Some(newline + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(newline + 3);
            }
            at = newline + 1;
        }
        self.searched_bytes = bytes.len();
        None
    }
}

fn parse_event(raw: Bytes) -> StreamEvent {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data: Vec<&str> = Vec::new();
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.parse().ok(),
            "data" => data.push(value),
            _ => {}
        }
    }
    let data = data.join("\n");
    StreamEvent { id, data, raw }
}

/// Why a stream can't continue with the events that were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceFault {
    /// An event is missing or came twice.
    OutOfSequence,
    /// An event has no id, such as the text of an error.
    WithoutId,
    /// An event exceeds the maximum size of 1 MiB.
    EventTooLong,
}

/// Passes on the whole events of a stream, and comments, as long as the ids are consecutive.
#[derive(Debug, Default)]
pub struct EventSequencer {
    parser: EventParser,
    last_event: Option<u64>,
    fault: Option<SequenceFault>,
}

impl EventSequencer {
    /// Creates a sequencer of a run that continues after `last_event`.
    #[must_use]
    pub fn resume_after(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// The id of the last event passed on.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// The fault after which no more events are passed on.
    #[must_use]
    pub fn fault(&self) -> Option<SequenceFault> {
        self.fault
    }

    /// Reads bytes of the stream, and returns the whole events up to the first fault.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let mut output = BytesMut::new();
        if self.fault.is_some() {
            return output.freeze();
        }
        self.parser.push(bytes);
        while let Some(event) = self.parser.next_event() {
            if let (Some(last), Some(id)) = (self.last_event, event.id)
                && last.checked_add(1) != Some(id)
            {
                self.fault = Some(SequenceFault::OutOfSequence);
                return output.freeze();
            }
            if event.id.is_none() && has_fields(&event.raw) {
                self.fault = Some(SequenceFault::WithoutId);
                return output.freeze();
            }
            self.last_event = event.id.or(self.last_event);
            output.extend_from_slice(&event.raw);
        }
        if self.parser.exceeds_max_size() {
            self.fault = Some(SequenceFault::EventTooLong);
        }
        output.freeze()
    }

    /// Whether the bytes read so far end within an event.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        has_fields(&self.parser.buffer)
    }

    /// Returns the bytes after the last whole event of a stream that ended without a fault.
    pub fn take_rest(&mut self) -> Bytes {
        if self.fault.is_some() {
            return Bytes::new();
        }
        self.parser.take_rest()
    }
}
