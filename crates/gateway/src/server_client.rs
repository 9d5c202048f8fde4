//! HTTP client for requests to backend servers.
//!
//! Online and batch work use separate clients, so that neither queues behind
//! the other in a connection pool. Every failure carries a verdict. A request counts
//! as not run only if it could not be built, if its connection could not be opened,
//! or if the server refused it with status 503 and the verdict `not-run`. After any
//! other failure it may have run.
//!
//! A faulty server may repeat an earlier response on a kept connection. A refusal
//! therefore counts only if it carries the id of the request, or if it is the first
//! response on its connection. All attempts at a request have the same id, so that a
//! connection is not reused after a refusal; nor is it after a mismatched response,
//! since further ones may be out of step with their requests.

use crate::completeness::is_malformed;
use crate::server_connector::{ConnectionUsage, HyperConnector, ServerConnector, TcpConnector};
use bytes::Bytes;
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);

/// One attempt at a request on one backend server.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The address of the server.
    pub address: SocketAddr,
    /// The id of the request, which the response has to repeat.
    pub id: RequestId,
    /// Whether a response without a request id is rejected.
    pub requires_id: bool,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path_and_query: String,
    /// The header fields, with credentials already removed.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The maximum time until the header fields of the response arrive.
    pub first_byte_timeout: Duration,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail} ({verdict})")]
pub struct ServerFailure {
    /// Whether the request may have run on the server.
    pub verdict: RunVerdict,
    /// The cause, as it is counted in the retry metrics.
    pub reason: RetryReason,
    /// A description of the cause, in one sentence.
    pub detail: String,
    /// Whether the server states in its response that it leaves.
    pub is_leaving: bool,
}

impl ServerFailure {
    /// Creates the failure of an attempt at a server that does not state that it leaves.
    pub fn new(verdict: RunVerdict, reason: RetryReason, detail: impl Into<String>) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            is_leaving: false,
        }
    }
}

type PooledClient = Client<HyperConnector, Full<Bytes>>;

struct ClientPool {
    client: PooledClient,
    /// The closing connections so far when the pool was created.
    closing_connections: usize,
}

impl ClientPool {
    fn new(connector: &Arc<dyn ServerConnector>) -> Self {
        Self {
            closing_connections: connector.closing_connections(),
            client: new_pooled_client(connector.clone()),
        }
    }
}

/// Sends requests to backend servers; clones share connections.
///
/// When a request times out, or some connections should get no further request, the
/// connection pool is replaced, so that all idle connections are dropped: the cause may affect
/// all of them, and opening a new connection is cheap.
#[derive(Clone)]
pub struct ServerClient {
    pool: Arc<Mutex<ClientPool>>,
    connector: Arc<dyn ServerConnector>,
}

impl ServerClient {
    /// Creates a client with its own connection pool, which opens connections itself.
    #[must_use]
    pub fn new() -> Self {
        Self::with_connector(Arc::new(TcpConnector))
    }

    /// Creates a client with its own connection pool, whose connections a connector opens.
    #[must_use]
    pub fn with_connector(connector: Arc<dyn ServerConnector>) -> Self {
        Self {
            pool: Arc::new(Mutex::new(ClientPool::new(&connector))),
            connector,
        }
    }

    /// Whether other hosts reach a server that this one does not reach itself, so that a lost
    /// connection says nothing of the server.
    #[must_use]
    pub fn is_path_lost(&self, server: SocketAddr) -> bool {
        self.connector.is_path_lost(server)
    }

