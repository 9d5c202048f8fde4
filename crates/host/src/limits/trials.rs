//! Permits for trials of suspects, kept with the shards of this host.

use super::handle::TrialSender;
use super::keepers::SHARDS;
use chicoryladder_policy::limits::ShardNumber;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialCoordinator, TrialDecision};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// The life of a permit that is not renewed.
const PERMIT_TTL: Duration = Duration::from_secs(2);

/// The time after which a permit that no keeper answered is asked for again.
pub(super) const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// The permits that this host gives out as a keeper.
#[derive(Default)]
pub(super) struct TrialKeepers {
    keepers: HashMap<ShardNumber, TrialCoordinator>,
}

impl TrialKeepers {
    pub(super) fn gain(&mut self, shard: ShardNumber, now: Instant) {
        self.keepers
            .insert(shard, TrialCoordinator::new(PERMIT_TTL, now));
    }

    pub(super) fn lose(&mut self, shard: ShardNumber) {
        self.keepers.remove(&shard);
    }

    pub(super) fn get(&mut self, fingerprint: RequestFingerprint) -> Option<&mut TrialCoordinator> {
        self.keepers.get_mut(&fingerprint.shard(SHARDS))
    }
}

/// The trials that this host runs or asks for.
#[derive(Default)]
pub(super) struct OwnTrials {
    waiting: HashMap<RequestFingerprint, WaitingTrial>,
    running: HashSet<RequestFingerprint>,
}

struct WaitingTrial {
    sender: TrialSender,
    until: Instant,
}

impl OwnTrials {
    /// Notes a wish for a trial; one at a time on this host.
    pub(super) fn begin(
        &mut self,
        fingerprint: RequestFingerprint,
        sender: TrialSender,
        now: Instant,
    ) -> bool {
        let busy = self.running.contains(&fingerprint) || self.waiting.contains_key(&fingerprint);
        if busy {
            let _ = sender.send(TrialDecision::Busy {
                retry_after: ASK_AGAIN_AFTER,
            });
            return false;
        }
        let until = now + ASK_AGAIN_AFTER;
        self.waiting
            .insert(fingerprint, WaitingTrial { sender, until });
        true
    }

    /// Passes the keeper's answer on; true if a permit came that nobody waits
    /// for any more.
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

    /// Answers the wishes that no keeper answered.
    pub(super) fn expire(&mut self, now: Instant) {
        let overdue = self.waiting.iter().filter(|(_, trial)| trial.until <= now);
        let overdue: Vec<RequestFingerprint> = overdue.map(|(key, _)| *key).collect();
        for fingerprint in overdue {
            if let Some(trial) = self.waiting.remove(&fingerprint) {
                let _ = trial.sender.send(TrialDecision::Busy {
                    retry_after: ASK_AGAIN_AFTER,
                });
            }
        }
    }
}

/// What hosts tell one another about trials.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum TrialMessage {
    /// A host wants a permit, or renews one that it has.
    Request(HostName, RequestFingerprint),
    /// The keeper decided.
    Answer(RequestFingerprint, TrialDecision),
    /// The trial of the host is over and its outcome told.
    Release(HostName, RequestFingerprint),
}
