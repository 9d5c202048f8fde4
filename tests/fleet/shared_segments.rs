//! Prompt segments that crash the servers of every request that has them, among sound
//! requests that share their team and their other segments.

use crate::client::Answer;
use crate::servers::stream_text;
use crate::unframed::CRASHING_SEGMENT;
use crate::world::{ProcessFleet, Role};
use serde_json::json;
use std::time::{Duration, Instant};

/// The servers on which one segment may end runs until the cause counts as known.
const KNOWN_CRASHES: usize = 5;

/// The runs that may crash servers later than [`CONTACT`] after that.
const LATE_RUNS_MAX: usize = 3;

/// The time within which all hosts know the cause.
const CONTACT: Duration = Duration::from_secs(3);

const SERVERS: usize = 6;

/// How long a job is watched after its sound items are complete.
const WATCH: Duration = Duration::from_secs(5);

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
    let crashes_max = KNOWN_CRASHES + LATE_RUNS_MAX;
    assert!(crashes <= crashes_max, "{crashes} of 40 reached servers");
    assert!(lost.is_empty(), "{lost:?}");
}

/// Guards against a new leader of the control group that learns of a crashing segment from
/// crashes again.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_keeps_the_quarantine_of_a_segment() {
    let mut fleet = start_fleet().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let send_crashing = async |fleet: &ProcessFleet, name: &str, number: u32| {
        let segments = format!("1:10,{CRASHING_SEGMENT}:10,a{number:x}:10");
        send(fleet, &entry, &format!("{name}-{number}"), &segments).await;
        tokio::time::sleep(PACE).await;
    };
    let leader = fleet.leader(Role::Control).expect("a leader");
    for number in 0..100 {
        send_crashing(&fleet, "crash", number).await;
        if fleet.read_log(&leader).contains(r#""step":"quarantined""#) {
            break;
        }
    }
    // Longer than the interval of syncs, in which the other hosts learn of it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.kill(&leader);
    fleet
        .wait_until("another host leads", || async {
            let next = fleet.leader(Role::Control);
            next.is_some_and(|next| next != leader)
        })
        .await;
    for number in 0..40 {
        send_crashing(&fleet, "again", number).await;
    }
    assert_eq!(run_count(&fleet, "again-"), 0);
}

/// Guards against items of jobs that crash one server after the other, since they share a
/// prompt segment, and against sound items that wait behind them.
#[tokio::test(flavor = "multi_thread")]
async fn items_with_a_crashing_segment_wait_beside_sound_ones() {
    let fleet = start_fleet().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let item = |number: u32| {
        let is_sound = number % 2 == 1;
        let (name, shared) = if is_sound {
            ("sound", "5")
        } else {
            ("crash", CRASHING_SEGMENT)
        };
        json!({
            "id": format!("{name}-item-{number}"), "path": "/raw-digest/4", "body": "Ym9keQ==",
            "headers": {"x-prompt-prefix": format!("1:10,{shared}:10,a{number:x}:10")},
            "token-count": 100,
        })
    };
    let items: Vec<_> = (0..24).map(item).collect();
    let body = json!({ "requests": items }).to_string();
    let answer = fleet.submit_body(&entry, "/raw-digest/submit", "job-segments", body);
    assert_eq!(answer.await.expect("an answer").status.as_u16(), 202);
    fleet
        .wait_until("the sound items are complete", || async {
            let results = fleet.read_results(&entry, "job-segments").await;
            results.is_some_and(|results| results.len() == 12)
        })
        .await;
    tokio::time::sleep(WATCH).await;
    let runs = fleet.runs.all();
    let crashes = runs.iter().filter(|run| run.id.starts_with("crash-"));
    let crashes: Vec<Instant> = crashes.map(|run| run.at).collect();
    let late = crashes
        .iter()
        .filter(|at| **at > crashes[KNOWN_CRASHES - 1] + CONTACT)
        .count();
    assert!(
        late <= LATE_RUNS_MAX,
        "{late} runs after the cause was known"
    );
}
