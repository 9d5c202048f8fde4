//! Takes calls and notices.

use crate::frame::{FrameKind, RpcFrame, codec};
use crate::identity::PeerIdentity;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::Framed;

/// The pause after the operating system refused a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The time without a frame after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// The longest time for a peer to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Acts on what peers send.
pub trait RpcHandler: Send + Sync {
    /// Answers a call; `None` leaves the caller to its timeout.
    fn call(&self, peer: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>>;

    /// Takes a notice.
    fn notice(&self, peer: &PeerIdentity, payload: Bytes);
}

/// A port that takes calls.
pub struct RpcServer {
    /// The address taken.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RpcServer {
    /// Listens on `address` and hands what arrives to `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr, handler: Arc<dyn RpcHandler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Closes the port and its connections.
    pub fn stop(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Arc<dyn RpcHandler>) {
    // Dropping the set with this task closes its connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, handler.clone()));
                }
                Err(error) => {
                    log::warn!("rpc: cannot accept: {error}.");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn RpcHandler>) {
    if let Err(error) = serve_frames(stream, handler).await {
        log::debug!("rpc: a connection ended: {error}.");
    }
}

async fn serve_frames(stream: TcpStream, handler: Arc<dyn RpcHandler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, codec());
    let (answer_sender, mut answers) = mpsc::unbounded_channel::<RpcFrame>();
    let mut peer = None;
    loop {
        let answer = tokio::select! {
            answer = answers.recv() => answer,
            frame = tokio::time::timeout(IDLE_TIMEOUT, stream.next()) => {
                let Some(bytes) = frame? else {
                    return Ok(());
                };
                let invalid = || io::Error::from(io::ErrorKind::InvalidData);
                let frame = RpcFrame::decode(bytes?.freeze()).ok_or_else(invalid)?;
                take(frame, &mut peer, &handler, &answer_sender)?
            }
        };
        if let Some(answer) = answer {
            stream.feed(answer.encode()).await?;
            while let Ok(answer) = answers.try_recv() {
                stream.feed(answer.encode()).await?;
            }
            let flushing = SinkExt::<Bytes>::flush(&mut stream);
            tokio::time::timeout(WRITE_TIMEOUT, flushing).await??;
        }
    }
}

/// Acts on one frame; returns what to answer at once.
fn take(
    frame: RpcFrame,
    peer: &mut Option<Arc<PeerIdentity>>,
    handler: &Arc<dyn RpcHandler>,
    answers: &mpsc::UnboundedSender<RpcFrame>,
) -> io::Result<Option<RpcFrame>> {
    let stranger = || io::Error::from(io::ErrorKind::InvalidData);
    match frame.kind {
        FrameKind::Hello => {
            let identity = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
            *peer = Some(Arc::new(identity));
        }
        FrameKind::Probe => {
            let answer = RpcFrame::new(FrameKind::ProbeAnswer, frame.number, Bytes::new());
            return Ok(Some(answer));
        }
        FrameKind::Notice => {
            let peer = peer.as_ref().ok_or_else(stranger)?;
            handler.notice(peer, frame.payload);
        }
        FrameKind::Call => {
            let peer = peer.as_ref().ok_or_else(stranger)?;
            let answering = handler.call(peer.clone(), frame.payload);
            let answers = answers.clone();
            tokio::spawn(async move {
                if let Some(payload) = answering.await {
                    // The connection may have ended meanwhile.
                    let _ = answers.send(RpcFrame::new(FrameKind::Answer, frame.number, payload));
                }
            });
        }
        FrameKind::Answer | FrameKind::ProbeAnswer => {}
    }
    Ok(None)
}
