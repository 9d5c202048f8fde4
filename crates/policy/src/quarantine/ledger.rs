//! Attribution of server crashes to requests and to prompt segments that requests share.
//!
//! Each crash is recorded with the runs that were in flight on the server. A *suspect* is
//! a request, or a prompt segment, together with the crashes of its runs:
//!
//! - A request is quarantined at its second crash.
//! - A segment is held once its runs crashed three servers, in requests that differ, and
//!   none of them completed since the first of these crashes. One request at a time may run
//!   as a trial; another crash quarantines the segment.
//!
//! Servers may also crash under any request, or together. The more runs are lost in other
//! crashes, and the more runs with the segment completed recently, the more crashes it
//! takes: so many in a row have to be unlikely by chance.
//!
//! A completed run clears the segments of its prompt, and so does one that has gone on for
//! some time, as those of batch jobs take long. A run that began on an incarnation
//! after its supposed crash and completed there shows that only a connection was lost. A
//! crash under a held segment is explained by it, and no longer counts against the other
//! runs on that server.

mod evidence;
mod hold;

use super::{RequestFingerprint, ServerCrash};
use chicoryladder_types::ServiceName;
use evidence::{CrashEvidence, RequestStanding};
use hold::SegmentHold;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// The maximum number of runs of open crashes that are told to other hosts: some kilobytes in
/// each sync, and only for a minute after servers crashed.
const OPEN_RUNS_MAX: usize = 64;

/// Identifies the text of a prompt segment, whatever segments precede it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SegmentFingerprint(pub u64);

impl Display for SegmentFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// The properties of a request to which a crash may be attributed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTraits {
    /// Identifies the request when its caller sends it again.
    pub request: RequestFingerprint,
    /// The segments of its prompt that other requests may share, in order.
    pub segments: Vec<SegmentFingerprint>,
}

/// A run that was in flight on a server that was lost.
#[derive(Clone, Copy, Debug)]
pub struct LostRun<'a> {
    /// The server and its incarnation.
    pub crash: &'a ServerCrash,
    /// The request.
    pub traits: &'a RequestTraits,
    /// When the request was sent to the server; `None` if that is not known.
    pub sent_at: Option<Instant>,
}

/// A run that did not crash its server.
#[derive(Clone, Copy, Debug)]
pub struct ProvenRun<'a> {
    /// The request; `None` if it is not known.
    pub request: Option<RequestFingerprint>,
    /// The segments of its prompt that other requests may share.
    pub segments: &'a [SegmentFingerprint],
}

impl RequestTraits {
    /// The run of a request with these traits, as proof that they crash no server.
    #[must_use]
    pub fn proven_run(&self) -> ProvenRun<'_> {
        ProvenRun {
            request: Some(self.request),
            segments: &self.segments,
        }
    }
}

/// What a reported crash shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashFinding {
    /// The crashes that count against the request.
    pub counts: CrashCounts,
    /// Requests that did not cause crashes which counted against them.
    pub exonerated: Vec<(RequestFingerprint, ServerCrash)>,
}

/// What was decided on crashes some time after they became known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashDecisions {
    /// The services for whose requests something may have changed.
    pub services: Vec<ServiceName>,
    /// Requests that did not cause crashes which counted against them.
    pub exonerated: Vec<(RequestFingerprint, ServerCrash)>,
}

/// The crashes that count against a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// The crashes of the request itself.
    pub request: usize,
    /// The crashes of its segments, which other requests may share.
    pub segments: Vec<SegmentCrashCount>,
}

/// The crashes that count against a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentCrashCount {
    /// The segment.
    pub segment: SegmentFingerprint,
    /// The crashes, counting those under the same request once.
    pub crashes: usize,
    /// The crashes from which the segment is held.
    pub required: usize,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The request may run as the trial of a segment that is held.
    Trial,
    /// The request is refused.
    Refused {
        /// The part of the request to which the crashes are attributed.
        cause: QuarantineCause,
        /// The time until the request may be sent again.
        retry_after: Duration,
    },
}

