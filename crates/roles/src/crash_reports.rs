//! What a host knows of crashes that led to no quarantine yet, for the case that the leader of
//! the control group changes.
//!
//! A leader counts the crashes of requests and prompt segments in its memory, and each sync
//! tells the hosts which ones still count. Crashes that completed runs refute, or that a segment
//! in quarantine explains, are no longer among them. A new leader gets the latest list, and what
//! the host reported since, with the second sync. The first one brings the completed runs that
//! speak against these crashes and whose slots the new leader does not know. Hosts of earlier
//! builds tell nothing.

use chicoryladder_policy::quarantine::{OpenCrash, RequestTraits};
use chicoryladder_types::ServiceName;
use std::time::{Duration, Instant};

/// The crashes that led to no quarantine yet. Counts below the requirement end with a leader,
/// so hosts tell the next one.
#[derive(Debug, Default)]
pub struct CrashReports {
    /// Those that the leader knew at the last sync, with its time.
    known: Vec<(Instant, OpenCrash)>,
    /// Those that this host reported lately, which the leader may not have listed yet.
    reported: Vec<(Instant, OpenCrash)>,
    /// Those that the next sync reports, since the leader may not know them.
    unreported: Vec<(Instant, OpenCrash)>,
    /// The completed runs of requests that count as suspects, which the next sync reports: the
    /// leader may not know their slots.
    proven: Vec<(Instant, (ServiceName, RequestTraits))>,
}

impl CrashReports {
    /// The maximum number of crashes of each kind that are kept; further ones are left out.
    const CRASHES_MAX: usize = 64;

    /// The time after which the leader has listed a crash that was reported to it.
    const LISTED_AFTER: Duration = Duration::from_millis(500);

    /// The time for which a host without contact to a leader keeps a crash. Requests that
    /// completed meanwhile may speak against it, of which the host does not know.
    const KEPT_FOR: Duration = Duration::from_secs(5);

    /// Keeps a crash that this host reports now. `has_leader` tells whether it knows a leader to
    /// report it to; otherwise the next sync reports it.
    pub fn record(&mut self, crash: OpenCrash, has_leader: bool, now: Instant) {
        let kept = if has_leader {
            &mut self.reported
        } else {
            &mut self.unreported
        };
        if kept.len() < Self::CRASHES_MAX {
            kept.push((now, crash));
        }
    }

    /// Keeps a completed run if crashes that this host knows of count against it. They no longer
    /// do here.
    pub fn record_proven(&mut self, service: &ServiceName, traits: &RequestTraits, now: Instant) {
        let mut is_suspect = false;
        for list in [&mut self.known, &mut self.reported, &mut self.unreported] {
            for (_, crash) in list.iter_mut().filter(|(_, c)| c.service == *service) {
                is_suspect |= remove_proven(crash, traits);
            }
            list.retain(|(_, crash)| !crash.runs.is_empty());
        }
        if is_suspect && self.proven.len() < Self::CRASHES_MAX {
            self.proven.push((now, (service.clone(), traits.clone())));
        }
    }

    /// The completed runs that the next sync reports.
    #[must_use]
    pub fn proven(&self) -> Vec<(ServiceName, RequestTraits)> {
        let proven = self.proven.iter().map(|(_, run)| run.clone());
        proven.collect()
    }

    /// Takes over what the leader knew when it replied to a sync that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        known: Vec<OpenCrash>,
        is_new_leader: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        self.unreported.retain(|(at, _)| *at > sent_at);
        self.proven.retain(|(at, _)| *at > sent_at);
        if is_new_leader {
            let unreported = self.current(now).into_iter().map(|crash| (now, crash));
            self.unreported = unreported.take(Self::CRASHES_MAX).collect();
            self.reported.clear();
        }
        let is_recent = |at: Instant| at + Self::LISTED_AFTER > sent_at;
        self.reported.retain(|(at, _)| is_recent(*at));
        self.known = known.into_iter().map(|crash| (now, crash)).collect();
    }

    /// Those that the next sync reports, with their ages now.
    #[must_use]
    pub fn unreported(&self, now: Instant) -> Vec<OpenCrash> {
        aged(self.unreported.iter(), now)
    }

    /// The crashes that this host knows of, with their ages now.
    #[must_use]
    pub fn current(&self, now: Instant) -> Vec<OpenCrash> {
        let lists = [&self.known, &self.reported, &self.unreported];
        let is_kept =
            |(at, _): &&(Instant, OpenCrash)| now.saturating_duration_since(*at) < Self::KEPT_FOR;
        aged(lists.into_iter().flatten().filter(is_kept), now)
    }
}

/// Removes what a completed run proves harmless from the runs of a crash. Returns whether there
/// was any of it.
fn remove_proven(crash: &mut OpenCrash, proven: &RequestTraits) -> bool {
    let runs = crash.runs.len();
    crash.runs.retain(|run| run.request != proven.request);
    let mut is_changed = crash.runs.len() < runs;
    for run in &mut crash.runs {
        let segments = run.segments.len();
        run.segments
            .retain(|segment| !proven.segments.contains(segment));
        is_changed |= run.segments.len() < segments;
    }
    is_changed
}

/// Crashes with their ages now, each once.
fn aged<'a>(
    crashes: impl Iterator<Item = &'a (Instant, OpenCrash)>,
    now: Instant,
) -> Vec<OpenCrash> {
    let mut aged: Vec<OpenCrash> = Vec::new();
    for (at, crash) in crashes {
        let is_same = |other: &OpenCrash| {
            other.service == crash.service && other.crash == crash.crash && other.runs == crash.runs
        };
        if !aged.iter().any(is_same) {
            aged.push(OpenCrash {
                age: crash.age + now.saturating_duration_since(*at),
                ..crash.clone()
            });
        }
    }
    aged
}
