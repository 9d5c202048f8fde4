//! Servers that are cold, over whole fleets, with requests far above what they bear.

use crate::limited::send_streams;
use crate::world::{ProcessFleet, Role};
use serde_json::json;
use std::time::{Duration, Instant};

/// The requests a second that a cold server bears.
const COLD_PER_SECOND: f64 = 6.2;

/// The most requests that may arrive within a second: 6.2 * 1.5 + 5, rounded down.
const BOUND: usize = 14;

/// The time within which what a server says holds on all hosts: a check-in and a sync.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Brings a plan into force by which the servers of the engine service may be cold.
async fn apply_cold_terms(fleet: &mut ProcessFleet) {
    let mut plan = fleet.next_plan(&["k1"]);
    plan["services"][0]["cold-start-s"] = json!(20.0);
    plan["services"][0]["cold-per-s"] = json!(COLD_PER_SECOND);
    fleet.apply_plan(&plan).await;
}

/// The names of the engines, each with the most requests that arrived in a second.
fn most_in_a_second(fleet: &ProcessFleet, since: Instant) -> Vec<(String, usize)> {
    let runs = fleet.runs.all();
    let engines = fleet.servers.iter();
    let engines = engines.filter(|server| server.service == "engine");
    let most = engines.map(|server| {
        let of_server = runs.iter().filter(|run| run.server == server.name);
        let times = of_server.map(|run| run.at).filter(|at| *at >= since);
        let times: Vec<Instant> = times.collect();
        let in_window = |first: &Instant| {
            let window = *first..*first + Duration::from_secs(1);
            times.iter().filter(|at| window.contains(at)).count()
        };
        let most = times.iter().map(in_window).max().unwrap_or_default();
        (server.name.clone(), most)
    });
    most.collect()
}

/// Guards against cold servers that get all they have slots for under a broker, under the one
/// after it, and from hosts without one.
#[tokio::test(flavor = "multi_thread")]
async fn cold_servers_keep_to_their_bound_under_brokers_and_without() {
    let mut fleet = ProcessFleet::start().await;
    apply_cold_terms(&mut fleet).await;
    for server in &fleet.servers {
        server.state_cold(true, false);
    }
    tokio::time::sleep(REPORT_TIME).await;
    let since = Instant::now();
    let (_, served) = send_streams(&fleet, "paced", Duration::from_secs(4)).await;
    let leader = fleet.wait_for_leader(Role::Control).await;
    fleet.kill(&leader);
    send_streams(&fleet, "next-leader", Duration::from_secs(4)).await;
    for name in fleet.host_names(Role::Control) {
        if name != leader {
            fleet.kill(&name);
        }
    }
    let (_, served_alone) = send_streams(&fleet, "alone", Duration::from_secs(4)).await;
    let most = most_in_a_second(&fleet, since);
    assert!(most.iter().all(|(_, most)| *most <= BOUND), "{most:?}");
    // Half of what the rates allow, for each server.
    let engines = u32::try_from(most.len()).expect("it fits");
    let expected = f64::from(engines) * COLD_PER_SECOND * 4.0 / 2.0;
    let is_used = |served: usize, share: f64| {
        f64::from(u32::try_from(served).expect("it fits")) >= expected * share
    };
    assert!(is_used(served, 1.0), "{served} of {expected}");
    assert!(is_used(served_alone, 0.25), "{served_alone} of {expected}");
}

/// Guards against a server that becomes cold while it runs, says so in its answers only, and
/// gets all it has slots for; and against one that stays paced once its answers say otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_in_answers_that_it_is_cold_is_paced() {
    let mut fleet = ProcessFleet::start().await;
    apply_cold_terms(&mut fleet).await;
    for server in &fleet.servers {
        server.state_cold(false, true);
    }
    send_streams(&fleet, "before", REPORT_TIME).await;
    let since = Instant::now();
    send_streams(&fleet, "cold", Duration::from_secs(4)).await;
    let most = most_in_a_second(&fleet, since);
    assert!(most.iter().all(|(_, most)| *most <= BOUND), "{most:?}");
    for server in &fleet.servers {
        server.state_cold(false, false);
    }
    send_streams(&fleet, "between", 2 * REPORT_TIME).await;
    let since = Instant::now();
    send_streams(&fleet, "warm", Duration::from_secs(3)).await;
    let most = most_in_a_second(&fleet, since);
    assert!(most.iter().any(|(_, most)| *most > BOUND), "{most:?}");
}

/// Guards against servers that start again, do not say how long they stay cold, and get all
/// they have slots for.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_start_without_a_word_on_coldness_are_paced() {
    let mut fleet = ProcessFleet::start().await;
    apply_cold_terms(&mut fleet).await;
    for server in &fleet.servers {
        server.omit_coldness();
        server.restart();
    }
    tokio::time::sleep(2 * REPORT_TIME).await;
    let since = Instant::now();
    let (_, served) = send_streams(&fleet, "started", Duration::from_secs(4)).await;
    let most = most_in_a_second(&fleet, since);
    assert!(most.iter().all(|(_, most)| *most <= BOUND), "{most:?}");
    assert!(served > 0, "cold servers are not used");
}
