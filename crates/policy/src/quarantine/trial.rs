//! Permits for trials of suspect requests; each request has at most one trial at a
//! time in the whole fleet.

use super::RequestFingerprint;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The reply to a host that requests the trial of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialDecision {
    /// The host may run the request until the permit expires.
    Permitted,
    /// Another trial may be in progress.
    Busy {
        /// The time after which the host may request a permit again.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct TrialPermit {
    holder: HostName,
    until: Instant,
}

/// Grants permits for trials of the fingerprints of one shard.
///
/// A coordinator that takes over a shard grants no permits until those of its
/// predecessor have expired.
#[derive(Clone, Debug)]
pub struct TrialCoordinator {
    permits: HashMap<RequestFingerprint, TrialPermit>,
    opens_at: Instant,
    permit_ttl: Duration,
}

impl TrialCoordinator {
    /// Creates a coordinator that acquired the shard at `since`. A permit expires
    /// `permit_ttl` after its latest renewal.
    #[must_use]
    pub fn new(permit_ttl: Duration, since: Instant) -> Self {
        Self {
            permits: HashMap::new(),
            opens_at: since + permit_ttl,
            permit_ttl,
        }
    }

    /// Grants or refuses a permit for the trial of a suspect. A request by the holder
    /// of the permit renews it.
    pub fn request(
        &mut self,
        fingerprint: RequestFingerprint,
        holder: &HostName,
        now: Instant,
    ) -> TrialDecision {
        self.permits.retain(|_, permit| permit.until > now);
        let current = self.permits.get(&fingerprint);
        let other = current.filter(|permit| permit.holder != *holder);
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

    /// Releases a permit before it expires, once its holder has announced the outcome of
    /// the trial.
    pub fn release(&mut self, fingerprint: RequestFingerprint, holder: &HostName) {
        let current = self.permits.get(&fingerprint);
        if current.is_some_and(|permit| permit.holder == *holder) {
            self.permits.remove(&fingerprint);
        }
    }
}
