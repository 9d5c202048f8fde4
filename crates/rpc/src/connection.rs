//! The task that owns the outgoing connection to one peer.

use crate::frame::{FrameKind, RpcFrame, codec};
use crate::identity::PeerIdentity;
use bytes::{Bytes, BytesMut};
use chicoryladder_types::prelude::*;
use futures_util::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The maximum time to open a connection; a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval of probes on a connection in use, see [`IN_USE_WINDOW`].
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long after its last call, notice or reply a connection counts as in use.
const IN_USE_WINDOW: Duration = Duration::from_secs(1);

/// How long a probe may stay unanswered before the connection is replaced.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum time for one write to complete.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long messages are dropped after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The maximum number of messages sent with one flush.
const WRITE_BATCH_MESSAGES: usize = 64;

/// A message for the peer.
pub(crate) enum OutboundMessage {
    /// A call, and the sender for its reply.
    Call(Bytes, oneshot::Sender<Bytes>),
    /// A notice.
    Notice(Bytes),
}

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Owns the connection to one peer.
pub(crate) struct ConnectionTask {
    pub(crate) peer: SocketAddr,
    pub(crate) identity: Arc<PeerIdentity>,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) messages: mpsc::Receiver<OutboundMessage>,
}

impl ConnectionTask {
    /// Runs until all clones of the client are dropped.
    pub(crate) async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            match self.open().await {
                Ok(stream) => {
                    if let Err(error) = self.serve(stream, message).await {
                        log::debug!("rpc: lost the connection to {}: {error}.", self.peer);
                    }
                }
                Err(error) => {
                    log::debug!("rpc: cannot connect to {}: {error}.", self.peer);
                    drop(message);
                    self.drop_messages_for(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    async fn open(&self) -> io::Result<FramedStream> {
        let connecting = TcpStream::connect(self.peer);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let mut stream = Framed::new(stream, codec());
        let hello = postcard::to_stdvec(self.identity.as_ref()).map_err(io::Error::other)?;
        let hello = RpcFrame::new(FrameKind::Hello, 0, hello.into());
        stream.feed(hello.encode()).await?;
        Ok(stream)
    }

    /// Drops all messages for the duration of `pause`, so that calls fail at once while
    /// the peer is unreachable.
    async fn drop_messages_for(&mut self, pause: Duration) {
        let dropping = async { while self.messages.recv().await.is_some() {} };
        // Times out unless the client is dropped; there is nothing to handle.
        let _ = tokio::time::timeout(pause, dropping).await;
    }

    /// Serves one connection until it fails. Calls in flight then fail too, since
    /// their senders are dropped.
    async fn serve(&mut self, mut stream: FramedStream, first: OutboundMessage) -> io::Result<()> {
        let mut state = ConnectionState::new(self.clock.now());
        let mut ticks = tokio::time::interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.write(&mut stream, &mut state, first).await?;
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.write(&mut stream, &mut state, message).await?,
                    None => return Ok(()),
                },
                frame = stream.next() => match frame {
                    Some(frame) => state.process_frame(frame?, self.clock.now()),
                    None => return Err(io::ErrorKind::UnexpectedEof.into()),
                },
                _ = ticks.tick(), if state.needs_probes(self.clock.now()) => {
                    let now = self.clock.now();
                    if state.probe_timed_out(now) {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    if let Some(probe) = state.probe(now) {
                        with_write_timeout(stream.send(probe.encode())).await?;
                    }
                }
            }
        }
    }

    /// Writes a message and further ones from the queue, then flushes.
    async fn write(
        &mut self,
        stream: &mut FramedStream,
        state: &mut ConnectionState,
        first: OutboundMessage,
    ) -> io::Result<()> {
        let now = self.clock.now();
        with_write_timeout(stream.feed(state.encode(first, now))).await?;
        for _ in 1..WRITE_BATCH_MESSAGES {
            match self.messages.try_recv() {
                Ok(message) => with_write_timeout(stream.feed(state.encode(message, now))).await?,
                Err(_) => break,
            }
        }
        with_write_timeout(SinkExt::<Bytes>::flush(stream)).await
    }
}

async fn with_write_timeout(writing: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::time::timeout(WRITE_TIMEOUT, writing).await?
}

/// The calls in flight and the probe state of one connection.
struct ConnectionState {
    next_number: u64,
    calls: HashMap<u64, oneshot::Sender<Bytes>>,
    last_used: Instant,
    probed_at: Option<Instant>,
}

impl ConnectionState {
    fn new(now: Instant) -> Self {
        Self {
            next_number: 1,
            calls: HashMap::new(),
            last_used: now,
            probed_at: None,
        }
    }

    fn encode(&mut self, message: OutboundMessage, now: Instant) -> Bytes {
        self.last_used = now;
        let number = self.next_number;
        self.next_number += 1;
        let frame = match message {
            OutboundMessage::Call(payload, reply_sender) => {
                self.calls.insert(number, reply_sender);
                RpcFrame::new(FrameKind::Call, number, payload)
            }
            OutboundMessage::Notice(payload) => RpcFrame::new(FrameKind::Notice, number, payload),
        };
        frame.encode()
    }

    fn process_frame(&mut self, bytes: BytesMut, now: Instant) {
        // Any received frame shows that the connection works.
        self.probed_at = None;
        let Some(frame) = RpcFrame::decode(bytes.freeze()) else {
            return;
        };
        if frame.kind == FrameKind::Reply {
            self.last_used = now;
            if let Some(reply_sender) = self.calls.remove(&frame.number) {
                // The caller may have timed out.
                let _ = reply_sender.send(frame.payload);
            }
        }
    }

    fn needs_probes(&self, now: Instant) -> bool {
        self.probed_at.is_some() || now.saturating_duration_since(self.last_used) < IN_USE_WINDOW
    }

    fn probe_timed_out(&self, now: Instant) -> bool {
        let overdue = |at: Instant| now.saturating_duration_since(at) > PROBE_TIMEOUT;
        self.probed_at.is_some_and(overdue)
    }

    /// Discards calls whose callers have stopped waiting, and returns the next probe to
    /// send, unless one is still unanswered.
    fn probe(&mut self, now: Instant) -> Option<RpcFrame> {
        self.calls
            .retain(|_, reply_sender| !reply_sender.is_closed());
        if self.probed_at.is_some() {
            return None;
        }
        self.probed_at = Some(now);
        Some(RpcFrame::new(FrameKind::Probe, 0, Bytes::new()))
    }
}
