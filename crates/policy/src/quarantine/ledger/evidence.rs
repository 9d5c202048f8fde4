//! The crashes of a service's servers, and the completed runs that speak against them.

mod conclusion;
mod handover;
mod standing;

pub(super) use standing::RequestStanding;

use super::hold::SegmentHold;
use super::{
    CrashCounts, LostRun, ProvenRun, RequestTraits, SegmentCrashCount, SegmentFingerprint,
};
use crate::quarantine::{RequestFingerprint, ServerCrash};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The time for which a crash counts.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(60);

/// Crashes of several servers within this time count once against a segment: they may have a
/// common cause, such as a loss of power. They count apart if all their runs with the segment are
/// known to have been sent after the crash before: requests that come one after the other may
/// each crash a server within milliseconds.
pub(super) const INCIDENT_LENGTH: Duration = Duration::from_millis(50);

/// The maximum number of crashes that are kept; the oldest are dropped first.
const CRASHES_MAX: usize = 512;

/// The maximum number of runs that are kept for a crash.
const RUNS_PER_CRASH_MAX: usize = 64;

/// The number of crashes, in different requests, from which a segment is held, while few
/// other runs are lost and no run with the segment completed recently.
const SEGMENT_CRASHES: usize = 3;

/// The share of other runs lost up to which these numbers of crashes suffice.
const LOSS_RATE_MIN: f64 = 0.05;

/// The share of other runs lost from which the required number grows no more.
const LOSS_RATE_MAX: f64 = 0.95;

/// The interval at which recent completions become earlier ones, and earlier ones are
/// forgotten.
const COMPLETIONS_INTERVAL: Duration = Duration::from_secs(5);

/// The same interval for the count of all completions, which is compared with the runs that
/// were lost within [`EVIDENCE_WINDOW`].
const ALL_COMPLETIONS_INTERVAL: Duration = Duration::from_secs(30);

/// The maximum number of segments whose completions are counted in one interval.
const COUNTED_SEGMENTS_MAX: usize = 50_000;

/// Counts of the current and of the previous interval.
#[derive(Debug, Default)]
struct RecentCounts<T> {
    began_at: Option<Instant>,
    current: T,
    previous: T,
}

impl<T: Default> RecentCounts<T> {
    /// Starts the next interval if it is due.
    fn rotate(&mut self, interval: Duration, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        let age = now.saturating_duration_since(began_at);
        if age >= interval {
            let ended = std::mem::take(&mut self.current);
            self.previous = if age < 2 * interval {
                ended
            } else {
                T::default()
            };
            self.began_at = Some(now);
        }
    }
}

/// A crash with the runs that were in flight.
#[derive(Debug)]
struct CrashRecord {
    at: Instant,
    runs: Vec<RequestTraits>,
    /// The runs that were reported under another incarnation of the server.
    aliases: Vec<(RequestFingerprint, ServerCrash)>,
    /// Whether held segments caused the crash.
    is_explained: bool,
}

/// The runs with a segment that a crash ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SegmentLoss {
    /// One of their requests.
    request: RequestFingerprint,
    /// When the first of them was sent; `None` if that is not known of all.
    sent_at: Option<Instant>,
}

/// The crashes of one segment.
type SegmentCrashes = BTreeMap<ServerCrash, SegmentLoss>;

/// The evidence of one service.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence {
    crashes: HashMap<ServerCrash, CrashRecord>,
    /// The crashes in the order in which they became known.
    order: VecDeque<ServerCrash>,
    /// The runs that were in flight at unexplained crashes.
    lost_runs: usize,
    requests: HashMap<RequestFingerprint, BTreeSet<ServerCrash>>,
    segments: HashMap<SegmentFingerprint, SegmentCrashes>,
    completions: RecentCounts<HashMap<SegmentFingerprint, u32>>,
    /// The requests that were proven harmless recently.
    proven: RecentCounts<HashSet<RequestFingerprint>>,
    /// The segments of these requests.
    proven_segments: RecentCounts<HashSet<SegmentFingerprint>>,
    all_completions: RecentCounts<usize>,
    /// The crashes that others of their runs may still be reported for.
    undecided: VecDeque<ServerCrash>,
}

