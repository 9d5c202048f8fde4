//! Responses without end, stalled streams that send a byte now and then, and slow but sound
//! ones.

use crate::broken_streams::{send, start_fleet};
use crate::client::Call;
use crate::servers::stream_text;
use crate::unframed::{
    ENDLESS_BODY_PATH, ENDLESS_EVENT_PATH, ENDLESS_EVENTS_PATH, ENDLESS_HEAD_PATH, SLOW_PATH,
    TRICKLE_PATH,
};
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use std::time::{Duration, Instant};

/// The time within which a response that can't be an answer has to end, at most: the time
/// that the caller gives.
const CALLER_TIME: Duration = Duration::from_secs(5);

/// The pause after a failure, in which a server may be suspended.
const SUSPENSION: Duration = Duration::from_millis(200);

/// The greatest part of a response without events that callers may get, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The greatest part of one event that callers may get, in bytes, with what is in buffers.
const EVENT_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Guards against a head without end that counts as a crash of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_the_servers_fault() {
    let (fleet, entry) = start_fleet().await;
    let mut has_run = 0;
    for number in 0..100 {
        let path = format!("/raw-ping/1{ENDLESS_HEAD_PATH}");
        let id = format!("head-{number}");
        let answer = send(&fleet, &entry, &path, &id).await;
        let runs = fleet.runs.runs_of(&id).len();
        // Without a run, the servers are suspended after their failures.
        let expected = if runs > 0 { 502 } else { 503 };
        assert_eq!(answer.status.as_u16(), expected, "{answer:?}");
        has_run += runs;
        if has_run > 3 {
            break;
        }
        tokio::time::sleep(SUSPENSION).await;
    }
    assert!(has_run > 3);
    let log = fleet.read_log(&entry);
    assert!(!log.contains("\"quarantined\""));
    let peak = fleet.peak_memory(&entry);
    assert!(peak < ANSWER_MAX_BYTES, "{peak} bytes");
}

/// Guards against a body without end that fills the memory of the host.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_broken_off() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-ping/1{ENDLESS_BODY_PATH}");
    let started = Instant::now();
    let answer = send(&fleet, &entry, &path, "body").await;
    assert!(!answer.complete && answer.body.len() <= ANSWER_MAX_BYTES);
    assert!(started.elapsed() < CALLER_TIME + Duration::from_secs(1));
    let peak = fleet.peak_memory(&entry);
    assert!(peak < ANSWER_MAX_BYTES, "{peak} bytes");
}

/// Guards against an event without end that is relayed for as long as the caller reads.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_is_broken_off() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-walk/7{ENDLESS_EVENT_PATH}");
    let answer = send(&fleet, &entry, &path, "event").await;
    let length = answer.body.len();
    assert!(
        !answer.complete && length <= EVENT_MAX_BYTES,
        "{length} bytes"
    );
}

/// Guards against a stalled stream that goes on for ever since bytes, but no events, arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_only_trickles_is_resumed() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/7{TRICKLE_PATH}");
    let answer = send(&fleet, &entry, &path, "trickle").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("trickle", 7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_but_sound_stream_is_not_cut() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/raw-rules/3{SLOW_PATH}");
    let answer = send(&fleet, &entry, &path, "slow").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("slow", 3));
    assert_eq!(fleet.runs.runs_of("slow").len(), 1);
}

/// Guards against streams that outlast their time as long as more of them can be read at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_end_ends_at_its_deadline() {
    const TIME_LEFT: Duration = Duration::from_millis(500);
    let (fleet, entry) = start_fleet().await;
    for route in ["raw-walk", "raw-rules"] {
        let path = format!("/{route}/1{ENDLESS_EVENTS_PATH}");
        let call = Call::new(fleet.callers_address(&entry), Method::POST, &path)
            .field("x-request-id", route)
            .field("x-deadline-ms", &TIME_LEFT.as_millis().to_string())
            .key("k1");
        let started = Instant::now();
        let answer = call.send().await.expect("an answer");
        assert!(!answer.complete, "{route}");
        let elapsed = started.elapsed();
        assert!(elapsed < TIME_LEFT * 4, "{route}: {elapsed:?}");
    }
}

/// The memory of the smallest store hosts.
const STORE_MAX_BYTES: usize = 130 * 1024 * 1024;

/// Guards against an item whose events never end, and whose output fills the memory and the log
/// of all store hosts.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_end_is_broken_off() {
    const RUNS: usize = 3;
    let (fleet, entry) = start_fleet().await;
    let items = ["endless".to_owned()];
    let body = ProcessFleet::items_body(&items, &format!("/raw-digest/1{ENDLESS_EVENTS_PATH}"));
    fleet
        .wait_until("the job is accepted", || async {
            let submit = "/raw-digest/submit";
            let answer = fleet.submit_body(&entry, submit, "job-endless", body.clone());
            answer
                .await
                .is_some_and(|answer| answer.status.as_u16() == 202)
        })
        .await;
    fleet
        .wait_until("the item has run some times", || async {
            fleet.runs.runs_of("endless").len() >= RUNS
        })
        .await;
    for store in fleet.host_names(Role::Store) {
        let peak = fleet.peak_memory(&store);
        println!("{store}: {peak} bytes");
        assert!(peak < STORE_MAX_BYTES, "{store}: {peak} bytes");
    }
}
