//! A single attempt to run a request on a backend server.

use crate::connection_pool::{ConnectionEnd, ConnectionPath, ConnectionPool, OpenConnection};
use crate::ports::{AnswerHead, ServerDialect};
use crate::server_marks::{ServerIdentity, ServerMarks};
use bytes::Bytes;
use chicoryladder_broker::{RunOutcome, ServerLimit};
use chicoryladder_dialer::HostFilter;
use chicoryladder_gateway::{BodyFraming, is_malformed};
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{HeaderMap, Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for the state of a server, after which its connection is given up.
const STATE_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum size of the state of a server, in bytes.
const STATE_MAX_BYTES: usize = 64 * 1024;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A request to a backend server.
#[derive(Clone)]
pub(crate) struct ServerRequest {
    pub(crate) server: ServerIdentity,
    pub(crate) address: SocketAddr,
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the request may run at most once, so that a connection which the server
    /// may be closing must not be used.
    pub(crate) at_most_once: bool,
    /// Whether the request goes on after the events of an earlier run, so that only the
    /// intended incarnation of the server may run it: the next one may have another version.
    pub(crate) continues_run: bool,
    /// The timeout for the head of the response.
    pub(crate) head_timeout: Duration,
    /// The rate of the service's servers while they are cold; `None` if they never are.
    pub(crate) cold_limit: Option<ServerLimit>,
    /// The tunnel hosts through which the request may pass; `None` for all.
    pub(crate) tunnel_filter: Option<Arc<dyn HostFilter>>,
}

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub(crate) struct RunFailure {
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// The outcome to report to the broker.
    pub(crate) outcome: RunOutcome,
    /// The load that the server reported.
    pub(crate) load: Option<ServerLoad>,
    pub(crate) cause: &'static str,
    /// Whether the connection was lost, so that the server may have crashed while it ran
    /// the request.
    pub(crate) connection_lost: bool,
}

impl RunFailure {
    pub(crate) fn new(verdict: RunVerdict, outcome: RunOutcome, cause: &'static str) -> Self {
        Self {
            verdict,
            outcome,
            load: None,
            cause,
            connection_lost: false,
        }
    }

    /// Creates the failure of a run whose response is no valid one: a fault of the server, not
    /// of the request.
    pub(crate) fn malformed(cause: &'static str) -> Self {
        Self::new(RunVerdict::MayHaveRun, RunOutcome::Failed, cause)
    }

    /// Creates the failure of a run whose connection was lost while the server had the
    /// request.
    pub(crate) fn connection_lost(cause: &'static str) -> Self {
        Self {
            connection_lost: true,
            ..Self::new(RunVerdict::MayHaveRun, RunOutcome::Failed, cause)
        }
    }

    /// Closes the connection of a response that could not be read to its end, and attributes
    /// the failure to the server or to the path to it.
    pub(crate) async fn attribute(self, connection: PooledConnection) -> Self {
        if !self.connection_lost {
            return self;
        }
        let is_path_lost = connection.close_broken(ConnectionEnd::Lost).await;
        self.attribute_to_path(is_path_lost)
    }

    /// The same failure, due to the path to the server rather than to the server if
    /// `is_path_lost`.
    fn attribute_to_path(self, is_path_lost: bool) -> Self {
        if !is_path_lost {
            return self;
        }
        Self {
            outcome: RunOutcome::PathLost,
            connection_lost: false,
            ..self
        }
    }
}

/// A server's response, with its body not yet read.
pub(crate) struct ServerAnswer {
    pub(crate) parts: response::Parts,
    pub(crate) head: AnswerHead,
    pub(crate) framing: BodyFraming,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// A connection whose response is being read.
pub(crate) struct PooledConnection {
    address: SocketAddr,
    connection: OpenConnection,
    idle_timeout: Option<Duration>,
    /// Whether the connection outlasts the response.
    is_reusable: bool,
    pool: ConnectionPool,
}

impl PooledConnection {
    /// Returns the connection for reuse, if it outlasts the response. Call only after the
    /// response was read completely.
    pub(crate) fn return_to_pool(mut self) {
        if self.is_reusable {
            self.connection.has_answered = true;
            self.pool
                .put_idle(self.address, self.connection, self.idle_timeout);
        }
    }

    /// Closes the connection after its response broke off or fell silent. Returns whether
    /// that is due to the path to the server, which other hosts reach.
    pub(crate) async fn close_broken(self, end: ConnectionEnd) -> bool {
        let Self {
            address,
            connection,
            pool,
            ..
        } = self;
        let path = connection.path.clone();
        drop(connection);
        pool.is_path_lost(address, &path, end).await
    }
}

/// When a server is asked for its state before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateQuery {
    /// If the request needs an incarnation that the connection is not known to have.
    AsNeeded,
    /// Always, to find out whether the server answers at all.
    Always,
}

/// What was found out of the server at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IncarnationCheck {
    /// It is the intended one, and the connection may be used.
    Usable,
    /// It was the intended one, but ends its connections with each answer.
    Ended,
    /// Nothing, and the connection must not be used.
    Failed,
}

