//! HTTP listener: accepts connections on one port and drains them on shutdown.

use crate::answer::refusal_answer;
use crate::body::AnswerBody;
use crate::caller_stream::{CallerStream, ResetSwitch};
use crate::charged_answer::ChargedAnswer;
use crate::client_connection::ConnectionPhase;
use crate::machine_bounds::{ClientConnection, MachineBounds};
use crate::overload::overloaded;
use chicoryladder_types::prelude::*;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The delay before accepting again after `accept` failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The smallest read buffer that hyper accepts, in bytes.
const READ_BUFFER_MIN_BYTES: usize = 8192;

/// The remote address of the connection on which a request arrived, an extension of the
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAddress(pub SocketAddr);

/// Handles the HTTP requests that arrive on one port.
pub trait HttpService: Send + Sync {
    /// Handles one request.
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>>;
}

/// Limits that apply to each connection.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// The maximum size of the request line and header fields, in bytes.
    pub header_max_bytes: usize,
    /// The maximum time for the header fields to arrive.
    pub header_timeout: Duration,
}

/// The error returned when an address cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}")]
pub struct ListenError {
    /// The requested address.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// A running HTTP listener.
pub struct HttpListener {
    /// The address that the listener is bound to.
    pub address: SocketAddr,
    closing: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpListener {
    /// Listens on `address` and passes requests to `service`.
    ///
    /// `component` is the prefix of the listener's log lines. Connections and what they hold
    /// count towards `bounds`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(
        component: &'static str,
        address: SocketAddr,
        limits: ListenerLimits,
        bounds: MachineBounds,
        service: Arc<dyn HttpService>,
    ) -> Result<Self, ListenError> {
        let failed = |source| ListenError { address, source };
        let socket = TcpListener::bind(address).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        let closing = Arc::<AtomicBool>::default();
        let task = AcceptTask {
            component,
            socket,
            limits,
            bounds,
            service,
            closing: closing.clone(),
            stopped,
        };
        let task = tokio::spawn(task.run());
        log::info!("{component}: listening on {address}.");
        Ok(Self {
            address,
            closing,
            stop,
            task,
        })
    }

    /// Asks callers to close their connections: each response ends its connection from now
    /// on. Connections and requests are still accepted.
    pub fn announce_close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections and waits until all requests in flight have
    /// completed.
    pub async fn drain(self) {
        // The task may already have ended; then there is nothing to stop.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Closes the port and all connections at once.
    pub fn abort(self) {
        self.task.abort();
    }
}

struct AcceptTask {
    component: &'static str,
    socket: TcpListener,
    limits: ListenerLimits,
    bounds: MachineBounds,
    service: Arc<dyn HttpService>,
    closing: Arc<AtomicBool>,
    stopped: watch::Receiver<bool>,
}

impl AcceptTask {
    async fn run(mut self) {
        let graceful = GracefulShutdown::new();
        // Aborting this task drops the set, which closes the connections.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, peer)) => {
                        // A connection that is not admitted closes.
                        if let Some(client) = self.bounds.admit(peer.ip()) {
                            let remote = RemoteAddress(peer);
                            connections.spawn(self.connection(stream, remote, client, &graceful));
                        }
                    }
                    Err(error) => {
                        log::warn!("{}: cannot accept a connection: {error}.", self.component);
                        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                _ = self.stopped.changed() => break,
            }
        }
        drop(self.socket);
        graceful.shutdown().await;
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: TcpStream,
        remote: RemoteAddress,
        client: ClientConnection,
        graceful: &GracefulShutdown,
    ) -> impl Future<Output = ()> + Send + 'static {
        // Nagle's algorithm would delay small chunks of streams until earlier ones
        // are acknowledged.
        let _ = stream.set_nodelay(true);
        let service = self.service.clone();
        let closing = self.closing.clone();
        let switch = ResetSwitch::default();
        let stream = CallerStream::new(stream, switch.clone(), client.clone());
        let state = client.state.clone();
        let handler = service_fn(move |mut request: Request<Incoming>| {
            client.enter(ConnectionPhase::Answer);
            request.extensions_mut().insert(client.clone());
            request.extensions_mut().insert(remote);
            let client = client.clone();
            let served = client.bounds.begin_request();
            let is_admitted = served.is_some();
            let (service, switch) = (service.clone(), switch.clone());
            let handling = handle(service, request, client.clone(), switch, is_admitted);
            let closing = closing.clone();
            async move {
                let mut response = handling.await?;
                if closing.load(Ordering::Relaxed) {
                    let value = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, value);
                }
                Ok::<_, Infallible>(response.map(|body| ChargedAnswer::wrap(body, client, served)))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_max_bytes.max(READ_BUFFER_MIN_BYTES))
            .serve_connection(TokioIo::new(stream), handler);
        let watched = graceful.watch(connection);
        let component = self.component;
        async move {
            tokio::select! {
                ended = watched => if let Err(error) = ended {
                    log::debug!("{component}: connection ended with an error: {error}.");
                },
                () = state.closed.notified() => {}
            }
        }
    }
}

async fn handle(
    service: Arc<dyn HttpService>,
    request: Request<Incoming>,
    client: ClientConnection,
    switch: ResetSwitch,
    is_admitted: bool,
) -> Result<Response<AnswerBody>, Infallible> {
    let knows_chunks = request.version() > Version::HTTP_10;
    let result = if !is_admitted || client.bounds.refuses_requests() {
        client.bounds.note_refused_request(client.state.address);
        Err(overloaded())
    } else {
        service.call(request).await
    };
    let response = result.unwrap_or_else(|refusal| refusal_answer(&refusal));
    if knows_chunks {
        return Ok(response);
    }
    let reset_at_failure = move |body: AnswerBody| {
        let body = body.map_err(move |error| {
            switch.set();
            error
        });
        body.boxed_unsync()
    };
    Ok(response.map(reset_at_failure))
}
