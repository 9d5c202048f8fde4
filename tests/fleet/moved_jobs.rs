//! Jobs whose route moves to another service before all items have run.

use crate::servers::{OTHER_ENGINE_SERVICE, event_data};
use crate::world::{ProcessFleet, Role};
use serde_json::json;
use std::time::Duration;

/// More items than the engines run at once.
const ITEMS: usize = 90;

/// The number of events of an item of 1.2 s.
const EVENTS: u64 = 80;

/// The time after which some items have run, some run, and some wait.
const BEGIN_TIME: Duration = Duration::from_millis(600);

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
