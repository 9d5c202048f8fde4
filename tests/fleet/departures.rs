//! Servers that say only in their responses that they leave, or in a call before they do.

use crate::client::{Answer, Call};
use crate::servers::{LEAVING_FIELD, Server};
use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;
use hyper::Method;
use std::time::{Duration, Instant};

/// The time within which a report of one host takes effect on all hosts: one sync.
const REPORT_TIME: Duration = Duration::from_secs(1);

async fn send(fleet: &ProcessFleet, entry: &str, path: &str, id: &str) -> Answer {
    let call = fleet.caller_request(entry, path, id);
    let answer = call.send().await.expect("an answer");
    assert!(answer.status.is_success(), "{answer:?}");
    answer
}

/// Sends requests to an entry host until one is answered by the leaving server.
async fn wait_for_mark(fleet: &ProcessFleet, entry: &str, path: &str) {
    for number in 0..200 {
        let answer = send(fleet, entry, path, &format!("before-{number}")).await;
        if answer.headers.contains_key(LEAVING_FIELD) {
            return;
        }
    }
    panic!("no request was answered by the leaving server");
}

fn runs_since(fleet: &ProcessFleet, server: &Server, since: Instant) -> usize {
    let runs = fleet.runs.all();
    let of_server = runs.iter().filter(|run| run.server == server.name);
    of_server.filter(|run| run.at >= since).count()
}

/// Guards against a server that gets requests although its responses say that it leaves,
/// as long as its check-ins say that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_in_its_answers_that_it_leaves_gets_no_more_requests() {
    let fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let leaving = fleet.servers[1].clone();
    assert!(leaving.name.starts_with("app"));
    leaving.start_leaving_in_answers();
    wait_for_mark(&fleet, &entries[0], "/ping/1").await;
    // The host that passed the response on stops at once, the others by its report.
    let marked_at = Instant::now();
    for number in 0..40 {
        send(&fleet, &entries[0], "/ping/1", &format!("same-{number}")).await;
    }
    assert_eq!(runs_since(&fleet, &leaving, marked_at), 0);
    tokio::time::sleep(REPORT_TIME).await;
    let reported_at = Instant::now();
    for number in 0..60 {
        send(
            &fleet,
            &entries[number % 3],
            "/ping/1",
            &format!("all-{number}"),
        )
        .await;
    }
    assert_eq!(runs_since(&fleet, &leaving, reported_at), 0);
    // A new incarnation under the same name and address is used again.
    leaving.restart();
    let restarted_at = Instant::now();
    fleet
        .wait_until("the new incarnation gets requests", || async {
            send(&fleet, &entries[0], "/ping/1", "again").await;
            runs_since(&fleet, &leaving, restarted_at) > 0
        })
        .await;
}

/// Guards against a host that forgets without the broker that a server leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_out_of_touch_gives_a_leaving_server_no_more_requests() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    for name in fleet.host_names(Role::Control) {
        fleet.kill(&name);
    }
    let leaving = fleet.servers[0].clone();
    leaving.start_leaving_in_answers();
    wait_for_mark(&fleet, &entry, "/walk/3").await;
    let marked_at = Instant::now();
    // Sent together, since the host refuses keyed requests once its view of the keys is old.
    let ids: Vec<String> = (0..40).map(|number| format!("alone-{number}")).collect();
    for group in ids.chunks(8) {
        let sending = group.iter().map(|id| send(&fleet, &entry, "/walk/3", id));
        join_all(sending).await;
    }
    assert_eq!(runs_since(&fleet, &leaving, marked_at), 0);
}

/// Guards against items that run on a server whose responses to other items say that it
/// leaves.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_in_its_answers_that_it_leaves_gets_no_more_items() {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let leaving = fleet.servers[0].clone();
    assert!(leaving.name.starts_with("engine"));
    leaving.start_leaving_in_answers();
    let ids: Vec<String> = (0..200).map(|n| format!("leave-{n}")).collect();
    let answer = fleet.submit(&entry, "job-leave", &ids, 8).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(&entry, "job-leave").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
    let runs = fleet.runs.all();
    let items = || runs.iter().filter(|run| run.id.starts_with("leave-"));
    let of_leaving = items().filter(|run| run.server == leaving.name);
    let first = of_leaving.map(|run| run.at).min().expect("a run");
    // By then the response to the first item has begun.
    let marked_at = first + REPORT_TIME / 2;
    let last = items().map(|run| run.at).max().expect("a run");
    assert!(last > marked_at, "the job is too short");
    assert_eq!(runs_since(&fleet, &leaving, marked_at), 0);
}

/// How the call of a server that leaves comes late to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateCall {
    /// The links between the host that takes it and the leader are cut.
    HeldUp,
    /// The host that takes it stands still.
    Frozen,
}

/// Has a server leave at `store-2`, which can't pass the call on at once, then at another host,
/// and start again. The new incarnation has to be used for good.
async fn restart_beside_late_call(late: LateCall) {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let leader = fleet.wait_for_leader(Role::Control).await;
    let controls = fleet.host_names(Role::Control);
    let other = controls.iter().find(|name| **name != leader);
    let server = fleet.servers[1].clone();
    assert!(server.name.starts_with("app"));
    let leave = |host: &str| {
        let path = format!("/instances/{}/deregister", server.name);
        let mut call = Call::new(fleet.control_address(host), Method::POST, &path);
        call.timeout = Duration::from_secs(1);
        async move { call.send().await.map(|answer| answer.status.as_u16()) }
    };
    match late {
        LateCall::HeldUp => {
            fleet.faults.cut("store-2", &leader);
            fleet.faults.cut(&leader, "store-2");
        }
        LateCall::Frozen => fleet.send_signal("store-2", "STOP"),
    }
    assert_ne!(leave("store-2").await, Some(200));
    assert_eq!(leave(other.expect("a host")).await, Some(200));
    server.restart();
    let is_used_since = |since: Instant| {
        let (fleet, entry, server) = (&fleet, &entry, &server);
        async move {
            send(fleet, entry, "/ping/1", "again").await;
            runs_since(fleet, server, since) > 0
        }
    };
    let restarted_at = Instant::now();
    fleet
        .wait_until("the new incarnation gets requests", || {
            is_used_since(restarted_at)
        })
        .await;
    match late {
        LateCall::HeldUp => fleet.faults.heal(),
        LateCall::Frozen => fleet.send_signal("store-2", "CONT"),
    }
    tokio::time::sleep(REPORT_TIME).await;
    let late_since = Instant::now();
    fleet
        .wait_until("the new incarnation still gets requests", || {
            is_used_since(late_since)
        })
        .await;
}

/// Guards against a server that is out of use for good after a restart, as the call by which it
/// left arrives at the leader late, and applied to the incarnation that the leader knew by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_departure_takes_no_restarted_server_out_of_use() {
    restart_beside_late_call(LateCall::HeldUp).await;
}

/// Guards against the same after the host that took the call has stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_at_a_frozen_host_takes_no_restarted_server_out_of_use() {
    restart_beside_late_call(LateCall::Frozen).await;
}
