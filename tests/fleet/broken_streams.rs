//! Responses that end with their connection: complete, broken off and reset ones.

use crate::client::{Answer, Call};
use crate::servers::{event_data, stream_text};
use crate::unframed::{
    CRASH_TWICE_PATH, CUT_JSON_PATH, CUT_PATH, EVENTS_BEFORE_CUT, GAP_PATH, RESET_PATH, STALL_PATH,
};
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use std::time::Duration;

/// Starts a fleet with routes to two servers whose responses have no framing.
pub(crate) async fn start_fleet() -> (ProcessFleet, String) {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_unframed_servers(2).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("the servers without framing are known", || async {
            let answer = send(&fleet, &entry, "/raw-walk/1", "probe").await;
            answer.status.is_success()
        })
        .await;
    (fleet, entry)
}

pub(crate) async fn send(fleet: &ProcessFleet, entry: &str, path: &str, id: &str) -> Answer {
    let call = fleet.caller_request(entry, path, id);
    call.send().await.expect("an answer")
}

/// Guards against streams that a crash broke off and that callers got as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_connection_ends_within_an_event_is_not_complete() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-walk/7{CUT_PATH}");
    let answer = send(&fleet, &entry, &path, "cut").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(fleet.runs.runs_of("cut").len(), 1);
    fleet
        .wait_until("the line tells the server and how it ended", || async {
            let log = fleet.read_log(&entry);
            let mut lines = log.lines().filter(|line| line.contains("stream_broken"));
            let fields = [
                r#""server":"raw-"#,
                r#""until_close""#,
                r#""within_event":true"#,
            ];
            lines.any(|line| fields.iter().all(|field| line.contains(field)))
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_connection_ends_between_events_is_complete() {
    let (fleet, entry) = start_fleet().await;
    for route in ["raw-walk", "raw-rules"] {
        let answer = send(&fleet, &entry, &format!("/{route}/7"), route).await;
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text(), stream_text(route, 7));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_is_reset_is_not_complete() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-walk/7{RESET_PATH}");
    let answer = send(&fleet, &entry, &path, "reset").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("reset", EVENTS_BEFORE_CUT));
}

/// Guards against resumable streams that end for the caller when a crash breaks them off
/// by closing the connection in order.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_that_its_connection_ends_within_an_event_is_resumed() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/7{CUT_PATH}");
    let answer = send(&fleet, &entry, &path, "resumed").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("resumed", 7));
    let runs = fleet.runs.runs_of("resumed");
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].server, runs[1].server);
}

/// Guards against requests whose resumed runs crash servers without being counted.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_of_resumed_runs_count_for_the_quarantine() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/7{CRASH_TWICE_PATH}");
    let first = send(&fleet, &entry, &path, "crash-first").await;
    assert!(!first.complete);
    fleet
        .wait_until("the request is quarantined", || async {
            send(&fleet, &entry, &path, "crash-again").await;
            let log = fleet.read_log(&entry);
            let mut lines = log.lines().filter(|line| line.contains("crash-again"));
            lines.any(|line| line.contains("\"quarantined\""))
        })
        .await;
    assert_eq!(fleet.runs.runs_of("crash-again").len(), 0);
}

/// Guards against a silent server that still works on a stream while another one has
/// resumed it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_run_is_ended_before_its_stream_is_resumed() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/7{STALL_PATH}");
    let answer = send(&fleet, &entry, &path, "stalled").await;
    assert_eq!(answer.text(), stream_text("stalled", 7));
    let resumed_at = fleet.runs.runs_of("stalled")[1].at;
    let closed = fleet.runs.runs_of("stalled-closed");
    let overlap = closed[0].at.saturating_duration_since(resumed_at);
    assert!(overlap < Duration::from_millis(400), "{overlap:?}");
}

/// Guards against resumable streams that end as complete after an event is missing, if the
/// event after the gap is the last one and arrives together with those before the gap.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_last_event_follows_a_gap_is_resumed() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/{}{GAP_PATH}", EVENTS_BEFORE_CUT + 2);
    let answer = send(&fleet, &entry, &path, "gap").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("gap", EVENTS_BEFORE_CUT + 2));
}

/// Guards against JSON bodies that a crash broke off and that callers got as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_json_body_that_its_connection_ends_early_is_not_delivered() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-ping/1{CUT_JSON_PATH}");
    let answer = send(&fleet, &entry, &path, "json").await;
    assert_eq!(answer.status.as_u16(), 502, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_connection_ends_within_an_event_is_resumed() {
    let (fleet, entry) = start_fleet().await;
    let body = ProcessFleet::items_body(
        &["cut-item".to_owned()],
        &format!("/raw-digest/7{CUT_PATH}"),
    );
    let answer = fleet
        .submit_body(&entry, "/raw-digest/submit", "job-cut", body)
        .await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    let expected: Vec<String> = (0..7).map(|n| event_data("cut-item", n)).collect();
    let expected = vec![("cut-item".to_owned(), expected.join("\n"))];
    fleet
        .wait_until("the item is complete", || async {
            let results = fleet.read_results(&entry, "job-cut").await;
            results.is_some_and(|results| results == expected)
        })
        .await;
}

/// Guards against slow servers that count as crashed, so that their requests are
/// quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_misses_the_deadline_is_no_crash() {
    let (fleet, entry) = start_fleet().await;
    for number in 0..3 {
        let path = format!("/raw-ping/1{STALL_PATH}");
        let call = Call::new(fleet.callers_address(&entry), Method::POST, &path)
            .field("x-request-id", &format!("slow-{number}"))
            .field("x-deadline-ms", "600")
            .key("k1");
        let answer = call.send().await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 504, "{answer:?}");
    }
}
