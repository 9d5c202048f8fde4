//! Server side: accepts connections and handles calls and notices.

use crate::frame::{FRAME_MAX_BYTES, FrameKind, RpcFrame, codec};
use crate::frame_reader::{CONNECTION_BYTES, ChargedFrame, FrameReader};
use crate::identity::PeerIdentity;
use crate::tunnel::{TunnelTracker, decline_tunnel, serve_tunnel};
use crate::tunnel_request::TunnelRequest;
use crate::unidentified::{UnidentifiedEntry, UnidentifiedTable};
use bytes::Bytes;
use chicoryladder_types::{PeerBounds, PeerCharge};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, SinkExt};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::{Framed, FramedParts, FramedWrite, LengthDelimitedCodec};

/// The maximum number of tunnels through a process at one time. Each takes two sockets and two
/// buffers of 16 KiB.
const TUNNELS_MAX: usize = 512;

/// The maximum number of unidentified connections of a process without an account.
const UNIDENTIFIED_MAX: usize = 512;

/// The delay before accepting again after `accept` failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The time within which a connection must identify itself. Hosts send their greeting with the
/// first message, for which the connection is opened.
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum time for a peer to take a reply.
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

/// Bounds without an account, for processes that serve no clients: only the sizes of frames and
/// the number of unidentified connections are limited.
#[derive(Clone, Copy, Debug, Default)]
pub struct UncountedBounds;

impl PeerBounds for UncountedBounds {
    fn try_charge_peer(&self, _bytes: usize) -> Option<PeerCharge> {
        Some(Box::new(()))
    }

    fn message_max_bytes(&self) -> usize {
        2 * FRAME_MAX_BYTES
    }

    fn unidentified_max(&self) -> usize {
        UNIDENTIFIED_MAX
    }

    fn note_closed_peer(&self, address: IpAddr, why: &str) {
        log::debug!("rpc: closed a connection of {address}, since {why}.");
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
    /// Listens on `address` and passes calls and notices to `handler`. What arrives is charged
    /// to `bounds`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        handler: Arc<dyn RpcHandler>,
        bounds: Arc<dyn PeerBounds>,
    ) -> io::Result<Self> {
        Self::start_with_tunnels(address, handler, bounds, TUNNELS_MAX).await
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
        bounds: Arc<dyn PeerBounds>,
        tunnels_max: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tunnels = TunnelTracker::new(tunnels_max);
        let task = AcceptTask {
            unidentified: UnidentifiedTable::new(bounds.unidentified_max()),
            handler,
            bounds,
            tunnels: tunnels.clone(),
        };
        let task = tokio::spawn(task.run(listener));
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

/// Accepts connections at one port.
struct AcceptTask {
    handler: Arc<dyn RpcHandler>,
    bounds: Arc<dyn PeerBounds>,
    unidentified: UnidentifiedTable,
    tunnels: TunnelTracker,
}

impl AcceptTask {
    async fn run(self, listener: TcpListener) {
        // Aborting this task drops the set, which closes the connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, address)) => {
                        let connection = PeerConnection {
                            address: address.ip(),
                            handler: self.handler.clone(),
                            bounds: self.bounds.clone(),
                            tunnels: self.tunnels.clone(),
                        };
                        let entry = self.unidentified.enter();
                        connections.spawn(connection.serve(stream, entry));
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
}

/// The server's end of a connection.
struct PeerConnection {
    address: IpAddr,
    handler: Arc<dyn RpcHandler>,
    bounds: Arc<dyn PeerBounds>,
    tunnels: TunnelTracker,
}

/// A reply, and what is charged for its call until it is sent.
struct ChargedReply {
    frame: RpcFrame,
    _charges: Vec<PeerCharge>,
}

type ReplySink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

impl PeerConnection {
    async fn serve(self, stream: TcpStream, entry: UnidentifiedEntry) {
        if let Err(error) = self.serve_frames(stream, entry).await {
            if error.kind() == io::ErrorKind::OutOfMemory {
                self.bounds
                    .note_closed_peer(self.address, "its message exceeds the memory");
            }
            log::debug!("rpc: connection ended with an error: {error}.");
        }
    }

    async fn serve_frames(&self, stream: TcpStream, entry: UnidentifiedEntry) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (reading, writing) = stream.into_split();
        let mut reader = FrameReader::new(reading, self.bounds.clone());
        let Some(mut peer) = self.identify(&mut reader, entry).await? else {
            return Ok(());
        };
        // An identified connection belongs to the fleet. It is served in any case, charged or not.
        let _charge = self.bounds.try_charge_peer(CONNECTION_BYTES);
        let mut sink = FramedWrite::new(writing, codec());
        let (reply_sender, mut replies) = mpsc::unbounded_channel::<ChargedReply>();
        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                frame = reader.next() => {
                    let Some(frame) = frame? else {
                        return Ok(());
                    };
                    let ChargedFrame { bytes, charges } = frame;
                    let frame = RpcFrame::decode(bytes).ok_or_else(invalid)?;
                    if frame.kind == FrameKind::Tunnel {
                        let stream = rejoin(reader, sink)?;
                        return self.serve_tunnel(stream, peer, &frame).await;
                    }
                    let frame = PeerFrame { frame, charges };
                    self.process_frame(frame, &mut peer, &reply_sender)?
                }
            };
            if let Some(reply) = reply {
                let sending = send_replies(&mut sink, reply, &mut replies);
                sending.await?;
            }
        }
    }

