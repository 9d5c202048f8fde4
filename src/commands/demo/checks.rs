//! Checks the outcome of a demo run against the guarantees of the system.

use super::outcome::DemoOutcome;
use super::withdrawal::WithdrawalRecord;
use chicoryladder_standin::ReceivedRequest;
use chicoryladder_standin::load::StreamReport;

/// The stream of charges in the demo's experiment.
const CHARGES_STREAM: &str = "charges";

/// A guarantee and whether it held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeCheck {
    /// The guarantee.
    pub guarantee: &'static str,
    /// Whether it held.
    pub held: bool,
    /// The figures behind the verdict.
    pub detail: String,
}

/// Checks every guarantee of the demo.
pub(super) fn check_all(outcome: &DemoOutcome) -> Vec<GuaranteeCheck> {
    vec![
        work_was_served(outcome),
        responses_are_complete(outcome),
        items_end_exactly_once(outcome),
        charges_run_at_most_once(outcome),
        keys_are_not_forwarded(outcome),
        withdrawn_key_is_refused(&outcome.withdrawal),
    ]
}

fn sum(outcome: &DemoOutcome, read: impl Fn(&StreamReport) -> u64) -> u64 {
    outcome.report.streams.values().map(read).sum()
}

fn work_was_served(outcome: &DemoOutcome) -> GuaranteeCheck {
    let unserved: Vec<&str> = outcome
        .report
        .streams
        .iter()
        .filter(|(_, stream)| stream.served == 0)
        .map(|(name, _)| name.as_str())
        .collect();
    GuaranteeCheck {
        guarantee: "every kind of work is served",
        held: unserved.is_empty(),
        detail: format!("streams without a served request: {}", unserved.len()),
    }
}

fn responses_are_complete(outcome: &DemoOutcome) -> GuaranteeCheck {
    let failed = sum(outcome, |stream| stream.failed.values().sum());
    GuaranteeCheck {
        guarantee: "a caller gets its own whole answer or a refusal",
        held: failed == 0,
        detail: format!("requests with neither: {failed}"),
    }
}

fn items_end_exactly_once(outcome: &DemoOutcome) -> GuaranteeCheck {
    let completed = sum(outcome, |stream| stream.items.completed);
    let not_once = sum(outcome, |stream| stream.items.not_once);
    GuaranteeCheck {
        guarantee: "an accepted item ends exactly once",
        held: completed > 0 && not_once == 0,
        detail: format!("items completed: {completed}, not ended once: {not_once}"),
    }
}

fn charges_run_at_most_once(outcome: &DemoOutcome) -> GuaranteeCheck {
    let doubled = outcome
        .charge_runs
        .values()
        .filter(|runs| **runs > 1)
        .count();
    let ran: u64 = outcome.charge_runs.values().sum();
    let stream = outcome.report.streams.get(CHARGES_STREAM);
    let served = stream.map_or(0, |stream| stream.served);
    let may_have_run = stream.map_or(0, |stream| stream.intended - stream.refused_not_run);
    GuaranteeCheck {
        guarantee: "a charge runs at most once, and never after `not run`",
        held: doubled == 0 && (served..=may_have_run).contains(&ran),
        detail: format!("charges served: {served}, run: {ran}, run twice: {doubled}"),
    }
}

fn keys_are_not_forwarded(outcome: &DemoOutcome) -> GuaranteeCheck {
    let exposes_key =
        |request: &&ReceivedRequest| outcome.keys.iter().any(|key| contains_key(request, key));
    let seen = outcome.received.iter().filter(exposes_key).count();
    GuaranteeCheck {
        guarantee: "no backend server sees a caller's key",
        held: seen == 0 && !outcome.received.is_empty(),
        detail: format!(
            "requests at backend servers: {}, with a key: {seen}",
            outcome.received.len()
        ),
    }
}

fn contains_key(request: &ReceivedRequest, key: &str) -> bool {
    let holds = |bytes: &[u8]| String::from_utf8_lossy(bytes).contains(key);
    request.path.contains(key)
        || holds(&request.body)
        || request
            .headers
            .values()
            .any(|value| holds(value.as_bytes()))
}

fn withdrawn_key_is_refused(record: &WithdrawalRecord) -> GuaranteeCheck {
    GuaranteeCheck {
        guarantee: "a withdrawn key stops working within 3 seconds",
        held: record.served_before > 0
            && record.served_after_limit == 0
            && record.refused_after_limit > 0,
        detail: format!(
            "served before: {}, within 3 s after: {}, later: {}",
            record.served_before, record.served_within_limit, record.served_after_limit
        ),
    }
}
