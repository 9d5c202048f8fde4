//! Sound servers that fall silent for a while, and plans that change meanwhile.

use crate::client::{Answer, Call};
use crate::servers::{LIMITED_PATH, OTHER_ENGINE_SERVICE, Server, event_data, stream_text};
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::task::JoinHandle;

/// A silence that exceeds the gap after which a stream may go on at another server: three gap
/// targets of half a second.
const SILENCE: Duration = Duration::from_millis(2_200);

/// The time after which a stream has brought events, and has many more to bring.
const BEGIN_TIME: Duration = Duration::from_millis(400);

/// The number of events of a stream of 1.2 s.
const EVENTS: u64 = 80;

fn engines(fleet: &ProcessFleet) -> Vec<Server> {
    let servers = fleet.servers.iter();
    let engines = servers.filter(|server| server.name.starts_with("engine"));
    engines.cloned().collect()
}

/// Begins a stream on a resumable route.
fn begin_stream(fleet: &ProcessFleet, id: &str) -> JoinHandle<Option<Answer>> {
    let entry = &fleet.host_names(Role::Entry)[0];
    let call = fleet.caller_request(entry, &format!("/rules/{EVENTS}"), id);
    tokio::spawn(async move { call.send().await })
}

async fn finish(stream: JoinHandle<Option<Answer>>) -> Answer {
    stream.await.expect("no panic").expect("an answer")
}

/// Begins a stream, applies a changed plan while the server that runs it is silent, and returns
/// the answer.
async fn change_plan_under_silence(
    fleet: &mut ProcessFleet,
    id: &str,
    change: impl FnOnce(&mut Value),
) -> Answer {
    let stream = begin_stream(fleet, id);
    tokio::time::sleep(BEGIN_TIME).await;
    let running = fleet.runs.runs_of(id)[0].server.clone();
    let server = fleet.servers.iter().find(|server| server.name == running);
    server.expect("a server").pause_for(SILENCE);
    let mut plan = fleet.next_plan_with_engines();
    change(&mut plan);
    fleet.apply_plan(&plan).await;
    finish(stream).await
}

fn route<'a>(plan: &'a mut Value, name: &str) -> &'a mut Value {
    let routes = plan["routes"].as_array_mut().expect("a list").iter_mut();
    let mut named = routes.filter(|route| route["name"] == name);
    named.next().expect("a route")
}

/// Guards against streams that are cut although their servers are only silent for a while and no
/// other one could go on with them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_cut_while_all_servers_are_silent() {
    let fleet = ProcessFleet::start().await;
    let streams: Vec<_> = (0..6)
        .map(|number| begin_stream(&fleet, &format!("hushed-{number}")))
        .collect();
    tokio::time::sleep(BEGIN_TIME).await;
    for server in engines(&fleet) {
        server.pause_for(SILENCE);
    }
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = finish(stream).await;
        assert!(answer.complete, "stream {number}: {answer:?}");
        let id = format!("hushed-{number}");
        assert_eq!(answer.text(), stream_text(&id, EVENTS));
    }
}

/// Guards against streams that are refused since their servers were silent before the first event,
/// although the servers go on in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_refused_while_all_servers_are_silent() {
    /// A silence that exceeds the time after which a request may go to another server: two
    /// latency targets of a second.
    const LONG_SILENCE: Duration = Duration::from_millis(3_200);
    let fleet = ProcessFleet::start().await;
    for server in engines(&fleet) {
        server.pause_for(LONG_SILENCE);
    }
    let streams: Vec<_> = (0..12)
        .map(|number| begin_stream(&fleet, &format!("waiting-{number}")))
        .collect();
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = finish(stream).await;
        assert!(answer.complete, "stream {number}: {answer:?}");
        let id = format!("waiting-{number}");
        assert_eq!(answer.text(), stream_text(&id, EVENTS));
    }
}

/// Guards against streams that wait to their end for a server that stays silent, although another
/// one answers again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_leaves_a_server_that_stays_silent_once_another_one_answers() {
    let fleet = ProcessFleet::start().await;
    let stream = begin_stream(&fleet, "left");
    tokio::time::sleep(BEGIN_TIME).await;
    let running = fleet.runs.runs_of("left")[0].server.clone();
    for server in engines(&fleet) {
        let stays_silent = server.name == running;
        server.pause_for(if stays_silent { SILENCE * 4 } else { SILENCE });
    }
    let answer = finish(stream).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("left", EVENTS));
    let runs = fleet.runs.runs_of("left");
    assert_eq!(runs.len(), 2, "{runs:?}");
}