/// Sends requests to servers. Clones share the connection pool.
#[derive(Clone)]
pub(crate) struct ServerRunner {
    pub(crate) pool: ConnectionPool,
    pub(crate) dialect: Arc<dyn ServerDialect>,
    pub(crate) marks: ServerMarks,
}

impl ServerRunner {
    /// Sends a request and waits for the head of its response. Nothing is sent to a server
    /// that said before that it leaves.
    pub(crate) async fn send(&self, request: &ServerRequest) -> Result<ServerAnswer, RunFailure> {
        self.send_until(request, None, std::future::pending()).await
    }

    /// Like [`Self::send`], on the connection that [`Self::prepare`] has returned, if any. The
    /// request is given up early once `give_up` resolves.
    pub(crate) async fn send_until(
        &self,
        request: &ServerRequest,
        prepared: Option<OpenConnection>,
        give_up: impl Future<Output = ()>,
    ) -> Result<ServerAnswer, RunFailure> {
        let mut path = None;
        let sending = self.try_send(request, prepared, &mut path);
        let result = tokio::select! {
            biased;
            result = sending => Some(result),
            () = give_up => None,
            () = tokio::time::sleep(request.head_timeout) => None,
        };
        let (address, pool) = (request.address, &self.pool);
        let Some(result) = result else {
            pool.close_idle(address);
            let cause = "no answer began in time";
            let failure = RunFailure::new(RunVerdict::MayHaveRun, RunOutcome::Failed, cause);
            // The caller may have no time left for a check of the path.
            let end = ConnectionEnd::Silent;
            let is_lost = |path| pool.knows_lost_path(address, path, end);
            let is_path_lost = path.as_ref().is_some_and(is_lost);
            return Err(failure.attribute_to_path(is_path_lost));
        };
        match (result, path) {
            (Err(failure), Some(path)) if failure.connection_lost => {
                let is_path_lost = pool.is_path_lost(address, &path, ConnectionEnd::Lost);
                Err(failure.attribute_to_path(is_path_lost.await))
            }
            (result, _) => result,
        }
    }

    /// Finds a connection to the server of a request on which the server answers. The request
    /// itself is not sent.
    pub(crate) async fn prepare(
        &self,
        request: &ServerRequest,
    ) -> Result<OpenConnection, RunFailure> {
        self.check_leaving(request)?;
        let idle = self.pool.take_idle(
            request.address,
            request.at_most_once,
            request.tunnel_filter.as_deref(),
        );
        if let Some(idle) = idle
            && let Some(prepared) = self.wait_for_answer(request, idle).await?
        {
            return Ok(prepared);
        }
        let opened = self.open(request, &mut None).await?;
        let prepared = self.wait_for_answer(request, opened).await?;
        // Silence says nothing against a server to which nothing was sent.
        prepared.ok_or_else(|| {
            let cause = "the server did not tell its state";
            RunFailure::new(RunVerdict::NotRun, RunOutcome::Stopped, cause)
        })
    }

