//! Answers of backend servers: their header fields and whole bodies.

use bytes::BytesMut;
use chicoryladder_gateway::ServerFailure;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerLoad, headers};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use std::time::Duration;

/// The longest answer that is held until it is whole, in bytes.
const WHOLE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Header fields of an answer that hold for the server's connection only.
const CONNECTION_FIELDS: &[&str] = &["connection", "keep-alive", "proxy-connection", "upgrade"];

pub(super) fn is_event_stream(fields: &HeaderMap) -> bool {
    let kind = fields.get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// The load that an answer reports in its header fields.
pub(crate) fn reported_load(fields: &HeaderMap) -> Option<ServerLoad> {
    let text = fields.get(headers::SERVER_LOAD)?.to_str().ok()?;
    ServerLoad::try_from(text).ok()
}

/// The header fields of a server's answer that reach the caller.
pub(super) fn answer_fields(fields: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(fields.len() + 1);
    for (name, value) in fields {
        let dropped = CONNECTION_FIELDS.contains(&name.as_str())
            || *name == CONTENT_LENGTH
            || *name == TRANSFER_ENCODING
            || name.as_str() == headers::SERVER_LOAD
            || name.as_str() == headers::SERVER_VERDICT;
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    let verdict = HeaderValue::from_static(RunVerdict::Ran.as_str());
    kept.insert(headers::VERDICT, verdict);
    kept
}

/// What was read of an answer that is no event stream.
pub(super) enum AnswerRead {
    /// All of it.
    Whole(Bytes),
    /// The beginning of an answer too long to be held; the rest follows.
    Begun(Bytes, Incoming),
}

/// Reads an answer to its end, or up to the length that is held.
///
/// # Errors
///
/// Fails if the answer ends early or does not end in time.
pub(super) async fn read_whole(
    mut body: Incoming,
    left: Duration,
) -> Result<AnswerRead, ServerFailure> {
    let reading = async {
        let mut begun = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| truncated(&error))?;
            if let Some(chunk) = frame.data_ref() {
                begun.extend_from_slice(chunk);
            }
            if begun.len() > WHOLE_ANSWER_MAX_BYTES {
                return Ok(AnswerRead::Begun(begun.freeze(), body));
            }
        }
        Ok(AnswerRead::Whole(begun.freeze()))
    };
    let read = tokio::time::timeout(left, reading).await;
    read.unwrap_or_else(|_| Err(silent()))
}

fn silent() -> ServerFailure {
    ServerFailure {
        verdict: RunVerdict::MayHaveRun,
        reason: RetryReason::ServerSilent,
        detail: "the backend server stopped sending".to_owned(),
    }
}

fn truncated(error: &hyper::Error) -> ServerFailure {
    ServerFailure {
        verdict: RunVerdict::MayHaveRun,
        reason: RetryReason::ConnectionLost,
        detail: format!("the answer ended early: {error}"),
    }
}