/// Guards against streams that are cut since their server is lost, although others answer again:
/// no more of them was searched for after the first searches had found none.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_a_server_that_answers_after_many_searches() {
    /// The time for six searches, which find no server that answers.
    const LONG_SILENCE: Duration = Duration::from_millis(4_500);
    let mut fleet = ProcessFleet::start().await;
    let mut plan = fleet.next_plan(&["k1"]);
    route(&mut plan, "rules")["timeout-ms"] = json!(9_000);
    fleet.apply_plan(&plan).await;
    tokio::time::sleep(BEGIN_TIME).await;
    let entry = &fleet.host_names(Role::Entry)[0];
    let path = format!("/rules/{EVENTS}");
    let call = Call::new(fleet.callers_address(entry), Method::POST, &path)
        .field("x-request-id", "sought")
        .field("x-deadline-ms", "9000")
        .key("k1");
    let stream = tokio::spawn(async move { call.send().await });
    tokio::time::sleep(BEGIN_TIME).await;
    let running = fleet.runs.runs_of("sought")[0].server.clone();
    for server in engines(&fleet) {
        let is_lost = server.name == running;
        server.pause_for(LONG_SILENCE * if is_lost { 4 } else { 1 });
    }
    let answer = finish(stream).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("sought", EVENTS));
}

/// Guards against streams that go on at the service to which their route has moved since, so that
/// callers get pieces of two runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_stays_at_the_service_that_began_it() {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_other_engines(3).await;
    let move_route = |plan: &mut Value| {
        route(plan, "rules")["service"] = json!(OTHER_ENGINE_SERVICE);
    };
    let answer = change_plan_under_silence(&mut fleet, "moved", move_route).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("moved", EVENTS));
}

/// Guards against streams that are cut since their route has left the plan while they looked for
/// another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_outlives_its_route() {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_other_engines(1).await;
    let remove_route = |plan: &mut Value| {
        let routes = plan["routes"].as_array_mut().expect("a list");
        routes.retain(|route| route["name"] != "rules");
    };
    let answer = change_plan_under_silence(&mut fleet, "removed", remove_route).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text(), stream_text("removed", EVENTS));
}

/// Guards against items whose text is joined from runs or that are lost while servers fall silent
/// again and again and the plan changes.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_whole_after_silences_and_changes_of_the_plan() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..40).map(|number| format!("item-{number}")).collect();
    let answer = fleet.submit(&entry, "hushed-job", &ids, EVENTS).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    for _ in 0..3 {
        let plan = fleet.next_plan(&["k1"]);
        fleet.apply_plan(&plan).await;
        for server in engines(&fleet) {
            server.pause_for(SILENCE);
        }
        tokio::time::sleep(SILENCE + BEGIN_TIME).await;
    }
    let text = |id: &String| {
        let events = (0..EVENTS).map(|number| event_data(id, number));
        events.collect::<Vec<_>>().join("\n")
    };
    let mut expected: Vec<_> = ids.iter().map(|id| (id.clone(), text(id))).collect();
    expected.sort();
    fleet
        .wait_until("all items are whole", || async {
            let results = fleet.read_results(&entry, "hushed-job").await;
            results.is_some_and(|mut results| {
                results.sort();
                results == expected
            })
        })
        .await;
}

/// Sends requests one after another for streams that need more time than they have, and whose
/// servers end them in order at their time limit.
async fn send_limited_streams(fleet: &ProcessFleet, route: &str, count: usize) -> Vec<Answer> {
    let entry = &fleet.host_names(Role::Entry)[0];
    let path = format!("/{route}/{EVENTS}{LIMITED_PATH}");
    let mut answers = Vec::new();
    for number in 0..count {
        let call = Call::new(fleet.callers_address(entry), Method::POST, &path)
            .field("x-request-id", &format!("limited-{number}"))
            .field("x-deadline-ms", "200")
            .key("k1");
        answers.push(call.send().await.expect("an answer"));
    }
    answers
}

/// Guards against streams that end as complete where their server stopped at its time limit just
/// before the timer of the entry host.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_server_ends_at_the_time_limit_is_not_complete() {
    let fleet = ProcessFleet::start().await;
    let answers = send_limited_streams(&fleet, "walk", 40).await;
    let mut streams = answers.iter().filter(|answer| answer.status.is_success());
    assert!(streams.all(|answer| !answer.complete), "{answers:?}");
}

/// Guards against sound servers that get no more work since callers' time ran out while they
/// wrote streams.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_outlast_their_time_say_nothing_against_their_servers() {
    let fleet = ProcessFleet::start().await;
    let answers = send_limited_streams(&fleet, "walk", 40).await;
    for (number, answer) in answers.iter().enumerate() {
        assert!(answer.status.is_success(), "stream {number}: {answer:?}");
    }
}

/// Guards against streams that end as complete at their server's time limit on routes whose
/// responses are read to their end before they are passed on.
#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_stream_that_its_server_ends_at_the_time_limit_is_not_complete() {
    let mut fleet = ProcessFleet::start().await;
    let mut plan = fleet.next_plan(&["k1"]);
    route(&mut plan, "walk")["type"] = json!("idempotent");
    fleet.apply_plan(&plan).await;
    for answer in send_limited_streams(&fleet, "walk", 20).await {
        assert!(
            !answer.status.is_success() || !answer.complete,
            "{answer:?}"
        );
    }
}
