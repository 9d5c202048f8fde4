//! One attempt at one backend server.

use crate::connection_pool::{ConnectionPool, RequestSender};
use crate::ports::{AnswerHead, ServerDialect};
use bytes::Bytes;
use chicoryladder_broker::RunOutcome;
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{HeaderMap, Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request for a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) address: SocketAddr,
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the request may run only once, so that a connection which may be
    /// closing is not risked.
    pub(crate) at_most_once: bool,
    /// The longest time until the head of the answer arrives.
    pub(crate) head_timeout: Duration,
}

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub(crate) struct RunFailure {
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// What it tells of the server.
    pub(crate) outcome: RunOutcome,
    /// The load that the server told.
    pub(crate) load: Option<ServerLoad>,
    /// The cause.
    pub(crate) cause: &'static str,
    /// Whether the server may have crashed with the request on it.
    pub(crate) broke_off: bool,
}

impl RunFailure {
    pub(crate) fn new(verdict: RunVerdict, outcome: RunOutcome, cause: &'static str) -> Self {
        Self {
            verdict,
            outcome,
            load: None,
            cause,
            broke_off: false,
        }
    }

    /// A run whose connection broke while the server had the request.
    pub(crate) fn broke_off(cause: &'static str) -> Self {
        Self {
            broke_off: true,
            ..Self::new(RunVerdict::MayHaveRun, RunOutcome::Failed, cause)
        }
    }
}

/// The answer of a server, with its body still to be read.
pub(crate) struct ServerAnswer {
    pub(crate) parts: response::Parts,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// A connection whose answer is being read.
pub(crate) struct PooledConnection {
    address: SocketAddr,
    sender: RequestSender,
    idle_timeout: Option<Duration>,
    pool: ConnectionPool,
}

impl PooledConnection {
    /// Keeps the connection for another request; only after the end of the answer.
    pub(crate) fn return_to_pool(self) {
        self.pool
            .put_idle(self.address, self.sender, self.idle_timeout);
    }
}

/// Sends requests to servers; clones share connections.
#[derive(Clone)]
pub(crate) struct ServerRunner {
    pub(crate) pool: ConnectionPool,
    pub(crate) dialect: Arc<dyn ServerDialect>,
}

impl ServerRunner {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(&self, request: &ServerRequest) -> Result<ServerAnswer, RunFailure> {
        let timeout = tokio::time::timeout(request.head_timeout, self.try_send(request));
        if let Ok(result) = timeout.await {
            return result;
        }
        self.pool.close_idle(request.address);
        Err(RunFailure::new(
            RunVerdict::MayHaveRun,
            RunOutcome::Failed,
            "no answer began in time",
        ))
    }

    async fn try_send(&self, request: &ServerRequest) -> Result<ServerAnswer, RunFailure> {
        let mut message = http_request(request)?;
        if let Some(mut sender) = self.pool.take_idle(request.address, request.at_most_once) {
            match sender.try_send_request(message).await {
                Ok(response) => return self.read(request, sender, response),
                Err(mut error) => match error.take_message() {
                    // Nothing was written, so a new connection may be tried.
                    Some(unsent) => message = unsent,
                    None => return Err(broken()),
                },
            }
        }
        let Ok(mut sender) = self.pool.open(request.address).await else {
            self.pool.close_idle(request.address);
            return Err(RunFailure::new(
                RunVerdict::NotRun,
                RunOutcome::Unreachable,
                "no connection could be opened",
            ));
        };
        match sender.try_send_request(message).await {
            Ok(response) => self.read(request, sender, response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(RunFailure::new(
                    RunVerdict::NotRun,
                    RunOutcome::Unreachable,
                    "the connection closed before the request was written",
                )),
                None => Err(broken()),
            },
        }
    }

    fn read(
        &self,
        request: &ServerRequest,
        sender: RequestSender,
        response: hyper::Response<Incoming>,
    ) -> Result<ServerAnswer, RunFailure> {
        let (parts, body) = response.into_parts();
        let head = self.dialect.read_answer(&parts);
        // An answer to another request says nothing of this one, so the id first.
        if head.id.as_deref().is_some_and(|id| id != request.id) {
            return Err(RunFailure::new(
                RunVerdict::MayHaveRun,
                RunOutcome::Failed,
                "the answer belongs to another request",
            ));
        }
        if head.not_run || head.wrong_server {
            let outcome = if head.wrong_server {
                RunOutcome::WrongServer
            } else {
                RunOutcome::Shed
            };
            let mut failure = RunFailure::new(
                RunVerdict::NotRun,
                outcome,
                "the server did not run the request",
            );
            failure.load = head.load;
            return Err(failure);
        }
        if head.id.is_none() || !head.signed {
            return Err(RunFailure::new(
                RunVerdict::MayHaveRun,
                RunOutcome::Failed,
                "the answer names no request, or is not signed",
            ));
        }
        let connection = PooledConnection {
            address: request.address,
            sender,
            idle_timeout: head.idle_timeout,
            pool: self.pool.clone(),
        };
        Ok(ServerAnswer {
            parts,
            head,
            body,
            connection,
        })
    }
}

fn broken() -> RunFailure {
    RunFailure::broke_off("the connection broke before the answer began")
}

fn http_request(request: &ServerRequest) -> Result<Request<Full<Bytes>>, RunFailure> {
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(Full::new(request.body.clone()))
        .map_err(|error| {
            log::warn!("server run: a request cannot be written: {error}.");
            RunFailure::new(
                RunVerdict::NotRun,
                RunOutcome::Stopped,
                "the request cannot be written",
            )
        })?;
    *message.headers_mut() = request.headers.clone();
    Ok(message)
}
