//! Messages between hosts and the directory of known hosts.

use crate::replica::{ReplicaInbox, ReplicaMessage};
use crate::routing::RoutingHandle;
use chicoryladder_link::{InboundMessage, PeerLink};
use chicoryladder_types::ServerAnnouncement;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The time between two greetings to each known host.
const GREETING_INTERVAL: Duration = Duration::from_secs(1);

/// The time after its last message for which a host counts as live.
pub(crate) const PEER_LIVE_FOR: Duration = Duration::from_secs(4);

/// Everything that hosts tell one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Tells that the sender is up.
    Greeting,
    /// Passes on what a backend server told the sender.
    Announcement(ServerAnnouncement),
    /// Asks for a slot of a backend server that batch work takes up.
    YieldSlot(ServerName),
    /// Concerns the replicated state.
    Replica(ReplicaMessage),
}

/// A host that was heard from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerRecord {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) last_heard: Instant,
}

/// Sends messages to hosts and knows which were heard from; clones share it.
#[derive(Clone)]
pub(crate) struct PeerDirectory {
    link: PeerLink,
    clock: Arc<dyn ClockSource>,
    seeds: Arc<[SocketAddr]>,
    heard: Arc<Mutex<BTreeMap<SocketAddr, PeerRecord>>>,
}

impl PeerDirectory {
    pub(crate) fn new(
        link: PeerLink,
        clock: Arc<dyn ClockSource>,
        seeds: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let own = link.address();
        Self {
            link,
            clock,
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            heard: Arc::default(),
        }
    }

    /// The address of this host among its peers.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// The number of hosts that the settings name, with this one.
    pub(crate) fn contact_count(&self) -> usize {
        let mut contacts = self.seeds.to_vec();
        contacts.sort_unstable();
        contacts.dedup();
        contacts.len() + 1
    }

    /// Queues a message to one host; it may be lost.
    pub(crate) fn send(&self, peer: SocketAddr, message: &PeerMessage) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => {
                // The link counts what it drops.
                let _ = self.link.send(peer, bytes);
            }
            Err(error) => log::error!("peers: cannot encode a message: {error}."),
        }
    }

    /// Queues a message to every known host.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for peer in self.addresses() {
            self.send(peer, message);
        }
    }

    /// Hosts heard from lately.
    pub(crate) fn live(&self) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let heard = self.lock_heard();
        let is_live =
            |peer: &&PeerRecord| now.saturating_duration_since(peer.last_heard) <= PEER_LIVE_FOR;
        heard.values().filter(is_live).cloned().collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.to_vec();
        addresses.extend(self.live().iter().map(|peer| peer.address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    fn note_heard(&self, message: &InboundMessage) {
        let record = PeerRecord {
            host: message.sender.clone(),
            zone: message.zone.clone(),
            address: message.reply_address,
            last_heard: self.clock.now(),
        };
        self.lock_heard().insert(record.address, record);
    }

    fn lock_heard(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, PeerRecord>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hands each message from other hosts to the task that it concerns.
pub(crate) struct PeerTask {
    pub(crate) directory: PeerDirectory,
    pub(crate) messages: mpsc::Receiver<InboundMessage>,
    pub(crate) replica: ReplicaInbox,
    pub(crate) routing: RoutingHandle,
}

impl PeerTask {
    pub(crate) async fn run(mut self) {
        let mut greetings = tokio::time::interval(GREETING_INTERVAL);
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.dispatch(&message),
                    None => return,
                },
                _ = greetings.tick() => self.directory.broadcast(&PeerMessage::Greeting),
            }
        }
    }

    fn dispatch(&self, message: &InboundMessage) {
        self.directory.note_heard(message);
        match postcard::from_bytes(&message.payload) {
            Ok(PeerMessage::Greeting) => {}
            Ok(PeerMessage::Announcement(announcement)) => self.routing.announce(announcement),
            Ok(PeerMessage::YieldSlot(server)) => self.routing.yield_slot(server),
            Ok(PeerMessage::Replica(content)) => {
                self.replica.deliver(message.reply_address, content);
            }
            Err(error) => {
                log::warn!(
                    "peers: cannot decode a message of {}: {error}.",
                    message.sender
                );
            }
        }
    }
}
