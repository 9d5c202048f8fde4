//! Converts HTTP requests into validated online requests.

use crate::credentials::{bearer_key, forwarded_headers, forwarded_query};
use crate::ports::OnlineRequest;
use bytes::Bytes;
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use hyper::HeaderMap;
use hyper::http::request::Parts;
use std::time::Instant;

/// The maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// Converts an HTTP request into an online request.
///
/// # Errors
///
/// Refuses malformed header fields.
pub(crate) fn online_request(
    id: RequestId,
    parts: &Parts,
    body: Bytes,
    received: Instant,
) -> Result<OnlineRequest, RequestRefusal> {
    let key = bearer_key(&parts.headers);
    let query = parts.uri.query().unwrap_or_default();
    Ok(OnlineRequest {
        id,
        key: key.map(str::to_owned),
        method: parts.method.clone(),
        path: parts.uri.path().to_owned(),
        query: forwarded_query(query, key),
        headers: forwarded_headers(&parts.headers, key),
        class: selected_class(&parts.headers)?,
        idempotency_key: idempotency_key(&parts.headers)?,
        body,
        received,
    })
}

/// Reads the class that the caller selected.
pub(crate) fn selected_class(fields: &HeaderMap) -> Result<Option<ClassName>, RequestRefusal> {
    let Some(text) = field_text(fields, headers::CLASS)? else {
        return Ok(None);
    };
    ClassName::try_from(text).map(Some).map_err(|error| {
        let detail = format!("the {} header is wrong: {error}", headers::CLASS);
        RequestRefusal::not_run(RefusalReason::BadRequest, detail)
    })
}

/// Reads the idempotency key of a request.
pub(crate) fn idempotency_key(fields: &HeaderMap) -> Result<Option<String>, RequestRefusal> {
    let Some(text) = field_text(fields, headers::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        let detail = format!(
            "the {} header has 1 to {IDEMPOTENCY_KEY_MAX_BYTES} characters",
            headers::IDEMPOTENCY_KEY
        );
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    Ok(Some(text.to_owned()))
}

fn field_text<'a>(fields: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestRefusal> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| {
        let detail = format!("the {name} header is not printable ASCII");
        RequestRefusal::not_run(RefusalReason::BadRequest, detail)
    })
}
