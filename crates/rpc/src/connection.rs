//! The task that owns the connection to one peer.

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

/// The longest time to open a connection; a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time between two probes of a connection in use.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The time for which a connection counts as in use after its last message.
const IN_USE: Duration = Duration::from_secs(1);

/// The time without an answer to a probe after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// The longest time for the peer to take what was written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time for which messages are refused after a connection could not open.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Messages that one write may carry.
const WRITE_BATCH: usize = 64;

/// A message for the peer.
pub(crate) enum OutboundMessage {
    /// A call and where its answer goes.
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
    /// Runs until the client is dropped.
    pub(crate) async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            match self.open().await {
                Ok(stream) => {
                    if let Err(error) = self.serve(stream, message).await {
                        log::debug!("rpc: the connection to {} ended: {error}.", self.peer);
                    }
                }
                Err(error) => {
                    log::debug!("rpc: cannot connect to {}: {error}.", self.peer);
                    drop(message);
                    self.refuse_for(RECONNECT_PAUSE).await;
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

    /// Drops messages, so that callers learn at once that the peer is away.
    async fn refuse_for(&mut self, pause: Duration) {
        let refusing = async { while self.messages.recv().await.is_some() {} };
        // The pause ends by the timeout unless the client was dropped.
        let _ = tokio::time::timeout(pause, refusing).await;
    }

    /// Serves one connection until it fails; calls in flight are dropped then.
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
                    Some(frame) => state.take(frame?, self.clock.now()),
                    None => return Err(io::ErrorKind::UnexpectedEof.into()),
                },
                _ = ticks.tick(), if state.needs_probes(self.clock.now()) => {
                    let now = self.clock.now();
                    if state.is_silent(now) {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    if let Some(probe) = state.probe(now) {
                        bounded(stream.send(probe.encode())).await?;
                    }
                }
            }
        }
    }

    /// Writes a message and those that wait behind it.
    async fn write(
        &mut self,
        stream: &mut FramedStream,
        state: &mut ConnectionState,
        first: OutboundMessage,
    ) -> io::Result<()> {
        let now = self.clock.now();
        bounded(stream.feed(state.encode(first, now))).await?;
        for _ in 1..WRITE_BATCH {
            match self.messages.try_recv() {
                Ok(message) => bounded(stream.feed(state.encode(message, now))).await?,
                Err(_) => break,
            }
        }
        bounded(SinkExt::<Bytes>::flush(stream)).await
    }
}

async fn bounded(writing: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::time::timeout(WRITE_TIMEOUT, writing).await?
}

/// The calls in flight and the probes of one connection.
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
            OutboundMessage::Call(payload, answer) => {
                self.calls.insert(number, answer);
                RpcFrame::new(FrameKind::Call, number, payload)
            }
            OutboundMessage::Notice(payload) => RpcFrame::new(FrameKind::Notice, number, payload),
        };
        frame.encode()
    }

    fn take(&mut self, bytes: BytesMut, now: Instant) {
        // Any frame shows that the connection is alive.
        self.probed_at = None;
        let Some(frame) = RpcFrame::decode(bytes.freeze()) else {
            return;
        };
        if frame.kind == FrameKind::Answer {
            self.last_used = now;
            if let Some(answer) = self.calls.remove(&frame.number) {
                // The caller may have given up.
                let _ = answer.send(frame.payload);
            }
        }
    }

    fn needs_probes(&self, now: Instant) -> bool {
        self.probed_at.is_some() || now.saturating_duration_since(self.last_used) < IN_USE
    }

    fn is_silent(&self, now: Instant) -> bool {
        let overdue = |at: Instant| now.saturating_duration_since(at) > SILENCE_TIMEOUT;
        self.probed_at.is_some_and(overdue)
    }

    /// The next probe, unless one is on its way.
    fn probe(&mut self, now: Instant) -> Option<RpcFrame> {
        self.calls.retain(|_, answer| !answer.is_closed());
        if self.probed_at.is_some() {
            return None;
        }
        self.probed_at = Some(now);
        Some(RpcFrame::new(FrameKind::Probe, 0, Bytes::new()))
    }
}
