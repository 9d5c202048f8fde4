//! Requests under which servers crash: what is recorded, and which requests are refused.

use super::SlotBroker;
use crate::admission::QueuePosition;
use crate::grants::{ActiveRun, CrashedRun, ProvenWork, SlotGrant};
use crate::pool::WaitingRequest;
use crate::request::{
    BrokerEvent, RequesterId, SlotRefusalReason, SlotRequest, WorkKind, shared_segments,
};
use chicoryladder_policy::quarantine::{
    Admission, CrashCounts, LostRun, OpenCrash, ProvenRun, QuarantineCause, QuarantinedSegments,
    RequestTraits, ServerCrash,
};
use chicoryladder_types::{ServerGeneration, ServiceName};
use std::time::{Duration, Instant};

impl SlotBroker {
    /// Records that a server was lost while it ran a request. Waiting requests that may no
    /// longer run are refused. Returns what counts against the request.
    pub fn record_crash(&mut self, run: &CrashedRun, now: Instant) -> CrashCounts {
        self.record_crash_after(run, None, now)
    }

    /// Like [`Self::record_crash`], with the time since the slot was granted.
    pub fn record_crash_after(
        &mut self,
        run: &CrashedRun,
        took: Option<Duration>,
        now: Instant,
    ) -> CrashCounts {
        let service = &run.service;
        let lost = LostRun {
            crash: &run.crash,
            traits: &run.traits,
            sent_at: took.and_then(|took| now.checked_sub(took)),
        };
        let finding = self.crashes.record_crash(service, lost, now);
        self.emit_quarantine_changes();
        self.refuse_quarantined(service, now);
        finding.counts
    }

    /// Records whether the run in a slot completed.
    pub(super) fn record_completion(
        &mut self,
        grant: &SlotGrant,
        completed: &ProvenWork,
        now: Instant,
    ) {
        let Some(run) = proven_run(grant, completed) else {
            return;
        };
        let Some(entry) = self.servers.get(grant.server) else {
            return;
        };
        let check_in = &entry.record.check_in;
        let server = ServerCrash {
            server: check_in.name.clone(),
            generation: ServerGeneration(check_in.incarnation),
        };
        let sent_at = grant.granted_at;
        self.crashes
            .record_completion(&check_in.service, &server, run, sent_at, now);
        self.emit_quarantine_changes();
    }

    /// Records whether an active run has gone on long enough not to crash its server.
    pub(super) fn record_progress(
        &mut self,
        requester: &RequesterId,
        run: &ActiveRun,
        now: Instant,
    ) {
        let Some(grant) = self.grants.get(requester, run.ticket) else {
            return;
        };
        let entry = self.servers.get(grant.server);
        if let (Some(entry), Some(proven)) = (entry, proven_run(grant, &run.proven)) {
            let service = &entry.record.check_in.service;
            self.crashes.record_progress(service, proven, now);
            self.emit_quarantine_changes();
        }
    }

    /// Why a request must not run, and for how long. An item of a batch job is owed although
    /// servers crashed under it, but waits while other requests show that a segment of its
    /// prompt crashes servers.
    pub(super) fn quarantine_of(
        &self,
        request: &SlotRequest,
        now: Instant,
    ) -> Option<(QuarantineCause, Duration)> {
        match self.admission_of(request, now) {
            Admission::Admitted | Admission::Trial => None,
            Admission::Refused { cause, retry_after } => Some((cause, retry_after)),
        }
    }

    /// Whether a request may run, by the crashes of it and of others with its segments.
    pub(super) fn admission_of(&self, request: &SlotRequest, now: Instant) -> Admission {
        let service = &request.service;
        match request.kind {
            WorkKind::Online => self.crashes.preview(service, &request.traits(), now),
            WorkKind::Batch => {
                let segments = shared_segments(&request.prompt);
                self.crashes.preview_segments(service, &segments, now)
            }
        }
    }

    /// Records that a request is admitted, which defers the next trial of its segments.
    pub(super) fn begin_trials(&mut self, request: &SlotRequest, now: Instant) {
        let segments = shared_segments(&request.prompt);
        self.crashes
            .admit_segments(&request.service, &segments, now);
    }

