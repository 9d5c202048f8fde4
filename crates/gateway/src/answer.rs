//! Responses that a host generates itself, rather than forwards from a server.

use crate::body::{AnswerBody, bytes_body};
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// An error in the format of the public API.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Encodes a refusal as JSON, in the error format of the public API.
pub(crate) fn refusal_json(refusal: &RequestRefusal) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorDetail {
            message: &refusal.detail,
            r#type: error_type(refusal.reason.status()),
            code: refusal.reason.as_str(),
            verdict: refusal.verdict.as_str(),
            retry_after_ms: refusal.retry_after.map(whole_ms),
        },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Builds the response for a refused request.
#[must_use]
pub fn refusal_answer(refusal: &RequestRefusal) -> Response<AnswerBody> {
    let mut response = Response::new(bytes_body(refusal_json(refusal)));
    *response.status_mut() = status(refusal.reason.status());
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let verdict = HeaderValue::from_static(refusal.verdict.as_str());
    fields.insert(headers::VERDICT, verdict);
    let reason = HeaderValue::from_static(refusal.reason.as_str());
    fields.insert(headers::REASON, reason);
    if let Some(retry_after) = refusal.retry_after {
        fields.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(retry_after)));
    }
    response
}

/// Builds a response with a JSON body.
pub fn json_answer(code: u16, value: &impl Serialize) -> Response<AnswerBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed_answer(code, "application/json", bytes)
}

/// Builds a response with a plain text body.
#[must_use]
pub fn text_answer(code: u16, text: &str) -> Response<AnswerBody> {
    typed_answer(code, "text/plain; charset=utf-8", text.as_bytes().to_vec())
}

pub(crate) fn typed_answer(
    code: u16,
    content_type: &'static str,
    bytes: Vec<u8>,
) -> Response<AnswerBody> {
    let mut response = Response::new(bytes_body(bytes));
    *response.status_mut() = status(code);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn error_type(code: u16) -> &'static str {
    match code {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds up, so that a caller who waits this long does not retry too early.
fn whole_seconds(duration: Duration) -> u64 {
    let partial = duration.subsec_nanos() > 0;
    duration.as_secs() + u64::from(partial)
}