impl CrashEvidence {
    /// The crash that ended a run. Hosts may know different incarnations of a server, and so
    /// report one crash as several: a run that was in flight at a known crash of the server
    /// ended with it.
    pub(super) fn crash_of(&self, run: LostRun<'_>) -> ServerCrash {
        let reported = run.crash;
        let Some(sent_at) = run.sent_at.filter(|_| !self.crashes.contains_key(reported)) else {
            return reported.clone();
        };
        let known = self
            .crashes
            .iter()
            .filter(|(crash, record)| crash.server == reported.server && sent_at <= record.at);
        let first = known.min_by_key(|(_, record)| record.at);
        first.map_or(reported, |(crash, _)| crash).clone()
    }

    /// Notes under which incarnation a run of a crash was reported, if under another one.
    pub(super) fn record_alias(&mut self, crash: &ServerCrash, run: LostRun<'_>) {
        let record = self.crashes.get_mut(crash);
        if let Some(record) = record.filter(|_| run.crash != crash)
            && record.aliases.len() < RUNS_PER_CRASH_MAX
        {
            let alias = (run.traits.request, run.crash.clone());
            record.aliases.push(alias);
        }
    }

    /// Records a crash for one of the runs that were in flight. Returns whether it counts
    /// against the run: the cause may be known already.
    pub(super) fn record(&mut self, run: LostRun<'_>, now: Instant) -> bool {
        let LostRun { crash, traits, .. } = run;
        self.rotate_counts(now);
        if !self.crashes.contains_key(crash) {
            self.undecided.push_back(crash.clone());
            self.order.push_back(crash.clone());
            self.drop_excess();
        }
        let entry = self.crashes.entry(crash.clone());
        let record = entry.or_insert_with(|| CrashRecord {
            at: now,
            runs: Vec::new(),
            aliases: Vec::new(),
            is_explained: false,
        });
        if record.is_explained {
            return false;
        }
        if record.runs.len() >= RUNS_PER_CRASH_MAX {
            return true;
        }
        record.runs.push(traits.clone());
        self.lost_runs += 1;
        let crashes = self.requests.entry(traits.request).or_default();
        crashes.insert(crash.clone());
        for segment in &traits.segments {
            let crashes = self.segments.entry(*segment).or_default();
            let sent_at = match crashes.get(crash) {
                Some(loss) => loss.sent_at.min(run.sent_at),
                None => run.sent_at,
            };
            let request = traits.request;
            crashes.insert(crash.clone(), SegmentLoss { request, sent_at });
        }
        true
    }

