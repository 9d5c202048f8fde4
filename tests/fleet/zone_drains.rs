//! Zones that operators drain.

use crate::client::{Answer, Call};
use crate::world::{ProcessFleet, Role, WAIT_TIMEOUT};
use futures_util::future::join_all;
use hyper::Method;
use serde_json::Value;
use std::time::{Duration, Instant};

/// The time from the acknowledgement of a drain after which nothing is sent to the zone.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// The time within which an order has to be acknowledged while the control group is stable.
const ACKNOWLEDGE_MAX: Duration = Duration::from_secs(4);

/// The time that an operator waits for the answer to one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

const ZONE: &str = "zone-1";

/// The servers of [`ZONE`].
const DRAINED: [&str; 2] = ["engine-1", "app-1"];

/// A stream of three seconds.
const LONG_STREAM: &str = "/rules/200";

async fn order(fleet: &ProcessFleet, host: &str, zone: &str, step: &str) -> Option<Answer> {
    let path = format!("/drain/{zone}/{step}");
    let mut call = Call::new(fleet.control_address(host), Method::POST, &path);
    call.timeout = ORDER_TIMEOUT;
    call.send().await
}

/// Repeats an order at control and store hosts in turn until it is acknowledged; returns when
/// that was.
async fn order_until_acknowledged(fleet: &ProcessFleet, zone: &str, step: &str) -> Instant {
    let started = Instant::now();
    let mut hosts = fleet.host_names(Role::Store);
    hosts.extend(fleet.host_names(Role::Control));
    for host in hosts.iter().cycle() {
        let answer = order(fleet, host, zone, step).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{step} of {zone}");
    }
    println!("{step} of {zone}: {:?}", started.elapsed());
    Instant::now()
}

/// The zones that are drained, as a control host reads them.
pub(crate) async fn drains(fleet: &ProcessFleet, host: &str) -> Option<Value> {
    let call = Call::new(fleet.control_address(host), Method::GET, "/drain/get");
    let answer = call.send().await?;
    answer
        .status
        .is_success()
        .then(|| answer.json()["zones"].clone())
}

/// Sends requests of several kinds at every entry host; all of them are served.
async fn send_requests(fleet: &ProcessFleet, name: &str) {
    let mut calls = Vec::new();
    for entry in fleet.host_names(Role::Entry) {
        for path in ["/ping/1", "/walk/3", "/rules/3"] {
            for number in 0..4 {
                let id = format!("{name}-{entry}-{}-{number}", &path[1..5]);
                calls.push(fleet.caller_request(&entry, path, &id));
            }
        }
    }
    for answer in join_all(calls.iter().map(Call::send)).await {
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success() && answer.complete, "{answer:?}");
    }
}

async fn run_job(fleet: &ProcessFleet, name: &str) {
    let entry = &fleet.host_names(Role::Entry)[1];
    let ids: Vec<String> = (0..40).map(|number| format!("{name}-{number}")).collect();
    let answer = fleet.submit(entry, name, &ids, 8).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(entry, name).await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
}

/// The ids of the requests that reached the drained servers since an instant.
fn drained_runs(fleet: &ProcessFleet, since: Instant) -> Vec<String> {
    let runs = fleet.runs.all().into_iter();
    let drained = runs.filter(|run| DRAINED.contains(&run.server.as_str()) && run.at >= since);
    drained.map(|run| run.id).collect()
}

pub(crate) fn restart_all(fleet: &mut ProcessFleet) {
    let roles = [Role::Control, Role::Store, Role::Entry];
    let names: Vec<String> = roles
        .iter()
        .flat_map(|role| fleet.host_names(*role))
        .collect();
    for name in &names {
        fleet.kill(name);
    }
    for name in &names {
        fleet.start_process(name, false);
    }
}

