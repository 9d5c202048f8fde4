//! Server side: accepts connections and handles calls and notices.

use crate::frame::{FrameKind, RpcFrame, codec};
use crate::identity::PeerIdentity;
use crate::tunnel::{TunnelTracker, decline_tunnel, serve_tunnel};
use crate::tunnel_request::TunnelRequest;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::Framed;

/// The maximum number of tunnels through a process at one time. Each takes two sockets and two
/// buffers of 16 KiB.
const TUNNELS_MAX: usize = 512;

/// The delay before accepting again after `accept` failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection may receive no frame before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// The maximum time to flush replies to a peer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles the messages of peers. What is not implemented is ignored.
pub trait RpcHandler: Send + Sync {
    /// Handles a call; with `None` no reply is sent, and the caller times out.
    fn call(&self, _peer: Arc<PeerIdentity>, _payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        std::future::ready(None).boxed()
    }

    /// Handles a notice.
    fn notice(&self, _peer: &PeerIdentity, _payload: Bytes) {}

    /// Connects to the target of a tunnel; `None` if it cannot be reached, or this process
    /// opens no tunnels.
    fn connect_tunnel(
        &self,
        _peer: Arc<PeerIdentity>,
        _request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        std::future::ready(None).boxed()
    }
}

/// A running server for calls and notices.
pub struct RpcServer {
    /// The address that the server is bound to.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    tunnels: TunnelTracker,
}

impl RpcServer {
    /// Listens on `address` and passes calls and notices to `handler`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr, handler: Arc<dyn RpcHandler>) -> io::Result<Self> {
        Self::start_with_tunnels(address, handler, TUNNELS_MAX).await
    }

    /// Like [`Self::start`], with the maximum number of tunnels at one time. Further ones are
    /// declined.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start_with_tunnels(
        address: SocketAddr,
        handler: Arc<dyn RpcHandler>,
        tunnels_max: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tunnels = TunnelTracker::new(tunnels_max);
        let task = tokio::spawn(accept(listener, handler, tunnels.clone()));
        Ok(Self {
            address,
            task,
            tunnels,
        })
    }

    /// Declines new tunnels, tells the clients of the others, and waits until these have closed
    /// them.
    pub async fn drain_tunnels(&self) {
        self.tunnels.drain().await;
    }

    /// Closes the port and its connections.
    pub fn stop(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Arc<dyn RpcHandler>, tunnels: TunnelTracker) {
    // Aborting this task drops the set, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, handler.clone(), tunnels.clone()));
                }
                Err(error) => {
                    log::warn!("rpc: cannot accept a connection: {error}.");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn RpcHandler>, tunnels: TunnelTracker) {
    if let Err(error) = serve_frames(stream, handler, &tunnels).await {
        log::debug!("rpc: connection ended with an error: {error}.");
    }
}

async fn serve_frames(
    stream: TcpStream,
    handler: Arc<dyn RpcHandler>,
    tunnels: &TunnelTracker,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, codec());
    let (reply_sender, mut replies) = mpsc::unbounded_channel::<RpcFrame>();
    let mut peer = None;
    loop {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            frame = tokio::time::timeout(IDLE_TIMEOUT, stream.next()) => {
                let Some(bytes) = frame? else {
                    return Ok(());
                };
                let invalid = || io::Error::from(io::ErrorKind::InvalidData);
                let frame = RpcFrame::decode(bytes?.freeze()).ok_or_else(invalid)?;
                if frame.kind == FrameKind::Tunnel {
                    let peer = peer.ok_or_else(invalid)?;
                    let request = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
                    let Some(active) = tunnels.enter() else {
                        return decline_tunnel(stream).await;
                    };
                    let target = handler.connect_tunnel(peer, request).await;
                    return serve_tunnel(stream, target, active, tunnels).await;
                }
                process_frame(frame, &mut peer, &handler, &reply_sender)?
            }
        };
        if let Some(reply) = reply {
            stream.feed(reply.encode()).await?;
            while let Ok(reply) = replies.try_recv() {
                stream.feed(reply.encode()).await?;
            }
            let flushing = SinkExt::<Bytes>::flush(&mut stream);
            tokio::time::timeout(FLUSH_TIMEOUT, flushing).await??;
        }
    }
}

/// Processes one frame; returns the reply to send at once, if any.
fn process_frame(
    frame: RpcFrame,
    peer: &mut Option<Arc<PeerIdentity>>,
    handler: &Arc<dyn RpcHandler>,
    replies: &mpsc::UnboundedSender<RpcFrame>,
) -> io::Result<Option<RpcFrame>> {
    let unidentified = || io::Error::from(io::ErrorKind::InvalidData);
    match frame.kind {
        FrameKind::Hello => {
            let identity = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
            *peer = Some(Arc::new(identity));
        }
        FrameKind::Probe => {
            let reply = RpcFrame::new(FrameKind::ProbeReply, frame.number, Bytes::new());
            return Ok(Some(reply));
        }
        FrameKind::Notice => {
            let peer = peer.as_ref().ok_or_else(unidentified)?;
            handler.notice(peer, frame.payload);
        }
        FrameKind::Call => {
            let peer = peer.as_ref().ok_or_else(unidentified)?;
            let handling = handler.call(peer.clone(), frame.payload);
            let replies = replies.clone();
            tokio::spawn(async move {
                if let Some(payload) = handling.await {
                    // The connection may have been closed in the meantime.
                    let _ = replies.send(RpcFrame::new(FrameKind::Reply, frame.number, payload));
                }
            });
        }
        FrameKind::Reply
        | FrameKind::ProbeReply
        | FrameKind::Tunnel
        | FrameKind::TunnelOpened
        | FrameKind::TunnelDeclined => {}
    }
    Ok(None)
}
