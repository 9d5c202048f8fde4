//! How a request is to be treated for the crashes that it was in flight at.

use super::{CrashEvidence, EVIDENCE_WINDOW, INCIDENT_LENGTH, required_crashes};
use crate::quarantine::{RequestFingerprint, RequestTraits, ServerCrash};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The number of crashes at which a request is quarantined, while few other runs are lost.
const REQUEST_CRASHES: usize = 2;

/// The number of crashes at which a request is quarantined, whatever else is lost or explains
/// them.
const REQUEST_CRASHES_MAX: usize = 5;

/// How a request is to be treated for its own crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::quarantine::ledger) enum RequestStanding {
    /// It may run.
    Clear,
    /// It must wait: reports on other runs of its latest crash may still be on their way, and
    /// explain its crashes.
    Undecided,
    /// It is refused for the time that is left.
    Quarantined(Duration),
}

impl CrashEvidence {
    /// How a request is to be treated for its own crashes.
    pub(in crate::quarantine::ledger) fn standing(
        &self,
        request: RequestFingerprint,
        now: Instant,
    ) -> RequestStanding {
        let Some(crashes) = self.requests.get(&request) else {
            return RequestStanding::Clear;
        };
        let suffice = if self.has_other_cause(request, crashes) {
            let crashes = crashes.iter().map(|crash| (crash, None));
            self.incidents(crashes) >= REQUEST_CRASHES_MAX
        } else {
            let loss_rate = self.loss_rate_without(crashes.iter());
            let required = required_crashes(REQUEST_CRASHES, loss_rate);
            crashes.len() >= required.min(REQUEST_CRASHES_MAX)
        };
        let records = crashes.iter().filter_map(|crash| self.crashes.get(crash));
        let latest = records.map(|record| record.at).max();
        let Some(latest) = latest.filter(|_| suffice) else {
            return RequestStanding::Clear;
        };
        let age = now.saturating_duration_since(latest);
        if age < INCIDENT_LENGTH {
            return RequestStanding::Undecided;
        }
        match EVIDENCE_WINDOW.saturating_sub(age) {
            Duration::ZERO => RequestStanding::Clear,
            left => RequestStanding::Quarantined(left),
        }
    }

    /// Takes the crashes whose runs are all reported by now.
    pub(in crate::quarantine::ledger) fn take_decided(&mut self, now: Instant) -> Vec<ServerCrash> {
        let is_decided = |crash: &ServerCrash| {
            let record = self.crashes.get(crash);
            record.is_none_or(|r| now.saturating_duration_since(r.at) >= INCIDENT_LENGTH)
        };
        let count = self.undecided.iter().take_while(|crash| is_decided(crash));
        let count = count.count();
        self.undecided.drain(..count).collect()
    }

    /// Whether another request, or a segment that this one does not have, was in flight at all
    /// of its crashes and explains them as well.
    fn has_other_cause(
        &self,
        request: RequestFingerprint,
        crashes: &BTreeSet<ServerCrash>,
    ) -> bool {
        let records = crashes.iter().filter_map(|crash| self.crashes.get(crash));
        let Some(record) = records.min_by_key(|record| record.runs.len()) else {
            return false;
        };
        let is_own = |run: &&RequestTraits| run.request == request;
        let own = record.runs.iter().find(is_own);
        let own_segments = own.map_or(&[][..], |run| &run.segments);
        let mut others = record.runs.iter().filter(|run| !is_own(run));
        others.any(|run| {
            let explains_all = self.requests.get(&run.request);
            let mut segments = run.segments.iter().filter(|s| !own_segments.contains(s));
            explains_all.is_some_and(|other| crashes.is_subset(other))
                || segments.any(|segment| {
                    let other = self.segments.get(segment);
                    other.is_some_and(|other| crashes.iter().all(|c| other.contains_key(c)))
                })
        })
    }
}
