//! Waiting for a change to propagate to all hosts.

use super::AdminService;
use crate::peers::{PeerMessage, PeerRecord};
use chicoryladder_state::{FleetView, KnownHost, PropagationGoal, propagation_report};
use chicoryladder_types::admin::{HostLocation, PropagationReport};
use std::time::Duration;

/// The longest time that an operator's request waits for propagation.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between two position requests to the hosts.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

impl AdminService {
    /// Waits until every host meets the goal, which may change with the view; after
    /// [`PROPAGATION_TIMEOUT`] the report lists the hosts that have not replied.
    pub(super) async fn wait_for_propagation(
        &self,
        goal: impl Fn(&FleetView) -> PropagationGoal,
    ) -> PropagationReport {
        self.wait_for_propagation_within(goal, PROPAGATION_TIMEOUT)
            .await
    }

    /// Like [`Self::wait_for_propagation`], for at most `time`.
    pub(super) async fn wait_for_propagation_within(
        &self,
        goal: impl Fn(&FleetView) -> PropagationGoal,
        time: Duration,
    ) -> PropagationReport {
        let deadline = tokio::time::Instant::now() + time;
        let mut changes = self.peers.position_changes();
        let mut request_at = tokio::time::Instant::now();
        loop {
            let current_goal = goal(&self.replica.view());
            let report = self.current_propagation(current_goal);
            if report.in_force || tokio::time::Instant::now() >= deadline {
                return report;
            }
            if tokio::time::Instant::now() >= request_at {
                self.request_positions(current_goal);
                request_at += REQUEST_INTERVAL;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(request_at.min(deadline)) => {}
            }
        }
    }

    fn current_propagation(&self, goal: PropagationGoal) -> PropagationReport {
        let own_host = KnownHost {
            location: HostLocation {
                host: self.host.clone(),
                zone: self.zone.clone(),
            },
            position: Some(self.replica.view().position()),
        };
        let mut hosts: Vec<KnownHost> = self.peers.known().into_iter().map(known_host).collect();
        hosts.push(own_host);
        hosts.sort_by(|a, b| a.location.cmp(&b.location));
        propagation_report(goal, &hosts, self.peers.contacts_not_heard())
    }

    fn request_positions(&self, goal: PropagationGoal) {
        let message = match goal {
            PropagationGoal::Applied(index) => PeerMessage::PositionRequest(index),
            PropagationGoal::Withdrawn(_) => {
                let tombstones = self.replica.view().position().tombstones;
                PeerMessage::Tombstones(tombstones)
            }
        };
        self.peers.broadcast(&message);
    }
}

fn known_host(peer: PeerRecord) -> KnownHost {
    KnownHost {
        location: HostLocation {
            host: peer.host,
            zone: peer.zone,
        },
        position: peer.position,
    }
}
