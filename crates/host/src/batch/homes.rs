//! Which host dispatches batch items to which backend server.

use crate::peers::{PeerDirectory, PeerMessage};
use crate::routing::{RoutingHandle, RoutingPlace, SlotWish};
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two looks at the live hosts.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the routing task told of the hosts that share the servers.
pub(crate) struct HomeTask {
    pub(crate) place: RoutingPlace,
    pub(crate) directory: PeerDirectory,
    pub(crate) routing: RoutingHandle,
}

impl HomeTask {
    pub(crate) async fn run(self) {
        let mut looks = tokio::time::interval(LOOK_INTERVAL);
        let mut known = Vec::new();
        loop {
            looks.tick().await;
            let hosts = self.live_hosts();
            if hosts != known {
                self.routing.set_hosts(hosts.clone());
                known = hosts;
            }
        }
    }

    fn live_hosts(&self) -> Vec<RoutingPlace> {
        let live = self.directory.live().into_iter();
        let others = live.map(|peer| RoutingPlace {
            host: peer.host,
            zone: peer.zone,
        });
        let mut hosts: Vec<RoutingPlace> = others.collect();
        hosts.push(self.place.clone());
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}

/// Asks the dispatching hosts of servers for slots that online requests need.
pub(crate) struct SlotRelay {
    pub(crate) directory: PeerDirectory,
    pub(crate) wishes: mpsc::UnboundedReceiver<SlotWish>,
}

impl SlotRelay {
    pub(crate) async fn run(mut self) {
        while let Some(wish) = self.wishes.recv().await {
            let live = self.directory.live();
            if let Some(peer) = live.iter().find(|peer| peer.host == wish.home) {
                let message = PeerMessage::YieldSlot(wish.server);
                self.directory.send(peer.address, &message);
            }
        }
    }
}
