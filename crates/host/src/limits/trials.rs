//! Permits for trials of suspect requests.
//!
//! The owner of a shard coordinates the trials of the requests whose fingerprint
//! maps to the shard.

use super::handle::TrialSender;
use super::owners::SHARDS;
use chicoryladder_policy::limits::ShardNumber;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialCoordinator, TrialDecision};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// The lifetime of a permit that is not renewed.
const PERMIT_TTL: Duration = Duration::from_secs(2);

/// The time to wait for the answer of a coordinator, and until the next request for
/// a permit.
pub(super) const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The trial coordinators of the shards that this host owns.
#[derive(Default)]
pub(super) struct TrialCoordinators {
    coordinators: HashMap<ShardNumber, TrialCoordinator>,
}

impl TrialCoordinators {
    pub(super) fn add_shard(&mut self, shard: ShardNumber, now: Instant) {
        self.coordinators
            .insert(shard, TrialCoordinator::new(PERMIT_TTL, now));
    }

    pub(super) fn remove_shard(&mut self, shard: ShardNumber) {
        self.coordinators.remove(&shard);
    }

    pub(super) fn get(&mut self, fingerprint: RequestFingerprint) -> Option<&mut TrialCoordinator> {
        self.coordinators.get_mut(&fingerprint.shard(SHARDS))
    }
}

/// The trials that this host runs or has requested a permit for.
#[derive(Default)]
pub(super) struct LocalTrials {
    waiting: HashMap<RequestFingerprint, WaitingTrial>,
    running: HashSet<RequestFingerprint>,
}

struct WaitingTrial {
    sender: TrialSender,
    deadline: Instant,
}

impl LocalTrials {
    /// Records a request for a permit and returns true, or replies that a trial of
    /// the same request is running or requested on this host and returns false.
    pub(super) fn begin(
        &mut self,
        fingerprint: RequestFingerprint,
        sender: TrialSender,
        now: Instant,
    ) -> bool {
        let busy = self.running.contains(&fingerprint) || self.waiting.contains_key(&fingerprint);
        if busy {
            let _ = sender.send(TrialDecision::Busy {
                retry_after: TRIAL_RETRY_AFTER,
            });
            return false;
        }
        let deadline = now + TRIAL_RETRY_AFTER;
        self.waiting
            .insert(fingerprint, WaitingTrial { sender, deadline });
        true
    }

    /// Forwards the coordinator's decision. Returns true if it is a permit that no
    /// attempt waits for any more.
    pub(super) fn decide(
        &mut self,
        fingerprint: RequestFingerprint,
        decision: TrialDecision,
    ) -> bool {
        let permitted = decision == TrialDecision::Permitted;
        let Some(waiting) = self.waiting.remove(&fingerprint) else {
            return permitted && !self.running.contains(&fingerprint);
        };
        let taken = waiting.sender.send(decision).is_ok();
        if permitted && taken {
            self.running.insert(fingerprint);
        }
        permitted && !taken
    }

    pub(super) fn is_running(&self, fingerprint: RequestFingerprint) -> bool {
        self.running.contains(&fingerprint)
    }

    pub(super) fn end(&mut self, fingerprint: RequestFingerprint) {
        self.running.remove(&fingerprint);
    }

    /// Refuses permit requests that the coordinator did not answer in time.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired = self
            .waiting
            .iter()
            .filter(|(_, trial)| trial.deadline <= now);
        let expired: Vec<RequestFingerprint> = expired.map(|(key, _)| *key).collect();
        for fingerprint in expired {
            if let Some(trial) = self.waiting.remove(&fingerprint) {
                let _ = trial.sender.send(TrialDecision::Busy {
                    retry_after: TRIAL_RETRY_AFTER,
                });
            }
        }
    }
}

/// A message between hosts about trials.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum TrialMessage {
    /// The host requests a permit, or renews the one that it holds.
    Request(HostName, RequestFingerprint),
    /// The decision of the coordinator.
    Answer(RequestFingerprint, TrialDecision),
    /// The trial of the host has ended and its outcome was reported.
    Release(HostName, RequestFingerprint),
}
