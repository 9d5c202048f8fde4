//! The handle to the quarantine task.

use chicoryladder_policy::quarantine::{
    RequestFingerprint, ServerCrash, SuspectStatus, SuspectUpdate,
};
use tokio::sync::{mpsc, oneshot};

/// An event for the quarantine task.
pub(super) enum QuarantineEvent {
    Check(RequestFingerprint, oneshot::Sender<SuspectStatus>),
    Crashed(ServerCrash, RequestFingerprint),
    Answered(RequestFingerprint),
    Peer(Vec<SuspectUpdate>),
}

/// Sends events to the quarantine task; clones refer to the same task.
#[derive(Clone)]
pub(crate) struct QuarantineHandle {
    pub(super) events: mpsc::UnboundedSender<QuarantineEvent>,
}

impl QuarantineHandle {
    /// Returns the quarantine status of a request.
    pub(crate) async fn status(&self, fingerprint: RequestFingerprint) -> SuspectStatus {
        let (sender, receiver) = oneshot::channel();
        self.send(QuarantineEvent::Check(fingerprint, sender));
        // The channel is closed without a reply only while the host is stopping.
        receiver.await.unwrap_or(SuspectStatus::Clear)
    }

    /// Reports that a server was lost while it processed the request.
    pub(crate) fn report_crash(&self, crash: ServerCrash, fingerprint: RequestFingerprint) {
        self.send(QuarantineEvent::Crashed(crash, fingerprint));
    }

    /// Reports that a suspect request was answered.
    pub(crate) fn report_answer(&self, fingerprint: RequestFingerprint) {
        self.send(QuarantineEvent::Answered(fingerprint));
    }

    /// Delivers updates from another host.
    pub(crate) fn deliver(&self, updates: Vec<SuspectUpdate>) {
        self.send(QuarantineEvent::Peer(updates));
    }

    fn send(&self, event: QuarantineEvent) {
        // The channel is closed only after the host has stopped.
        let _ = self.events.send(event);
    }
}
