//! One request on its way, as the quarantine sees it.

use super::{QuarantineHandle, TrialGuard};
use crate::limits::LimitHandle;
use chicoryladder_policy::quarantine::{RequestFingerprint, ServerCrash, SuspectStatus};
use chicoryladder_types::prelude::*;
use std::time::{Duration, Instant};

/// How long a permit is kept after a second crash, while the news spreads.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// The longest pause between two wishes for a permit.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Watches the attempts at one request.
pub(crate) struct SuspectWatch {
    quarantine: QuarantineHandle,
    limits: LimitHandle,
    fingerprint: RequestFingerprint,
    trial: Option<TrialGuard>,
}

impl SuspectWatch {
    pub(crate) fn new(
        quarantine: &QuarantineHandle,
        limits: &LimitHandle,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            quarantine: quarantine.clone(),
            limits: limits.clone(),
            fingerprint,
            trial: None,
        }
    }

    /// The same watch for the stream of an answer; the trial moves with it.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            trial: self.trial.take(),
            ..Self::new(&self.quarantine, &self.limits, self.fingerprint)
        }
    }

    /// Refuses a request that is quarantined now.
    pub(crate) async fn check(&self) -> Result<SuspectStatus, RequestRefusal> {
        let status = self.quarantine.status(self.fingerprint).await;
        if let SuspectStatus::Quarantined { retry_after } = status {
            let detail = "the request crashed backend servers and is quarantined";
            return Err(refused(detail, retry_after));
        }
        Ok(status)
    }

    /// Lets an attempt begin: at once, or for a suspect once it has the permit
    /// of a trial.
    ///
    /// # Errors
    ///
    /// Refuses a quarantined request, and a suspect whose permit does not come
    /// by `deadline`.
    pub(crate) async fn admit(
        &mut self,
        clock: &dyn ClockSource,
        deadline: Instant,
    ) -> Result<(), RequestRefusal> {
        while self.check().await? == SuspectStatus::Suspect && self.trial.is_none() {
            match TrialGuard::acquire(&self.limits, self.fingerprint).await {
                // The status is looked at again: the trial before this one may
                // have ended in a crash.
                Ok(trial) => self.trial = Some(trial),
                Err(retry_after) if clock.now() + ASK_INTERVAL >= deadline => {
                    let detail = "another trial of the request is under way";
                    return Err(refused(detail, retry_after));
                }
                Err(retry_after) => tokio::time::sleep(retry_after.min(ASK_INTERVAL)).await,
            }
        }
        Ok(())
    }

    /// Notes that the attempt brought an answer.
    pub(crate) fn report_answer(&mut self) {
        if self.trial.take().is_some() {
            self.quarantine.report_answer(self.fingerprint);
        }
    }

    /// Notes that the server was lost with the attempt on it.
    pub(crate) fn report_crash(&mut self, crash: ServerCrash) {
        self.quarantine.report_crash(crash, self.fingerprint);
        if let Some(trial) = self.trial.take() {
            tokio::spawn(async move {
                tokio::time::sleep(NEWS_TIME).await;
                drop(trial);
            });
        }
    }
}

fn refused(detail: &str, retry_after: Duration) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::Quarantined, detail).with_retry_after(retry_after)
}
