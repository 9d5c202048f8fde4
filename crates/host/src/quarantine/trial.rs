//! The permit for one trial, which is renewed while the trial runs.

use crate::limits::LimitHandle;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialDecision};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The interval at which a permit is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the permit for a trial; dropping the guard releases the permit.
pub(crate) struct TrialGuard {
    limits: LimitHandle,
    fingerprint: RequestFingerprint,
    renewal: JoinHandle<()>,
}

impl TrialGuard {
    /// Requests the permit for a trial.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait before the next request if another trial may be
    /// running.
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
