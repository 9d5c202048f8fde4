//! The permit of one trial, renewed while the trial runs.

use crate::limits::LimitHandle;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialDecision};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The time between two renewals of a permit.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the permit of a trial; dropping it releases the permit.
pub(crate) struct TrialGuard {
    limits: LimitHandle,
    fingerprint: RequestFingerprint,
    renewal: JoinHandle<()>,
}

impl TrialGuard {
    /// Asks for the permit of a trial.
    ///
    /// # Errors
    ///
    /// Tells when to ask again if another trial may be under way.
    pub(crate) async fn acquire(
        limits: &LimitHandle,
        fingerprint: RequestFingerprint,
    ) -> Result<Self, Duration> {
        if let TrialDecision::Busy { retry_after } = limits.begin_trial(fingerprint).await {
            return Err(retry_after);
        }
        let renewing = limits.clone();
        let renewal = tokio::spawn(async move {
            loop {
                tokio::time::sleep(RENEW_INTERVAL).await;
                renewing.renew_trial(fingerprint);
            }
        });
        Ok(Self {
            limits: limits.clone(),
            fingerprint,
            renewal,
        })
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.renewal.abort();
        self.limits.end_trial(self.fingerprint);
    }
}
