//! Items of jobs whose answers take a minute.

use crate::servers::{Run, event_data};
use crate::world::{ProcessFleet, Role};
use serde_json::json;
use std::time::{Duration, Instant};

/// The events of an item of 60 s or more: servers write one every 15 ms at most.
const EVENTS: u64 = 4_000;

/// The events of an item of 90 s or more, so that a run reaches its limit of 60 s even if one before
/// it was interrupted.
const LONGER_EVENTS: u64 = 6_000;

/// The shortest time in which a server writes an event.
const EVENT_TIME: Duration = Duration::from_millis(15);

/// The times, after the item has begun, at which its dispatcher is killed and stopped.
const KILL_AFTER: Duration = Duration::from_secs(20);
const STOP_AFTER: Duration = Duration::from_secs(40);

/// The time for which the killed dispatcher is down.
const DOWN_TIME: Duration = Duration::from_millis(200);

/// The time within which the item has to end, also where the disk of the machine stalls and the
/// group of the dispatchers changes its leader again and again.
const END_TIMEOUT: Duration = Duration::from_secs(240);

/// Starts a fleet whose plan leaves jobs the time for items of a minute.
async fn start_fleet() -> ProcessFleet {
    let mut fleet = ProcessFleet::start().await;
    let mut plan = fleet.next_plan(&["k1"]);
    for route in plan["routes"].as_array_mut().expect("a list") {
        if route["name"] == "digest" {
            route["completion-target-ms"] = json!(300_000);
        }
    }
    fleet.apply_plan(&plan).await;
    fleet
}

/// Submits a job of one long item, and waits until it runs. Returns when it began.
async fn begin_item(fleet: &ProcessFleet, id: &str, events: u64) -> Instant {
    let entry = &fleet.host_names(Role::Entry)[0];
    let job = format!("job-{id}");
    let answer = fleet.submit(entry, &job, &[id.to_owned()], events).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    fleet
        .wait_until("the item runs", || async {
            !fleet.runs.runs_of(id).is_empty()
        })
        .await;
    fleet.runs.runs_of(id)[0].at
}

/// Waits until the item has a result, which has every event once, and returns its runs. Each run
/// has to go on where the one before ended, or where that was last recorded.
async fn wait_for_result(
    fleet: &ProcessFleet,
    (id, events): (&str, u64),
    begun_at: Instant,
) -> Vec<Run> {
    let entry = &fleet.host_names(Role::Entry)[0];
    let job = format!("job-{id}");
    let (results, runs) = loop {
        let results = fleet.read_results(entry, &job).await.unwrap_or_default();
        let runs = fleet.runs.runs_of(id);
        let begins_anew = runs[1..].iter().any(|run| run.last_event.is_none());
        assert!(!begins_anew, "{id} begins anew: {runs:#?}");
        if !results.is_empty() {
            break (results, runs);
        }
        let elapsed = begun_at.elapsed();
        assert!(elapsed < END_TIMEOUT, "{id} has no result: {runs:#?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    };
    let took = begun_at.elapsed();
    let from: Vec<Option<u64>> = runs.iter().map(|run| run.last_event).collect();
    println!("{id}: {took:?}, runs after the events {from:?}");
    let shortest = EVENT_TIME * u32::try_from(events).expect("it fits");
    assert!(took >= shortest, "{took:?}");
    let events = (0..events).map(|number| event_data(id, number));
    let expected = events.collect::<Vec<_>>().join("\n");
    assert!(
        results == [(id.to_owned(), expected)],
        "{id} lacks events or has some twice: {results:?}"
    );
    runs
}

/// Guards against a long item that is lost with its dispatcher, that begins anew at the next one,
/// or whose result lacks events or has some twice where one run ends and the next goes on.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes over a minute: cargo test --test fleet long_items -- --ignored"]
async fn a_long_item_goes_on_when_its_dispatcher_is_killed_and_stopped() {
    let mut fleet = start_fleet().await;
    let begun_at = begin_item(&fleet, "long", EVENTS).await;

    tokio::time::sleep_until((begun_at + KILL_AFTER).into()).await;
    let killed = fleet.wait_for_leader(Role::Store).await;
    let runs_before = fleet.runs.runs_of("long").len();
    fleet.kill(&killed);
    tokio::time::sleep(DOWN_TIME).await;
    fleet.start_process(&killed, false);
    fleet
        .wait_until("the item runs again", || async {
            fleet.runs.runs_of("long").len() > runs_before
        })
        .await;

    tokio::time::sleep_until((begun_at + STOP_AFTER).into()).await;
    let stopped = fleet.wait_for_leader(Role::Store).await;
    fleet.send_signal(&stopped, "TERM");
    fleet.wait_for_exit(&stopped).await;
    fleet.start_process(&stopped, false);

    let runs = wait_for_result(&fleet, ("long", EVENTS), begun_at).await;
    assert!(runs.len() >= 3, "the restarts end runs: {runs:#?}");
}

/// Guards against a long item that ends whole after the time that one run is given, and then
/// never has a result since each of its runs is taken for one that was cut off.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes over a minute: cargo test --test fleet long_items -- --ignored"]
async fn a_long_item_has_a_result_when_nothing_fails() {
    let fleet = start_fleet().await;
    let begun_at = begin_item(&fleet, "undisturbed", LONGER_EVENTS).await;
    wait_for_result(&fleet, ("undisturbed", LONGER_EVENTS), begun_at).await;
}
