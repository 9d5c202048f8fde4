//! The effect of drained zones on the requests of this host.

use super::RoutingTask;
use chicoryladder_types::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

impl RoutingTask {
    /// Gives the servers of the zones no more work, and that of other zones some again.
    /// Requests that only wait for drained servers are refused at once.
    pub(super) fn set_drained_zones(&mut self, zones: BTreeSet<ZoneName>, now: Instant) {
        let known = self.table.servers().drained_zones().clone();
        for zone in zones.difference(&known) {
            log::info!("routing: zone {zone} is drained; its servers get no new requests.");
        }
        for zone in known.difference(&zones) {
            log::info!("routing: zone {zone} is no longer drained; its servers are used again.");
        }
        self.table.servers().set_drained_zones(zones);
        self.warn_of_drains(now);
        self.refuse_unserved(now);
    }

    /// Warns once if all zones with servers have become drained. The orders are obeyed
    /// nevertheless.
    pub(super) fn warn_of_drains(&mut self, now: Instant) {
        let is_drained = self.table.is_wholly_drained(now);
        if is_drained && !self.is_wholly_drained {
            log::warn!("routing: all zones with servers are drained; requests are refused.");
        }
        self.is_wholly_drained = is_drained;
    }

    pub(super) fn is_drained(&mut self, name: &ServerName) -> bool {
        let key = self.table.find(name);
        key.is_some_and(|key| self.table.servers().is_drained(key))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::routing::handle::{QueueParameters, RoutingLocation, SlotRequest, WorkKind};
    use crate::routing::{RoutingHandle, WorkTarget};
    use chicoryladder_types::{ServerAnnouncement, ServerGeneration, ServerLoad, SystemClock};
    use std::sync::Arc;
    use std::time::Duration;
    use tokio::sync::mpsc;

    const DEADLINE: Duration = Duration::from_secs(30);

    fn zone(name: &str) -> ZoneName {
        ZoneName::try_from(name).expect("it is valid")
    }

    fn target() -> WorkTarget {
        WorkTarget::Model("walks".try_into().expect("it is valid"))
    }

    fn request(kind: WorkKind) -> SlotRequest {
        SlotRequest {
            target: target(),
            kind,
            excluded: Vec::new(),
        }
    }

    fn online() -> SlotRequest {
        request(WorkKind::Online(QueueParameters {
            team: None,
            share: 1,
            class: "chat".try_into().expect("it is valid"),
            class_max: None,
            prefixes: Vec::new(),
        }))
    }

    fn announcement(name: &str, zone_name: &str) -> ServerAnnouncement {
        ServerAnnouncement {
            name: name.try_into().expect("it is valid"),
            zone: zone(zone_name),
            address: "127.0.0.1:1".parse().expect("it is valid"),
            generation: ServerGeneration(1),
            slots: 2,
            models: vec!["walks".try_into().expect("it is valid")],
            services: Vec::new(),
            checks_fencing: false,
            leaving: false,
            load: ServerLoad::default(),
        }
    }

    /// The only host of a fleet, in zone `a`, with a server of two slots in that zone.
    fn routing() -> RoutingHandle {
        let location = RoutingLocation {
            host: "host-1".try_into().expect("it is valid"),
            zone: zone("a"),
        };
        // Nobody reads the notices to other hosts.
        let (notices, _) = mpsc::unbounded_channel();
        let clock = Arc::new(SystemClock);
        let routing = RoutingHandle::start(location.clone(), clock, notices, [3; 32]);
        routing.set_hosts(vec![location]);
        routing.announce(announcement("s-a", "a"));
        routing
    }

    /// Guards against a request that waits for a slot of a drained server until its deadline,
    /// instead of being refused at once as not run, with a time to return.
    #[tokio::test]
    async fn requests_that_wait_are_refused_at_once_when_all_zones_are_drained() {
        let routing = routing();
        let deadline = Instant::now() + DEADLINE;
        let mut held = Vec::new();
        for _ in 0..2 {
            held.push(routing.acquire(online(), deadline).await.expect("a slot"));
        }
        let kinds = [online(), request(WorkKind::Batch { preemptible: true })];
        let waiting = kinds.map(|request| {
            let routing = routing.clone();
            tokio::spawn(async move { routing.acquire(request, deadline).await.map(drop) })
        });
        // The runtime has a single thread: the requests are in the queue afterwards.
        tokio::task::yield_now().await;
        let drained = ServerName::try_from("s-a").expect("it is valid");
        assert!(!routing.is_drained(drained.clone()).await);
        routing.set_drained_zones(BTreeSet::from([zone("a")]));
        assert!(routing.is_drained(drained).await);
        tokio::task::yield_now().await;
        for request in waiting {
            assert!(request.is_finished(), "a request waits on");
            let refusal = request.await.expect("no panic").expect_err("no server");
            assert_eq!(refusal.reason, RefusalReason::NoServer);
            assert_eq!(refusal.verdict, RunVerdict::NotRun);
            assert!(refusal.retry_after.is_some());
            assert!(refusal.detail.contains("drained"), "{}", refusal.detail);
        }
        let refused = routing.acquire(online(), deadline).await.map(drop);
        assert_eq!(
            refused.expect_err("no server").reason,
            RefusalReason::NoServer
        );
    }

    /// Guards against retries and items that reach a server of a drained zone, since all others
    /// were excluded or are full, and against a zone that stays drained after the withdrawal.
    #[tokio::test]
    async fn neither_retries_nor_items_reach_a_drained_server() {
        let routing = routing();
        routing.announce(announcement("s-b", "b"));
        routing.set_drained_zones(BTreeSet::from([zone("a")]));
        let deadline = Instant::now() + DEADLINE;
        let retry = SlotRequest {
            excluded: vec!["s-b".try_into().expect("it is valid")],
            ..online()
        };
        let grant = routing.acquire(retry, deadline).await.expect("a slot");
        assert_eq!(grant.name.as_str(), "s-b");
        assert!(
            routing
                .is_drained("s-a".try_into().expect("it is valid"))
                .await
        );
        assert!(!routing.is_drained(grant.name.clone()).await);
        drop(grant);
        let item = request(WorkKind::Batch { preemptible: true });
        let grant = routing.acquire(item, deadline).await.expect("a slot");
        assert_eq!(grant.name.as_str(), "s-b");
        // One slot of each server is kept free for online requests.
        assert_eq!(routing.batch_capacity().await.idle, 0);
        routing.set_drained_zones(BTreeSet::new());
        assert_eq!(routing.batch_capacity().await.idle, 1);
    }
}
