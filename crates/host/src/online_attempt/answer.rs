//! Responses of backend servers: header fields and buffered bodies.

use chicoryladder_gateway::{
    BodyFraming, HeldAnswer, ServerFailure, check_whole_body, is_malformed,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerLoad, headers};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use std::time::Duration;

/// The longest response that is buffered until it is complete, in bytes.
const BUFFERED_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Header fields of a response that concern only the connection to the server.
const CONNECTION_FIELDS: &[&str] = &["connection", "keep-alive", "proxy-connection", "upgrade"];

/// Returns the load that a response reports in its header fields.
pub(crate) fn reported_load(fields: &HeaderMap) -> Option<ServerLoad> {
    let text = fields.get(headers::SERVER_LOAD)?.to_str().ok()?;
    ServerLoad::try_from(text).ok()
}

/// Returns the header fields of a server's response that are forwarded to the
/// caller, with the verdict added.
pub(super) fn answer_fields(fields: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(fields.len() + 1);
    for (name, value) in fields {
        let excluded = CONNECTION_FIELDS.contains(&name.as_str())
            || *name == CONTENT_LENGTH
            || *name == TRANSFER_ENCODING
            || name.as_str() == headers::SERVER_LOAD
            || name.as_str() == headers::SERVER_LEAVING
            || name.as_str() == headers::SERVER_VERDICT;
        if !excluded {
            forwarded.append(name.clone(), value.clone());
        }
    }
    let verdict = HeaderValue::from_static(RunVerdict::Ran.as_str());
    forwarded.insert(headers::VERDICT, verdict);
    forwarded
}

/// The body read from a response that is not an event stream.
pub(super) enum AnswerRead {
    /// The complete body.
    Complete(Bytes),
    /// The prefix of a body that is too long to be buffered, and the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body to its end, or until it exceeds [`BUFFERED_ANSWER_MAX_BYTES`].
///
/// # Errors
///
/// Fails if the body is truncated or does not end within `remaining`.
pub(super) async fn read_body(
    mut body: Incoming,
    mut prefix: HeldAnswer,
    framing: BodyFraming,
    fields: &HeaderMap,
    remaining: Duration,
) -> Result<AnswerRead, ServerFailure> {
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| body_failure(&error))?;
            if let Some(chunk) = frame.data_ref() {
                prefix.push(chunk);
            }
            if prefix.bytes().len() > BUFFERED_ANSWER_MAX_BYTES {
                return Ok(AnswerRead::Partial(prefix.freeze(), body));
            }
        }
        check_whole_body(framing, fields, prefix.bytes()).map_err(truncated)?;
        Ok(AnswerRead::Complete(prefix.freeze()))
    };
    let read = tokio::time::timeout(remaining, reading).await;
    read.unwrap_or_else(|_| Err(stalled()))
}

fn stalled() -> ServerFailure {
    let detail = "the backend server stopped sending";
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ServerSilent, detail)
}

fn body_failure(error: &hyper::Error) -> ServerFailure {
    if is_malformed(error) {
        let detail = format!("the server sent bytes that are no answer: {error}");
        let reason = RetryReason::ResponseMismatched;
        return ServerFailure::new(RunVerdict::MayHaveRun, reason, detail);
    }
    truncated(&error.to_string())
}

fn truncated(cause: &str) -> ServerFailure {
    let detail = format!("the answer ended early: {cause}");
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ConnectionLost, detail)
}