pub(crate) async fn wait_until_serving(fleet: &ProcessFleet) {
    fleet
        .wait_until("every entry host serves", || async {
            fleet.all_report_ready().await && {
                let entries = fleet.host_names(Role::Entry);
                let calls = entries.iter().flat_map(|entry| {
                    let paths = ["/ping/1", "/rules/2"];
                    paths.map(|path| fleet.caller_request(entry, path, "probe-again"))
                });
                let calls: Vec<Call> = calls.collect();
                let answers = join_all(calls.iter().map(Call::send)).await;
                let is_served = |answer: Option<Answer>| {
                    answer.is_some_and(|answer| answer.status.is_success())
                };
                answers.into_iter().all(is_served)
            }
        })
        .await;
    fleet
        .wait_until("a job is accepted", || async { fleet.accepts_jobs().await })
        .await;
}

/// Guards against a zone that is drained again after the drain was withdrawn, as an earlier order
/// that was never acknowledged arrives at the leader late.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_order_does_not_come_after_a_later_one() {
    let fleet = ProcessFleet::start().await;
    let leader = fleet.wait_for_leader(Role::Control).await;
    fleet.faults.cut("store-2", &leader);
    fleet.faults.cut(&leader, "store-2");
    let held_up = order(&fleet, "store-2", ZONE, "begin").await;
    assert!(held_up.is_none_or(|answer| !answer.status.is_success()));
    // The operator gives the order up and makes sure that the zone is in use.
    let withdrawn = order(&fleet, &leader, ZONE, "finish").await;
    assert!(withdrawn.is_some_and(|answer| answer.status.is_success()));
    fleet.faults.heal();
    tokio::time::sleep(ACKNOWLEDGE_MAX).await;
    assert_eq!(drains(&fleet, &leader).await, Some(serde_json::json!([])));
}

/// Guards against an order that is acknowledged and then lost, by the death of the leader or
/// of all processes; against runs that a drain breaks off; and against a repeated order that
/// changes anything.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_outlives_the_leader_and_all_processes() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let stream = fleet.caller_request(&entries[0], LONG_STREAM, "in-progress");
    let stream = tokio::spawn(async move { stream.send().await });
    fleet
        .wait_until("the stream has begun", || async {
            !fleet.runs.runs_of("in-progress").is_empty()
        })
        .await;
    assert_eq!(fleet.runs.runs_of("in-progress")[0].server, DRAINED[0]);

    let ordered_at = Instant::now();
    let acknowledged_at = order_until_acknowledged(&fleet, ZONE, "begin").await;
    assert!(acknowledged_at - ordered_at < ACKNOWLEDGE_MAX);
    let leader = fleet.wait_for_leader(Role::Control).await;
    let recorded = drains(&fleet, &leader).await.expect("a list");
    assert_eq!(recorded[0]["zone"], ZONE);
    assert!(recorded[0]["asked_by"].is_string(), "{recorded}");
    fleet.kill(&leader);
    fleet.wait_for_next_leader(Role::Control, &leader).await;
    fleet.start_process(&leader, false);
    let answer = stream.await.expect("no panic").expect("an answer");
    assert!(answer.status.is_success() && answer.complete, "{answer:?}");
    assert_eq!(fleet.runs.runs_of("in-progress").len(), 1);

    tokio::time::sleep(DRAIN_TIME.saturating_sub(acknowledged_at.elapsed())).await;
    let drained_at = Instant::now();
    send_requests(&fleet, "drained").await;
    run_job(&fleet, "job-drained").await;
    order_until_acknowledged(&fleet, ZONE, "begin").await;
    let leader = fleet.leader(Role::Control).expect("a leader");
    assert_eq!(drains(&fleet, &leader).await, Some(recorded.clone()));
    fleet
        .wait_until("a zone that no host names is unknown", || async {
            let answer = order(&fleet, &leader, "zone-9", "begin").await;
            answer.is_some_and(|answer| answer.status.as_u16() == 404)
        })
        .await;

    // From now on, the settings name the zones.
    fleet.names_zones = true;
    restart_all(&mut fleet);
    wait_until_serving(&fleet).await;
    send_requests(&fleet, "restarted").await;
    run_job(&fleet, "job-restarted").await;
    assert_eq!(drained_runs(&fleet, drained_at), Vec::<String>::new());
    fleet
        .wait_until("the drain is listed again", || async {
            drains(&fleet, "control-1").await == Some(recorded.clone())
        })
        .await;
    fleet
        .wait_until("a zone that the settings lack is unknown", || async {
            let answer = order(&fleet, "store-1", "zone-9", "begin").await;
            answer.is_some_and(|answer| answer.status.as_u16() == 404)
        })
        .await;

    let withdrawn_at = order_until_acknowledged(&fleet, ZONE, "finish").await;
    order_until_acknowledged(&fleet, ZONE, "finish").await;
    fleet
        .wait_until("the zone serves again", || async {
            send_requests(&fleet, "withdrawn").await;
            !drained_runs(&fleet, withdrawn_at).is_empty()
        })
        .await;
    assert_eq!(
        drains(&fleet, "control-2").await,
        Some(Value::Array(Vec::new()))
    );
}

