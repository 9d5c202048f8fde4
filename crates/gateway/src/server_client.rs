//! The client towards backend servers.
//!
//! Online and batch work use separate connection pools, so that neither waits
//! behind the other inside a connection pool. Every failure carries a verdict:
//! only a connection that never opened, or a documented refusal of the server
//! itself, counts as not run.

use bytes::Bytes;
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The longest time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time for which an unused connection is kept.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);

/// One attempt at a request on one backend server.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The address of the server.
    pub address: SocketAddr,
    /// The id that must come back with the answer.
    pub id: RequestId,
    /// Whether an answer without an id is refused.
    pub requires_id: bool,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path_and_query: String,
    /// The header fields, already free of credentials.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The longest time until the header fields of the answer arrive.
    pub first_byte_timeout: Duration,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail} ({verdict})")]
pub struct ServerFailure {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The reason, for the retry counters.
    pub reason: RetryReason,
    /// One sentence on the cause.
    pub detail: String,
}

impl ServerFailure {
    fn new(verdict: RunVerdict, reason: RetryReason, detail: impl Into<String>) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
        }
    }
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Sends requests to backend servers; clones share connections.
///
/// When a connection falls silent, every idle one is given up too: what made the
/// one silent may have hit them all, and a new connection is cheap.
#[derive(Clone)]
pub struct ServerClient {
    client: Arc<Mutex<PooledClient>>,
}

impl ServerClient {
    /// A client with a connection pool of its own.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Arc::new(Mutex::new(pooled_client())),
        }
    }

    fn pooled(&self) -> MutexGuard<'_, PooledClient> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request and waits for the header fields of its answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer to this request begins in time.
    pub async fn send(&self, request: &ServerRequest) -> Result<Response<Incoming>, ServerFailure> {
        let message = http_request(request)?;
        let client = self.pooled().clone();
        let sending = client.request(message);
        let response = tokio::time::timeout(request.first_byte_timeout, sending)
            .await
            .map_err(|_| {
                *self.pooled() = pooled_client();
                silent(request.first_byte_timeout)
            })?
            .map_err(|error| failure(&error))?;
        // An answer to another request says nothing of this one, so the id first.
        check_id(request, &response)?;
        check_refusal(&response)?;
        Ok(response)
    }
}

/// A client with an empty connection pool.
fn pooled_client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .build(connector)
}

impl Default for ServerClient {
    fn default() -> Self {
        Self::new()
    }
}

fn http_request(request: &ServerRequest) -> Result<Request<Full<Bytes>>, ServerFailure> {
    let malformed = |error: hyper::http::Error| {
        let detail = format!("the request cannot be sent: {error}");
        ServerFailure::new(RunVerdict::NotRun, RetryReason::ServerRefused, detail)
    };
    let uri = Uri::builder()
        .scheme("http")
        .authority(request.address.to_string())
        .path_and_query(&request.path_and_query)
        .build()
        .map_err(malformed)?;
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(uri)
        .body(Full::new(request.body.clone()))
        .map_err(malformed)?;
    *message.headers_mut() = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&request.id.to_string()) {
        message.headers_mut().insert(headers::REQUEST_ID, id);
    }
    Ok(message)
}

fn silent(timeout: Duration) -> ServerFailure {
    let detail = format!("no answer began within {} ms", timeout.as_millis());
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ServerSilent, detail)
}

fn failure(error: &ClientError) -> ServerFailure {
    if error.is_connect() {
        let detail = "the connection could not be opened";
        return ServerFailure::new(RunVerdict::NotRun, RetryReason::ConnectFailed, detail);
    }
    let detail = format!("the connection was lost: {error}");
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ConnectionLost, detail)
}

/// Recognises the documented answer of a server that did not start a request.
fn check_refusal(response: &Response<Incoming>) -> Result<(), ServerFailure> {
    let reported = response.headers().get(headers::SERVER_VERDICT);
    let not_run = reported.is_some_and(|value| value == RunVerdict::NotRun.as_str());
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && not_run {
        let detail = "the backend server refused the request before it ran";
        return Err(ServerFailure::new(
            RunVerdict::NotRun,
            RetryReason::ServerRefused,
            detail,
        ));
    }
    Ok(())
}

/// Drops an answer that carries the id of another request.
fn check_id(request: &ServerRequest, response: &Response<Incoming>) -> Result<(), ServerFailure> {
    let reported = response.headers().get(headers::REQUEST_ID);
    let matches = match reported {
        None => !request.requires_id,
        Some(value) => value.as_bytes() == request.id.to_string().as_bytes(),
    };
    if matches {
        return Ok(());
    }
    let detail = "the answer carried the id of another request";
    Err(ServerFailure::new(
        RunVerdict::MayHaveRun,
        RetryReason::ResponseMismatched,
        detail,
    ))
}
