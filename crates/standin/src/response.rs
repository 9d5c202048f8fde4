//! Helpers that build HTTP responses.

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::io;

/// A response body, either complete or streamed.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Builds a body whose bytes are all known.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a body that is sent chunk by chunk.
pub(crate) fn stream_body<S>(chunks: S) -> ResponseBody
where
    S: Stream<Item = Result<Frame<Bytes>, io::Error>> + Send + 'static,
{
    StreamBody::new(chunks).boxed_unsync()
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(
    status: StatusCode,
    value: &serde_json::Value,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Builds an error response in the format of the public API.
pub(crate) fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response<ResponseBody> {
    let value = serde_json::json!({
        "error": { "message": message, "type": "server_error", "code": code }
    });
    json_response(status, &value)
}

/// Adds a header field unless its value contains bytes that HTTP forbids.
pub(crate) fn add_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