    /// Waits for the greeting; `None` if the connection has ended, or made room for another one.
    async fn identify(
        &self,
        reader: &mut FrameReader,
        entry: UnidentifiedEntry,
    ) -> io::Result<Option<Arc<PeerIdentity>>> {
        let greeting = tokio::select! {
            greeting = tokio::time::timeout(GREETING_TIMEOUT, reader.greeting()) => greeting,
            () = entry.closed() => {
                let why = "too many connections have not identified themselves";
                self.bounds.note_closed_peer(self.address, why);
                return Ok(None);
            }
        };
        let Ok(greeting) = greeting else {
            let why = "it did not identify itself in time";
            self.bounds.note_closed_peer(self.address, why);
            return Ok(None);
        };
        let Some(bytes) = greeting? else {
            return Ok(None);
        };
        let frame = RpcFrame::decode(bytes).ok_or_else(invalid)?;
        if frame.kind != FrameKind::Hello {
            return Err(invalid());
        }
        let identity = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
        Ok(Some(Arc::new(identity)))
    }

    async fn serve_tunnel(
        &self,
        stream: Framed<TcpStream, LengthDelimitedCodec>,
        peer: Arc<PeerIdentity>,
        frame: &RpcFrame,
    ) -> io::Result<()> {
        let request = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
        let Some(active) = self.tunnels.enter() else {
            return decline_tunnel(stream).await;
        };
        let target = self.handler.connect_tunnel(peer, request).await;
        serve_tunnel(stream, target, active, &self.tunnels).await
    }

    /// Processes one frame; returns the reply to send at once, if any.
    fn process_frame(
        &self,
        frame: PeerFrame,
        peer: &mut Arc<PeerIdentity>,
        replies: &mpsc::UnboundedSender<ChargedReply>,
    ) -> io::Result<Option<ChargedReply>> {
        let PeerFrame { frame, charges } = frame;
        match frame.kind {
            FrameKind::Hello => {
                let identity = postcard::from_bytes(&frame.payload).map_err(io::Error::other)?;
                *peer = Arc::new(identity);
            }
            FrameKind::Probe => {
                let frame = RpcFrame::new(FrameKind::ProbeReply, frame.number, Bytes::new());
                return Ok(Some(ChargedReply {
                    frame,
                    _charges: charges,
                }));
            }
            FrameKind::Notice => self.handler.notice(peer, frame.payload),
            FrameKind::Call => {
                let handling = self.handler.call(peer.clone(), frame.payload);
                let replies = replies.clone();
                // The charge covers what the handler made of the call, too.
                tokio::spawn(async move {
                    if let Some(payload) = handling.await {
                        let frame = RpcFrame::new(FrameKind::Reply, frame.number, payload);
                        // The connection may have been closed in the meantime.
                        let _ = replies.send(ChargedReply {
                            frame,
                            _charges: charges,
                        });
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
}

/// A frame of a peer, and what is charged for it.
struct PeerFrame {
    frame: RpcFrame,
    charges: Vec<PeerCharge>,
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Joins the two ends of a connection that becomes a tunnel.
fn rejoin(
    reader: FrameReader,
    sink: ReplySink,
) -> io::Result<Framed<TcpStream, LengthDelimitedCodec>> {
    let (reading, rest) = reader.into_parts();
    let stream = reading.reunite(sink.into_inner());
    let stream = stream.map_err(io::Error::other)?;
    let mut parts = FramedParts::new::<Bytes>(stream, codec());
    parts.read_buf = rest;
    Ok(Framed::from_parts(parts))
}

/// Sends a reply and those that wait behind it.
async fn send_replies(
    sink: &mut ReplySink,
    first: ChargedReply,
    replies: &mut mpsc::UnboundedReceiver<ChargedReply>,
) -> io::Result<()> {
    with_timeout(sink.feed(first.frame.encode())).await?;
    while let Ok(reply) = replies.try_recv() {
        with_timeout(sink.feed(reply.frame.encode())).await?;
    }
    with_timeout(SinkExt::<Bytes>::flush(sink)).await
}

async fn with_timeout(sending: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::time::timeout(FLUSH_TIMEOUT, sending).await?
}
