//! The hold of a segment: trials first, then quarantine.

use super::evidence::INCIDENT_LENGTH;
use super::{LostRun, QuarantineChange, QuarantineStep, QuarantinedSegments, SegmentFingerprint};
use crate::quarantine::ServerCrash;
use chicoryladder_types::ServiceName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The interval between the trials of a segment that is held.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The first quarantine of a segment; it doubles with each further one.
const QUARANTINE: Duration = Duration::from_secs(30);

/// The most doublings of the quarantine.
const DOUBLINGS_MAX: u32 = 7;

/// Segments whose runs crash servers. Several segments are held together if no crash tells
/// them apart.
#[derive(Debug)]
pub(super) struct SegmentHold {
    /// Requests with all of these segments are concerned; none once they are cleared.
    pub(super) segments: Vec<SegmentFingerprint>,
    /// The segments that were held first, for the log.
    held: Vec<SegmentFingerprint>,
    crashes: BTreeSet<ServerCrash>,
    required: usize,
    first_crash_at: Instant,
    /// The begin of the latest incident.
    incident_at: Instant,
    next_trial_at: Instant,
    /// The end of the quarantine; the start of the hold before the first one.
    quarantined_until: Instant,
    quarantines: u32,
}

impl SegmentHold {
    pub(super) fn new(
        segments: Vec<SegmentFingerprint>,
        crashes: BTreeSet<ServerCrash>,
        required: usize,
        first_crash_at: Instant,
        now: Instant,
    ) -> Self {
        Self {
            held: segments.clone(),
            segments,
            crashes,
            required,
            first_crash_at,
            incident_at: now,
            next_trial_at: now + TRIAL_INTERVAL,
            quarantined_until: now,
            quarantines: 0,
        }
    }

    pub(super) fn restored(entry: &QuarantinedSegments, now: Instant) -> Self {
        Self {
            quarantined_until: now + entry.left,
            quarantines: 1,
            ..Self::new(entry.segments.clone(), BTreeSet::new(), 0, now, now)
        }
    }

    pub(super) fn matches(&self, segments: &[SegmentFingerprint]) -> bool {
        self.segments
            .iter()
            .all(|segment| segments.contains(segment))
    }

    /// Whether the hold has all segments of another one.
    pub(super) fn matches_all_of(&self, other: &Self) -> bool {
        other.matches(&self.segments)
    }

    /// The number of crashes at which the hold began.
    pub(super) fn required(&self) -> usize {
        self.required
    }

    pub(super) fn crashes(&self) -> impl Iterator<Item = &ServerCrash> {
        self.crashes.iter()
    }

    /// Whether a trial crashed a server, too.
    pub(super) fn is_confirmed(&self) -> bool {
        self.quarantines > 0
    }

    /// The time until the next request may run; `None` if one may run now.
    pub(super) fn retry_after(&self, now: Instant) -> Option<Duration> {
        let opens_at = self.next_trial_at.max(self.quarantined_until);
        let left = opens_at.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// The time until the quarantine ends; `None` outside of one.
    pub(super) fn quarantine_left(&self, now: Instant) -> Option<Duration> {
        let left = self.quarantined_until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    /// Takes over the quarantine of another host, unless there is one here. Returns whether it
    /// did.
    pub(super) fn restore(&mut self, left: Duration, now: Instant) -> bool {
        let is_due = self.quarantine_left(now).is_none() && !left.is_zero();
        if is_due {
            self.quarantined_until = now + left;
            self.quarantines = self.quarantines.max(1);
        }
        is_due
    }

    /// Records another crash. Returns whether it begins a quarantine: runs that were in
    /// flight before do not prolong one. A run that was sent since the latest incident is a
    /// trial, however soon it crashes its server.
    pub(super) fn record_crash(&mut self, run: LostRun<'_>, now: Instant) -> bool {
        let is_new = self.crashes.insert(run.crash.clone());
        let is_trial = run.sent_at.is_some_and(|at| at >= self.incident_at);
        if !is_new || (!is_trial && now < self.incident_at + INCIDENT_LENGTH) {
            return false;
        }
        self.incident_at = now;
        if now < self.quarantined_until {
            return false;
        }
        let doublings = self.quarantines.min(DOUBLINGS_MAX);
        self.quarantined_until = now + QUARANTINE * 2u32.pow(doublings);
        self.quarantines += 1;
        true
    }

    /// Removes the segments of a completed run: they do not crash servers.
    pub(super) fn clear(&mut self, completed: &[SegmentFingerprint]) {
        self.segments.retain(|segment| !completed.contains(segment));
    }

    pub(super) fn change(
        &self,
        service: &ServiceName,
        step: QuarantineStep,
        now: Instant,
    ) -> QuarantineChange {
        QuarantineChange {
            service: service.clone(),
            segments: if step == QuarantineStep::Lifted {
                self.held.clone()
            } else {
                self.segments.clone()
            },
            step,
            crashes: self.crashes.len(),
            required: self.required,
            oldest_crash: now.saturating_duration_since(self.first_crash_at),
        }
    }
}
