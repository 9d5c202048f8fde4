//! Compares two reports by the ratios of their metrics.

use super::report::{LoadReport, StreamReport};
use std::fmt;

/// The values of one metric in two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricRatio {
    /// The stream, or `all`.
    pub stream: String,
    /// The metric, with its unit.
    pub metric: &'static str,
    /// The value of the baseline.
    pub baseline: f64,
    /// The value of the candidate.
    pub candidate: f64,
}

impl MetricRatio {
    /// The candidate divided by the baseline; `None` if the baseline is 0.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        (self.baseline != 0.0).then(|| self.candidate / self.baseline)
    }
}

/// The comparison of a candidate report with its baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadComparison {
    /// The ratios, by stream and metric.
    pub ratios: Vec<MetricRatio>,
}

impl LoadComparison {
    /// Compares the streams that both reports have, and the overall metrics.
    #[must_use]
    pub fn new(baseline: &LoadReport, candidate: &LoadReport) -> Self {
        let mut ratios = Vec::new();
        for (name, old) in &baseline.streams {
            if let Some(new) = candidate.streams.get(name) {
                ratios.extend(compare_streams(name, old, new));
            }
        }
        let share = |report: &LoadReport| report.worst_team().map_or(0.0, |worst| worst.1);
        let overall = |metric, read: &dyn Fn(&LoadReport) -> f64| MetricRatio {
            stream: "all".to_owned(),
            metric,
            baseline: read(baseline),
            candidate: read(candidate),
        };
        ratios.push(overall("items a second", &LoadReport::items_per_s));
        ratios.push(overall("worst team's share", &share));
        ratios.push(overall("refused within rate", &refused_within_rate));
        Self { ratios }
    }
}

fn refused_within_rate(report: &LoadReport) -> f64 {
    let refused: u64 = report
        .teams
        .values()
        .map(|team| team.refused_within_rate)
        .sum();
    count(refused)
}

fn compare_streams(name: &str, old: &StreamReport, new: &StreamReport) -> Vec<MetricRatio> {
    let metric = |metric, read: &dyn Fn(&StreamReport) -> f64| MetricRatio {
        stream: name.to_owned(),
        metric,
        baseline: read(old),
        candidate: read(new),
    };
    vec![
        metric("served", &|stream| count(stream.served)),
        metric("refused", &|stream| count(stream.refused.values().sum())),
        metric("failed", &|stream| count(stream.failed.values().sum())),
        metric("first token p50 ms", &|stream| stream.first_token.p50_ms),
        metric("first token p99 ms", &|stream| stream.first_token.p99_ms),
        metric("between tokens p95 ms", &|stream| {
            stream.between_tokens.p95_ms
        }),
        metric("whole p50 ms", &|stream| stream.whole.p50_ms),
        metric("whole p99 ms", &|stream| stream.whole.p99_ms),
    ]
}

#[expect(
    clippy::cast_precision_loss,
    reason = "request counts stay far below 2^52"
)]
fn count(value: u64) -> f64 {
    value as f64
}

impl fmt::Display for LoadComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<24} {:>12} {:>12} {:>8}",
            "stream", "metric", "baseline", "candidate", "ratio"
        )?;
        for row in &self.ratios {
            let ratio = row
                .ratio()
                .map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
            writeln!(
                f,
                "{:<16} {:<24} {:>12.2} {:>12.2} {ratio:>8}",
                row.stream, row.metric, row.baseline, row.candidate
            )?;
        }
        Ok(())
    }
}
