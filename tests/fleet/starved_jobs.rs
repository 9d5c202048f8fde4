//! Jobs behind others of a higher rank that can't run now.

use crate::servers::OTHER_ENGINE_SERVICE;
use crate::world::{ProcessFleet, Role};
use serde_json::{Value, json};

/// More items than slots are requested for at a time.
const STUCK: usize = 14;

/// The events of an item that runs.
const EVENTS: u64 = 3;

/// Adds a route for jobs that go before those of the route `digest`.
async fn add_urgent_route(fleet: &mut ProcessFleet, service: &str) {
    let mut plan = fleet.next_plan_with_engines();
    let routes = plan["routes"].as_array_mut().expect("a list");
    let digest = routes.iter_mut().find(|route| route["name"] == "digest");
    let digest = digest.expect("a route");
    digest["priority"] = json!(1);
    let mut urgent = digest.clone();
    urgent["name"] = json!("letters");
    urgent["path-prefix"] = json!("/letters/");
    urgent["priority"] = json!(0);
    urgent["service"] = json!(service);
    routes.push(urgent);
    fleet.apply_plan(&plan).await;
}

/// Submits urgent items that can't run and others, and waits until the others are complete.
async fn complete_behind(fleet: &ProcessFleet, tokens: u64) {
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..STUCK).map(|number| format!("stuck-{number}")).collect();
    let body = ProcessFleet::items_body(&ids, &format!("/letters/{EVENTS}"));
    let mut body: Value = serde_json::from_str(&body).expect("it is JSON");
    for item in body["requests"].as_array_mut().expect("a list") {
        item["token-count"] = json!(tokens);
        item["headers"] = json!({"x-token-usage": format!("{tokens},0")});
    }
    let accepted = || async {
        let body = body.to_string();
        let answer = fleet
            .submit_body(&entry, "/letters/submit", "stuck", body)
            .await;
        answer.is_some_and(|answer| answer.status.as_u16() == 202)
    };
    fleet
        .wait_until("the urgent job is accepted", accepted)
        .await;
    let ids: Vec<String> = (0..8).map(|number| format!("sound-{number}")).collect();
    let answer = fleet.submit(&entry, "sound", &ids, EVENTS).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    let is_complete = || async {
        let results = fleet.read_results(&entry, "sound").await;
        results.is_some_and(|results| results.len() == ids.len())
    };
    fleet
        .wait_until("the other job is complete", is_complete)
        .await;
    let results = fleet.read_results(&entry, "stuck").await;
    assert_eq!(results.map(|results| results.len()), Some(0));
}

/// Guards against jobs that are never run although the servers of their service are idle, as
/// items of a service without servers go before theirs.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_beside_those_of_a_service_without_servers() {
    let mut fleet = ProcessFleet::start().await;
    add_urgent_route(&mut fleet, OTHER_ENGINE_SERVICE).await;
    complete_behind(&fleet, 100).await;
}

/// Guards against jobs that are never run although the servers of their service are idle, as
/// items that no memory holds go before theirs.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_beside_items_that_no_memory_holds() {
    let mut fleet = ProcessFleet::start().await;
    add_urgent_route(&mut fleet, "engine").await;
    complete_behind(&fleet, 100_001).await;
}
