//! A fleet without faults: every kind of request, keys, plans, jobs, metrics and logs.

use crate::client::Call;
use crate::servers::{event_data, stream_text};
use crate::world::{KEY_WITHDRAWAL, ProcessFleet, Role};
use hyper::Method;
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_is_served() {
    let fleet = ProcessFleet::start().await;
    for (index, entry) in fleet.host_names(Role::Entry).iter().enumerate() {
        for (path, kind) in [("/walk/7", "walk"), ("/rules/7", "rules")] {
            let id = format!("{kind}-{index}");
            let answer = fleet
                .caller_request(entry, path, &id)
                .send()
                .await
                .expect("an answer");
            assert!(answer.status.is_success() && answer.complete, "{answer:?}");
            assert_eq!(answer.text(), stream_text(&id, 7));
            assert!(answer.headers.contains_key("x-server-stamp"));
        }
        for kind in ["ping", "charge"] {
            let id = format!("{kind}-{index}");
            let path = format!("/{kind}/1");
            let answer = fleet
                .caller_request(entry, &path, &id)
                .send()
                .await
                .expect("an answer");
            assert_eq!(answer.text(), format!("{id}:10"));
        }
    }
    for run in fleet.runs.all() {
        assert!(!run.had_key, "{run:?}");
        assert_eq!(run.team.as_deref(), Some("curepipe"), "{run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_keys_are_refused_and_a_removed_key_stops_working() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let status = |call: Call| async move { call.send().await.expect("an answer").status.as_u16() };
    assert_eq!(
        status(fleet.caller_request(&entry, "/nowhere/1", "a")).await,
        404
    );
    let address = fleet.callers_address(&entry);
    let unkeyed = Call::new(address, Method::POST, "/ping/1").field("x-request-id", "b");
    assert_eq!(status(unkeyed.clone()).await, 401);
    assert_eq!(status(unkeyed.key("k9")).await, 401);
    // A plan without the key is in force on every entry host in time.
    let plan = fleet.next_plan(&["k2"]);
    fleet.apply_plan(&plan).await;
    let applied = Instant::now();
    let mut last_served = Duration::ZERO;
    while applied.elapsed() < KEY_WITHDRAWAL + Duration::from_secs(1) {
        for entry in fleet.host_names(Role::Entry) {
            if status(fleet.caller_request(&entry, "/ping/1", "c")).await == 200 {
                last_served = applied.elapsed();
            }
        }
    }
    assert!(
        last_served < Duration::from_secs(2),
        "served after {last_served:?}"
    );
    let address = fleet.callers_address(&entry);
    let keyed = Call::new(address, Method::POST, "/ping/1").field("x-request-id", "d");
    assert_eq!(status(keyed.key("k2")).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_old_plans_change_nothing() {
    let mut fleet = ProcessFleet::start().await;
    let control = fleet.host_names(Role::Control);
    let old = fleet.next_plan(&["k1"]);
    let new = fleet.next_plan(&["k1"]);
    fleet.apply_plan(&new).await;
    // An older plan is acknowledged, too, but the newer one stays in force.
    fleet.apply_plan(&old).await;
    for (field, value) in [("timeout-ms", 0.into()), ("service", "none".into())] {
        let mut invalid = fleet.next_plan(&["k1"]);
        invalid["routes"][0][field] = value;
        for name in &control {
            let address = fleet.control_address(name);
            let call = Call::new(address, Method::POST, "/config/replace");
            let answer = call
                .body(invalid.to_string())
                .send()
                .await
                .expect("an answer");
            assert_eq!(answer.status.as_u16(), 400, "{field}");
        }
    }
    for name in &control {
        assert_eq!(fleet.read_version(name).await, new["version"].as_u64());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_submitted_to_every_host_is_accepted_once_and_every_item_ends() {
    let fleet = ProcessFleet::start().await;
    let items: Vec<String> = (0..12).map(|n| format!("item-{n}")).collect();
    for entry in fleet.host_names(Role::Entry) {
        let answer = fleet.submit(&entry, "job-a", &items, 20).await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    }
    let entries = fleet.host_names(Role::Entry);
    let total = items.len();
    let complete = |entry: String| {
        let fleet = &fleet;
        async move {
            let results = fleet.read_results(&entry, "job-a").await;
            results.is_some_and(|results| results.len() == total)
        }
    };
    fleet
        .wait_until("all items end", || complete(entries[0].clone()))
        .await;
    let mut seen = None;
    for entry in &entries {
        let results = fleet.read_results(entry, "job-a").await.expect("results");
        for (id, text) in &results {
            let expected: Vec<String> = (0..20).map(|n| event_data(id, n)).collect();
            assert_eq!(*text, expected.join("\n"));
        }
        assert_eq!(*seen.get_or_insert_with(|| results.clone()), results);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn item_bodies_are_readable_and_a_deleted_job_stops() {
    let fleet = ProcessFleet::start().await;
    let entry = &fleet.host_names(Role::Entry)[1];
    let items: Vec<String> = (0..40).map(|n| format!("long-{n}")).collect();
    fleet
        .submit(entry, "job-b", &items, 300)
        .await
        .expect("an answer");
    let address = fleet.callers_address(entry);
    let body = Call::new(address, Method::GET, "/items/job-b?id=long-39").key("k1");
    assert_eq!(body.send().await.expect("an answer").text(), "body");
    let end = Call::new(address, Method::DELETE, "/lots/job-b").key("k1");
    for _ in 0..2 {
        assert_eq!(end.send().await.expect("an answer").status.as_u16(), 200);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ended_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = fleet.runs.all().into_iter().filter(|run| run.at > ended_at);
    assert_eq!(later.count(), 0);
    let unknown = Call::new(address, Method::GET, "/lots/job-x").key("k1");
    assert_eq!(
        unknown.send().await.expect("an answer").status.as_u16(),
        404
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_the_log_record_a_refusal() {
    let fleet = ProcessFleet::start().await;
    let entry = &fleet.host_names(Role::Entry)[0];
    fleet
        .caller_request(entry, "/nowhere/1", "lost-request")
        .send()
        .await
        .expect("an answer");
    let metrics = fleet.metrics(entry).await;
    assert!(metrics.contains("refusals_total"), "{metrics}");
    assert!(metrics.contains("answer_seconds_bucket"), "{metrics}");
    let control = &fleet.host_names(Role::Control)[0];
    assert!(fleet.metrics(control).await.contains("group_term"));
    fleet
        .wait_until("the line is written", || async {
            let log = fleet.read_log(entry);
            let mut lines = log.lines().filter(|line| line.contains("lost-request"));
            lines.any(|line| line.contains("\"reason\":\"unknown_route\""))
        })
        .await;
}

/// Guards against colors for terminals in log files, which hide lines from searches.
#[tokio::test(flavor = "multi_thread")]
async fn log_files_hold_no_escape_sequences() {
    let fleet = ProcessFleet::start().await;
    for file in fleet.log_files() {
        let log = std::fs::read_to_string(&file).expect("a log");
        assert!(log.contains("[INFO]"), "{log}");
        assert!(!log.contains('\u{1b}'), "{}: {log}", file.display());
    }
}
