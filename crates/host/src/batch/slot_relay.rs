//! Live-host updates for routing, and slot messages between hosts.
//!
//! Routing derives from the live hosts which of them dispatches batch items to
//! which backend server.

use crate::peers::{PeerDirectory, PeerMessage};
use crate::routing::{RoutingHandle, RoutingLocation, RoutingNotice, SlotEvent};
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two checks of the live hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Notifies the routing task when the set of live hosts changes.
pub(crate) struct HostWatcher {
    pub(crate) location: RoutingLocation,
    pub(crate) directory: PeerDirectory,
    pub(crate) routing: RoutingHandle,
}

impl HostWatcher {
    pub(crate) async fn run(self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        let mut known = Vec::new();
        loop {
            ticks.tick().await;
            let hosts = self.live_hosts();
            if hosts != known {
                self.routing.set_hosts(hosts.clone());
                known = hosts;
            }
        }
    }

    fn live_hosts(&self) -> Vec<RoutingLocation> {
        let live = self.directory.live().into_iter();
        let others = live.map(|peer| RoutingLocation {
            host: peer.host,
            zone: peer.zone,
        });
        let mut hosts: Vec<RoutingLocation> = others.collect();
        hosts.push(self.location.clone());
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

/// Sends the notices of the routing task to the hosts concerned.
pub(crate) struct SlotRelay {
    pub(crate) directory: PeerDirectory,
    pub(crate) notices: mpsc::UnboundedReceiver<RoutingNotice>,
}

impl SlotRelay {
    pub(crate) async fn run(mut self) {
        while let Some(notice) = self.notices.recv().await {
            let notice = match notice {
                RoutingNotice::Slot(notice) => notice,
                RoutingNotice::Departure(announcement) => {
                    let message = PeerMessage::Announcement(announcement);
                    self.directory.broadcast(&message);
                    continue;
                }
            };
            let message = match notice.event {
                SlotEvent::Requested => PeerMessage::PreemptBatchItem(notice.server),
                SlotEvent::Released => PeerMessage::SlotReleased(notice.server),
                SlotEvent::OnlineDispatched => PeerMessage::OnlineDispatched(notice.server),
            };
            if let Some(address) = self.directory.address_of(&notice.receiver) {
                self.directory.send(address, &message);
            }
        }
    }
}
