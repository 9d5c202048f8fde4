//! The task that owns the outgoing connection to one peer.

use crate::envelope::{LinkFrame, PeerEnvelope};
use crate::handle::LinkShared;
use crate::stats::{add, increment};
use anng::protocols::pipeline0::Push0;
use anng::{Message, Socket};
use std::ffi::CString;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The delay before retrying after a socket could not be opened.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The queue to the outbound task of one peer.
#[derive(Clone)]
pub(crate) struct PeerQueue {
    pub(crate) sender: mpsc::Sender<LinkFrame>,
    last_answered: Arc<AtomicU64>,
}

impl PeerQueue {
    pub(crate) fn record_reply(&self, probe: u64) {
        self.last_answered.fetch_max(probe, Ordering::Relaxed);
    }
}

/// The probe state of the current connection.
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
    last_answered: Arc<AtomicU64>,
    probes: ProbeState,
}

impl OutboundTask {
    pub(crate) fn new(
        shared: Arc<LinkShared>,
        peer: SocketAddr,
        queue_messages: usize,
    ) -> (PeerQueue, Self) {
        let (sender, frames) = mpsc::channel(queue_messages);
        let last_answered = Arc::new(AtomicU64::new(0));
        let queue = PeerQueue {
            sender,
            last_answered: last_answered.clone(),
        };
        let task = Self {
            shared,
            peer,
            frames,
            last_answered,
            probes: ProbeState {
                last_sent: 0,
                unanswered_since: None,
            },
        };
        (queue, task)
    }

    /// Runs until the link is dropped or no message is queued for the idle timeout.
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

    /// Serves one connection; returns `Break` if the task should end, and `Continue`
    /// if the connection has to be replaced.
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
            if !sent || self.probes_timed_out() {
                return std::ops::ControlFlow::Continue(());
            }
        }
    }

    /// Sends the next probe; returns false if the connection did not accept it in time.
    async fn probe(&mut self, socket: &mut Socket<Push0>) -> bool {
        // Replies received so far are evaluated before the next probe is sent.
        self.update_probes();
        self.probes.last_sent += 1;
        let now = self.shared.clock.now();
        self.probes.unanswered_since.get_or_insert(now);
        self.push(socket, LinkFrame::Probe(self.probes.last_sent))
            .await
    }

    /// Clears `unanswered_since` if the last probe was answered.
    fn update_probes(&mut self) {
        if self.last_answered.load(Ordering::Relaxed) >= self.probes.last_sent {
            self.probes.unanswered_since = None;
        }
    }

    /// Whether probes of this connection stayed unanswered for the probe timeout.
    fn probes_timed_out(&mut self) -> bool {
        self.update_probes();
        let now = self.shared.clock.now();
        let timed_out = self.probes.unanswered_since.is_some_and(|since| {
            now.saturating_duration_since(since) > self.shared.timing.probe_timeout
        });
        if timed_out {
            increment(&self.shared.stats.replaced_unresponsive);
            log::info!(
                "link: replacing the unresponsive connection to {}.",
                self.peer
            );
        }
        timed_out
    }

    /// Sends one frame; returns false if the connection did not accept it in time.
    async fn push(&mut self, socket: &mut Socket<Push0>, frame: LinkFrame) -> bool {
        let sealed = match self.seal(frame) {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!("link: dropped a message to {}: {error}.", self.peer);
                return true;
            }
        };
        let mut message = Message::with_capacity(sealed.len());
        if message.write_all(&sealed).is_err() {
            return true;
        }
        let push = socket.push(message);
        let result = tokio::time::timeout(self.shared.timing.send_timeout, push).await;
        let accepted = matches!(result, Ok(Ok(())));
        if accepted {
            increment(&self.shared.stats.sent);
            add(&self.shared.stats.sent_bytes, sealed.len());
        } else {
            increment(&self.shared.stats.dropped_slow);
        }
        accepted
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
