//! Tunnels: TCP connections to a third address through a peer.
//!
//! The bytes towards the target are forwarded as they are. Those from the target are framed, so
//! that the client can tell an orderly end of the target's stream, a lost target, and a lost
//! peer: an end of the peer's process would otherwise look like the end of a response that has
//! no length. A peer that is about to stop says so in a mark between chunks, so that the client
//! sends no further request on the tunnel.

use crate::frame::{FrameKind, RpcFrame, codec};
use crate::identity::PeerIdentity;
use crate::tunnel_request::TunnelRequest;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The length of the header of a chunk: a big-endian number of bytes.
const HEADER_BYTES: usize = 4;

/// The largest chunk, in bytes.
const CHUNK_MAX_BYTES: usize = 16 * 1024;

/// The header that tells the orderly end of the target's stream.
const END_MARK: u32 = 0;

/// The header that tells that the connection to the target was lost.
const LOST_MARK: u32 = u32::MAX;

/// The header that tells that the peer is about to stop.
const CLOSING_MARK: u32 = u32::MAX - 1;

/// How long no bytes may pass a tunnel before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Why a tunnel could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The peer cannot be reached.
    #[error("the peer cannot be reached: {0}")]
    Peer(#[from] io::Error),
    /// The peer reached no target, or opens no tunnels.
    #[error("the peer did not open the tunnel")]
    Declined,
}

/// Opens a tunnel through `peer`.
pub(crate) async fn open_tunnel(
    identity: &PeerIdentity,
    peer: SocketAddr,
    request: &TunnelRequest,
    closing_tunnels: Arc<AtomicUsize>,
) -> Result<TunnelStream, TunnelError> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, codec());
    let hello = postcard::to_stdvec(identity).map_err(io::Error::other)?;
    let hello = RpcFrame::new(FrameKind::Hello, 0, hello.into());
    stream.feed(hello.encode()).await?;
    let request = postcard::to_stdvec(request).map_err(io::Error::other)?;
    let request = RpcFrame::new(FrameKind::Tunnel, 0, request.into());
    stream.send(request.encode()).await?;
    let reply = stream.next().await.ok_or(TunnelError::Declined)??;
    let reply = RpcFrame::decode(reply.freeze());
    if reply.is_none_or(|reply| reply.kind != FrameKind::TunnelOpened) {
        return Err(TunnelError::Declined);
    }
    let parts = stream.into_parts();
    if !parts.read_buf.is_empty() {
        // The target sent bytes before it got a request.
        return Err(TunnelError::Declined);
    }
    Ok(TunnelStream {
        stream: parts.io,
        header: [0; HEADER_BYTES],
        header_filled: 0,
        chunk_left: 0,
        has_ended: false,
        health: Arc::default(),
        closing_tunnels,
    })
}

/// What the client's end of a tunnel knows of the peer.
#[derive(Debug, Default)]
pub struct TunnelHealth {
    is_lost: AtomicBool,
    is_closing: AtomicBool,
}

impl TunnelHealth {
    /// Whether the connection to the peer is lost, which says nothing of the target.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Whether the peer is about to stop, so that no further request should be sent.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }
}

/// The client's end of a tunnel.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    header: [u8; HEADER_BYTES],
    header_filled: usize,
    /// The bytes that are left of the current chunk.
    chunk_left: usize,
    has_ended: bool,
    health: Arc<TunnelHealth>,
    /// The number of tunnels of this process that were closing so far.
    closing_tunnels: Arc<AtomicUsize>,
}

impl TunnelStream {
    /// What is known of the peer, also after the stream is given away.
    #[must_use]
    pub fn health(&self) -> Arc<TunnelHealth> {
        self.health.clone()
    }

    fn lose_peer<T>(&self, error: io::Error) -> Poll<io::Result<T>> {
        self.health.is_lost.store(true, Ordering::Relaxed);
        Poll::Ready(Err(error))
    }

