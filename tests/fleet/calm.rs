//! A calm day: every kind of request, keys, plans and jobs.

use crate::client::Call;
use crate::servers::{event_data, stream_text};
use crate::world::{KEY_WITHDRAWAL, Role, World};
use hyper::Method;
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_is_served() {
    let world = World::start().await;
    for (place, entry) in world.names(Role::Entry).iter().enumerate() {
        for (path, kind) in [("/walk/7", "walk"), ("/rules/7", "rules")] {
            let id = format!("{kind}-{place}");
            let answer = world.ask(entry, path, &id).send().await.expect("an answer");
            assert!(answer.status.is_success() && answer.whole, "{answer:?}");
            assert_eq!(answer.text(), stream_text(&id, 7));
            assert!(answer.headers.contains_key("x-server-stamp"));
        }
        for kind in ["ping", "charge"] {
            let id = format!("{kind}-{place}");
            let path = format!("/{kind}/1");
            let answer = world
                .ask(entry, &path, &id)
                .send()
                .await
                .expect("an answer");
            assert_eq!(answer.text(), format!("{id}:10"));
        }
    }
    for run in world.runs.all() {
        assert!(!run.had_key, "{run:?}");
        assert_eq!(run.team.as_deref(), Some("curepipe"), "{run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_and_routes_are_told_apart() {
    let mut world = World::start().await;
    let entry = world.names(Role::Entry)[0].clone();
    let status = |call: Call| async move { call.send().await.expect("an answer").status.as_u16() };
    assert_eq!(status(world.ask(&entry, "/nowhere/1", "a")).await, 404);
    let address = world.callers_address(&entry);
    let unkeyed = Call::new(address, Method::POST, "/ping/1").field("x-request-id", "b");
    assert_eq!(status(unkeyed.clone()).await, 401);
    assert_eq!(status(unkeyed.key("k9")).await, 401);
    // A plan that takes the key away is in force everywhere in time.
    let plan = world.plan(&["k2"]);
    world.apply(&plan).await;
    let applied = Instant::now();
    let mut last_served = Duration::ZERO;
    while applied.elapsed() < KEY_WITHDRAWAL + Duration::from_secs(1) {
        for entry in world.names(Role::Entry) {
            if status(world.ask(&entry, "/ping/1", "c")).await == 200 {
                last_served = applied.elapsed();
            }
        }
    }
    assert!(
        last_served < Duration::from_secs(2),
        "served after {last_served:?}"
    );
    let address = world.callers_address(&entry);
    let keyed = Call::new(address, Method::POST, "/ping/1").field("x-request-id", "d");
    assert_eq!(status(keyed.key("k2")).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_old_plans_change_nothing() {
    let mut world = World::start().await;
    let control = world.names(Role::Control);
    let old = world.plan(&["k1"]);
    let new = world.plan(&["k1"]);
    world.apply(&new).await;
    // An older one is acknowledged, since the newest is in force.
    world.apply(&old).await;
    for (field, value) in [("timeout-ms", 0.into()), ("service", "none".into())] {
        let mut invalid = world.plan(&["k1"]);
        invalid["routes"][0][field] = value;
        for name in &control {
            let address = world.control_address(name);
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
        assert_eq!(world.read_version(name).await, new["version"].as_u64());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_taken_once_and_every_item_ends() {
    let world = World::start().await;
    let items: Vec<String> = (0..12).map(|n| format!("item-{n}")).collect();
    for entry in world.names(Role::Entry) {
        let answer = world.submit(&entry, "job-a", &items, 20).await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    }
    let entries = world.names(Role::Entry);
    let total = items.len();
    let complete = |entry: String| {
        let world = &world;
        async move {
            let results = world.results(&entry, "job-a").await;
            results.is_some_and(|results| results.len() == total)
        }
    };
    world
        .until("all items end", || complete(entries[0].clone()))
        .await;
    let mut seen = None;
    for entry in &entries {
        let results = world.results(entry, "job-a").await.expect("results");
        for (id, text) in &results {
            let expected: Vec<String> = (0..20).map(|n| event_data(id, n)).collect();
            assert_eq!(*text, expected.join("\n"));
        }
        assert_eq!(*seen.get_or_insert_with(|| results.clone()), results);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_kept_and_ended_jobs_stop() {
    let world = World::start().await;
    let entry = &world.names(Role::Entry)[1];
    let items: Vec<String> = (0..40).map(|n| format!("long-{n}")).collect();
    world
        .submit(entry, "job-b", &items, 300)
        .await
        .expect("an answer");
    let address = world.callers_address(entry);
    let body = Call::new(address, Method::GET, "/items/job-b?id=long-39").key("k1");
    assert_eq!(body.send().await.expect("an answer").text(), "body");
    let end = Call::new(address, Method::DELETE, "/lots/job-b").key("k1");
    for _ in 0..2 {
        assert_eq!(end.send().await.expect("an answer").status.as_u16(), 200);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ended_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = world.runs.all().into_iter().filter(|run| run.at > ended_at);
    assert_eq!(later.count(), 0);
    let unknown = Call::new(address, Method::GET, "/lots/job-x").key("k1");
    assert_eq!(
        unknown.send().await.expect("an answer").status.as_u16(),
        404
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_log_lines_tell_of_a_refusal() {
    let world = World::start().await;
    let entry = &world.names(Role::Entry)[0];
    world
        .ask(entry, "/nowhere/1", "lost-request")
        .send()
        .await
        .expect("an answer");
    let metrics = world.metrics(entry).await;
    assert!(metrics.contains("refusals_total"), "{metrics}");
    assert!(metrics.contains("answer_seconds_bucket"), "{metrics}");
    let control = &world.names(Role::Control)[0];
    assert!(world.metrics(control).await.contains("group_term"));
    world
        .until("the line is written", || async {
            let log = world.log_of(entry);
            let mut lines = log.lines().filter(|line| line.contains("lost-request"));
            lines.any(|line| line.contains("\"reason\":\"unknown_route\""))
        })
        .await;
}
