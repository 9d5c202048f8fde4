//! Requests that a plan confines to areas.

use crate::client::{Answer, Call};
use crate::world::{ProcessFleet, Role};
use crate::zone_drains::{restart_all, wait_until_serving};
use futures_util::future::join_all;
use serde_json::{Value, json};
use std::time::Duration;

/// Two areas: zones 1 and 2 are the home of the routes, zone 3 is not.
const AREAS: &str = "zone-1:north, zone-2:north, zone-3:south";

/// The servers outside of the home.
const FOREIGN: [&str; 2] = ["engine-3", "app-3"];

/// The entry host outside of the home.
const FOREIGN_ENTRY: &str = "entry-3";

/// The streams under which servers crash, fewer than one server has slots.
const STREAMS: usize = 6;

/// A stream of three seconds.
const LONG_STREAM: &str = "/rules/200";

/// Starts a fleet in two areas; all routes but `charge` have the home `north`.
async fn start_fleet() -> ProcessFleet {
    let mut fleet = ProcessFleet::start().await;
    fleet.names_zones = true;
    fleet.areas = AREAS;
    restart_all(&mut fleet);
    wait_until_serving(&fleet).await;
    let mut plan = fleet.next_plan(&["k1"]);
    for route in plan["routes"].as_array_mut().expect("a list") {
        if route["name"] != "charge" {
            route["allowed-regions"] = json!(["north"]);
        }
    }
    apply(&fleet, &plan).await;
    fleet
}

async fn apply(fleet: &ProcessFleet, plan: &Value) {
    fleet.apply_plan(plan).await;
    // Within this a new plan is in force on all hosts (`plan_applies_ms`).
    tokio::time::sleep(Duration::from_secs(5)).await;
}

/// Sends requests of all kinds with homes to an entry host.
async fn send_requests(fleet: &ProcessFleet, entry: &str, name: &str) -> Vec<Answer> {
    let mut calls = Vec::new();
    for path in ["/ping/1", "/walk/3", "/rules/3"] {
        for number in 0..12 {
            let id = format!("{name}-{entry}-{}-{number}", &path[1..5]);
            calls.push(fleet.caller_request(entry, path, &id));
        }
    }
    let answers = join_all(calls.iter().map(Call::send)).await;
    let answers = answers.into_iter().map(|answer| answer.expect("an answer"));
    answers.collect()
}

fn assert_served(answers: &[Answer]) {
    for answer in answers {
        assert!(answer.status.is_success() && answer.complete, "{answer:?}");
    }
}

/// Asserts that the requests of the given name ran, and none of them outside of the home.
fn assert_home(fleet: &ProcessFleet, name: &str) {
    let runs = fleet.runs.all().into_iter();
    let runs: Vec<_> = runs.filter(|run| run.id.starts_with(name)).collect();
    assert!(!runs.is_empty(), "{name}");
    let foreign = |server: &str| FOREIGN.contains(&server);
    let strayed: Vec<_> = runs.iter().filter(|run| foreign(&run.server)).collect();
    assert!(strayed.is_empty(), "{strayed:?}");
}