/// How the segments of a request are to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentStatus {
    /// The request runs normally.
    Clear,
    /// The request runs only as the trial of a segment, one at a time.
    Held(SegmentFingerprint),
    /// The request is refused.
    Quarantined {
        /// The segment to which the crashes are attributed.
        segment: SegmentFingerprint,
        /// The time until the quarantine ends.
        left: Duration,
    },
}

/// The part of a request to which crashes are attributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuarantineCause {
    /// The request as a whole.
    Request,
    /// A segment of its prompt.
    Segment(SegmentFingerprint),
}

/// A change of the quarantine of a segment, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The service whose servers crashed.
    pub service: ServiceName,
    /// The segments; only requests with all of them are refused.
    pub segments: Vec<SegmentFingerprint>,
    /// What changed.
    pub step: QuarantineStep,
    /// The crashes under the segments.
    pub crashes: usize,
    /// The crashes that were required.
    pub required: usize,
    /// The age of the oldest of these crashes.
    pub oldest_crash: Duration,
}

/// A step in the quarantine of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStep {
    /// One request at a time is admitted, as a trial.
    Held,
    /// No request is admitted for a period.
    Quarantined,
    /// A completed run, or another explanation of the crashes, ended it.
    Lifted,
}

impl QuarantineStep {
    /// The name of the step in the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Quarantined => "quarantined",
            Self::Lifted => "lifted",
        }
    }
}

/// Segments in quarantine, as told to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedSegments {
    /// The service whose servers they crash.
    pub service: ServiceName,
    /// The segments; only requests with all of them are refused.
    pub segments: Vec<SegmentFingerprint>,
    /// The time for which requests are refused.
    pub left: Duration,
}

impl QuarantinedSegments {
    /// The cause to tell in a refusal.
    #[must_use]
    pub fn cause(&self) -> QuarantineCause {
        let segment = self.segments.first().copied();
        segment.map_or(QuarantineCause::Request, QuarantineCause::Segment)
    }

    /// Whether a request with these segments is refused.
    #[must_use]
    pub fn concerns(&self, service: &ServiceName, segments: &[SegmentFingerprint]) -> bool {
        self.service == *service && self.segments.iter().all(|s| segments.contains(s))
    }
}

/// A crash that led to no quarantine of segments yet, as told to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCrash {
    /// The service of the server.
    pub service: ServiceName,
    /// The server and its incarnation.
    pub crash: ServerCrash,
    /// The time since the crash became known.
    pub age: Duration,
    /// The runs that it counts against.
    pub runs: Vec<RequestTraits>,
}

#[derive(Debug, Default)]
struct ServiceLedger {
    evidence: CrashEvidence,
    holds: Vec<SegmentHold>,
}

/// The crashes of all services, and the requests and segments that are refused for them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    services: HashMap<ServiceName, ServiceLedger>,
    changes: Vec<QuarantineChange>,
    version: u64,
}

