//! The handle to the quarantine task.

use super::report::{CompletionReport, CrashReport};
use chicoryladder_policy::quarantine::{
    QuarantineCause, QuarantinedSegments, RequestFingerprint, RequestTraits, SuspectUpdate,
};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How a request must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunAdmission {
    /// The request runs normally.
    Clear,
    /// The request runs only with the permit for a trial.
    Trial {
        /// Identifies the trial: the request or a segment of its prompt.
        permit: RequestFingerprint,
    },
    /// The request is refused.
    Quarantined {
        /// The part of the request to which the crashes are attributed.
        cause: QuarantineCause,
        /// The time until the quarantine ends.
        retry_after: Duration,
    },
}

/// What other hosts report to the quarantine task.
pub(crate) enum PeerReport {
    Suspects(Vec<SuspectUpdate>),
    Crash(CrashReport),
    Completion(CompletionReport),
    Segments(Vec<QuarantinedSegments>),
}

/// An event for the quarantine task.
pub(super) enum QuarantineEvent {
    Check(RequestTraits, ServiceName, oneshot::Sender<RunAdmission>),
    Crashed(RequestId, CrashReport),
    Completed(CompletionReport),
    Answered(RequestFingerprint),
    Peer(PeerReport),
}

/// Sends events to the quarantine task; clones refer to the same task.
#[derive(Clone)]
pub(crate) struct QuarantineHandle {
    pub(super) events: mpsc::UnboundedSender<QuarantineEvent>,
}

impl QuarantineHandle {
    /// Returns how a request to the servers of a pool must be handled.
    pub(crate) async fn admission(&self, traits: RequestTraits, pool: ServiceName) -> RunAdmission {
        let (sender, receiver) = oneshot::channel();
        self.send(QuarantineEvent::Check(traits, pool, sender));
        // The channel is closed without a reply only while the host is stopping.
        receiver.await.unwrap_or(RunAdmission::Clear)
    }

    /// Reports that a server was lost while it processed the request.
    pub(crate) fn report_crash(&self, request: RequestId, report: CrashReport) {
        self.send(QuarantineEvent::Crashed(request, report));
    }

    /// Reports that a server processed a request to its end.
    pub(crate) fn report_completion(&self, report: CompletionReport) {
        self.send(QuarantineEvent::Completed(report));
    }

    /// Reports that a suspect request was answered.
    pub(crate) fn report_answer(&self, fingerprint: RequestFingerprint) {
        self.send(QuarantineEvent::Answered(fingerprint));
    }

    /// Delivers a report of another host.
    pub(crate) fn deliver(&self, report: PeerReport) {
        self.send(QuarantineEvent::Peer(report));
    }

    fn send(&self, event: QuarantineEvent) {
        // The channel is closed only after the host has stopped.
        let _ = self.events.send(event);
    }
}