    /// Drops the oldest crash if there are too many.
    fn drop_excess(&mut self) {
        if self.order.len() > CRASHES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.forget(&oldest);
        }
    }

    fn rotate_counts(&mut self, now: Instant) {
        self.completions.rotate(COMPLETIONS_INTERVAL, now);
        self.proven.rotate(COMPLETIONS_INTERVAL, now);
        self.proven_segments.rotate(COMPLETIONS_INTERVAL, now);
        self.all_completions.rotate(ALL_COMPLETIONS_INTERVAL, now);
    }

    /// Records that segments caused a crash: it no longer counts against runs that do not
    /// have all of them. Returns these runs.
    pub(super) fn explain(
        &mut self,
        crash: &ServerCrash,
        cause: &[SegmentFingerprint],
    ) -> Vec<(RequestFingerprint, ServerCrash)> {
        let Some(record) = self.crashes.get_mut(crash) else {
            return Vec::new();
        };
        if !record.is_explained {
            record.is_explained = true;
            self.lost_runs -= record.runs.len();
        }
        let is_cause = |run: &RequestTraits| cause.iter().all(|s| run.segments.contains(s));
        let mut others = Vec::new();
        let aliases = record.aliases.iter().filter(|(request, _)| {
            let mut runs = record.runs.iter();
            runs.any(|run| run.request == *request && !is_cause(run))
        });
        others.extend(aliases.cloned());
        for run in &record.runs {
            if !is_cause(run) {
                remove_crash(&mut self.requests, run.request, crash);
                others.push((run.request, crash.clone()));
            }
            for segment in run.segments.iter().filter(|s| !cause.contains(s)) {
                remove_segment_crash(&mut self.segments, *segment, crash);
            }
        }
        others
    }

    /// Whether crashes count against one of the segments.
    pub(super) fn is_suspect(&self, segments: &[SegmentFingerprint]) -> bool {
        segments
            .iter()
            .any(|segment| self.segments.contains_key(segment))
    }

    /// The crashes that count against a request.
    pub(super) fn counts(&self, traits: &RequestTraits) -> CrashCounts {
        let count = |segment: &SegmentFingerprint| SegmentCrashCount {
            segment: *segment,
            crashes: self.crash_count(*segment),
            required: self.required_segment_crashes(*segment),
        };
        CrashCounts {
            request: self.requests.get(&traits.request).map_or(0, BTreeSet::len),
            segments: traits.segments.iter().map(count).collect(),
        }
    }

    /// Whether the crashes still suffice for a hold.
    pub(super) fn supports(&self, hold: &SegmentHold) -> bool {
        let mut segments = hold.segments.iter();
        segments.any(|segment| self.crash_count(*segment) >= hold.required())
    }

    /// The number of crashes that count against a segment. Crashes under the same request,
    /// and those that may have a common cause, count once.
    fn crash_count(&self, segment: SegmentFingerprint) -> usize {
        let Some(crashes) = self.segments.get(&segment) else {
            return 0;
        };
        let requests: HashSet<RequestFingerprint> =
            crashes.values().map(|loss| loss.request).collect();
        let losses = crashes.iter().map(|(crash, loss)| (crash, loss.sent_at));
        requests.len().min(self.incidents(losses))
    }

    /// The number of crashes, counting those once that may have a common cause: those within
    /// [`INCIDENT_LENGTH`], unless the runs of each were sent after the crash before. Takes the
    /// crashes with the time at which the first run was sent, if that is known.
    fn incidents<'a>(
        &self,
        losses: impl Iterator<Item = (&'a ServerCrash, Option<Instant>)>,
    ) -> usize {
        let times = losses.filter_map(|(crash, sent_at)| {
            let record = self.crashes.get(crash)?;
            Some((record.at, sent_at))
        });
        let mut times: Vec<(Instant, Option<Instant>)> = times.collect();
        times.sort_unstable();
        let mut incidents = 0;
        let mut rest = times.as_slice();
        while let Some((began_at, _)) = rest.first() {
            let ends_at = *began_at + INCIDENT_LENGTH;
            let (close, later) = rest.split_at(rest.partition_point(|(at, _)| *at < ends_at));
            let is_sequence = close
                .windows(2)
                .all(|pair| pair[1].1.is_some_and(|sent_at| sent_at >= pair[0].0));
            incidents += if is_sequence { close.len() } else { 1 };
            rest = later;
        }
        incidents
    }

    /// The number of crashes at which a segment is held. By chance, several crashes in a row
    /// may concern runs with a segment that is in most requests, so it takes more of them
    /// the more such runs completed.
    fn required_segment_crashes(&self, segment: SegmentFingerprint) -> usize {
        let count = |counts: &HashMap<_, u32>| counts.get(&segment).copied().unwrap_or_default();
        let completed = count(&self.completions.current) + count(&self.completions.previous);
        let more = usize::try_from((completed + 1).ilog2()).unwrap_or_default();
        let crashes = self.segments.get(&segment);
        let crashes = crashes.into_iter().flat_map(BTreeMap::keys);
        let loss_rate = self.loss_rate_without(crashes);
        required_crashes(SEGMENT_CRASHES, loss_rate).max(SEGMENT_CRASHES + more)
    }

    /// The share of runs that are lost in other unexplained crashes than these.
    fn loss_rate_without<'a>(&self, crashes: impl Iterator<Item = &'a ServerCrash>) -> f64 {
        let records = crashes.filter_map(|crash| self.crashes.get(crash));
        let unexplained = records.filter(|record| !record.is_explained);
        let own: usize = unexplained.map(|record| record.runs.len()).sum();
        let lost = self.lost_runs.saturating_sub(own);
        let completed = self.all_completions.current + self.all_completions.previous;
        as_float(lost) / as_float((lost + completed).max(1))
    }

    /// Drops the crashes that count against a request and its segments, since a run of it
    /// crashed no server.
    pub(super) fn clear(&mut self, run: ProvenRun<'_>) {
        if let Some(request) = run.request {
            self.requests.remove(&request);
            if self.proven.current.len() < COUNTED_SEGMENTS_MAX {
                self.proven.current.insert(request);
            }
        }
        for segment in run.segments {
            if self.proven_segments.current.len() < COUNTED_SEGMENTS_MAX {
                self.proven_segments.current.insert(*segment);
            }
            self.segments.remove(segment);
        }
    }

    /// Records a completed run: its request and segments are sound, and so is the server.
    pub(super) fn record_completion(
        &mut self,
        server: &ServerCrash,
        run: ProvenRun<'_>,
        sent_at: Instant,
        now: Instant,
    ) {
        self.rotate_counts(now);
        self.all_completions.current += 1;
        let counts = &mut self.completions.current;
        for segment in run.segments {
            if counts.len() < COUNTED_SEGMENTS_MAX || counts.contains_key(segment) {
                *counts.entry(*segment).or_default() += 1;
            }
        }
        self.clear(run);
        let crashed_at = self.crashes.get(server).map(|record| record.at);
        if crashed_at.is_some_and(|at| at < sent_at) {
            self.order.retain(|crash| crash != server);
            self.forget(server);
        }
    }

    /// Drops the crashes that are too old to count.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let at = self.crashes.get(oldest).map(|record| record.at);
            if at.is_some_and(|at| now.saturating_duration_since(at) < EVIDENCE_WINDOW) {
                return;
            }
            if let Some(oldest) = self.order.pop_front() {
                self.forget(&oldest);
            }
        }
    }

    fn forget(&mut self, crash: &ServerCrash) {
        let Some(record) = self.crashes.remove(crash) else {
            return;
        };
        if !record.is_explained {
            self.lost_runs -= record.runs.len();
        }
        for run in record.runs {
            remove_crash(&mut self.requests, run.request, crash);
            for segment in run.segments {
                remove_segment_crash(&mut self.segments, segment, crash);
            }
        }
    }
}

