//! The quarantine state of one request in progress.

use super::report::{CompletionReport, CrashReport};
use super::{QuarantineHandle, RunAdmission, TrialGuard};
use crate::limits::LimitHandle;
use chicoryladder_policy::quarantine::{QuarantineCause, RequestTraits, ServerCrash};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, Tail};
use std::time::{Duration, Instant};

/// The time for which a permit is held after the trial has crashed its server, so
/// that the report of the crash reaches the other hosts first.
const PROPAGATION_DELAY: Duration = Duration::from_secs(1);

/// The longest pause between two requests for a permit.
const PERMIT_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The request that a watch follows.
#[derive(Clone, Debug)]
pub(crate) struct WatchedRequest {
    pub(crate) id: RequestId,
    /// The servers that may run the request.
    pub(crate) pool: ServiceName,
    pub(crate) traits: RequestTraits,
}

/// Applies the quarantine to the attempts at one request.
pub(crate) struct SuspectWatch {
    quarantine: QuarantineHandle,
    limits: LimitHandle,
    request: WatchedRequest,
    trial: Option<TrialGuard>,
}

impl SuspectWatch {
    pub(crate) fn new(
        quarantine: &QuarantineHandle,
        limits: &LimitHandle,
        request: WatchedRequest,
    ) -> Self {
        Self {
            quarantine: quarantine.clone(),
            limits: limits.clone(),
            request,
            trial: None,
        }
    }

    /// Returns a watch of the same request for its response stream; a running trial
    /// moves to the new watch.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            trial: self.trial.take(),
            ..Self::new(&self.quarantine, &self.limits, self.request.clone())
        }
    }

    /// Returns how the request must be handled, or refuses it if it is quarantined.
    pub(crate) async fn check(&self) -> Result<RunAdmission, RequestRefusal> {
        let WatchedRequest { pool, traits, .. } = &self.request;
        let admission = self
            .quarantine
            .admission(traits.clone(), pool.clone())
            .await;
        if let RunAdmission::Quarantined { cause, retry_after } = admission {
            let detail = match cause {
                QuarantineCause::Request => {
                    "the request crashed backend servers and is quarantined".to_owned()
                }
                QuarantineCause::Segment(segment) => format!(
                    "requests with prompt segment {segment} crashed backend servers and are \
                     quarantined"
                ),
            };
            return Err(quarantine_refusal(&detail, retry_after));
        }
        Ok(admission)
    }

    /// Admits an attempt: immediately or, for a suspect request, once it has the
    /// permit for a trial.
    ///
    /// # Errors
    ///
    /// Refuses a quarantined request, and a suspect request that gets no permit by
    /// `deadline`.
    pub(crate) async fn admit(
        &mut self,
        clock: &dyn ClockSource,
        deadline: Instant,
    ) -> Result<(), RequestRefusal> {
        while let RunAdmission::Trial { permit } = self.check().await?
            && self.trial.is_none()
        {
            match TrialGuard::acquire(&self.limits, permit).await {
                // The loop checks the status again, because the previous trial may
                // have ended in a crash.
                Ok(trial) => self.trial = Some(trial),
                Err(retry_after) if clock.now() + PERMIT_RETRY_PAUSE >= deadline => {
                    let detail = "another trial of the request is under way";
                    return Err(quarantine_refusal(detail, retry_after));
                }
                Err(retry_after) => tokio::time::sleep(retry_after.min(PERMIT_RETRY_PAUSE)).await,
            }
        }
        Ok(())
    }

    /// Reports that the attempt was answered, if it was a trial.
    pub(crate) fn report_answer(&mut self) {
        if self.trial.take().is_some() {
            self.quarantine.report_answer(self.request.traits.request);
        }
    }

    /// Reports that a server processed the request to its end and responded with success.
    pub(crate) fn report_completion(&mut self, server: ServerCrash, took: Duration) {
        self.quarantine.report_completion(CompletionReport {
            pool: self.request.pool.clone(),
            server,
            segments: self.request.traits.segments.clone(),
            took,
        });
        self.report_answer();
    }

    /// Reports that the server was lost during the attempt, `took` after the request was sent.
    pub(crate) fn report_crash(&mut self, crash: ServerCrash, took: Duration) {
        let WatchedRequest { id, pool, traits } = self.request.clone();
        let report = CrashReport {
            pool,
            crash,
            traits,
            took: Tail(Some(took)),
        };
        self.quarantine.report_crash(id, report);
        if let Some(trial) = self.trial.take() {
            tokio::spawn(async move {
                tokio::time::sleep(PROPAGATION_DELAY).await;
                drop(trial);
            });
        }
    }
}

fn quarantine_refusal(detail: &str, retry_after: Duration) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::Quarantined, detail).with_retry_after(retry_after)
}
