//! Messages between hosts and the directory of known hosts.

mod task;

pub(crate) use task::PeerTask;

use crate::limits::LimitMessage;
use crate::replica::ReplicaMessage;
use chicoryladder_link::{InboundMessage, LinkCounts, PeerLink};
use chicoryladder_policy::quarantine::SuspectUpdate;
use chicoryladder_state::{HostPosition, KeyTombstones, StatisticsReport};
use chicoryladder_types::admin::FleetBoard;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, ServerAnnouncement};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The time after its last message for which a host counts as live.
pub(crate) const PEER_LIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time after its last message for which a host counts as part of the
/// fleet.
const PEER_REMOVE_AFTER: Duration = Duration::from_secs(60 * 60);

/// Everything that hosts tell one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Tells that the sender is up and how far it is.
    Heartbeat(HostPosition),
    /// Asks for a [`PeerMessage::Position`] once the fleet command is applied.
    PositionRequest(LogIndex),
    /// Tells how far the sender is.
    Position(HostPosition),
    /// Passes on key withdrawals that the sender has not seen in the log.
    Tombstones(KeyTombstones),
    /// Passes on what a backend server told the sender.
    Announcement(ServerAnnouncement),
    /// Asks for a slot of a backend server that batch work takes up.
    YieldSlot(ServerName),
    /// Tells that a batch item has left the backend server.
    SlotYielded(ServerName),
    /// Tells of an online request on a backend server that the receiver
    /// dispatches batch items to.
    OnlinePlaced(ServerName),
    /// Concerns the replicated state.
    Replica(ReplicaMessage),
    /// Tells of requests that were on lost servers.
    Suspects(Vec<SuspectUpdate>),
    /// Tells the leader what the sender has counted.
    Statistics(StatisticsReport),
    /// Passes on the newest board.
    Board(FleetBoard),
    /// Concerns the rates of the teams.
    Limits(LimitMessage),
}

/// A host that was heard from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerRecord {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) last_heard: Instant,
    /// What the host said of itself last.
    pub(crate) position: Option<HostPosition>,
}

/// Sends messages to hosts and knows which were heard from; clones share it.
#[derive(Clone)]
pub(crate) struct PeerDirectory {
    link: PeerLink,
    clock: Arc<dyn ClockSource>,
    seeds: Arc<[SocketAddr]>,
    records: Arc<Mutex<BTreeMap<SocketAddr, PeerRecord>>>,
    position_changes: watch::Sender<()>,
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
            records: Arc::default(),
            position_changes: watch::Sender::new(()),
        }
    }

    /// The address of this host among its peers.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// The address of a host that was heard from lately.
    pub(crate) fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let records = self.lock_records();
        let matching = records.values().filter(|peer| peer.host == *host);
        let latest = matching.max_by_key(|peer| peer.last_heard);
        latest.map(|peer| peer.address)
    }

    /// What the link of this host has exchanged so far.
    pub(crate) fn link_counts(&self) -> LinkCounts {
        self.link.stats().counts()
    }

    /// Waits until the peers' port is free again, after the host has stopped.
    pub(crate) async fn wait_closed(&self) {
        self.link.closed().await;
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
        let records = self.lock_records();
        let is_live = |peer: &&PeerRecord| {
            now.saturating_duration_since(peer.last_heard) <= PEER_LIVE_TIMEOUT
        };
        records.values().filter(is_live).cloned().collect()
    }

    /// Hosts heard from at any time since [`PEER_REMOVE_AFTER`].
    pub(crate) fn known(&self) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let age = |peer: &PeerRecord| now.saturating_duration_since(peer.last_heard);
        let mut records = self.lock_records();
        records.retain(|_, peer| age(peer) <= PEER_REMOVE_AFTER);
        records.values().cloned().collect()
    }

    /// Addresses from the settings under which no host is known.
    pub(crate) fn contacts_not_heard(&self) -> Vec<SocketAddr> {
        let records = self.lock_records();
        let mut contacts = self.seeds.to_vec();
        contacts.retain(|contact| !records.contains_key(contact));
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Wakes up whenever another host has told its position.
    pub(crate) fn position_changes(&self) -> watch::Receiver<()> {
        self.position_changes.subscribe()
    }

    fn record_position(&self, address: SocketAddr, position: HostPosition) {
        if let Some(record) = self.lock_records().get_mut(&address) {
            record.position = Some(position);
        }
        self.position_changes.send_replace(());
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.to_vec();
        addresses.extend(self.live().iter().map(|peer| peer.address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    fn record_message(&self, message: &InboundMessage) {
        let mut records = self.lock_records();
        let known = records.remove(&message.reply_address);
        let record = PeerRecord {
            host: message.sender.clone(),
            zone: message.zone.clone(),
            address: message.reply_address,
            last_heard: self.clock.now(),
            position: known.and_then(|known| known.position),
        };
        records.insert(record.address, record);
    }

    fn lock_records(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, PeerRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
