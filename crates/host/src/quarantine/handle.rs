//! The handle of the quarantine task.

use chicoryladder_policy::quarantine::{
    RequestFingerprint, ServerCrash, SuspectStatus, SuspectUpdate,
};
use tokio::sync::{mpsc, oneshot};

/// What the quarantine task is told.
pub(super) enum QuarantineEvent {
    Check(RequestFingerprint, oneshot::Sender<SuspectStatus>),
    Crashed(ServerCrash, RequestFingerprint),
    Answered(RequestFingerprint),
    Peer(Vec<SuspectUpdate>),
}

/// Talks to the quarantine task; clones share it.
#[derive(Clone)]
pub(crate) struct QuarantineHandle {
    pub(super) events: mpsc::UnboundedSender<QuarantineEvent>,
}

impl QuarantineHandle {
    /// What may be done with a request.
    pub(crate) async fn status(&self, fingerprint: RequestFingerprint) -> SuspectStatus {
        let (sender, receiver) = oneshot::channel();
        self.tell(QuarantineEvent::Check(fingerprint, sender));
        // The host is stopping if no answer comes.
        receiver.await.unwrap_or(SuspectStatus::Clear)
    }

    /// Notes that a server was lost with the request on it.
    pub(crate) fn report_crash(&self, crash: ServerCrash, fingerprint: RequestFingerprint) {
        self.tell(QuarantineEvent::Crashed(crash, fingerprint));
    }

    /// Notes that a suspect was answered.
    pub(crate) fn report_answer(&self, fingerprint: RequestFingerprint) {
        self.tell(QuarantineEvent::Answered(fingerprint));
    }

    /// Takes what another host knows.
    pub(crate) fn deliver(&self, updates: Vec<SuspectUpdate>) {
        self.tell(QuarantineEvent::Peer(updates));
    }

    fn tell(&self, event: QuarantineEvent) {
        // A closed channel means that the host has stopped.
        let _ = self.events.send(event);
    }
}
