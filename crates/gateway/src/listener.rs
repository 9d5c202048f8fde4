//! The accept loop of one port.

use crate::answer::refusal_answer;
use crate::body::AnswerBody;
use chicoryladder_types::prelude::*;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The pause after the operating system refused a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The smallest read buffer that hyper accepts, in bytes.
const READ_BUFFER_MIN_BYTES: usize = 8192;

/// Answers the requests of one port.
pub trait HttpService: Send + Sync {
    /// Answers one request.
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>>;
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// The longest request line with header fields, in bytes.
    pub header_max_bytes: usize,
    /// The longest time for the header fields to arrive.
    pub header_timeout: Duration,
}

/// Why a port cannot be served.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}")]
pub struct ListenError {
    /// The address asked for.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// A port that is served until it is drained.
pub struct HttpListener {
    /// The address taken.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpListener {
    /// Listens on `address` and serves it by `service`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(
        part: &'static str,
        address: SocketAddr,
        limits: ListenerLimits,
        service: Arc<dyn HttpService>,
    ) -> Result<Self, ListenError> {
        let failed = |source| ListenError { address, source };
        let socket = TcpListener::bind(address).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        let task = AcceptTask {
            part,
            socket,
            limits,
            service,
            stopped,
        };
        let task = tokio::spawn(task.run());
        log::info!("{part}: listens on {address}.");
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Stops accepting and waits until every request in flight has ended.
    pub async fn drain(self) {
        // The task may have ended by itself; then there is nothing to stop.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Closes the port and cuts all connections.
    pub fn abort(self) {
        self.task.abort();
    }
}

struct AcceptTask {
    part: &'static str,
    socket: TcpListener,
    limits: ListenerLimits,
    service: Arc<dyn HttpService>,
    stopped: watch::Receiver<bool>,
}

impl AcceptTask {
    async fn run(mut self) {
        let graceful = GracefulShutdown::new();
        // Dropping the set with this task cuts its connections.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(self.connection(stream, &graceful));
                    }
                    Err(error) => {
                        log::warn!("{}: cannot accept: {error}.", self.part);
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
        graceful: &GracefulShutdown,
    ) -> impl Future<Output = ()> + Send + 'static {
        // Without it small chunks of streams wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let service = self.service.clone();
        let handler = service_fn(move |request| answer(service.clone(), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_max_bytes.max(READ_BUFFER_MIN_BYTES))
            .serve_connection(TokioIo::new(stream), handler);
        let watched = graceful.watch(connection);
        let part = self.part;
        async move {
            if let Err(error) = watched.await {
                log::debug!("{part}: a connection ended: {error}.");
            }
        }
    }
}

async fn answer(
    service: Arc<dyn HttpService>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let result = service.call(request).await;
    Ok(result.unwrap_or_else(|refusal| refusal_answer(&refusal)))
}
