//! Aggregates the outcomes of a run into a report.

use super::experiment::{ExperimentTeam, LoadExperiment};
use super::outcome::{JobTimes, LoadOutcome, RequestEnd, ServedTimes};
use super::report::{LatencySummary, LoadReport, StreamReport, TeamReport};
use chicoryladder_types::{RefusalReason, RunVerdict};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest latency that the histograms hold, in microseconds.
const LATENCY_MAX_US: u64 = 3_600_000_000;

/// The number of significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Aggregates the outcomes of one run.
pub(super) struct OutcomeRecorder<'a> {
    experiment: &'a LoadExperiment,
    streams: Vec<StreamRecord>,
    arrivals: BTreeMap<String, Vec<Duration>>,
    refused_by_rate: BTreeMap<String, u64>,
}

struct StreamRecord {
    report: StreamReport,
    /// The span from the first submission to the end of the last job.
    job_span: Option<JobSpan>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    total: Histogram<u64>,
}

#[derive(Clone, Copy)]
struct JobSpan {
    first_start: Duration,
    last_end: Duration,
}

impl JobSpan {
    fn union(self, other: Self) -> Self {
        Self {
            first_start: self.first_start.min(other.first_start),
            last_end: self.last_end.max(other.last_end),
        }
    }

    fn length(self) -> Duration {
        self.last_end.saturating_sub(self.first_start)
    }
}

impl StreamRecord {
    fn new(team: &str) -> Self {
        Self {
            report: StreamReport {
                team: team.to_owned(),
                ..StreamReport::default()
            },
            job_span: None,
            first_token: latency_histogram(),
            between_tokens: latency_histogram(),
            total: latency_histogram(),
        }
    }

    fn record_served(&mut self, times: &ServedTimes) {
        self.report.served += 1;
        self.report.tokens += times.tokens;
        if let Some(first_token) = times.first_token {
            record_latency(&mut self.first_token, first_token);
        }
        for gap in &times.between_tokens {
            record_latency(&mut self.between_tokens, *gap);
        }
        record_latency(&mut self.total, times.total);
    }

    fn record_job(&mut self, intended: Duration, times: &JobTimes) {
        let span = JobSpan {
            first_start: intended,
            last_end: intended + times.total,
        };
        self.job_span = Some(self.job_span.map_or(span, |known| known.union(span)));
        self.report.served += 1;
        self.report.items.completed += times.completed;
        self.report.items.failed += times.failed;
        self.report.items.not_once += times.not_once;
        record_latency(&mut self.total, times.total);
    }

    fn into_report(mut self) -> StreamReport {
        if let Some(span) = self.job_span {
            self.report.items.span_s = span.length().as_secs_f64();
        }
        StreamReport {
            first_token: LatencySummary::from_histogram(&self.first_token),
            between_tokens: LatencySummary::from_histogram(&self.between_tokens),
            whole: LatencySummary::from_histogram(&self.total),
            ..self.report
        }
    }
}

impl<'a> OutcomeRecorder<'a> {
    pub(super) fn new(experiment: &'a LoadExperiment) -> Self {
        let record = |stream: &super::LoadStream| StreamRecord::new(stream.team.as_str());
        Self {
            experiment,
            streams: experiment.streams.iter().map(record).collect(),
            arrivals: BTreeMap::new(),
            refused_by_rate: BTreeMap::new(),
        }
    }

    pub(super) fn record(&mut self, outcome: &LoadOutcome) {
        let record = &mut self.streams[outcome.stream];
        let team = record.report.team.clone();
        record.report.intended += 1;
        match &outcome.end {
            RequestEnd::Served(times) => record.record_served(times),
            RequestEnd::JobDone(times) => record.record_job(outcome.intended, times),
            RequestEnd::Refused(refused) => {
                let not_run = refused.verdict == RunVerdict::NotRun.as_str();
                record.report.refused_not_run += u64::from(not_run);
                *record
                    .report
                    .refused
                    .entry(refused.reason.clone())
                    .or_default() += 1;
                if refused.reason == RefusalReason::RateExceeded.as_str() {
                    *self.refused_by_rate.entry(team.clone()).or_default() += 1;
                }
            }
            RequestEnd::Failed(kind) => {
                let kind = kind.as_str().to_owned();
                *record.report.failed.entry(kind).or_default() += 1;
            }
        }
        self.arrivals
            .entry(team)
            .or_default()
            .push(outcome.intended);
    }

    pub(super) fn into_report(self) -> LoadReport {
        let Self {
            experiment,
            streams,
            mut arrivals,
            refused_by_rate,
        } = self;
        let named = experiment.streams.iter().map(|stream| stream.name.clone());
        let reports = streams.into_iter().map(StreamRecord::into_report);
        let streams: BTreeMap<String, StreamReport> = named.zip(reports).collect();
        let mut teams = BTreeMap::new();
        for (name, team) in &experiment.teams {
            let name = name.as_str();
            let mut offsets = arrivals.remove(name).unwrap_or_default();
            offsets.sort_unstable();
            let refused = refused_by_rate.get(name).copied().unwrap_or_default();
            let served = served_by(&streams, name);
            teams.insert(
                name.to_owned(),
                team_report(team, &offsets, served, refused),
            );
        }
        LoadReport {
            purpose: experiment.purpose.clone(),
            seed: experiment.seed,
            duration_s: experiment.duration.as_secs_f64(),
            streams,
            teams,
        }
    }
}

fn served_by(streams: &BTreeMap<String, StreamReport>, team: &str) -> u64 {
    let own = streams.values().filter(|stream| stream.team == team);
    own.map(|stream| stream.served).sum()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "request counts stay far below 2^52"
)]
fn team_report(
    team: &ExperimentTeam,
    offsets: &[Duration],
    served: u64,
    refused_by_rate: u64,
) -> TeamReport {
    let intended = offsets.len() as u64;
    let within_rate = count_within_rate(team, offsets);
    let admitted = intended - refused_by_rate.min(intended);
    TeamReport {
        intended,
        served,
        within_rate,
        refused_within_rate: within_rate.saturating_sub(admitted),
        served_share: served as f64 / within_rate.max(1) as f64,
    }
}

/// Counts the arrivals that a single exact token bucket admits.
fn count_within_rate(team: &ExperimentTeam, offsets: &[Duration]) -> u64 {
    let capacity = f64::from(team.burst).max(1.0);
    let mut level = capacity;
    let mut last = Duration::ZERO;
    let mut admitted = 0;
    for offset in offsets {
        let refill = offset.saturating_sub(last).as_secs_f64() * team.rate_per_s;
        level = (level + refill).min(capacity);
        last = *offset;
        if level >= 1.0 {
            level -= 1.0;
            admitted += 1;
        }
    }
    admitted
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
        .expect("the bounds and digits are valid constants")
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
    histogram.saturating_record(micros);
}
