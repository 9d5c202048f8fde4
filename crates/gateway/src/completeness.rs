//! Whether the body of a backend server's response is complete.
//!
//! A body with neither a length nor chunks ends with its connection, so HTTP can't tell
//! the end of the response from a crash of the server. Only the content can: an event
//! stream must not end within an event, and a JSON text must be whole. Any other content
//! is taken as complete if its connection is closed in order.

use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use serde::de::IgnoredAny;
use std::io::ErrorKind;
use std::time::Duration;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The length is known in advance, or there is no body.
    Length,
    /// The body is sent in chunks, the last of which is marked.
    Chunks,
    /// The body ends when the server closes the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read yet.
    pub fn of(response: &Response<impl Body>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(TRANSFER_ENCODING);
        let last = codings.iter().next_back();
        let last = last.and_then(|value| value.as_bytes().rsplit(|byte| *byte == b',').next());
        if last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked")) {
            Self::Chunks
        } else {
            Self::UntilClose
        }
    }

    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until_close",
        }
    }
}

/// Whether a response failed since the server sent bytes that are no HTTP, rather than since
/// the connection was lost.
#[must_use]
pub fn is_malformed(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    let kind = source.map(std::io::Error::kind);
    let is_invalid = matches!(kind, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
    error.is_parse() || is_invalid
}

/// Time limits are told to servers in whole units, rounded down.
const TIME_LIMIT_UNIT: Duration = Duration::from_millis(1);

/// Whether the end of an event stream may be that of its server's time rather than that of its
/// events, with `left` of the time that the server was given: a server stops at its time limit,
/// and may end the response in order.
#[must_use]
pub fn may_end_by_time_limit(framing: BodyFraming, left: Duration) -> bool {
    framing != BodyFraming::Length && left <= TIME_LIMIT_UNIT
}

/// Whether header fields declare a stream of server-sent events.
#[must_use]
pub fn is_event_stream(fields: &HeaderMap) -> bool {
    media_type(fields).is_some_and(|kind| kind.eq_ignore_ascii_case(b"text/event-stream"))
}

/// Checks a body that was read to its end without an error.
///
/// # Errors
///
/// Fails with the cause if the body is incomplete: if an event stream ends within an
/// event, or if what ended with its connection is an event stream without events or a JSON
/// text that is not whole.
pub fn check_whole_body(
    framing: BodyFraming,
    fields: &HeaderMap,
    body: &[u8],
) -> Result<(), &'static str> {
    if is_event_stream(fields) {
        let mut boundary = EventBoundary::default();
        boundary.push(body);
        return if boundary.is_within_event() {
            Err("the server ended within an event")
        } else if framing == BodyFraming::UntilClose && boundary.events() == 0 {
            Err("the connection ended before the first event")
        } else {
            Ok(())
        };
    }
    if is_unverified_json(framing, fields) && serde_json::from_slice::<IgnoredAny>(body).is_err() {
        return Err("the connection ended within a JSON text");
    }
    Ok(())
}

/// Whether only its content can tell that a JSON text is whole.
#[must_use]
pub fn is_unverified_json(framing: BodyFraming, fields: &HeaderMap) -> bool {
    framing == BodyFraming::UntilClose && is_json(fields)
}

fn is_json(fields: &HeaderMap) -> bool {
    media_type(fields).is_some_and(|kind| {
        let kind = kind.to_ascii_lowercase();
        kind == b"application/json" || kind.ends_with(b"+json")
    })
}

/// The media type of the content, without its parameters.
fn media_type(fields: &HeaderMap) -> Option<&[u8]> {
    let kind = fields.get(CONTENT_TYPE)?.as_bytes();
    kind.split(|byte| *byte == b';')
        .next()
        .map(<[u8]>::trim_ascii)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineContent {
    #[default]
    Nothing,
    Comment,
    Field,
}

/// Tracks whether a stream of server-sent events is within an event.
#[derive(Clone, Debug, Default)]
pub struct EventBoundary {
    line: LineContent,
    has_fields: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
    events: u64,
    /// The bytes since the last event or line outside of an event.
    event_bytes: usize,
}

impl EventBoundary {
    /// Reads the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let ends_return = *byte == b'\n' && self.after_return;
            self.after_return = *byte == b'\r';
            self.event_bytes += 1;
            match byte {
                _ if ends_return && self.has_fields => {}
                _ if ends_return => self.event_bytes = 0,
                b'\n' | b'\r' => self.end_line(),
                b':' if self.line == LineContent::Nothing => self.line = LineContent::Comment,
                _ if self.line == LineContent::Nothing => self.line = LineContent::Field,
                _ => {}
            }
        }
    }

    /// Whether the bytes read so far end within an event or within a line.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.has_fields || self.line != LineContent::Nothing
    }

    /// The number of whole events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The size of the event that is being read, in bytes.
    #[must_use]
    pub fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    fn end_line(&mut self) {
        match self.line {
            LineContent::Nothing => {
                self.events += u64::from(self.has_fields);
                self.has_fields = false;
            }
            LineContent::Comment => {}
            LineContent::Field => self.has_fields = true,
        }
        if !self.has_fields {
            self.event_bytes = 0;
        }
        self.line = LineContent::Nothing;
    }
}

/// Tracks whether a JSON text that is too long to be parsed at once is whole: its strings,
/// arrays and objects have to end.
#[derive(Clone, Debug, Default)]
pub struct JsonBoundary {
    depth: u64,
    is_in_string: bool,
    after_backslash: bool,
    has_content: bool,
}

impl JsonBoundary {
    /// Reads the next bytes of the text.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.has_content |= !byte.is_ascii_whitespace();
            if self.is_in_string {
                self.is_in_string = *byte != b'"' || self.after_backslash;
                self.after_backslash = *byte == b'\\' && !self.after_backslash;
                continue;
            }
            match byte {
                b'"' => self.is_in_string = true,
                b'[' | b'{' => self.depth += 1,
                b']' | b'}' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }

    /// Whether nothing that the bytes read so far began is open.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.has_content && !self.is_in_string && self.depth == 0
    }
}
