//! Building blocks of HTTP answers.

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::io;

/// The body of an answer: whole or streamed.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body known as a whole.
pub(crate) fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body sent chunk by chunk.
pub(crate) fn stream_body<S>(chunks: S) -> AnswerBody
where
    S: Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
{
    StreamBody::new(chunks).boxed_unsync()
}

/// An answer with a JSON body.
pub(crate) fn json_answer(status: StatusCode, value: &serde_json::Value) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(value.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// An error in the shape of the public API.
pub(crate) fn error_answer(status: StatusCode, code: &str, message: &str) -> Response<AnswerBody> {
    let value = serde_json::json!({
        "error": { "message": message, "type": "server_error", "code": code }
    });
    json_answer(status, &value)
}

/// Adds a header field when its value can be sent.
pub(crate) fn add_header(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
