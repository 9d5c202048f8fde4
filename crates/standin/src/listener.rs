//! The listening socket of a stand-in and the connections accepted from it.
//!
//! One task owns the socket and every connection task, so a crash or a stall
//! affects all of them at the same time. A stalled connection is held open but no
//! longer polled. To the peer, this looks like a connection whose state was lost
//! by a device on the network path.

use crate::StandinError;
use crate::record::ReceivedRequest;
use crate::response::ResponseBody;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

/// The delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests to one stand-in.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Handles one request; an error closes the connection without a response.
    fn handle(
        self: Arc<Self>,
        request: ReceivedRequest,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, ConnectionDrop>>;
}

/// The error with which a handler closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in dropped the connection")]
pub(crate) struct ConnectionDrop;

/// A command to the listener task.
#[derive(Debug)]
enum ListenerCommand {
    /// Drops every connection and refuses new ones.
    Crash { done: oneshot::Sender<()> },
    /// Listens and serves again; connections that are stalled remain stalled.
    Recover { done: oneshot::Sender<()> },
    /// Stalls the open connections and serves new ones.
    StallOpen { done: oneshot::Sender<()> },
    /// Stalls the open connections and every new one.
    StallAll { done: oneshot::Sender<()> },
}

/// Sends commands to the listener task of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct ListenerControl {
    commands: mpsc::UnboundedSender<ListenerCommand>,
}

impl ListenerControl {
    pub(crate) async fn crash(&self) {
        self.send(|done| ListenerCommand::Crash { done }).await;
    }

    pub(crate) async fn recover(&self) {
        self.send(|done| ListenerCommand::Recover { done }).await;
    }

    pub(crate) async fn stall_open_connections(&self) {
        self.send(|done| ListenerCommand::StallOpen { done }).await;
    }

    pub(crate) async fn stall_all_connections(&self) {
        self.send(|done| ListenerCommand::StallAll { done }).await;
    }

    /// Sends a command and waits until the listener has executed it.
    async fn send(&self, command: impl FnOnce(oneshot::Sender<()>) -> ListenerCommand) {
        let (done, executed) = oneshot::channel();
        // The listener outlives its controls unless the runtime is shutting down.
        if self.commands.send(command(done)).is_ok() {
            let _ = executed.await;
        }
    }
}

/// A bound listener whose task has not started yet.
pub(crate) struct BoundListener {
    pub(crate) address: SocketAddr,
    pub(crate) control: ListenerControl,
    socket: TcpListener,
    commands: mpsc::UnboundedReceiver<ListenerCommand>,
}

impl BoundListener {
    /// Binds the address; port 0 selects a free port.
    pub(crate) async fn bind(address: SocketAddr) -> Result<Self, StandinError> {
        let failed = |source| StandinError::Listen { address, source };
        let socket = TcpListener::bind(address).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let (sender, commands) = mpsc::unbounded_channel();
        Ok(Self {
            address,
            control: ListenerControl { commands: sender },
            socket,
            commands,
        })
    }

    /// Serves until the future or every [`ListenerControl`] is dropped.
    pub(crate) async fn run(self, handler: Arc<dyn RequestHandler>) {
        let mut task = ListenerTask {
            address: self.address,
            socket: Some(self.socket),
            stalls_new: false,
            stall: watch::Sender::new(()),
            connections: JoinSet::new(),
            handler,
        };
        task.run(self.commands).await;
    }
}

struct ListenerTask {
    address: SocketAddr,
    socket: Option<TcpListener>,
    stalls_new: bool,
    stall: watch::Sender<()>,
    connections: JoinSet<()>,
    handler: Arc<dyn RequestHandler>,
}

impl ListenerTask {
    async fn run(&mut self, mut commands: mpsc::UnboundedReceiver<ListenerCommand>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => return,
                },
                accepted = accept(self.socket.as_ref()) => self.handle_accepted(accepted).await,
                Some(_) = self.connections.join_next() => {}
            }
        }
    }

    async fn execute(&mut self, command: ListenerCommand) {
        match command {
            ListenerCommand::Crash { done } => {
                self.socket = None;
                self.connections.shutdown().await;
                let _ = done.send(());
            }
            ListenerCommand::Recover { done } => {
                self.stalls_new = false;
                self.rebind().await;
                let _ = done.send(());
            }
            ListenerCommand::StallOpen { done } => {
                self.stall.send_replace(());
                let _ = done.send(());
            }
            ListenerCommand::StallAll { done } => {
                self.stalls_new = true;
                self.stall.send_replace(());
                let _ = done.send(());
            }
        }
    }

    async fn rebind(&mut self) {
        while self.socket.is_none() {
            match TcpListener::bind(self.address).await {
                Ok(socket) => self.socket = Some(socket),
                Err(error) => {
                    log::warn!("standin: cannot listen on {} again: {error}", self.address);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_accepted(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) if self.stalls_new => {
                self.connections.spawn(hold_open(stream));
            }
            Ok((stream, _)) => {
                let handler = Arc::clone(&self.handler);
                let stall = self.stall.subscribe();
                self.connections.spawn(serve(stream, handler, stall));
            }
            Err(error) => {
                log::warn!("standin: accept failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn accept(socket: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match socket {
        Some(socket) => socket.accept().await,
        None => pending().await,
    }
}

async fn hold_open(stream: TcpStream) {
    pending::<()>().await;
    drop(stream);
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn RequestHandler>,
    mut stall: watch::Receiver<()>,
) {
    // Nagle's algorithm would delay small streamed chunks until the peer
    // acknowledges the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(Arc::clone(&handler), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // The stall is polled first, so no request sent after it gets a response.
        biased;
        _ = stall.changed() => pending::<()>().await,
        ended = &mut connection => {
            if let Err(error) = ended {
                log::debug!("standin: connection ended: {error}");
            }
        }
    }
}

async fn respond(
    handler: Arc<dyn RequestHandler>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionDrop> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionDrop)?.to_bytes();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let received = ReceivedRequest {
        method: parts.method,
        path: path.to_owned(),
        headers: parts.headers,
        body,
    };
    handler.handle(received).await
}
