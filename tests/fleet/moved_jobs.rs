//! Jobs whose route moves to another service before all items have run.

use crate::servers::{OTHER_ENGINE_SERVICE, event_data};
use crate::world::{ProcessFleet, Role};
use serde_json::{Value, json};
use std::time::Duration;

/// More items than the engines run at once.
const ITEMS: usize = 90;

/// The number of events of an item of 1.2 s.
const EVENTS: u64 = 80;

/// The time after which some items have run, some run, and some wait.
const BEGIN_TIME: Duration = Duration::from_millis(600);

/// The time for which an entry host stands still after a plan is acknowledged. Its view of the
/// keys is still trusted afterwards.
const FREEZE_TIME: Duration = Duration::from_millis(2_050);

fn item_text(id: &str) -> String {
    let events = (0..EVENTS).map(|number| event_data(id, number));
    events.collect::<Vec<_>>().join("\n")
}

/// Guards against items that are never run since their route has moved to another service and
/// the servers of the one before have left.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_moved_route_are_run_when_the_servers_before_have_left() {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_other_engines(3).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..ITEMS).map(|number| format!("item-{number}")).collect();
    let answer = fleet.submit(&entry, "moved-job", &ids, EVENTS).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    tokio::time::sleep(BEGIN_TIME).await;
    let mut plan = fleet.next_plan_with_engines();
    for route in plan["routes"].as_array_mut().expect("a list") {
        if route["name"] == "digest" {
            route["service"] = json!(OTHER_ENGINE_SERVICE);
        }
    }
    fleet.apply_plan(&plan).await;
    let engines = fleet.servers.iter();
    for engine in engines.filter(|server| server.name.starts_with("engine")) {
        engine.start_leaving();
    }
    fleet
        .wait_until("all items are whole, each from one service", || async {
            let results = fleet.read_results(&entry, "moved-job").await;
            results.is_some_and(|results| results.len() == ITEMS)
        })
        .await;
    let results = fleet.read_results(&entry, "moved-job").await;
    for (id, text) in results.expect("results") {
        let other = item_text(&format!("{id}-{OTHER_ENGINE_SERVICE}"));
        assert!(text == item_text(&id) || text == other, "{id}: {text}");
    }
}

/// Has an entry host stand still while the route of jobs changes, and submits a job there just
/// before it goes on.
async fn submit_after_freeze(
    fleet: &mut ProcessFleet,
    job: &str,
    ids: &[String],
    change: impl FnOnce(&mut Vec<Value>),
) -> Option<u16> {
    let entry = fleet.host_names(Role::Entry)[1].clone();
    fleet.send_signal(&entry, "STOP");
    let mut plan = fleet.next_plan_with_engines();
    change(plan["routes"].as_array_mut().expect("a list"));
    fleet.apply_plan(&plan).await;
    tokio::time::sleep(FREEZE_TIME).await;
    let (answer, ()) = tokio::join!(fleet.submit(&entry, job, ids, EVENTS), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.send_signal(&entry, "CONT");
    });
    answer.map(|answer| answer.status.as_u16())
}

/// Guards against a job that is accepted by a plan that an entry host held while it stood still:
/// its items ran at the service that the route had left, or by a route that had been dropped.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_by_the_plan_in_force() {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_other_engines(3).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..8).map(|number| format!("frozen-{number}")).collect();
    let status = submit_after_freeze(&mut fleet, "moved", &ids, |routes| {
        let digest = routes.iter_mut().find(|route| route["name"] == "digest");
        digest.expect("a route")["service"] = json!(OTHER_ENGINE_SERVICE);
    });
    assert_eq!(status.await, Some(202));
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(&entry, "moved").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
    let results = fleet.read_results(&entry, "moved").await;
    for (id, text) in results.expect("results") {
        assert_eq!(
            text,
            item_text(&format!("{id}-{OTHER_ENGINE_SERVICE}")),
            "{id}"
        );
    }
    let status = submit_after_freeze(&mut fleet, "dropped", &ids, |routes| {
        routes.retain(|route| route["name"] != "digest");
    });
    assert_eq!(status.await, Some(404));
}
