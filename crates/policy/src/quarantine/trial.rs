//! Permits for the trial of a suspect, one at a time in the whole fleet.

use super::RequestFingerprint;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The answer to a host that wants to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialDecision {
    /// The host may run it until the permit ends.
    Permitted,
    /// Another trial may be under way.
    Busy {
        /// When the host may ask again.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct TrialPermit {
    holder: HostName,
    until: Instant,
}

/// Permits trials for the fingerprints of one shard.
///
/// A owner that takes over a shard permits nothing until the permits of its
/// predecessor have ended.
#[derive(Clone, Debug)]
pub struct TrialCoordinator {
    permits: HashMap<RequestFingerprint, TrialPermit>,
    opens_at: Instant,
    permit_ttl: Duration,
}

impl TrialCoordinator {
    /// A owner whose authority began at `since`. A permit lasts `permit_ttl`
    /// after its latest renewal.
    #[must_use]
    pub fn new(permit_ttl: Duration, since: Instant) -> Self {
        Self {
            permits: HashMap::new(),
            opens_at: since + permit_ttl,
            permit_ttl,
        }
    }

    /// Decides on the trial of a suspect; the holder of a permit renews it.
    pub fn request(
        &mut self,
        fingerprint: RequestFingerprint,
        holder: &HostName,
        now: Instant,
    ) -> TrialDecision {
        self.permits.retain(|_, permit| permit.until > now);
        let held = self.permits.get(&fingerprint);
        let other = held.filter(|permit| permit.holder != *holder);
        let busy_until = other
            .map(|permit| permit.until)
            .into_iter()
            .chain([self.opens_at])
            .max();
        let wait = busy_until.map(|until| until.saturating_duration_since(now));
        if let Some(retry_after) = wait.filter(|wait| !wait.is_zero()) {
            return TrialDecision::Busy { retry_after };
        }
        let permit = TrialPermit {
            holder: holder.clone(),
            until: now + self.permit_ttl,
        };
        self.permits.insert(fingerprint, permit);
        TrialDecision::Permitted
    }

    /// Ends a permit early: its holder knows the outcome and has told it.
    pub fn release(&mut self, fingerprint: RequestFingerprint, holder: &HostName) {
        let held = self.permits.get(&fingerprint);
        if held.is_some_and(|permit| permit.holder == *holder) {
            self.permits.remove(&fingerprint);
        }
    }
}