/// Guards against requests with homes that reach a server of another area: at first, when the
/// servers at home crash under streams, while the entry host has lost the broker and has servers
/// in its own zone, and when no server at home is left.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_homes_reach_only_servers_at_home() {
    let fleet = start_fleet().await;
    for entry in fleet.host_names(Role::Entry) {
        assert_served(&send_requests(&fleet, &entry, "first").await);
    }
    assert_home(&fleet, "first");

    let streams = (0..STREAMS).map(|number| {
        let id = format!("crash-{number}");
        fleet.caller_request(FOREIGN_ENTRY, LONG_STREAM, &id)
    });
    let streams: Vec<Call> = streams.collect();
    let streams = tokio::spawn(async move { join_all(streams.iter().map(Call::send)).await });
    fleet
        .wait_until("the streams have begun", || async {
            (0..STREAMS).all(|number| !fleet.runs.runs_of(&format!("crash-{number}")).is_empty())
        })
        .await;
    let at_home = |name: &str| !FOREIGN.contains(&name);
    for server in fleet.servers.iter().filter(|s| s.name.ends_with("-1")) {
        server.restart();
    }
    let streams = streams.await.expect("no panic");
    let streams: Vec<Answer> = streams.into_iter().map(|a| a.expect("an answer")).collect();
    assert_served(&streams);
    let resumed = (0..STREAMS).filter(|n| fleet.runs.runs_of(&format!("crash-{n}")).len() > 1);
    assert!(resumed.count() > 0, "streams are resumed");
    for server in fleet.servers.iter().filter(|server| at_home(&server.name)) {
        server.restart();
    }
    for answer in send_requests(&fleet, FOREIGN_ENTRY, "crash-all").await {
        let is_served = answer.status.is_success() && answer.complete;
        assert!(is_served || answer.guarantees_not_run(), "{answer:?}");
    }
    assert_home(&fleet, "crash");

    for control in fleet.host_names(Role::Control) {
        fleet.faults.cut(FOREIGN_ENTRY, &control);
        fleet.faults.cut(&control, FOREIGN_ENTRY);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let served = send_requests(&fleet, FOREIGN_ENTRY, "cut-off").await;
    // No control host can have answered, so these servers were chosen without the broker.
    assert!(served.iter().any(|answer| answer.status.is_success()));
    for answer in &served {
        let is_served = answer.status.is_success() && answer.complete;
        assert!(is_served || answer.guarantees_not_run(), "{answer:?}");
    }
    assert_home(&fleet, "cut-off");
    fleet.faults.heal();

    for server in fleet.servers.iter().filter(|server| at_home(&server.name)) {
        server.start_leaving();
    }
    fleet
        .wait_until("the servers at home have left", || async {
            let entry = &fleet.host_names(Role::Entry)[0];
            let answers = send_requests(&fleet, entry, "leaving").await;
            let mut answers = answers.iter();
            answers.all(|a| a.guarantees_not_run() && a.headers.contains_key("retry-after"))
        })
        .await;
    let answers = send_requests(&fleet, FOREIGN_ENTRY, "none-left").await;
    assert!(answers.iter().all(Answer::guarantees_not_run));
    let runs = fleet.runs.all().into_iter();
    let strayed = runs.filter(|run| {
        let has_homes = run.id.starts_with("leaving") || run.id.starts_with("none-left");
        has_homes && FOREIGN.contains(&run.server.as_str())
    });
    assert_eq!(strayed.count(), 0);
}

/// Guards against a job with homes whose bodies are stored in another area, and against items
/// that run there.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_homes_is_stored_and_runs_in_allowed_areas() {
    let fleet = start_fleet().await;
    let ids: Vec<String> = (0..40).map(|number| format!("item-{number}")).collect();
    // Its bodies would be stored in zone 3.
    let answer = fleet.submit("entry-1", "elsewhere", &ids, 4).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status.as_u16(), 400, "{answer:?}");
    assert!(answer.text().contains("south"), "{answer:?}");
    // All areas are allowed: that of the entry host, and the home.
    let answer = fleet.submit(FOREIGN_ENTRY, "allowed", &ids, 4).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(FOREIGN_ENTRY, "allowed").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
    assert_home(&fleet, "item");
}

/// Guards against a request with homes whose body passes through the tunnel of a host in
/// another area, while those of other requests do.
#[tokio::test(flavor = "multi_thread")]
async fn the_body_of_a_request_passes_through_no_host_of_another_area() {
    let mut fleet = start_fleet().await;
    fleet.restart_with_path("entry-1", false);
    fleet.faults.cut("entry-1", "entry-2");
    fleet.faults.cut("entry-2", "entry-1");
    fleet
        .wait_until("requests without homes are served", || async {
            let call = fleet.caller_request("entry-1", "/charge/1", "no-homes");
            let answer = call.send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
    let answers = send_requests(&fleet, "entry-1", "no-tunnel").await;
    for answer in &answers {
        assert!(answer.guarantees_not_run(), "{answer:?}");
    }
    let runs = fleet.runs.all().into_iter();
    assert_eq!(runs.filter(|r| r.id.starts_with("no-tunnel")).count(), 0);
    fleet.faults.heal();
    fleet
        .wait_until("a host at home opens tunnels", || async {
            let answers = send_requests(&fleet, "entry-1", "home-tunnel").await;
            answers.iter().all(|answer| answer.status.is_success())
        })
        .await;
    assert_home(&fleet, "home-tunnel");
}
