//! The report of a run, as JSON and as plain text.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The headings of the plain text report; times are in milliseconds.
const HEADINGS: &str = "stream           intended   served  refused   failed  \
    ttft p50  ttft p95  ttft p99   gap p95       p99       max";

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// The report of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The purpose of the experiment.
    pub purpose: String,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The time during which requests were sent, in seconds.
    pub duration_s: f64,
    /// The results by stream.
    pub streams: BTreeMap<String, StreamReport>,
    /// The results by team.
    pub teams: BTreeMap<String, TeamReport>,
}

/// The report of one stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamReport {
    /// The team.
    pub team: String,
    /// Requests or jobs that the schedule intended to send.
    pub intended: u64,
    /// Requests with a complete response, or jobs that ended.
    pub served: u64,
    /// Refusals by reason code.
    pub refused: BTreeMap<String, u64>,
    /// Refusals with the verdict `not-run`.
    pub refused_not_run: u64,
    /// Failures by kind.
    pub failed: BTreeMap<String, u64>,
    /// Output tokens received.
    pub tokens: u64,
    /// The time from the intended start to the first token.
    pub first_token: LatencySummary,
    /// The time from each token to the next one.
    pub between_tokens: LatencySummary,
    /// The time from the intended start to the end of the response or job.
    pub whole: LatencySummary,
    /// The items of batch jobs.
    pub items: ItemReport,
}

/// The items of the batch jobs of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ItemReport {
    /// Items that completed with status 200.
    pub completed: u64,
    /// Items that ended in any other way.
    pub failed: u64,
    /// Items without exactly one line in the results.
    pub not_once: u64,
    /// The time from the first submission to the end of the last job, in seconds.
    pub span_s: f64,
}

impl ItemReport {
    /// Completed items per second of the span.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "item counts stay far below 2^52"
    )]
    pub fn per_s(&self) -> f64 {
        if self.span_s > 0.0 {
            self.completed as f64 / self.span_s
        } else {
            0.0
        }
    }
}

/// The report of one team over all of its streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamReport {
    /// Requests that the schedule intended to send.
    pub intended: u64,
    /// Requests with a complete response, or jobs that ended.
    pub served: u64,
    /// Requests that an exact token bucket with the team's rate and burst admits.
    pub within_rate: u64,
    /// Requests refused by rate in excess of those that the exact bucket refuses.
    pub refused_within_rate: u64,
    /// The ratio of served requests to requests within the rate.
    pub served_share: f64,
}

/// A latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The number of recorded values.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The largest value.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarizes a histogram of microseconds.
    #[must_use]
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| millis(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            mean_ms: histogram.mean() / US_PER_MS,
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: millis(histogram.max()),
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies stay far below 2^52 us"
)]
fn millis(micros: u64) -> f64 {
    micros as f64 / US_PER_MS
}

impl LoadReport {
    /// The lowest served share of any team, and the team; `None` without teams.
    #[must_use]
    pub fn worst_team(&self) -> Option<(&str, f64)> {
        self.teams
            .iter()
            .map(|(name, team)| (name.as_str(), team.served_share))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Items completed per second, summed over the batch streams.
    #[must_use]
    pub fn items_per_s(&self) -> f64 {
        let streams = self.streams.values();
        streams.map(|stream| stream.items.per_s()).sum()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} (seed {}, {} s)",
            self.purpose, self.seed, self.duration_s
        )?;
        writeln!(f, "{HEADINGS}")?;
        for (name, stream) in &self.streams {
            write_stream(f, name, stream)?;
        }
        for (name, team) in &self.teams {
            writeln!(
                f,
                "team {name}: {} of {} served, {} within its rate, of these refused by rate: {}",
                team.served, team.intended, team.within_rate, team.refused_within_rate
            )?;
        }
        if let Some((name, share)) = self.worst_team() {
            writeln!(f, "worst-served team: {name}, share {share:.3}")?;
        }
        Ok(())
    }
}

fn write_stream(f: &mut fmt::Formatter<'_>, name: &str, stream: &StreamReport) -> fmt::Result {
    writeln!(
        f,
        "{name:<16} {:>8} {:>8} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
        stream.intended,
        stream.served,
        stream.refused.values().sum::<u64>(),
        stream.failed.values().sum::<u64>(),
        stream.first_token.p50_ms,
        stream.first_token.p95_ms,
        stream.first_token.p99_ms,
        stream.between_tokens.p95_ms,
        stream.whole.p99_ms,
        stream.whole.max_ms,
    )?;
    for (reason, count) in &stream.refused {
        writeln!(f, "    refused {reason}: {count}")?;
    }
    for (kind, count) in &stream.failed {
        writeln!(f, "    failed {kind}: {count}")?;
    }
    let items = stream.items;
    let ItemReport {
        completed,
        failed,
        not_once,
        ..
    } = items;
    if completed + failed + not_once > 0 {
        let per_s = items.per_s();
        writeln!(
            f,
            "    items completed {completed} ({per_s:.1} a second), failed {failed}, not once {not_once}"
        )?;
    }
    Ok(())
}
