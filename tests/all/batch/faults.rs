//! Batch jobs when the dispatching host fails, when hosts restart, with an item that
//! crashes servers, and with non-idempotent items.

use super::caller::{BatchCaller, charge, charge_document, chat_items, items};
use crate::fixture::{FleetFixture, chat_body, eventually};
use chicoryladder_standin::FaultPlan;
use std::time::Duration;

const CHARGES: &str = "/services/rent-ledger/charges";

#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_after_its_dispatching_host_is_lost() {
    let mut fleet = FleetFixture::with_document(3).await;
    let engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let job = caller.submit("lot", &chat_items(80, 40)).await;
    eventually("items run", || async { engine.counters().started > 5 }).await;
    // Host 1 is the only host in the engine's zone, so it dispatches the items.
    fleet.kill_host(1).await;
    caller.wait_completed(&job).await;
    let outcomes = caller.outcomes(&job).await;
    assert_eq!(outcomes.len(), 80);
    assert!(outcomes.values().all(String::is_empty), "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_after_a_restart_of_every_host() {
    let mut fleet = FleetFixture::with_document(3).await;
    let engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let job = caller.submit("lot", &chat_items(60, 40)).await;
    let has_results = || async { !caller.results(&job).await.is_empty() };
    eventually("first results", has_results).await;
    let partial = caller.results(&job).await;
    for host in 0..3 {
        fleet.kill_host(host).await;
    }
    for host in 0..3 {
        fleet.start_host(host).await;
    }
    fleet.wait_ready(0).await;
    caller.wait_completed(&job).await;
    assert_eq!(caller.results(&job).await[..partial.len()], partial);
    assert_eq!(caller.outcomes(&job).await.len(), 60);
    assert!(engine.counters().started >= 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_under_which_servers_crash_holds_up_no_other_and_is_still_owed() {
    let fleet = FleetFixture::with_document(1).await;
    let mut engines = Vec::new();
    for name in ["engine-1", "engine-2", "engine-3"] {
        let engine = fleet.start_engine(name, "zone-a").await;
        engine.control().set_faults(FaultPlan {
            crash_on: Some("poison".to_owned()),
            ..FaultPlan::default()
        });
        engines.push(engine);
    }
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let lines = items(40, "/v1/chat/completions", |item| {
        let content = if item == 7 { "poison" } else { "walk" };
        format!(
            r#"{{"model":"walks-7b","max_tokens":4,"messages":[{{"role":"user","content":"{content}"}}]}}"#
        )
    });
    let job = caller.submit("lot", &lines).await;
    let has_others = || async { caller.outcomes(&job).await.len() == 39 };
    eventually("the other items end", has_others).await;
    let outcomes = caller.outcomes(&job).await;
    assert!(!outcomes.contains_key("item-7"), "{outcomes:?}");
    for engine in &engines {
        engine.control().set_faults(FaultPlan::default());
    }
    caller.wait_completed(&job).await;
    let outcomes = caller.outcomes(&job).await;
    assert_eq!(outcomes.len(), 40);
    assert!(outcomes.values().all(String::is_empty), "{outcomes:?}");
    // Pauses bound the crashes: two at once, and one each after 1, 2, 4 and 8 s.
    let crashes: u64 = engines.iter().map(|one| one.counters().crashes).sum();
    assert!((2..=6).contains(&crashes), "{crashes}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_runs_at_most_once_when_its_dispatcher_is_lost() {
    let mut fleet = FleetFixture::with_text(3, &charge_document()).await;
    let ledger = fleet.start_service("ledger-1", "rent-ledger").await;
    ledger.control().set_faults(FaultPlan {
        delay: Some(Duration::from_millis(20)),
        ..FaultPlan::default()
    });
    let key = fleet.grant_key(0, "rent-desk").await;
    let caller = BatchCaller::new(&fleet, 1, &key);
    caller.wait_until_known().await;
    let job = caller.submit("rent", &items(300, CHARGES, charge)).await;
    eventually("charges run", || async { ledger.runs().len() > 20 }).await;
    // Host 0, in the zone of the ledger, dispatches the charges. It also leads the
    // consensus group.
    fleet.kill_host(0).await;
    fleet.start_host(0).await;
    fleet.wait_ready(0).await;
    caller.wait_completed(&job).await;
    let outcomes = caller.outcomes(&job).await;
    assert_eq!(outcomes.len(), 300);
    let runs = ledger.runs();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    for (name, code) in &outcomes {
        let item = name.trim_start_matches("item-");
        let ran = runs.keys().any(|key| key.ends_with(&format!("-{item}")));
        match code.as_str() {
            "" => assert!(ran, "{name} succeeded without running"),
            "outcome_unknown" => {}
            other => panic!("{name} ended as {other}"),
        }
    }
    let succeeded = outcomes.values().filter(|code| code.is_empty()).count();
    assert!(succeeded >= 200, "only {succeeded} charges succeeded");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_shutdown_interrupts_no_charge() {
    let mut fleet = FleetFixture::with_text(3, &charge_document()).await;
    let ledger = fleet.start_service("ledger-1", "rent-ledger").await;
    ledger.control().set_faults(FaultPlan {
        delay: Some(Duration::from_millis(20)),
        ..FaultPlan::default()
    });
    let key = fleet.grant_key(0, "rent-desk").await;
    let caller = BatchCaller::new(&fleet, 1, &key);
    caller.wait_until_known().await;
    let job = caller.submit("rent", &items(200, CHARGES, charge)).await;
    eventually("charges run", || async { ledger.runs().len() > 20 }).await;
    fleet.take_host(0).shutdown().await;
    fleet.start_host(0).await;
    fleet.wait_ready(0).await;
    caller.wait_completed(&job).await;
    let outcomes = caller.outcomes(&job).await;
    assert_eq!(outcomes.len(), 200);
    assert!(outcomes.values().all(String::is_empty), "{outcomes:?}");
    assert!(ledger.runs().values().all(|count| *count == 1));
}

/// Guards against the text of a streamed item that its server ended in order, but early, and
/// that counts as the whole output.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_item_without_its_end_marker_runs_again() {
    let fleet = FleetFixture::with_document(1).await;
    let engine = fleet.start_engine("engine-1", "zone-a").await;
    engine.control().set_faults(FaultPlan {
        truncates_after: Some(3),
        ..FaultPlan::default()
    });
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let streamed = items(4, "/v1/chat/completions", |_| chat_body(12, true));
    let job = caller.submit("lot", &streamed).await;
    eventually("all items ran", || async { engine.counters().started >= 4 }).await;
    engine.control().set_faults(FaultPlan::default());
    caller.wait_completed(&job).await;
    for line in caller.results(&job).await {
        assert!(line.to_string().contains("[DONE]"), "{line}");
    }
}