impl CrashLedger {
    /// Decides whether a request may be sent to a server of a service. The admission of a
    /// trial defers the next one.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        traits: &RequestTraits,
        now: Instant,
    ) -> Admission {
        let admission = self.preview(service, traits, now);
        self.begin_trials(service, &traits.segments, admission, now);
        admission
    }

    /// What [`Self::admit`] would decide. No trial begins.
    #[must_use]
    pub fn preview(
        &self,
        service: &ServiceName,
        traits: &RequestTraits,
        now: Instant,
    ) -> Admission {
        if let Some(retry_after) = self.request_quarantine(service, traits.request, now) {
            let cause = QuarantineCause::Request;
            return Admission::Refused { cause, retry_after };
        }
        self.preview_segments(service, &traits.segments, now)
    }

    /// Like [`Self::admit`] for work that is not refused for its own crashes, but only for
    /// those of other requests with the same segments.
    pub fn admit_segments(
        &mut self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> Admission {
        let admission = self.preview_segments(service, segments, now);
        self.begin_trials(service, segments, admission, now);
        admission
    }

    /// What [`Self::admit_segments`] would decide. No trial begins.
    #[must_use]
    pub fn preview_segments(
        &self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> Admission {
        let ledger = self.services.get(service);
        ledger.map_or(Admission::Admitted, |ledger| {
            ledger.preview_segments(segments, now)
        })
    }

    fn begin_trials(
        &mut self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        admission: Admission,
        now: Instant,
    ) {
        let ledger = self.services.get_mut(service);
        if let Some(ledger) = ledger.filter(|_| admission == Admission::Trial) {
            ledger.begin_trials(segments, now);
        }
    }

    /// Whether a request has to wait until it is known what else was in flight at its crashes.
    #[must_use]
    pub fn is_undecided(
        &self,
        service: &ServiceName,
        request: RequestFingerprint,
        now: Instant,
    ) -> bool {
        self.services.get(service).is_some_and(|ledger| {
            ledger.evidence.standing(request, now) == RequestStanding::Undecided
        })
    }

    /// Draws conclusions from the crashes whose runs are all reported by now.
    pub fn decide(&mut self, now: Instant) -> CrashDecisions {
        let mut decisions = CrashDecisions::default();
        for (service, ledger) in &mut self.services {
            let decided = ledger.evidence.take_decided(now);
            if decided.is_empty() {
                continue;
            }
            decisions.services.push(service.clone());
            for crash in decided {
                let Some(hold) = ledger.evidence.conclude_crash(&crash, now) else {
                    continue;
                };
                self.changes
                    .push(hold.change(service, QuarantineStep::Held, now));
                self.version += 1;
                decisions.exonerated.extend(ledger.begin_hold(hold));
            }
        }
        decisions
    }

    /// For how long a request is refused for its own crashes, if it is.
    #[must_use]
    pub fn request_quarantine(
        &self,
        service: &ServiceName,
        request: RequestFingerprint,
        now: Instant,
    ) -> Option<Duration> {
        match self.services.get(service)?.evidence.standing(request, now) {
            RequestStanding::Quarantined(left) => Some(left),
            RequestStanding::Clear | RequestStanding::Undecided => None,
        }
    }

    /// Why and for how long a request is refused for its segments, if it is. Unlike
    /// [`Self::admit`], this begins no trial.
    #[must_use]
    pub fn segment_quarantine(
        &self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> Option<(QuarantineCause, Duration)> {
        self.services
            .get(service)?
            .segment_quarantine(segments, now)
    }

    /// Records that a server was lost while it ran a request. The returned counts include
    /// crashes that a segment explains from now on.
    pub fn record_crash(
        &mut self,
        service: &ServiceName,
        run: LostRun<'_>,
        now: Instant,
    ) -> CrashFinding {
        let LostRun { traits, .. } = run;
        let ledger = self.services.entry(service.clone()).or_default();
        ledger.evidence.expire(now);
        let reported = run;
        let crash = &ledger.evidence.crash_of(reported);
        let run = LostRun { crash, ..reported };
        let explaining = ledger
            .holds
            .iter_mut()
            .find(|hold| hold.matches(&traits.segments));
        let counts;
        let mut exonerated = Vec::new();
        if let Some(hold) = explaining {
            let is_new = hold.record_crash(run, now);
            if is_new {
                let change = hold.change(service, QuarantineStep::Quarantined, now);
                self.changes.push(change);
                self.version += 1;
            }
            let segments = hold.segments.clone();
            ledger.evidence.record(run, now);
            counts = ledger.evidence.counts(traits);
            exonerated = ledger.evidence.explain(crash, &segments);
        } else {
            let is_counted = ledger.evidence.record(run, now);
            counts = ledger.evidence.counts(traits);
            if !is_counted {
                // The cause of the crash is known; what it shares with this run is not new.
                exonerated.push((traits.request, crash.clone()));
            } else if let Some(hold) = ledger.evidence.conclude_early(crash, traits, now) {
                self.changes
                    .push(hold.change(service, QuarantineStep::Held, now));
                self.version += 1;
                exonerated.extend(ledger.begin_hold(hold));
            }
        }
        ledger.evidence.record_alias(crash, reported);
        if reported.crash != crash && exonerated.contains(&(traits.request, crash.clone())) {
            exonerated.push((traits.request, reported.crash.clone()));
        }
        self.lift_unfounded(service, now);
        CrashFinding { counts, exonerated }
    }

    /// How a request with these segments is to be treated by a host that grants trials by
    /// itself.
    #[must_use]
    pub fn segment_status(
        &self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> SegmentStatus {
        let ledger = self.services.get(service);
        let holds = ledger.into_iter().flat_map(|ledger| &ledger.holds);
        let matching = holds.filter(|hold| hold.matches(segments));
        let Some(hold) = matching.max_by_key(|hold| hold.quarantine_left(now)) else {
            return SegmentStatus::Clear;
        };
        match (hold.segments.first().copied(), hold.quarantine_left(now)) {
            (None, _) => SegmentStatus::Clear,
            (Some(segment), None) => SegmentStatus::Held(segment),
            (Some(segment), Some(left)) => SegmentStatus::Quarantined { segment, left },
        }
    }

    /// Whether crashes count against one of the segments.
    #[must_use]
    pub fn is_suspect(&self, service: &ServiceName, segments: &[SegmentFingerprint]) -> bool {
        let is_held = |hold: &SegmentHold| hold.segments.iter().any(|s| segments.contains(s));
        self.services.get(service).is_some_and(|ledger| {
            ledger.evidence.is_suspect(segments) || ledger.holds.iter().any(is_held)
        })
    }

    /// Records that a request which was sent at `sent_at` completed on a server.
    pub fn record_completion(
        &mut self,
        service: &ServiceName,
        server: &ServerCrash,
        run: ProvenRun<'_>,
        sent_at: Instant,
        now: Instant,
    ) {
        let ledger = self.services.entry(service.clone()).or_default();
        ledger.evidence.record_completion(server, run, sent_at, now);
        for hold in &mut ledger.holds {
            hold.clear(run.segments);
        }
        self.lift_unfounded(service, now);
    }

    /// Records that a run has gone on long enough not to crash its server, or completed without
    /// a slot that is known here.
    pub fn record_progress(&mut self, service: &ServiceName, run: ProvenRun<'_>, now: Instant) {
        let ledger = self.services.entry(service.clone()).or_default();
        ledger.evidence.clear(run);
        for hold in &mut ledger.holds {
            hold.clear(run.segments);
        }
        self.lift_unfounded(service, now);
    }

    /// Removes the holds without a segment, and those whose crashes have another
    /// explanation by now.
    fn lift_unfounded(&mut self, service: &ServiceName, now: Instant) {
        let Some(ledger) = self.services.get_mut(service) else {
            return;
        };
        let evidence = &ledger.evidence;
        let is_unfounded = |hold: &SegmentHold| {
            hold.segments.is_empty() || (!hold.is_confirmed() && !evidence.supports(hold))
        };
        let lifted = ledger.holds.extract_if(.., |hold| is_unfounded(hold));
        for hold in lifted {
            self.changes
                .push(hold.change(service, QuarantineStep::Lifted, now));
            self.version += 1;
        }
    }

    /// The segments whose requests are refused now.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedSegments> {
        let holds = self
            .services
            .iter()
            .flat_map(|(service, ledger)| ledger.holds.iter().map(move |hold| (service, hold)));
        let quarantined = holds.filter_map(|(service, hold)| {
            Some(QuarantinedSegments {
                service: service.clone(),
                segments: hold.segments.clone(),
                left: hold.retry_after(now)?,
            })
        });
        quarantined.collect()
    }

    /// Takes over what another host has in quarantine, also where the segments are only held
    /// here: a trial crashed a server, although its report may be lost or late.
    pub fn restore(&mut self, quarantined: &[QuarantinedSegments], now: Instant) {
        for entry in quarantined.iter().filter(|e| !e.segments.is_empty()) {
            let ledger = self.services.entry(entry.service.clone()).or_default();
            let mut holds = ledger.holds.iter_mut();
            let known = holds.find(|hold| hold.segments == entry.segments);
            let is_changed = known.map(|hold| hold.restore(entry.left, now));
            let is_changed = is_changed.unwrap_or_else(|| {
                ledger.add_hold(SegmentHold::restored(entry, now));
                true
            });
            self.version += u64::from(is_changed);
        }
    }

    /// The crashes that led to no quarantine of segments yet, for the host that leads next: those
    /// with the fewest runs first, which tell most, up to [`OPEN_RUNS_MAX`] runs.
    #[must_use]
    pub fn open_crashes(&self, now: Instant) -> Vec<OpenCrash> {
        let services = self.services.iter();
        let mut open: Vec<OpenCrash> = services
            .flat_map(|(service, ledger)| ledger.evidence.open_crashes(service, &ledger.holds, now))
            .collect();
        open.sort_by_key(|crash| (crash.runs.len(), crash.age));
        let mut runs = 0;
        let fits = |crash: &OpenCrash| {
            runs += crash.runs.len();
            runs <= OPEN_RUNS_MAX
        };
        open.into_iter().take_while(fits).collect()
    }

    /// Takes over crashes that other hosts know of. Each run counts once for a crash, however
    /// often it is reported.
    pub fn restore_crashes(&mut self, open: &[OpenCrash], now: Instant) {
        for crash in open {
            let ledger = self.services.entry(crash.service.clone()).or_default();
            ledger.evidence.restore(crash, &ledger.holds, now);
        }
    }

    /// Counts the changes of the segments in quarantine.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }
}

impl ServiceLedger {
    /// The maximum number of holds of a service; the oldest is dropped first.
    const HOLDS_MAX: usize = 256;

    /// Begins a hold, which explains its crashes. Returns the requests and crashes that no
    /// longer count against them.
    fn begin_hold(&mut self, hold: SegmentHold) -> Vec<(RequestFingerprint, ServerCrash)> {
        let mut exonerated = Vec::new();
        for crash in hold.crashes() {
            exonerated.extend(self.evidence.explain(crash, &hold.segments));
        }
        // Fewer segments are as good an explanation.
        self.holds.retain(|known| !known.matches_all_of(&hold));
        self.add_hold(hold);
        exonerated
    }

    fn preview_segments(&self, segments: &[SegmentFingerprint], now: Instant) -> Admission {
        if let Some((cause, retry_after)) = self.segment_quarantine(segments, now) {
            return Admission::Refused { cause, retry_after };
        }
        if self.holds.iter().any(|hold| hold.matches(segments)) {
            Admission::Trial
        } else {
            Admission::Admitted
        }
    }

    fn begin_trials(&mut self, segments: &[SegmentFingerprint], now: Instant) {
        for hold in &mut self.holds {
            if hold.matches(segments) {
                hold.begin_trial(now);
            }
        }
    }

    fn segment_quarantine(
        &self,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> Option<(QuarantineCause, Duration)> {
        let refusals = self.holds.iter().filter_map(|hold| {
            let retry_after = hold.retry_after(now).filter(|_| hold.matches(segments))?;
            Some((
                QuarantineCause::Segment(*hold.segments.first()?),
                retry_after,
            ))
        });
        refusals.max_by_key(|(_, retry_after)| *retry_after)
    }

    fn add_hold(&mut self, hold: SegmentHold) {
        if self.holds.len() >= Self::HOLDS_MAX {
            self.holds.remove(0);
        }
        self.holds.push(hold);
    }
}
