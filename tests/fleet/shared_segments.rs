//! Prompt segments that crash the servers of every request that has them, among sound
//! requests that share their team and their other segments.

use crate::client::Answer;
use crate::servers::stream_text;
use crate::unframed::CRASHING_SEGMENT;
use crate::world::{ProcessFleet, Role};
use std::time::Duration;

/// The servers on which one segment may end runs: five until the cause counts as known, and
/// three while that becomes known everywhere.
const CRASHES_MAX: usize = 8;

const SERVERS: usize = 6;

/// The pause between the requests of a test.
const PACE: Duration = Duration::from_millis(20);

/// Starts a fleet whose servers crash on [`CRASHING_SEGMENT`].
async fn start_fleet() -> ProcessFleet {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_unframed_servers(SERVERS).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("the servers are known", || async {
            let answer = send(&fleet, &entry, "probe", "1:10,2:10").await;
            answer.status.is_success()
        })
        .await;
    fleet
}

/// Sends a request of its own, with the given prompt segments.
async fn send(fleet: &ProcessFleet, entry: &str, id: &str, segments: &str) -> Answer {
    let call = fleet.caller_request(entry, "/raw-walk/4", id);
    let call = call
        .field("x-prompt-prefix", segments)
        .field("x-token-usage", "100,20")
        .body(format!("the question of {id}"));
    call.send().await.expect("an answer")
}

/// The runs of requests whose ids begin with `prefix`.
fn run_count(fleet: &ProcessFleet, prefix: &str) -> usize {
    let runs = fleet.runs.all();
    runs.iter().filter(|run| run.id.starts_with(prefix)).count()
}

/// Guards against requests that differ, but share a prompt segment under which servers
/// crash, and that crash one server after the other.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_a_crashing_segment_stop_reaching_servers() {
    let fleet = start_fleet().await;
    let entries = fleet.host_names(Role::Entry);
    let mut lost = Vec::new();
    for round in 0..40u32 {
        let entry = &entries[round as usize % entries.len()];
        let shared = round % 4 + 1;
        let crashing = format!("{shared}:10,{CRASHING_SEGMENT}:10,a{round:x}:10");
        send(&fleet, entry, &format!("crash-{round}"), &crashing).await;
        for number in 0..2 {
            let id = format!("sound-{round}-{number}");
            let sound = format!("{shared}:10,5:10,b{round:x}{number}:10");
            let answer = send(&fleet, entry, &id, &sound).await;
            if !answer.complete || answer.text() != stream_text(&id, 4) {
                lost.push((id, answer));
            }
        }
        tokio::time::sleep(PACE).await;
    }
    let crashes = run_count(&fleet, "crash-");
    assert!(crashes <= CRASHES_MAX, "{crashes} of 40 reached servers");
    assert!(lost.is_empty(), "{lost:?}");
}
