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

/// The silence of the peer after which a connection in use is probed, see
/// [`IN_USE_WINDOW`].
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The time after which a connection is probed for an unanswered call with a maximum
/// silence. Most replies arrive sooner.
const CALL_PROBE_DELAY: Duration = Duration::from_millis(40);

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
    /// A call.
    Call(OutboundCall),
    /// A notice.
    Notice(Bytes),
}

/// A call to the peer.
pub(crate) struct OutboundCall {
    pub(crate) payload: Bytes,
    pub(crate) reply_sender: oneshot::Sender<Bytes>,
    /// How long the peer may leave a probe unanswered before the call fails, if it fails
    /// sooner than the connection.
    pub(crate) max_silence: Option<Duration>,
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
        self.write(&mut stream, &mut state, first).await?;
        loop {
            let now = self.clock.now();
            let due_at = state.check_due_at(now);
            let due_in = due_at.map(|at| at.saturating_duration_since(now));
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.write(&mut stream, &mut state, message).await?,
                    None => return Ok(()),
                },
                frame = stream.next() => match frame {
                    Some(frame) => state.process_frame(frame?, self.clock.now()),
                    None => return Err(io::ErrorKind::UnexpectedEof.into()),
                },
                () = tokio::time::sleep(due_in.unwrap_or_default()), if due_in.is_some() => {
                    let now = self.clock.now();
                    if state.probe_timed_out(now) {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    state.fail_calls_in_silence(now);
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

/// A call that the peer has not answered yet.
struct CallInFlight {
    reply_sender: oneshot::Sender<Bytes>,
    max_silence: Option<Duration>,
}

/// The calls in flight and the probe state of one connection.
struct ConnectionState {
    next_number: u64,
    calls: HashMap<u64, CallInFlight>,
    last_used: Instant,
    /// When the connection was first used after it was not in use.
    in_use_since: Instant,
    /// When the peer last sent a frame.
    last_heard: Instant,
    /// When the unanswered probe was sent.
    probed_at: Option<Instant>,
    /// When to probe for the oldest call with a maximum silence that no probe followed.
    call_probe_at: Option<Instant>,
}

impl ConnectionState {
    fn new(now: Instant) -> Self {
        Self {
            next_number: 1,
            calls: HashMap::new(),
            last_used: now,
            in_use_since: now,
            last_heard: now,
            probed_at: None,
            call_probe_at: None,
        }
    }

    fn encode(&mut self, message: OutboundMessage, now: Instant) -> Bytes {
        if !self.is_in_use(now) {
            self.in_use_since = now;
        }
        self.last_used = now;
        let number = self.next_number;
        self.next_number += 1;
        let frame = match message {
            OutboundMessage::Call(call) => {
                if call.max_silence.is_some() {
                    self.call_probe_at.get_or_insert(now + CALL_PROBE_DELAY);
                }
                let in_flight = CallInFlight {
                    reply_sender: call.reply_sender,
                    max_silence: call.max_silence,
                };
                self.calls.insert(number, in_flight);
                RpcFrame::new(FrameKind::Call, number, call.payload)
            }
            OutboundMessage::Notice(payload) => RpcFrame::new(FrameKind::Notice, number, payload),
        };
        frame.encode()
    }

    fn process_frame(&mut self, bytes: BytesMut, now: Instant) {
        // Any received frame shows that the connection works.
        self.probed_at = None;
        self.last_heard = now;
        let Some(frame) = RpcFrame::decode(bytes.freeze()) else {
            return;
        };
        if frame.kind == FrameKind::Reply {
            self.last_used = now;
            if let Some(call) = self.calls.remove(&frame.number) {
                // The caller may have timed out.
                let _ = call.reply_sender.send(frame.payload);
            }
            if self.calls.is_empty() {
                self.call_probe_at = None;
            }
        }
    }

    fn is_in_use(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) < IN_USE_WINDOW
    }

    /// When the next probe is due, or the silence after one may have lasted too long;
    /// `None` while the connection is idle.
    fn check_due_at(&self, now: Instant) -> Option<Instant> {
        let Some(probed_at) = self.probed_at else {
            let silent_since = self.last_heard.max(self.in_use_since);
            let regular = self.is_in_use(now).then(|| silent_since + PROBE_INTERVAL);
            return regular.into_iter().chain(self.call_probe_at).min();
        };
        let silences = self.calls.values().filter_map(|call| call.max_silence);
        let shortest = silences.min().unwrap_or(PROBE_TIMEOUT).min(PROBE_TIMEOUT);
        Some(probed_at + shortest)
    }

    fn probe_timed_out(&self, now: Instant) -> bool {
        let overdue = |at: Instant| now.saturating_duration_since(at) >= PROBE_TIMEOUT;
        self.probed_at.is_some_and(overdue)
    }

    /// Fails the calls that do not bear the silence since the unanswered probe, by dropping
    /// the senders of their replies.
    fn fail_calls_in_silence(&mut self, now: Instant) {
        if let Some(probed_at) = self.probed_at {
            let silence = now.saturating_duration_since(probed_at);
            let bears = |call: &CallInFlight| call.max_silence.is_none_or(|max| silence < max);
            self.calls.retain(|_, call| bears(call));
        }
    }

    /// Discards calls whose callers have stopped waiting, and returns the next probe to
    /// send, unless one is still unanswered or none is due.
    fn probe(&mut self, now: Instant) -> Option<RpcFrame> {
        self.calls.retain(|_, call| !call.reply_sender.is_closed());
        if self.probed_at.is_some() || self.check_due_at(now).is_none_or(|due| now < due) {
            return None;
        }
        self.call_probe_at = None;
        self.probed_at = Some(now);
        Some(RpcFrame::new(FrameKind::Probe, 0, Bytes::new()))
    }
}
