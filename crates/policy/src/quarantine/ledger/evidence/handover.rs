//! The crashes that count, but led to no quarantine yet, for the host that leads next.
//!
//! Reports may be lost, late and repeated: a run counts once for each crash. What was proven
//! harmless here since is left out, as the reporting host does not know of that.

use super::{CrashEvidence, CrashRecord, EVIDENCE_WINDOW, RUNS_PER_CRASH_MAX, SegmentLoss};
use crate::quarantine::ledger::OpenCrash;
use crate::quarantine::ledger::hold::SegmentHold;
use crate::quarantine::{RequestTraits, ServerCrash};
use chicoryladder_types::ServiceName;
use std::time::Instant;

impl CrashEvidence {
    /// The crashes with the runs that they count against, but for those with segments in
    /// quarantine, which other hosts know.
    pub(in crate::quarantine::ledger) fn open_crashes(
        &self,
        service: &ServiceName,
        holds: &[SegmentHold],
        now: Instant,
    ) -> Vec<OpenCrash> {
        let is_quarantined = |run: &RequestTraits| {
            let mut confirmed = holds.iter().filter(|hold| hold.is_confirmed());
            confirmed.any(|hold| hold.matches(&run.segments))
        };
        let open = self.crashes.iter().filter_map(|(crash, record)| {
            let age = now.saturating_duration_since(record.at);
            if age >= EVIDENCE_WINDOW {
                return None;
            }
            let mut runs: Vec<RequestTraits> = Vec::new();
            for run in &record.runs {
                if !self.counts_against(crash, run) || is_quarantined(run) {
                    continue;
                }
                let mut run = run.clone();
                run.segments.retain(|segment| {
                    let crashes = self.segments.get(segment);
                    crashes.is_some_and(|crashes| crashes.contains_key(crash))
                });
                if !runs.contains(&run) {
                    runs.push(run);
                }
            }
            (!runs.is_empty()).then(|| OpenCrash {
                service: service.clone(),
                crash: crash.clone(),
                age,
                runs,
            })
        });
        open.collect()
    }

    fn counts_against(&self, crash: &ServerCrash, run: &RequestTraits) -> bool {
        let crashes = self.requests.get(&run.request);
        crashes.is_some_and(|crashes| crashes.contains(crash))
    }

    /// Takes over a crash that another host knows of, but for runs with segments that are held.
    pub(in crate::quarantine::ledger) fn restore(
        &mut self,
        open: &OpenCrash,
        holds: &[SegmentHold],
        now: Instant,
    ) {
        self.rotate_counts(now);
        let at = now.checked_sub(open.age);
        let Some(at) = at.filter(|_| open.age < EVIDENCE_WINDOW) else {
            return;
        };
        for run in &open.runs {
            let is_held = holds.iter().any(|hold| hold.matches(&run.segments));
            if !is_held && !self.is_proven(run) {
                self.restore_run(&open.crash, run, at);
            }
        }
    }

    fn restore_run(&mut self, crash: &ServerCrash, run: &RequestTraits, at: Instant) {
        if !self.crashes.contains_key(crash) {
            self.insert_restored(crash, at);
        }
        let Some(record) = self.crashes.get_mut(crash) else {
            return;
        };
        let is_known = record.runs.iter().any(|known| known.request == run.request);
        if record.is_explained || is_known || record.runs.len() >= RUNS_PER_CRASH_MAX {
            return;
        }
        let mut run = run.clone();
        let proven = [
            &self.proven_segments.current,
            &self.proven_segments.previous,
        ];
        run.segments
            .retain(|segment| !proven.iter().any(|proven| proven.contains(segment)));
        self.lost_runs += 1;
        let crashes = self.requests.entry(run.request).or_default();
        crashes.insert(crash.clone());
        for segment in &run.segments {
            let crashes = self.segments.entry(*segment).or_default();
            crashes.entry(crash.clone()).or_insert(SegmentLoss {
                request: run.request,
                sent_at: None,
            });
        }
        record.runs.push(run);
    }

    /// Inserts a crash without runs in the order of the times at which crashes became known.
    fn insert_restored(&mut self, crash: &ServerCrash, at: Instant) {
        let is_earlier = |known: &ServerCrash| {
            let record = self.crashes.get(known);
            record.is_none_or(|record| record.at <= at)
        };
        let position = self.order.partition_point(is_earlier);
        self.order.insert(position, crash.clone());
        let record = CrashRecord {
            at,
            runs: Vec::new(),
            aliases: Vec::new(),
            is_explained: false,
        };
        self.crashes.insert(crash.clone(), record);
        self.undecided.push_front(crash.clone());
        self.drop_excess();
    }

    /// Whether a run of the request was proven harmless recently.
    fn is_proven(&self, run: &RequestTraits) -> bool {
        let proven = [&self.proven.current, &self.proven.previous];
        proven.iter().any(|proven| proven.contains(&run.request))
    }
}
