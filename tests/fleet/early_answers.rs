//! Servers that answer while the request is still being written and break off then, and servers
//! whose answers have no valid status.

use crate::broken_streams::{send, start_fleet};
use crate::client::Answer;
use crate::unframed::{EARLY_RESET_PATH, STATUS_000_PATH};
use crate::world::{ProcessFleet, Role};
use std::time::Duration;

/// More than the buffers on the way to a server hold.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;

/// The requests of one kind that reach a server.
const RUNS: usize = 4;

/// The tries within which as many requests have reached a server, although servers are suspended
/// after failures.
const TRIES: usize = 60;

const ROUTES: [&str; 4] = ["raw-ping", "raw-charge", "raw-walk", "raw-rules"];

/// The pause after a failure, in which a server may be suspended.
const SUSPENSION: Duration = Duration::from_millis(200);

/// Sends uploads to servers that answer at once and break off; returns the answers that the
/// caller got as complete.
async fn play_uploads(fleet: &ProcessFleet, entry: &str, round: &str) -> Vec<Answer> {
    let mut complete = Vec::new();
    for route in ROUTES {
        let mut runs = 0;
        for number in 0..TRIES {
            let id = format!("{round}-{route}-{number}");
            // Different requests, as one that breaks connections is quarantined.
            let path = format!("/{route}/{number}{EARLY_RESET_PATH}");
            let call = fleet.caller_request(entry, &path, &id);
            let mut body = id.clone().into_bytes();
            body.resize(UPLOAD_BYTES, b'x');
            let answer = call.body(body).send().await;
            let answer = answer.expect("an answer");
            runs += fleet.runs.runs_of(&id).len();
            if answer.status.is_success() && answer.complete {
                complete.push(answer);
            }
            if runs >= RUNS {
                break;
            }
            tokio::time::sleep(SUSPENSION).await;
        }
        assert!(runs >= RUNS, "{route}: {runs} runs");
    }
    complete
}

/// Guards against the part of an answer that a server sent before it reset an upload, and that a
/// caller gets as the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    let (mut fleet, entry) = start_fleet().await;
    let complete = play_uploads(&fleet, &entry, "direct").await;
    assert!(complete.is_empty(), "{complete:#?}");
    // The same through the tunnels of other hosts.
    fleet.restart_with_path(&entry, false);
    fleet
        .wait_until("the host serves through tunnels", || async {
            let call = fleet.caller_request(&entry, "/raw-walk/1", "probe-tunnel");
            let answer = call.send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
    let complete = play_uploads(&fleet, &entry, "tunnel").await;
    assert!(complete.is_empty(), "{complete:#?}");
}

/// Guards against an answer with status 000 that a caller gets as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_status_000_is_the_servers_fault() {
    let (fleet, entry) = start_fleet().await;
    for route in ROUTES {
        let path = format!("/{route}/1{STATUS_000_PATH}");
        let mut has_run = 0;
        for number in 0..TRIES {
            let id = format!("{route}-{number}");
            let answer = send(&fleet, &entry, &path, &id).await;
            let runs = fleet.runs.runs_of(&id).len();
            let expected = if runs > 0 { 502 } else { 503 };
            assert_eq!(answer.status.as_u16(), expected, "{answer:?}");
            has_run += runs;
            if has_run >= RUNS {
                break;
            }
            tokio::time::sleep(SUSPENSION).await;
        }
        assert!(has_run >= RUNS, "{route}: {has_run} runs");
    }
}

/// The same for an item, which must not get a result from such an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_not_completed_by_an_answer_with_status_000() {
    let (fleet, _) = start_fleet().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let items = ["zero".to_owned()];
    let body = ProcessFleet::items_body(&items, &format!("/raw-digest/1{STATUS_000_PATH}"));
    fleet
        .wait_until("the job is accepted", || async {
            let submit = "/raw-digest/submit";
            let answer = fleet
                .submit_body(&entry, submit, "job-zero", body.clone())
                .await;
            answer.is_some_and(|answer| answer.status.as_u16() == 202)
        })
        .await;
    fleet
        .wait_until("servers have run the item", || async {
            fleet.runs.runs_of("zero").len() >= RUNS
        })
        .await;
    let results = fleet.read_results(&entry, "job-zero").await;
    assert_eq!(results.unwrap_or_default(), []);
}
