//! The handle through which other tasks send and receive messages.

use crate::envelope::LinkFrame;
use crate::fragment::{MESSAGE_MAX_BYTES, PART_MAX_BYTES, split};
use crate::inbound::{self, InboundTask};
use crate::outbound::{OutboundTask, PeerQueue};
use crate::secret::PeerSecret;
use crate::settings::{LinkIdentity, LinkTiming};
use crate::stats::{LinkStats, increment};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};

/// The maximum number of messages queued for one peer.
const PEER_QUEUE_MESSAGES: usize = 1024;

/// The maximum number of received messages queued for the host.
const INBOUND_QUEUE_MESSAGES: usize = 4096;

/// Why a link could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Why a message could not be queued.
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
    /// The address at which the sender receives messages.
    pub reply_address: SocketAddr,
    /// The bytes of the message.
    pub payload: Vec<u8>,
}

/// The state shared by all tasks of a link.
pub(crate) struct LinkShared {
    pub(crate) identity: LinkIdentity,
    pub(crate) secret: PeerSecret,
    pub(crate) timing: LinkTiming,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) stats: LinkStats,
    /// Whether the listening socket is still open.
    pub(crate) listening: watch::Sender<bool>,
    /// The sequence number of the last message; continues across connections, so
    /// that no number is reused.
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
    /// Port 0 selects a free port; see [`PeerLink::address`].
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

    /// The address at which this host receives messages.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Waits until the listening socket is closed, which happens some time after
    /// the receiver of the messages is dropped.
    pub async fn closed(&self) {
        let mut listening = self.shared.listening.subscribe();
        // Cannot fail: the sender lives as long as this handle.
        let _ = listening.wait_for(|listening| !listening).await;
    }

    /// The counters of the link.
    #[must_use]
    pub fn stats(&self) -> &LinkStats {
        &self.shared.stats
    }

    /// Queues a message. It may be lost, duplicated or delayed, but never altered.
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
            increment(&self.shared.stats.dropped_full);
            SendError::QueueFull
        })
    }

    pub(crate) fn shared(&self) -> &Arc<LinkShared> {
        &self.shared
    }

    /// Reports to the outbound task of a peer that the peer replied to a probe.
    pub(crate) fn record_reply(&self, peer: SocketAddr, probe: u64) {
        self.queue(peer).record_reply(probe);
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