/// The number of crashes in a row that is as unlikely by chance, at a loss rate, as
/// `at_least` of them at the lowest one.
fn required_crashes(at_least: usize, loss_rate: f64) -> usize {
    let rate = loss_rate.clamp(LOSS_RATE_MIN, LOSS_RATE_MAX);
    let unlikely = as_float(at_least) * LOSS_RATE_MIN.ln() / rate.ln();
    let mut counts = at_least..CRASHES_MAX;
    counts
        .find(|count| as_float(*count) >= unlikely)
        .unwrap_or(CRASHES_MAX)
}

fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn remove_crash(
    requests: &mut HashMap<RequestFingerprint, BTreeSet<ServerCrash>>,
    request: RequestFingerprint,
    crash: &ServerCrash,
) {
    if let Some(crashes) = requests.get_mut(&request) {
        crashes.remove(crash);
        if crashes.is_empty() {
            requests.remove(&request);
        }
    }
}

fn remove_segment_crash(
    segments: &mut HashMap<SegmentFingerprint, SegmentCrashes>,
    segment: SegmentFingerprint,
    crash: &ServerCrash,
) {
    if let Some(crashes) = segments.get_mut(&segment) {
        crashes.remove(crash);
        if crashes.is_empty() {
            segments.remove(&segment);
        }
    }
}
