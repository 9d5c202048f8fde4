//! The task that owns the connection to one peer.

use crate::envelope::{LinkFrame, PeerEnvelope};
use crate::handle::LinkShared;
use crate::stats::{add, count};
use anng::protocols::pipeline0::Push0;
use anng::{Message, Socket};
use std::ffi::CString;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The pause after a socket could not be opened.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The way to the task of one peer.
#[derive(Clone)]
pub(crate) struct PeerQueue {
    pub(crate) sender: mpsc::Sender<LinkFrame>,
    answered: Arc<AtomicU64>,
}

impl PeerQueue {
    pub(crate) fn note_answer(&self, probe: u64) {
        self.answered.fetch_max(probe, Ordering::Relaxed);
    }
}

/// Probes of the current connection that wait for an answer.
#[derive(Clone, Copy)]
struct ProbeState {
    last_sent: u64,
    unanswered_since: Option<Instant>,
}

/// Owns the push socket to one peer.
pub(crate) struct OutboundTask {
    shared: Arc<LinkShared>,
    peer: SocketAddr,
    frames: mpsc::Receiver<LinkFrame>,
    answered: Arc<AtomicU64>,
    probes: ProbeState,
}

impl OutboundTask {
    pub(crate) fn new(
        shared: Arc<LinkShared>,
        peer: SocketAddr,
        queue_messages: usize,
    ) -> (PeerQueue, Self) {
        let (sender, frames) = mpsc::channel(queue_messages);
        let answered = Arc::new(AtomicU64::new(0));
        let queue = PeerQueue {
            sender,
            answered: answered.clone(),
        };
        let task = Self {
            shared,
            peer,
            frames,
            answered,
            probes: ProbeState {
                last_sent: 0,
                unanswered_since: None,
            },
        };
        (queue, task)
    }

    /// Runs until the link is dropped or no message came for the idle timeout.
    pub(crate) async fn run(mut self) {
        loop {
            match self.open().await {
                Ok(socket) => {
                    if self.serve(socket).await.is_break() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!("link: cannot open a socket to {}: {error}.", self.peer);
                    tokio::time::sleep(OPEN_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn open(&mut self) -> std::io::Result<Socket<Push0>> {
        self.probes.unanswered_since = None;
        let url = CString::new(format!("tcp://{}", self.peer))?;
        Push0::dial(url).await
    }

    /// Serves one connection; breaks when the task should end.
    async fn serve(&mut self, mut socket: Socket<Push0>) -> std::ops::ControlFlow<()> {
        let mut ticks = tokio::time::interval(self.shared.timing.probe_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_frame = self.shared.clock.now();
        loop {
            let sent = tokio::select! {
                frame = self.frames.recv() => match frame {
                    None => return std::ops::ControlFlow::Break(()),
                    Some(frame) => {
                        if matches!(frame, LinkFrame::Data(_) | LinkFrame::Part(_)) {
                            last_frame = self.shared.clock.now();
                        }
                        self.push(&mut socket, frame).await
                    }
                },
                _ = ticks.tick() => {
                    let idle = self.shared.clock.now().saturating_duration_since(last_frame);
                    if idle > self.shared.timing.idle_timeout && self.frames.is_empty() {
                        return std::ops::ControlFlow::Break(());
                    }
                    self.probe(&mut socket).await
                }
            };
            if !sent || self.is_silent() {
                return std::ops::ControlFlow::Continue(());
            }
        }
    }

    async fn probe(&mut self, socket: &mut Socket<Push0>) -> bool {
        // Before the next probe is under way: answers so far count.
        self.note_answers();
        self.probes.last_sent += 1;
        let now = self.shared.clock.now();
        self.probes.unanswered_since.get_or_insert(now);
        self.push(socket, LinkFrame::Probe(self.probes.last_sent))
            .await
    }

    /// Notes whether every probe so far was answered.
    fn note_answers(&mut self) {
        if self.answered.load(Ordering::Relaxed) >= self.probes.last_sent {
            self.probes.unanswered_since = None;
        }
    }

    /// Whether the peer left the probes of this connection unanswered too long.
    fn is_silent(&mut self) -> bool {
        self.note_answers();
        let now = self.shared.clock.now();
        let silent = self.probes.unanswered_since.is_some_and(|since| {
            now.saturating_duration_since(since) > self.shared.timing.silence_timeout
        });
        if silent {
            count(&self.shared.stats.replaced_silent);
            log::info!("link: replaces the silent connection to {}.", self.peer);
        }
        silent
    }

    /// Hands one frame to the connection; false if it did not take it in time.
    async fn push(&mut self, socket: &mut Socket<Push0>, frame: LinkFrame) -> bool {
        let sealed = match self.seal(frame) {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!("link: drops a message to {}: {error}.", self.peer);
                return true;
            }
        };
        let mut message = Message::with_capacity(sealed.len());
        if message.write_all(&sealed).is_err() {
            return true;
        }
        let push = socket.push(message);
        let result = tokio::time::timeout(self.shared.timing.send_timeout, push).await;
        let taken = matches!(result, Ok(Ok(())));
        if taken {
            count(&self.shared.stats.sent);
            add(&self.shared.stats.sent_bytes, sealed.len());
        } else {
            count(&self.shared.stats.dropped_slow);
        }
        taken
    }

    fn seal(&self, frame: LinkFrame) -> Result<Vec<u8>, crate::EnvelopeError> {
        let identity = &self.shared.identity;
        let envelope = PeerEnvelope {
            sender: identity.host.clone(),
            zone: identity.zone.clone(),
            reply_address: self.shared.address,
            incarnation: identity.incarnation,
            sequence: self.shared.next_sequence(),
            destination: self.peer,
            frame,
        };
        envelope.seal(&self.shared.secret)
    }
}