/// Guards against requests that wait for their time limit, or run, while all zones are
/// drained, and against an operator who is not told.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_zones_are_drained() {
    let fleet = ProcessFleet::start().await;
    for zone in ["zone-1", "zone-2", "zone-3"] {
        order_until_acknowledged(&fleet, zone, "begin").await;
    }
    let drained_at = Instant::now();
    for entry in fleet.host_names(Role::Entry) {
        for path in ["/ping/1", "/walk/3", "/rules/3", "/charge/1"] {
            let sent_at = Instant::now();
            let call = fleet.caller_request(&entry, path, "all-drained");
            let answer = call.send().await.expect("an answer");
            assert_eq!(answer.status.as_u16(), 503, "{path} {answer:?}");
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
            // Far below the time limit of the request.
            assert!(sent_at.elapsed() < Duration::from_secs(2), "{path}");
        }
    }
    let late = fleet
        .runs
        .all()
        .into_iter()
        .filter(|run| run.at >= drained_at);
    assert_eq!(late.count(), 0);
    let leader = fleet.leader(Role::Control).expect("a leader");
    fleet
        .wait_until("the log carries a warning", || async {
            fleet.read_log(&leader).contains("all_zones_drained")
        })
        .await;
    assert_eq!(fleet.level(&leader, "zones_drained").await, Some(3.0));
    order_until_acknowledged(&fleet, "zone-2", "finish").await;
    send_requests(&fleet, "one-zone").await;
    let runs = fleet.runs.all().into_iter();
    let other = runs.filter(|run| run.at >= drained_at && !run.server.ends_with("-2"));
    assert_eq!(other.count(), 0);
}

/// Guards against a host that sends to a drained zone, its own, once it loses the control
/// group.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_out_of_touch_sends_nothing_to_a_drained_zone() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    order_until_acknowledged(&fleet, ZONE, "begin").await;
    // Hosts fetch the directory without the drained servers as soon as they are told.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for name in fleet.host_names(Role::Control) {
        fleet.kill(&name);
    }
    let lost_at = Instant::now();
    // Sent together, since the host refuses keyed requests once its view of the keys is old.
    let ids: Vec<String> = (0..16).map(|number| format!("alone-{number}")).collect();
    for group in ids.chunks(8) {
        let calls = group
            .iter()
            .map(|id| fleet.caller_request(&entry, "/ping/1", id));
        let calls: Vec<Call> = calls.collect();
        for answer in join_all(calls.iter().map(Call::send)).await {
            let answer = answer.expect("an answer");
            assert!(answer.status.is_success(), "{answer:?}");
        }
    }
    assert_eq!(drained_runs(&fleet, lost_at), Vec::<String>::new());
}
