//! Reads request bodies with limits on size and time.

use bytes::Bytes;
use chicoryladder_types::prelude::*;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Reads a complete body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// Refuses a body that is too large, arrives too slowly or ends early.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, RequestRefusal> {
    let declared = body.size_hint().lower();
    if declared > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    let collecting = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(timeout, collecting).await {
        Err(_) => Err(RequestRefusal::not_run(
            RefusalReason::SlowBody,
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(max_bytes)),
        Ok(Err(error)) => Err(RequestRefusal::not_run(
            RefusalReason::BadRequest,
            format!("the body ended early: {error}"),
        )),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

fn too_large(max_bytes: usize) -> RequestRefusal {
    RequestRefusal::not_run(
        RefusalReason::BodyTooLarge,
        format!("a body has at most {max_bytes} bytes"),
    )
}