    /// Asks a server for its state, and returns the connection to use once it has answered.
    async fn wait_for_answer(
        &self,
        request: &ServerRequest,
        mut connection: OpenConnection,
    ) -> Result<Option<OpenConnection>, RunFailure> {
        let query = StateQuery::Always;
        match self
            .check_incarnation(request, &mut connection, query)
            .await?
        {
            IncarnationCheck::Usable => Ok(Some(connection)),
            IncarnationCheck::Ended => self.open(request, &mut None).await.map(Some),
            IncarnationCheck::Failed => Ok(None),
        }
    }

    /// Sends a request, and sets the path of the connection on which it is sent.
    async fn try_send(
        &self,
        request: &ServerRequest,
        prepared: Option<OpenConnection>,
        path: &mut Option<ConnectionPath>,
    ) -> Result<ServerAnswer, RunFailure> {
        let mut message = http_request(request)?;
        let mut is_checked = false;
        self.check_leaving(request)?;
        if let Some(prepared) = prepared {
            *path = Some(prepared.path.clone());
            return self.write(request, prepared, message).await;
        }
        if let Some(mut idle) = self.pool.take_idle(
            request.address,
            request.at_most_once,
            request.tunnel_filter.as_deref(),
        ) {
            *path = Some(idle.path.clone());
            let query = StateQuery::AsNeeded;
            match self.check_incarnation(request, &mut idle, query).await? {
                IncarnationCheck::Usable => match idle.sender.try_send_request(message).await {
                    Ok(response) => return self.read(request, idle, response),
                    Err(mut error) => match error.take_message() {
                        // Nothing was written, so another connection may be tried.
                        Some(unsent) => message = unsent,
                        None => return Err(broken_response(error.error())),
                    },
                },
                IncarnationCheck::Ended => is_checked = true,
                IncarnationCheck::Failed => {}
            }
        }
        let mut connection = self.open(request, path).await?;
        if !is_checked {
            let query = StateQuery::AsNeeded;
            match self
                .check_incarnation(request, &mut connection, query)
                .await?
            {
                IncarnationCheck::Usable => {}
                IncarnationCheck::Ended => connection = self.open(request, path).await?,
                IncarnationCheck::Failed => return Err(failed_unused()),
            }
        }
        // The server may have said so while the connection was opened.
        self.check_leaving(request)?;
        self.write(request, connection, message).await
    }

    /// Sends a request on a connection that nothing else uses.
    async fn write(
        &self,
        request: &ServerRequest,
        mut connection: OpenConnection,
        message: Request<Full<Bytes>>,
    ) -> Result<ServerAnswer, RunFailure> {
        match connection.sender.try_send_request(message).await {
            Ok(response) => self.read(request, connection, response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(failed_unused()),
                None => Err(broken_response(error.error())),
            },
        }
    }

    async fn open(
        &self,
        request: &ServerRequest,
        path: &mut Option<ConnectionPath>,
    ) -> Result<OpenConnection, RunFailure> {
        let filter = request.tunnel_filter.as_deref();
        let Ok(connection) = self.pool.open(request.address, filter).await else {
            self.pool.close_idle(request.address);
            // Other requests may take tunnels that this one may not, so a lost path that they
            // found says nothing of the server.
            let is_detoured = self.pool.dialer().paths().is_detoured(request.address);
            let outcome = if filter.is_some() && is_detoured {
                RunOutcome::Stopped
            } else {
                RunOutcome::Unreachable
            };
            return Err(RunFailure::new(
                RunVerdict::NotRun,
                outcome,
                "no connection could be opened",
            ));
        };
        *path = Some(connection.path.clone());
        Ok(connection)
    }

    fn check_leaving(&self, request: &ServerRequest) -> Result<(), RunFailure> {
        if self.marks.is_leaving(&request.server) {
            return Err(RunFailure::new(
                RunVerdict::NotRun,
                RunOutcome::Leaving,
                "the server is leaving",
            ));
        }
        Ok(())
    }