    fn pool(&self) -> MutexGuard<'_, ClientPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn client(&self) -> PooledClient {
        let mut pool = self.pool();
        if pool.closing_connections != self.connector.closing_connections() {
            *pool = ClientPool::new(&self.connector);
        }
        pool.client.clone()
    }

    /// Sends a request and waits for the header fields of the response.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be built, if the connection fails, if the response
    /// does not begin in time, if its request id is wrong or missing although required,
    /// or if the server refuses the request.
    pub async fn send(&self, request: &ServerRequest) -> Result<Response<Incoming>, ServerFailure> {
        let mut message = http_request(request)?;
        let connection = capture_connection(&mut message);
        let client = self.client();
        let sending = client.request(message);
        let response = tokio::time::timeout(request.first_byte_timeout, sending)
            .await
            .map_err(|_| {
                self.drop_idle_connections();
                no_answer(request.first_byte_timeout)
            })?
            .map_err(|error| connection_failure(&error))?;
        check_response(request, &response).inspect_err(|_| stop_reuse(&connection))?;
        Ok(response)
    }

    /// Drops all idle connections, since what silenced one may have silenced them all.
    pub fn drop_idle_connections(&self) {
        *self.pool() = ClientPool::new(&self.connector);
    }
}

/// Lets a connection carry no further request.
fn stop_reuse(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

/// Creates a client with an empty connection pool.
fn new_pooled_client(connector: Arc<dyn ServerConnector>) -> PooledClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .build(HyperConnector::new(connector))
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

/// The failure of an attempt to which no response began in time.
#[must_use]
pub fn no_answer(timeout: Duration) -> ServerFailure {
    let detail = format!("no answer began within {} ms", timeout.as_millis());
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ServerSilent, detail)
}

fn connection_failure(error: &ClientError) -> ServerFailure {
    if error.is_connect() {
        let detail = "the connection could not be opened";
        return ServerFailure::new(RunVerdict::NotRun, RetryReason::ConnectFailed, detail);
    }
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    if source.is_some_and(is_malformed) {
        let detail = format!("the server sent bytes that are no answer: {error}");
        let reason = RetryReason::ResponseMismatched;
        return ServerFailure::new(RunVerdict::MayHaveRun, reason, detail);
    }
    let detail = format!("the connection was lost: {error}");
    ServerFailure::new(RunVerdict::MayHaveRun, RetryReason::ConnectionLost, detail)
}

fn check_response(
    request: &ServerRequest,
    response: &Response<Incoming>,
) -> Result<(), ServerFailure> {
    let usage = response.extensions().get::<ConnectionUsage>();
    let is_first = usage.is_some_and(ConnectionUsage::record_response);
    // The id is checked first: a response to another request must not be
    // taken for a refusal of this one.
    check_id(request, response)?;
    let names_request = response.headers().contains_key(headers::REQUEST_ID);
    check_refusal(response, names_request || is_first)
}

/// Detects status 503 with the verdict `not-run`, with which a server declares that
/// it did not start the request, and whether it can mean this request only.
fn check_refusal(response: &Response<Incoming>, means_request: bool) -> Result<(), ServerFailure> {
    let verdict = response.headers().get(headers::SERVER_VERDICT);
    let not_run = verdict.is_some_and(|value| value == RunVerdict::NotRun.as_str());
    if response.status() != StatusCode::SERVICE_UNAVAILABLE || !not_run {
        return Ok(());
    }
    let (verdict, detail) = if means_request {
        let detail = "the backend server refused the request before it ran";
        (RunVerdict::NotRun, detail)
    } else {
        let detail = "a refusal without the id of the request came on a kept connection";
        (RunVerdict::MayHaveRun, detail)
    };
    let failure = ServerFailure::new(verdict, RetryReason::ServerRefused, detail);
    Err(ServerFailure {
        is_leaving: says_leaving(response.headers(), headers::SERVER_LEAVING),
        ..failure
    })
}

/// Whether a server states in a response that it leaves: by the value `1` of the field
/// `name`, also if the field occurs more than once or holds a list. Any other value is
/// ignored.
#[must_use]
pub fn says_leaving(fields: &HeaderMap, name: &str) -> bool {
    let values = fields.get_all(name).iter();
    let mut items = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    items.any(|item| item.trim_ascii() == b"1")
}

/// Rejects a response with the id of another request, or without a required id.
fn check_id(request: &ServerRequest, response: &Response<Incoming>) -> Result<(), ServerFailure> {
    let id = response.headers().get(headers::REQUEST_ID);
    let matches = match id {
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
