//! Which segments the crashes of servers are due to.
//!
//! The reports on the runs of a crash arrive one by one. A cause is found at once if no other
//! run can explain its crashes as well, and otherwise once all runs are reported.

use super::{CrashEvidence, SegmentCrashes};
use crate::quarantine::ledger::hold::SegmentHold;
use crate::quarantine::{RequestTraits, SegmentFingerprint, ServerCrash};
use std::cmp::Reverse;
use std::time::Instant;

impl CrashEvidence {
    /// The hold to which a crash leads, if its segments' crashes suffice. Of several
    /// explanations that are as good, the one that fewest of the lost runs have is the least
    /// likely by chance.
    pub(in crate::quarantine::ledger) fn conclude_crash(
        &self,
        crash: &ServerCrash,
        now: Instant,
    ) -> Option<SegmentHold> {
        let record = self.crashes.get(crash);
        let record = record.filter(|record| !record.is_explained)?;
        let holds = record.runs.iter().filter_map(|run| self.conclude(run, now));
        let best = holds.max_by_key(|(excess, hold)| (*excess, Reverse(self.lost_with(hold))));
        best.map(|(_, hold)| hold)
    }

    /// The hold to which the crashes of a run lead at once: no segment of another run, which
    /// may not be reported yet, was in flight at all other crashes of it.
    pub(in crate::quarantine::ledger) fn conclude_early(
        &self,
        crash: &ServerCrash,
        traits: &RequestTraits,
        now: Instant,
    ) -> Option<SegmentHold> {
        let (_, hold) = self.conclude(traits, now)?;
        let earlier: Vec<&ServerCrash> = hold.crashes().filter(|c| *c != crash).collect();
        let records = earlier.iter().filter_map(|crash| self.crashes.get(*crash));
        let record = records.min_by_key(|record| record.runs.len())?;
        let segments = record.runs.iter().flat_map(|run| &run.segments);
        let mut others = segments.filter(|segment| !traits.segments.contains(segment));
        let may_explain = |segment: &SegmentFingerprint| {
            let crashes = self.segments.get(segment);
            crashes.is_some_and(|crashes| earlier.iter().all(|c| crashes.contains_key(*c)))
        };
        (!others.any(may_explain)).then_some(hold)
    }

    /// The runs with the segments of a hold that were lost at its crashes.
    fn lost_with(&self, hold: &SegmentHold) -> usize {
        let records = hold.crashes().filter_map(|crash| self.crashes.get(crash));
        let runs = records.flat_map(|record| &record.runs);
        runs.filter(|run| hold.matches(&run.segments)).count()
    }

    /// The hold to which the crashes of a run lead, if they suffice, and by how many they exceed
    /// the requirement.
    fn conclude(&self, traits: &RequestTraits, now: Instant) -> Option<(usize, SegmentHold)> {
        let candidates = traits.segments.iter().filter_map(|segment| {
            let crashes = self.segments.get(segment)?;
            let required = self.required_segment_crashes(*segment);
            let excess = self.crash_count(*segment).checked_sub(required)?;
            Some((excess, *segment, required, crashes))
        });
        let candidates: Vec<_> = candidates.collect();
        let (best, _, required, crashes) = candidates.iter().max_by_key(|(excess, ..)| *excess)?;
        let is_as_good = |(excess, _, _, other): &&(usize, _, _, &SegmentCrashes)| {
            excess == best && other.keys().eq(crashes.keys())
        };
        let segments = candidates.iter().filter(is_as_good);
        let segments = segments.map(|(_, segment, ..)| *segment).collect();
        let records = crashes.keys().filter_map(|crash| self.crashes.get(crash));
        let first_crash_at = records.map(|record| record.at).min().unwrap_or(now);
        let crashes = crashes.keys().cloned().collect();
        let hold = SegmentHold::new(segments, crashes, *required, first_crash_at, now);
        Some((*best, hold))
    }
}