    /// Reads the rest of a header.
    fn poll_header(&mut self, context: &mut Context<'_>) -> Poll<io::Result<u32>> {
        while self.header_filled < HEADER_BYTES {
            let mut rest = ReadBuf::new(&mut self.header[self.header_filled..]);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut rest));
            let count = rest.filled().len();
            match read {
                Ok(()) if count > 0 => self.header_filled += count,
                Ok(()) => return self.lose_peer(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => return self.lose_peer(error),
            }
        }
        self.header_filled = 0;
        Poll::Ready(Ok(u32::from_be_bytes(self.header)))
    }

    /// Reads marks up to the next chunk. Returns whether one follows.
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        while self.chunk_left == 0 && !self.has_ended {
            match ready!(self.poll_header(context))? {
                END_MARK => self.has_ended = true,
                LOST_MARK => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
                CLOSING_MARK => {
                    self.health.is_closing.store(true, Ordering::Relaxed);
                    self.closing_tunnels.fetch_add(1, Ordering::Relaxed);
                }
                length => self.chunk_left = usize::try_from(length).unwrap_or(usize::MAX),
            }
        }
        Poll::Ready(Ok(!self.has_ended))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !ready!(self.poll_chunk(context))? {
            return Poll::Ready(Ok(()));
        }
        let most = self.chunk_left.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut part));
        let count = part.filled().len();
        match read {
            Ok(()) if count > 0 => {
                buffer.advance(count);
                self.chunk_left -= count;
                Poll::Ready(Ok(()))
            }
            Ok(()) => self.lose_peer(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => self.lose_peer(error),
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The tunnels through this process.
#[derive(Clone, Debug)]
pub(crate) struct TunnelTracker {
    active: Arc<AtomicUsize>,
    max: usize,
    draining: watch::Sender<bool>,
}

impl TunnelTracker {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            active: Arc::default(),
            max,
            draining: watch::Sender::new(false),
        }
    }

    /// Declines new tunnels, tells the clients of the others, and waits until these have closed
    /// them.
    pub(crate) async fn drain(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        self.draining.send_replace(true);
        while self.active.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Counts a tunnel that is about to open; `None` if there are too many, or the process is
    /// about to stop.
    pub(crate) fn enter(&self) -> Option<ActiveTunnel> {
        let before = self.active.fetch_add(1, Ordering::Relaxed);
        let active = ActiveTunnel {
            active: self.active.clone(),
        };
        (before < self.max && !*self.draining.borrow()).then_some(active)
    }
}

/// Counts a tunnel as active until it is dropped.
pub(crate) struct ActiveTunnel {
    active: Arc<AtomicUsize>,
}

impl Drop for ActiveTunnel {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Replies to the request for a tunnel that is not opened.
pub(crate) async fn decline_tunnel(
    mut stream: Framed<TcpStream, LengthDelimitedCodec>,
) -> io::Result<()> {
    let declined = RpcFrame::new(FrameKind::TunnelDeclined, 0, Bytes::new());
    stream.send(declined.encode()).await
}

/// Replies to the request for a tunnel, and forwards its bytes until it ends. `target` is
/// `None` if it could not be reached.
pub(crate) async fn serve_tunnel(
    mut stream: Framed<TcpStream, LengthDelimitedCodec>,
    target: Option<TcpStream>,
    _active: ActiveTunnel,
    tracker: &TunnelTracker,
) -> io::Result<()> {
    let Some(mut target) = target else {
        return decline_tunnel(stream).await;
    };
    let opened = RpcFrame::new(FrameKind::TunnelOpened, 0, Bytes::new());
    stream.send(opened.encode()).await?;
    let parts = stream.into_parts();
    let mut client = parts.io;
    target.write_all(&parts.read_buf).await?;
    let (from_client, to_client) = client.split();
    let (from_target, to_target) = target.split();
    let draining = tracker.draining.subscribe();
    let progress = TunnelProgress::default();
    tokio::select! {
        // An end on the client's side ends the target's work at once.
        _ = forward_requests(from_client, to_target, &progress) => Ok(()),
        ended = forward_responses(from_target, to_client, &progress, draining) => ended,
        () = wait_until_idle(&progress.chunks) => Ok(()),
    }
}

/// What the two directions of a tunnel tell each other.
#[derive(Debug, Default)]
struct TunnelProgress {
    /// The number of chunks that passed so far, both ways.
    chunks: AtomicUsize,
    /// Whether a write found the connection to the target lost. The error is reported once, so
    /// that a read after it finds an orderly end.
    is_target_lost: AtomicBool,
}

/// Waits until no chunk passed for [`IDLE_TIMEOUT`].
async fn wait_until_idle(chunks: &AtomicUsize) {
    let mut seen = chunks.load(Ordering::Relaxed);
    loop {
        tokio::time::sleep(IDLE_TIMEOUT).await;
        let passed = chunks.load(Ordering::Relaxed);
        if passed == seen {
            return;
        }
        seen = passed;
    }
}

async fn forward_requests(
    mut client: ReadHalf<'_>,
    mut target: WriteHalf<'_>,
    progress: &TunnelProgress,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_MAX_BYTES];
    let mut is_writable = true;
    loop {
        let count = client.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        progress.chunks.fetch_add(1, Ordering::Relaxed);
        if is_writable && let Err(error) = target.write_all(&buffer[..count]).await {
            // A target that takes no more bytes may have responded already. After an orderly
            // end of its response, the pipe is broken.
            is_writable = false;
            let is_lost = error.kind() != io::ErrorKind::BrokenPipe;
            progress.is_target_lost.store(is_lost, Ordering::Relaxed);
        }
    }
}

async fn wait_for_drain(draining: &mut watch::Receiver<bool>) {
    if draining.wait_for(|is_draining| *is_draining).await.is_err() {
        // The process ends without a drain.
        std::future::pending::<()>().await;
    }
}

async fn forward_responses(
    mut target: ReadHalf<'_>,
    mut client: WriteHalf<'_>,
    progress: &TunnelProgress,
    mut draining: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; HEADER_BYTES + CHUNK_MAX_BYTES];
    let mut is_announced = false;
    loop {
        let read = tokio::select! {
            () = wait_for_drain(&mut draining), if !is_announced => None,
            read = target.read(&mut buffer[HEADER_BYTES..]) => Some(read),
        };
        let mark = match read {
            None => {
                is_announced = true;
                client.write_all(&CLOSING_MARK.to_be_bytes()).await?;
                continue;
            }
            Some(Ok(0)) if progress.is_target_lost.load(Ordering::Relaxed) => LOST_MARK,
            Some(Ok(0)) => END_MARK,
            Some(Err(_)) => LOST_MARK,
            Some(Ok(count)) => {
                progress.chunks.fetch_add(1, Ordering::Relaxed);
                let length = u32::try_from(count).map_err(io::Error::other)?;
                buffer[..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
                client.write_all(&buffer[..HEADER_BYTES + count]).await?;
                continue;
            }
        };
        client.write_all(&mark.to_be_bytes()).await?;
        return client.shutdown().await;
    }
}