    /// Makes sure that a request which continues an earlier run reaches the intended incarnation
    /// of its server. A server that has started again is known by its name and address until
    /// it checks in. One that names no incarnation is taken for the intended one.
    async fn check_incarnation(
        &self,
        request: &ServerRequest,
        connection: &mut OpenConnection,
        query: StateQuery,
    ) -> Result<IncarnationCheck, RunFailure> {
        let expected = request.server.incarnation;
        let is_expected = connection.incarnation == Some(expected);
        if query == StateQuery::AsNeeded && (!request.continues_run || is_expected) {
            return Ok(IncarnationCheck::Usable);
        }
        let asking = self.read_state(request, connection);
        let asked = tokio::time::timeout(STATE_TIMEOUT, asking).await;
        let state = match asked.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            Ok(state) => state,
            Err(error) => {
                let address = request.address;
                log::debug!("server run: failed to read the state of {address}: {error}.");
                return Ok(IncarnationCheck::Failed);
            }
        };
        connection.incarnation = self.dialect.read_incarnation(&state);
        match connection.incarnation {
            Some(actual) if request.continues_run && actual != expected => Err(RunFailure::new(
                RunVerdict::NotRun,
                RunOutcome::WrongServer,
                "the server has started again",
            )),
            _ if connection.sender.ready().await.is_err() => Ok(IncarnationCheck::Ended),
            _ => Ok(IncarnationCheck::Usable),
        }
    }

    /// Asks a server for its state.
    async fn read_state(
        &self,
        request: &ServerRequest,
        connection: &mut OpenConnection,
    ) -> Result<Bytes, BoxError> {
        let message = Request::get(self.dialect.state_path())
            .header(HOST, request.address.to_string())
            .body(Full::new(Bytes::new()))?;
        let (parts, body) = connection.sender.send_request(message).await?.into_parts();
        let head = self.dialect.read_answer(&parts);
        let is_late_refusal = head.refuses() && connection.has_answered;
        connection.has_answered = true;
        if head.id.is_some_and(|id| !id.is_empty()) || is_late_refusal {
            return Err("an answer to another request came instead".into());
        }
        let body = Limited::new(body, STATE_MAX_BYTES);
        Ok(body.collect().await?.to_bytes())
    }

    fn read(
        &self,
        request: &ServerRequest,
        connection: OpenConnection,
        response: hyper::Response<Incoming>,
    ) -> Result<ServerAnswer, RunFailure> {
        let framing = BodyFraming::of(&response);
        let (parts, body) = response.into_parts();
        let head = self.dialect.read_answer(&parts);
        // Check the id first: the response to another request says nothing about this
        // one. Without an id, only the first response on a connection is surely its own.
        let cause = match head.id.as_deref() {
            Some(id) if id != request.id => Some("the answer belongs to another request"),
            None if connection.has_answered => Some("the answer may belong to another request"),
            _ => None,
        };
        if let Some(cause) = cause {
            return Err(RunFailure::new(
                RunVerdict::MayHaveRun,
                RunOutcome::Failed,
                cause,
            ));
        }
        if head.announces_departure(&request.id) {
            self.marks
                .mark_leaving(&request.server, request.address, &request.id);
        }
        if let Some(statement) = head.limit_statement(&request.id, request.cold_limit) {
            self.marks
                .record_limit(&request.server, statement, &request.id);
        }
        if head.refuses() {
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
            connection,
            idle_timeout: head.idle_timeout,
            is_reusable: framing != BodyFraming::UntilClose,
            pool: self.pool.clone(),
        };
        Ok(ServerAnswer {
            parts,
            head,
            framing,
            body,
            connection,
        })
    }
}

/// The failure of a connection before a request was written on it.
fn failed_unused() -> RunFailure {
    RunFailure::new(
        RunVerdict::NotRun,
        RunOutcome::Unreachable,
        "the connection failed before the request was written",
    )
}

/// The failure of a response whose head could not be read.
fn broken_response(error: &hyper::Error) -> RunFailure {
    if is_malformed(error) {
        RunFailure::malformed("the server sent bytes that are no answer")
    } else {
        RunFailure::connection_lost("the connection broke before the answer began")
    }
}

fn http_request(request: &ServerRequest) -> Result<Request<Full<Bytes>>, RunFailure> {
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(Full::new(request.body.clone()))
        .map_err(|error| {
            log::warn!("server run: failed to build a request: {error}.");
            RunFailure::new(
                RunVerdict::NotRun,
                RunOutcome::Stopped,
                "the request cannot be written",
            )
        })?;
    *message.headers_mut() = request.headers.clone();
    Ok(message)
}
