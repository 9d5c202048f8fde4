//! The handle that other tasks use to send and receive.

use crate::envelope::LinkFrame;
use crate::fragment::{MESSAGE_MAX_BYTES, PART_MAX_BYTES, split};
use crate::inbound::{self, InboundTask};
use crate::outbound::{OutboundTask, PeerQueue};
use crate::secret::PeerSecret;
use crate::settings::{LinkIdentity, LinkTiming};
use crate::stats::{LinkStats, count};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};

/// Messages that wait for one peer.
const PEER_QUEUE_MESSAGES: usize = 1024;

/// Messages received that wait for the host.
const INBOUND_QUEUE_MESSAGES: usize = 4096;

/// Why a link did not start.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Why a message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The queue to the peer is full.
    #[error("the queue to the peer is full")]
    QueueFull,
    /// The message is longer than [`MESSAGE_MAX_BYTES`].
    #[error("the message is longer than {MESSAGE_MAX_BYTES} bytes")]
    TooLong,
}

/// A message from another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundMessage {
    /// The host that sent the message.
    pub sender: HostName,
    /// The availability zone of the sender.
    pub zone: ZoneName,
    /// The address at which the sender takes messages.
    pub reply_address: SocketAddr,
    /// The bytes of the message.
    pub payload: Vec<u8>,
}

/// What every task of the link shares.
pub(crate) struct LinkShared {
    pub(crate) identity: LinkIdentity,
    pub(crate) secret: PeerSecret,
    pub(crate) timing: LinkTiming,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) stats: LinkStats,
    /// Whether the port is taken.
    pub(crate) listening: watch::Sender<bool>,
    /// The number of the last message; never reused, also on a new connection.
    sequence: AtomicU64,
    peers: Mutex<HashMap<SocketAddr, PeerQueue>>,
}

impl LinkShared {
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Sends messages to other hosts; clones share one link.
#[derive(Clone)]
pub struct PeerLink {
    shared: Arc<LinkShared>,
}

impl PeerLink {
    /// Listens on `address` and starts the tasks of the link.
    ///
    /// Port 0 takes a free port; see [`PeerLink::address`].
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        identity: LinkIdentity,
        secret: PeerSecret,
        timing: LinkTiming,
        clock: Arc<dyn ClockSource>,
    ) -> Result<(Self, mpsc::Receiver<InboundMessage>), LinkError> {
        let socket = inbound::listen(address).await?;
        let shared = Arc::new(LinkShared {
            identity,
            secret,
            timing,
            address: socket.address,
            clock,
            stats: LinkStats::default(),
            listening: watch::Sender::new(true),
            sequence: AtomicU64::new(0),
            peers: Mutex::default(),
        });
        let link = Self { shared };
        let (sender, receiver) = mpsc::channel(INBOUND_QUEUE_MESSAGES);
        let task = InboundTask::new(link.clone(), socket, sender);
        tokio::spawn(task.run());
        Ok((link, receiver))
    }

    /// The address at which this host takes messages.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Waits until the port is free again, which it is some time after the
    /// receiver of the messages was dropped.
    pub async fn closed(&self) {
        let mut listening = self.shared.listening.subscribe();
        // The sender lives as long as this handle.
        let _ = listening.wait_for(|listening| !listening).await;
    }

    /// The counters of the link.
    #[must_use]
    pub fn stats(&self) -> &LinkStats {
        &self.shared.stats
    }

    /// Queues a message; it may be lost, doubled or late, never changed.
    ///
    /// # Errors
    ///
    /// Fails at once if the queue to the peer is full or the message too long.
    pub fn send(&self, peer: SocketAddr, payload: Vec<u8>) -> Result<(), SendError> {
        if payload.len() <= PART_MAX_BYTES {
            return self.send_frame(peer, LinkFrame::Data(payload));
        }
        if payload.len() > MESSAGE_MAX_BYTES {
            return Err(SendError::TooLong);
        }
        let message = self.shared.next_sequence();
        for part in split(message, &payload) {
            self.send_frame(peer, LinkFrame::Part(part))?;
        }
        Ok(())
    }

    pub(crate) fn send_frame(&self, peer: SocketAddr, frame: LinkFrame) -> Result<(), SendError> {
        let queue = self.queue(peer);
        queue.sender.try_send(frame).map_err(|_| {
            count(&self.shared.stats.dropped_full);
            SendError::QueueFull
        })
    }

    pub(crate) fn shared(&self) -> &Arc<LinkShared> {
        &self.shared
    }

    /// Tells the outbound task of a peer that the peer answered a probe.
    pub(crate) fn note_answer(&self, peer: SocketAddr, probe: u64) {
        self.queue(peer).note_answer(probe);
    }

    fn queue(&self, peer: SocketAddr) -> PeerQueue {
        let mut peers = self.lock_peers();
        if let Some(queue) = peers.get(&peer).filter(|queue| !queue.sender.is_closed()) {
            return queue.clone();
        }
        let (queue, task) = OutboundTask::new(self.shared.clone(), peer, PEER_QUEUE_MESSAGES);
        peers.insert(peer, queue.clone());
        tokio::spawn(task.run());
        queue
    }

    fn lock_peers(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerQueue>> {
        self.shared
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
