//! Hosts without a path to any backend server, over whole fleets.

use crate::servers::CHECK_IN_INTERVAL;
use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// The requests that each entry host gets.
const REQUESTS: usize = 60;

/// The interval between two requests to the same host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// The time that a host which stops takes at most (`drain_timeout_s`).
const DRAIN_TIME: Duration = Duration::from_secs(8);

/// Sends requests of all kinds to an entry host; returns how many are served at the first
/// attempt.
async fn count_served(fleet: &ProcessFleet, entry: &str) -> usize {
    let calls = (0..REQUESTS).map(|number| async move {
        let pause = REQUEST_INTERVAL * u32::try_from(number).expect("it is small");
        tokio::time::sleep(pause).await;
        let path = ["/rules/4", "/ping/1", "/walk/4", "/charge/1"][number % 4];
        let id = format!("{entry}-{number}");
        let answer = fleet.caller_request(entry, path, &id).send().await;
        answer.is_some_and(|answer| answer.status.is_success() && answer.complete)
    });
    let served = join_all(calls).await;
    served.iter().filter(|served| **served).count()
}

async fn wait_until_ready(fleet: &ProcessFleet) {
    let ready = || async { fleet.all_report_ready().await };
    fleet.wait_until("every entry host is ready", ready).await;
    tokio::time::sleep(CHECK_IN_INTERVAL).await;
}

/// Guards against entry hosts without a path to servers that serve none of their callers, and
/// take servers from the other hosts: RECOVER of the users' platform.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_without_a_path_to_servers_serve_their_callers() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    for entry in &entries[..2] {
        fleet.restart_with_path(entry, false);
    }
    wait_until_ready(&fleet).await;
    let served = join_all(entries.iter().map(|entry| count_served(&fleet, entry))).await;
    // The users' rule lets one in 50 of all first attempts fail.
    let least = REQUESTS - REQUESTS.div_ceil(50);
    assert!(served.iter().all(|served| *served >= least), "{served:?}");
    // Nothing ran twice that may run at most once.
    for entry in &entries {
        for number in (3..REQUESTS).step_by(4) {
            let id = format!("{entry}-{number}");
            assert!(fleet.runs.runs_of(&id).len() <= 1, "{id}");
        }
    }
}

/// Guards against a tunnel host that gets requests on kept tunnels until it ends, and cuts
/// those in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_tunnel_host_that_stops_cuts_no_request() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    fleet.restart_with_path(&entries[0], false);
    wait_until_ready(&fleet).await;
    let fleet = &fleet;
    let entry = &entries[0];
    let stopping = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.send_signal(&entries[1], "TERM");
    };
    let callers = (0..8).map(|caller| async move {
        let started = Instant::now();
        let mut failed = Vec::new();
        for number in 0.. {
            if started.elapsed() > DRAIN_TIME + Duration::from_secs(2) {
                break;
            }
            let id = format!("stop-{caller}-{number}");
            let answer = fleet.caller_request(entry, "/walk/12", &id).send().await;
            if !answer.is_some_and(|answer| answer.status.is_success() && answer.complete) {
                failed.push(id);
            }
        }
        failed
    });
    let (failed, ()) = tokio::join!(join_all(callers), stopping);
    assert!(failed.iter().all(Vec::is_empty), "{failed:?}");
}

/// Guards against items that wait for as long as the store host that runs them has no path to
/// servers.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_while_store_hosts_have_no_path_to_servers() {
    let mut fleet = ProcessFleet::start().await;
    for store in fleet.host_names(Role::Store) {
        fleet.restart_with_path(&store, false);
    }
    wait_until_ready(&fleet).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let items: Vec<String> = (0..12).map(|number| format!("item-{number}")).collect();
    let submit = || async {
        let answer = fleet.submit(&entry, "job-1", &items, 6).await;
        answer.is_some_and(|answer| answer.status.as_u16() == 202)
    };
    fleet.wait_until("the job is accepted", submit).await;
    let complete = || async {
        let results = fleet.read_results(&entry, "job-1").await;
        results.is_some_and(|results| results.len() == items.len())
    };
    fleet.wait_until("the job is complete", complete).await;
}
