//! Handles to the limits task.

use super::message::LimitMessage;
use super::trials::TRIAL_RETRY_AFTER;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialDecision};
use chicoryladder_settings::TeamTerms;
use chicoryladder_types::prelude::*;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

pub(super) type AdmissionSender = oneshot::Sender<Result<(), RequestRefusal>>;

pub(super) type TrialSender = oneshot::Sender<TrialDecision>;

/// A request that needs a token to be admitted.
pub(super) struct AdmissionEvent {
    pub(super) team: TeamName,
    pub(super) terms: TeamTerms,
    pub(super) deadline: Instant,
    pub(super) answer: AdmissionSender,
}

/// An event for the limits task.
pub(super) enum LimitEvent {
    Admission(AdmissionEvent),
    Peer(HostName, LimitMessage),
    TrialBegin(RequestFingerprint, TrialSender),
    TrialRenewal(RequestFingerprint),
    TrialEnd(RequestFingerprint),
}

/// Requests tokens from the limits task; clones refer to the same task.
#[derive(Clone)]
pub(crate) struct LimitHandle {
    pub(super) events: mpsc::UnboundedSender<LimitEvent>,
}

impl LimitHandle {
    /// Takes one token of the team, waiting until `deadline` at most.
    ///
    /// # Errors
    ///
    /// Refuses a request as soon as it is known that no token becomes available
    /// by `deadline`; the refusal says when to retry.
    pub(crate) async fn admit(
        &self,
        team: &TeamName,
        terms: TeamTerms,
        deadline: Instant,
    ) -> Result<(), RequestRefusal> {
        let (answer, receiver) = oneshot::channel();
        let event = LimitEvent::Admission(AdmissionEvent {
            team: team.clone(),
            terms,
            deadline,
            answer,
        });
        // If the task has stopped, the receiver reports it.
        let _ = self.events.send(event);
        receiver.await.unwrap_or_else(|_| {
            let detail = "the host is stopping";
            Err(RequestRefusal::not_run(RefusalReason::Draining, detail))
        })
    }
}

/// Trials of suspect requests: at most one at a time in the fleet for each request.
impl LimitHandle {
    /// Requests a permit for a trial.
    pub(crate) async fn begin_trial(&self, fingerprint: RequestFingerprint) -> TrialDecision {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .events
            .send(LimitEvent::TrialBegin(fingerprint, sender));
        receiver.await.unwrap_or(TrialDecision::Busy {
            retry_after: TRIAL_RETRY_AFTER,
        })
    }

    /// Renews the permit of a running trial.
    pub(crate) fn renew_trial(&self, fingerprint: RequestFingerprint) {
        let _ = self.events.send(LimitEvent::TrialRenewal(fingerprint));
    }

    /// Releases the permit.
    pub(crate) fn end_trial(&self, fingerprint: RequestFingerprint) {
        let _ = self.events.send(LimitEvent::TrialEnd(fingerprint));
    }
}

/// Delivers messages from other hosts to the limits task.
#[derive(Clone)]
pub(crate) struct LimitInbox {
    pub(super) events: mpsc::UnboundedSender<LimitEvent>,
}

impl LimitInbox {
    pub(crate) fn deliver(&self, sender: HostName, message: LimitMessage) {
        // The channel is closed only after the host has stopped.
        let _ = self.events.send(LimitEvent::Peer(sender, message));
    }
}
