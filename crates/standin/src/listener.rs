//! The listening socket of a stand-in and the connections taken from it.
//!
//! One task owns the socket and every connection task, so a crash or a silence
//! acts on all of them at one point. A silent connection is held open but no
//! longer polled, which is what a peer sees when something between the two ends
//! has lost track of the connection.

use crate::StandinError;
use crate::answer::AnswerBody;
use crate::record::ReceivedRequest;
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

/// The pause after a failed accept or bind.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Answers the requests of one stand-in.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Answers one request; an error closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: ReceivedRequest,
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, ConnectionDrop>>;
}

/// Closes the connection in place of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in dropped the connection")]
pub(crate) struct ConnectionDrop;

/// What the connections of a stand-in shall do from now on.
#[derive(Debug)]
enum ListenerCommand {
    /// Drop every connection and refuse new ones.
    Crash { done: oneshot::Sender<()> },
    /// Listen and answer again; connections that are silent stay so.
    Recover { done: oneshot::Sender<()> },
    /// Keep open connections open and silent, and answer on new ones.
    SilenceOpen { done: oneshot::Sender<()> },
    /// Keep open connections open and silent, and treat new ones the same.
    SilenceAll { done: oneshot::Sender<()> },
}

/// Commands the listener task of a stand-in.
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
        self.send(|done| ListenerCommand::SilenceOpen { done })
            .await;
    }

    pub(crate) async fn stall_all_connections(&self) {
        self.send(|done| ListenerCommand::SilenceAll { done }).await;
    }

    /// Sends a command and waits until the listener has obeyed it.
    async fn send(&self, command: impl FnOnce(oneshot::Sender<()>) -> ListenerCommand) {
        let (done, obeyed) = oneshot::channel();
        // The listener outlives its controls unless its runtime is going down.
        if self.commands.send(command(done)).is_ok() {
            let _ = obeyed.await;
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
    /// Binds the address; port 0 takes a free port.
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

    /// Serves until the returned task is aborted.
    pub(crate) async fn run(self, handler: Arc<dyn RequestHandler>) {
        let mut task = ListenerTask {
            address: self.address,
            socket: Some(self.socket),
            holds_new: false,
            silence: watch::Sender::new(()),
            connections: JoinSet::new(),
            handler,
        };
        task.run(self.commands).await;
    }
}

struct ListenerTask {
    address: SocketAddr,
    socket: Option<TcpListener>,
    holds_new: bool,
    silence: watch::Sender<()>,
    connections: JoinSet<()>,
    handler: Arc<dyn RequestHandler>,
}

impl ListenerTask {
    async fn run(&mut self, mut commands: mpsc::UnboundedReceiver<ListenerCommand>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                accepted = accept(self.socket.as_ref()) => self.take(accepted).await,
                Some(_) = self.connections.join_next() => {}
            }
        }
    }

    async fn obey(&mut self, command: ListenerCommand) {
        match command {
            ListenerCommand::Crash { done } => {
                self.socket = None;
                self.connections.shutdown().await;
                let _ = done.send(());
            }
            ListenerCommand::Recover { done } => {
                self.holds_new = false;
                self.rebind().await;
                let _ = done.send(());
            }
            ListenerCommand::SilenceOpen { done } => {
                self.silence.send_replace(());
                let _ = done.send(());
            }
            ListenerCommand::SilenceAll { done } => {
                self.holds_new = true;
                self.silence.send_replace(());
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
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn take(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) if self.holds_new => {
                self.connections.spawn(hold(stream));
            }
            Ok((stream, _)) => {
                let handler = Arc::clone(&self.handler);
                let silence = self.silence.subscribe();
                self.connections.spawn(serve(stream, handler, silence));
            }
            Err(error) => {
                log::warn!("standin: accept failed: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
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

async fn hold(stream: TcpStream) {
    pending::<()>().await;
    drop(stream);
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn RequestHandler>,
    mut silence: watch::Receiver<()>,
) {
    // Small streamed chunks would otherwise wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(Arc::clone(&handler), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A silence comes first, so no request sent after it is answered.
        biased;
        _ = silence.changed() => pending::<()>().await,
        ended = &mut connection => {
            if let Err(error) = ended {
                log::debug!("standin: connection ended: {error}");
            }
        }
    }
}

async fn answer(
    handler: Arc<dyn RequestHandler>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, ConnectionDrop> {
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
