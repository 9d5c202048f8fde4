//! The handles of the limits task.

use super::message::LimitMessage;
use super::trials::ASK_AGAIN_AFTER;
use chicoryladder_policy::quarantine::{RequestFingerprint, TrialDecision};
use chicoryladder_settings::TeamTerms;
use chicoryladder_types::prelude::*;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

pub(super) type AdmissionSender = oneshot::Sender<Result<(), RequestRefusal>>;

pub(super) type TrialSender = oneshot::Sender<TrialDecision>;

/// A request that wants a token.
pub(super) struct AdmissionEvent {
    pub(super) team: TeamName,
    pub(super) terms: TeamTerms,
    pub(super) give_up_at: Instant,
    pub(super) answer: AdmissionSender,
}

/// What the limits task is told.
pub(super) enum LimitEvent {
    Admission(AdmissionEvent),
    Peer(HostName, LimitMessage),
    TrialBegin(RequestFingerprint, TrialSender),
    TrialRenewal(RequestFingerprint),
    TrialEnd(RequestFingerprint),
}

/// Asks the limits task for tokens; clones share it.
#[derive(Clone)]
pub(crate) struct LimitHandle {
    pub(super) events: mpsc::UnboundedSender<LimitEvent>,
}

impl LimitHandle {
    /// Takes one token of the team, waiting until `give_up_at` at the longest.
    ///
    /// # Errors
    ///
    /// Refuses a request that cannot have a token in time, as soon as that is
    /// known, with the time until it could.
    pub(crate) async fn admit(
        &self,
        team: &TeamName,
        terms: TeamTerms,
        give_up_at: Instant,
    ) -> Result<(), RequestRefusal> {
        let (answer, receiver) = oneshot::channel();
        let event = LimitEvent::Admission(AdmissionEvent {
            team: team.clone(),
            terms,
            give_up_at,
            answer,
        });
        // A closed channel closes the receiver too.
        let _ = self.events.send(event);
        receiver.await.unwrap_or_else(|_| {
            let detail = "the host is stopping";
            Err(RequestRefusal::not_run(RefusalReason::Draining, detail))
        })
    }
}

/// Trials of suspects: one at a time in the fleet for each request.
impl LimitHandle {
    /// Asks for the permit of a trial.
    pub(crate) async fn begin_trial(&self, fingerprint: RequestFingerprint) -> TrialDecision {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .events
            .send(LimitEvent::TrialBegin(fingerprint, sender));
        receiver.await.unwrap_or(TrialDecision::Busy {
            retry_after: ASK_AGAIN_AFTER,
        })
    }

    /// Renews the permit of a running trial.
    pub(crate) fn renew_trial(&self, fingerprint: RequestFingerprint) {
        let _ = self.events.send(LimitEvent::TrialRenewal(fingerprint));
    }

    /// Gives the permit back.
    pub(crate) fn end_trial(&self, fingerprint: RequestFingerprint) {
        let _ = self.events.send(LimitEvent::TrialEnd(fingerprint));
    }
}

/// Takes messages of other hosts for the limits task.
#[derive(Clone)]
pub(crate) struct LimitInbox {
    pub(super) events: mpsc::UnboundedSender<LimitEvent>,
}

impl LimitInbox {
    pub(crate) fn deliver(&self, sender: HostName, message: LimitMessage) {
        // A closed channel means that the host has stopped.
        let _ = self.events.send(LimitEvent::Peer(sender, message));
    }
}
