//! An HTTP client for the callers' ports of entry hosts.

use super::outcome::{FailureKind, RefusedRequest, RequestEnd};
use bytes::Bytes;
use chicoryladder_types::{ClassName, headers};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;

/// The reason code recorded for a refusal without a reason header.
const UNNAMED_REASON: &str = "unnamed";

/// Sends requests; clones share one connection pool.
#[derive(Clone, Debug)]
pub(super) struct CallerClient(Client<HttpConnector, Full<Bytes>>);

/// One request to an entry host.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest<'a> {
    pub(super) target: SocketAddr,
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) class: Option<&'a ClassName>,
    pub(super) idempotency_key: Option<&'a str>,
    pub(super) body: Bytes,
}

impl CallerClient {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            // A retry by the library would hide a failure from the report.
            .retry_canceled_requests(false)
            .build(connector);
        Self(client)
    }

    /// Sends a request and waits for the head of a successful response.
    pub(super) async fn send(
        &self,
        request: CallerRequest<'_>,
    ) -> Result<Response<Incoming>, RequestEnd> {
        let connection = |_| RequestEnd::Failed(FailureKind::Connection);
        let message =
            http_request(request).map_err(|_| RequestEnd::Failed(FailureKind::NotSent))?;
        let response = self.0.request(message).await.map_err(connection)?;
        if response.status().is_success() {
            return Ok(response);
        }
        let refused = RefusedRequest {
            reason: header(&response, headers::REASON).unwrap_or(UNNAMED_REASON.to_owned()),
            verdict: header(&response, headers::VERDICT).unwrap_or_default(),
        };
        // The body is read to its end so that the connection can be reused.
        let _ = response.into_body().collect().await;
        Err(RequestEnd::Refused(refused))
    }

    /// Sends a request and waits for the complete response body.
    pub(super) async fn send_and_collect(
        &self,
        request: CallerRequest<'_>,
    ) -> Result<Bytes, RequestEnd> {
        let response = self.send(request).await?;
        let truncated = |_| RequestEnd::Failed(FailureKind::Truncated);
        let body = response.into_body().collect().await.map_err(truncated)?;
        Ok(body.to_bytes())
    }
}

fn http_request(request: CallerRequest<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let CallerRequest { target, path, .. } = request;
    let mut builder = Request::builder()
        .method(request.method)
        .uri(format!("http://{target}{path}"))
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = request.key {
        builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(class) = request.class {
        builder = builder.header(headers::CLASS, class.as_str());
    }
    if let Some(key) = request.idempotency_key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    builder.body(Full::new(request.body))
}

fn header(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
