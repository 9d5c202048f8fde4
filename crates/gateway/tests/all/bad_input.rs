//! Malformed, oversized and slow requests are refused, and the listener keeps
//! serving.

use crate::raw::exchange;
use bytes::Bytes;
use chicoryladder_gateway::{
    AnswerBody, CallerService, HttpListener, JobPort, JobView, ListenerLimits, MachineBounds,
    OnlinePort, OnlineRequest, PlatformPort, SubmitRequest, bytes_body, text_answer,
};
use chicoryladder_settings::MachineLimits;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, SystemClock};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Response;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const BODY_MAX_BYTES: usize = 1000;

/// Responds to every request with the length of its body.
struct EchoPort;

impl OnlinePort for EchoPort {
    fn serve(
        &self,
        request: OnlineRequest,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        let text = format!("served {}", request.body.len());
        std::future::ready(Ok(text_answer(200, &text))).boxed()
    }
}

fn unknown_job() -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::UnknownJob, "no such job")
}

impl JobPort for EchoPort {
    fn submit(&self, _: SubmitRequest) -> BoxFuture<'_, Result<JobView, RequestRefusal>> {
        std::future::ready(Err(unknown_job())).boxed()
    }

    fn status<'a>(
        &'a self,
        _: Option<&'a str>,
        _: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>> {
        std::future::ready(Err(unknown_job())).boxed()
    }

    fn results<'a>(
        &'a self,
        _: Option<&'a str>,
        _: JobId,
    ) -> BoxFuture<'a, Result<AnswerBody, RequestRefusal>> {
        std::future::ready(Ok(bytes_body(Bytes::new()))).boxed()
    }

    fn cancel<'a>(
        &'a self,
        _: Option<&'a str>,
        _: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>> {
        std::future::ready(Err(unknown_job())).boxed()
    }
}

impl PlatformPort for EchoPort {
    fn ready(&self) -> Result<(), String> {
        Ok(())
    }
}

async fn start() -> SocketAddr {
    let service = CallerService {
        online: Arc::new(EchoPort),
        jobs: Arc::new(EchoPort),
        platform: Arc::new(EchoPort),
        clock: Arc::new(SystemClock),
        ids: Arc::new(|| RequestId::new(1)),
        body_max_bytes: BODY_MAX_BYTES,
        job_max_bytes: BODY_MAX_BYTES,
        body_timeout: Duration::from_millis(200),
    };
    let limits = ListenerLimits {
        header_max_bytes: 8192,
        header_timeout: Duration::from_millis(200),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let bounds = MachineBounds::new(MachineLimits::default(), Arc::new(SystemClock));
    let listener = HttpListener::start("test", address, limits, bounds, Arc::new(service)).await;
    let listener = listener.unwrap();
    let address = listener.address;
    // The listener serves until the runtime of the test ends.
    std::mem::forget(listener);
    address
}

fn post(path: &str, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

async fn check(request: &[u8], status: u16, reason: &str) {
    let address = start().await;
    let response = exchange(address, request).await;
    let line = format!("HTTP/1.1 {status} ");
    assert!(response.starts_with(&line), "{response}");
    assert!(response.contains(reason), "{response}");
    if !reason.is_empty() {
        assert!(
            response.contains("chicoryladder-verdict: not-run"),
            "{response}"
        );
    }
    let after = exchange(address, &post("/v1/completions", "", "{}")).await;
    assert!(after.ends_with("served 2"), "{after}");
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let body = "x".repeat(BODY_MAX_BYTES + 1);
    check(&post("/v1/completions", "", &body), 413, "body_too_large").await;
}

#[tokio::test]
async fn a_chunked_body_beyond_the_limit_is_refused() {
    let chunk = format!("400\r\n{}\r\n0\r\n\r\n", "x".repeat(0x400));
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"
    );
    check(request.as_bytes(), 413, "body_too_large").await;
}

#[tokio::test]
async fn a_slow_body_is_refused() {
    let request = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab";
    check(request.as_bytes(), 408, "slow_body").await;
}

#[tokio::test]
async fn header_fields_beyond_the_limit_are_refused() {
    let long = format!("x-long: {}\r\n", "y".repeat(10_000));
    check(&post("/v1/completions", &long, "{}"), 431, "").await;
}

#[tokio::test]
async fn a_request_that_is_not_http_is_refused() {
    check(b"\x00\x01\x02 nonsense\r\n\r\n", 400, "").await;
}

#[tokio::test]
async fn malformed_header_fields_are_refused() {
    let class = "chicoryladder-class: not a name\r\n";
    check(&post("/v1/completions", class, "{}"), 400, "bad_request").await;
    let long = format!("idempotency-key: {}\r\n", "k".repeat(256));
    check(&post("/v1/completions", &long, "{}"), 400, "bad_request").await;
    let binary = "idempotency-key: \u{e9}\r\n";
    check(&post("/v1/completions", binary, "{}"), 400, "bad_request").await;
}

#[tokio::test]
async fn paths_and_methods_of_the_batch_api_are_checked() {
    check(&post("/v1/batches/zz", "", ""), 404, "unknown_job").await;
    let id = "0".repeat(32);
    let path = format!("/v1/batches/{id}");
    check(&post(&path, "", ""), 405, "wrong_method").await;
    let path = format!("/v1/batches/{id}/other");
    check(&post(&path, "", ""), 404, "unknown_route").await;
}
