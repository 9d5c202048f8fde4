//! The task that tells the routing task which zones are drained.

use super::handle::RoutingHandle;
use crate::replica::ReplicaHandle;

/// Passes the drained zones of the replicated state on to the routing task whenever they
/// change. A host that is cut off keeps those that it knows.
pub(crate) struct DrainWatcher {
    pub(crate) replica: ReplicaHandle,
    pub(crate) routing: RoutingHandle,
}

impl DrainWatcher {
    pub(crate) async fn run(mut self) {
        let mut known = 0;
        loop {
            let drains = self.replica.view().drains.clone();
            if drains.changes() != known {
                known = drains.changes();
                self.routing.set_drained_zones(drains.drained_zones());
            }
            if !self.replica.changed().await {
                return;
            }
        }
    }
}
