//! Formats the output of the demo.

use super::checks::GuaranteeCheck;
use super::outcome::DemoOutcome;
use crate::output::table;
use chicoryladder_standin::load::StreamReport;
use std::collections::BTreeMap;

/// Formats the outcome and the checks of a run as tables.
pub(super) fn render(outcome: &DemoOutcome, checks: &[GuaranteeCheck]) -> String {
    let parts = [
        streams_table(outcome),
        reasons_table("refused", &outcome.counts.refusals),
        reasons_table("retried", &outcome.counts.retries),
        checks_table(checks),
    ];
    let mut text = parts.join("\n\n");
    text.push('\n');
    text
}

fn streams_table(outcome: &DemoOutcome) -> String {
    let headings = [
        "stream", "sent", "served", "refused", "p50 ms", "p99 ms", "max ms", "items", "failed",
    ];
    let streams = &outcome.report.streams;
    let rows: Vec<_> = streams
        .iter()
        .map(|(name, stream)| row(name, stream))
        .collect();
    table(&headings, &rows)
}

fn row(name: &str, stream: &StreamReport) -> Vec<String> {
    let refused: u64 = stream.refused.values().sum();
    vec![
        name.to_owned(),
        stream.intended.to_string(),
        stream.served.to_string(),
        refused.to_string(),
        format!("{:.1}", stream.whole.p50_ms),
        format!("{:.1}", stream.whole.p99_ms),
        format!("{:.1}", stream.whole.max_ms),
        stream.items.completed.to_string(),
        stream.items.failed.to_string(),
    ]
}

fn reasons_table(heading: &str, counts: &BTreeMap<String, u64>) -> String {
    if counts.is_empty() {
        return format!("{heading}: none");
    }
    let rows: Vec<_> = counts
        .iter()
        .map(|(reason, count)| vec![reason.clone(), count.to_string()])
        .collect();
    table(&[heading, "count"], &rows)
}

fn checks_table(checks: &[GuaranteeCheck]) -> String {
    let rows: Vec<_> = checks
        .iter()
        .map(|check| {
            let verdict = if check.held { "held" } else { "BROKEN" };
            vec![
                check.guarantee.to_owned(),
                verdict.to_owned(),
                check.detail.clone(),
            ]
        })
        .collect();
    table(&["promise", "verdict", "figures"], &rows)
}