    /// Whether a request has to wait until it is known what else was in flight at its crashes.
    pub(super) fn is_undecided(&self, request: &SlotRequest, now: Instant) -> bool {
        let (service, fingerprint) = (&request.service, request.fingerprint);
        request.kind == WorkKind::Online && self.crashes.is_undecided(service, fingerprint, now)
    }

    /// Draws conclusions from crashes whose runs are all reported by now, and refuses the waiting
    /// requests that may no longer run.
    pub(super) fn decide_on_crashes(&mut self, now: Instant) {
        let decisions = self.crashes.decide(now);
        if decisions.services.is_empty() {
            return;
        }
        self.emit_quarantine_changes();
        for service in decisions.services {
            self.refuse_quarantined(&service, now);
        }
    }

    /// Refuses the waiting requests of a service that must not run any more.
    fn refuse_quarantined(&mut self, service: &ServiceName, now: Instant) {
        let Some(pool) = self.services.get_mut(service) else {
            return;
        };
        let crashes = &self.crashes;
        let mut refused = Vec::new();
        for kind in [WorkKind::Online, WorkKind::Batch] {
            let quarantine = |(position, waiting): (&QueuePosition, &WaitingRequest)| {
                let request = &waiting.request;
                let own = crashes
                    .request_quarantine(service, request.fingerprint, now)
                    .filter(|_| waiting.was_undecided);
                let quarantine = own.map(|left| (QuarantineCause::Request, left));
                let quarantine = quarantine.or_else(|| {
                    let segments = shared_segments(&request.prompt);
                    crashes.segment_quarantine(service, &segments, now)
                })?;
                Some((*position, quarantine))
            };
            let quarantined: Vec<_> = pool.queue(kind).iter().filter_map(quarantine).collect();
            for (position, quarantine) in quarantined {
                let waiting = pool.remove_unserved(kind, position);
                refused.extend(waiting.map(|waiting| (waiting, quarantine)));
            }
        }
        for (waiting, (cause, retry_after)) in refused {
            let reason = SlotRefusalReason::Quarantined(cause);
            self.refuse_waiting(&waiting, reason, retry_after);
        }
    }

    /// The prompt segments in quarantine, for other hosts.
    #[must_use]
    pub fn quarantined_segments(&self, now: Instant) -> Vec<QuarantinedSegments> {
        self.crashes.quarantined(now)
    }

    /// The version of the prompt segments in quarantine.
    #[must_use]
    pub fn quarantine_version(&self) -> u64 {
        self.crashes.version()
    }

    /// Takes over the prompt segments that an earlier broker had in quarantine.
    pub fn restore_quarantine(&mut self, quarantined: &[QuarantinedSegments], now: Instant) {
        self.crashes.restore(quarantined, now);
    }

    /// The crashes that led to no quarantine of segments yet, for the broker that follows.
    #[must_use]
    pub fn open_crashes(&self, now: Instant) -> Vec<OpenCrash> {
        self.crashes.open_crashes(now)
    }

    /// Takes over the crashes that led to no quarantine at an earlier broker. What it had in
    /// quarantine is to be restored first.
    pub fn restore_crashes(&mut self, open: &[OpenCrash], now: Instant) {
        self.crashes.restore_crashes(open, now);
    }

    /// Records a completed run whose slot this broker may not know, as an earlier one granted it
    /// or none did.
    pub fn record_proven(&mut self, service: &ServiceName, traits: &RequestTraits, now: Instant) {
        self.crashes
            .record_progress(service, traits.proven_run(), now);
        self.emit_quarantine_changes();
    }

    fn emit_quarantine_changes(&mut self) {
        let changes = self.crashes.take_changes();
        let events = changes.into_iter().map(BrokerEvent::Quarantine);
        self.events.extend(events);
    }
}

/// The work that a run has proven harmless; `None` if it has not.
fn proven_run<'a>(grant: &'a SlotGrant, proven: &'a ProvenWork) -> Option<ProvenRun<'a>> {
    const UNKNOWN: ProvenRun<'static> = ProvenRun {
        request: None,
        segments: &[],
    };
    match proven {
        ProvenWork::None => None,
        ProvenWork::Requested => {
            let traits = grant.traits.as_ref();
            Some(traits.map_or(UNKNOWN, RequestTraits::proven_run))
        }
        ProvenWork::Other(traits) => Some(traits.proven_run()),
    }
}
