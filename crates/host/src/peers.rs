//! Messages between hosts, and the directory of known hosts.

mod task;

pub(crate) use task::PeerTask;

use crate::limits::LimitMessage;
use crate::quarantine::{CompletionReport, CrashReport};
use crate::replica::ReplicaMessage;
use chicoryladder_link::{InboundMessage, LinkCounts, PeerLink};
use chicoryladder_policy::quarantine::{QuarantinedSegments, SuspectUpdate};
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

/// The time after its last message during which a host counts as live.
pub(crate) const PEER_LIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time after its last message at which a host is removed from the directory
/// and no longer counts as part of the fleet.
const PEER_REMOVE_AFTER: Duration = Duration::from_secs(60 * 60);

/// A message between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Announces that the sender is up, with its position in the log.
    Heartbeat(HostPosition),
    /// Requests a [`PeerMessage::Position`] once the given log index is applied.
    PositionRequest(LogIndex),
    /// Reports the sender's position.
    Position(HostPosition),
    /// Propagates key withdrawals that the sender has not yet seen in the log.
    Tombstones(KeyTombstones),
    /// Forwards the announcement of a backend server.
    Announcement(ServerAnnouncement),
    /// Requests a slot of a backend server that a batch item occupies.
    PreemptBatchItem(ServerName),
    /// Reports that a batch item has released its slot of the backend server.
    SlotReleased(ServerName),
    /// Reports an online request placed on a backend server to the host that
    /// dispatches batch items to that server.
    OnlineDispatched(ServerName),
    /// A message for the replica task.
    Replica(ReplicaMessage),
    /// Reports requests that were in flight on lost servers.
    Suspects(Vec<SuspectUpdate>),
    /// Reports that a server was lost while it processed a request.
    ServerCrash(CrashReport),
    /// Reports that a request with a suspect prompt segment completed.
    RunCompleted(CompletionReport),
    /// Reports the prompt segments that the sender has in quarantine.
    QuarantinedSegments(Vec<QuarantinedSegments>),
    /// Reports the sender's request statistics to the leader.
    Statistics(StatisticsReport),
    /// Distributes the latest board.
    Board(FleetBoard),
    /// A message for the task that enforces the teams' rate limits.
    Limits(LimitMessage),
}

/// A host from which a message has been received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerRecord {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) last_heard: Instant,
    /// The position that the host reported last.
    pub(crate) position: Option<HostPosition>,
}

/// Sends messages to other hosts and records which hosts sent messages; clones share
/// the records.
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
        let own_address = link.address();
        Self {
            link,
            clock,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != own_address)
                .collect(),
            records: Arc::default(),
            position_changes: watch::Sender::new(()),
        }
    }

    /// The peer address of this host.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// The peer address from which the host's most recent message came.
    pub(crate) fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let records = self.lock_records();
        let matching = records.values().filter(|peer| peer.host == *host);
        let latest = matching.max_by_key(|peer| peer.last_heard);
        latest.map(|peer| peer.address)
    }

    /// The traffic counters of this host's link.
    pub(crate) fn link_counts(&self) -> LinkCounts {
        self.link.stats().counts()
    }

    /// Waits until the peer port is released after the host has stopped.
    pub(crate) async fn wait_closed(&self) {
        self.link.closed().await;
    }

    /// Queues a message to one host; delivery is not guaranteed.
    pub(crate) fn send(&self, peer: SocketAddr, message: &PeerMessage) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => {
                // The link counts the messages that it drops.
                let _ = self.link.send(peer, bytes);
            }
            Err(error) => log::error!("peers: cannot encode a message: {error}."),
        }
    }

    /// Queues a message to every seed address and every live host.
    pub(crate) fn broadcast(&self, message: &PeerMessage) {
        for peer in self.addresses() {
            self.send(peer, message);
        }
    }

    /// The hosts from which a message arrived within [`PEER_LIVE_TIMEOUT`].
    pub(crate) fn live(&self) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let records = self.lock_records();
        let is_live = |peer: &&PeerRecord| {
            now.saturating_duration_since(peer.last_heard) <= PEER_LIVE_TIMEOUT
        };
        records.values().filter(is_live).cloned().collect()
    }

    /// The hosts from which a message arrived within [`PEER_REMOVE_AFTER`].
    pub(crate) fn known(&self) -> Vec<PeerRecord> {
        let now = self.clock.now();
        let age = |peer: &PeerRecord| now.saturating_duration_since(peer.last_heard);
        let mut records = self.lock_records();
        records.retain(|_, peer| age(peer) <= PEER_REMOVE_AFTER);
        records.values().cloned().collect()
    }

    /// The seed addresses from the settings from which no message has arrived.
    pub(crate) fn contacts_not_heard(&self) -> Vec<SocketAddr> {
        let records = self.lock_records();
        let mut contacts = self.seeds.to_vec();
        contacts.retain(|contact| !records.contains_key(contact));
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// A receiver that is notified whenever another host reports its position.
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
