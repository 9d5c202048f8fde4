//! Drains of availability zones by operators, over whole fleets: what servers receive, what
//! callers and operators see, and that an order survives a restart of every host.

use crate::batch::caller::{BatchCaller, chat_items};
use crate::fixture::{
    DOCUMENT, FleetFixture, GrantedKey, HttpAnswer, HttpRequest, ScriptedResponse, ScriptedServer,
    chat_body, eventually, send,
};
use chicoryladder_standin::EngineHandle;
use futures_util::FutureExt;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Three voters and a host without a disk.
const HOSTS: usize = 4;

/// The time after the acknowledgement of a drain within which hosts may still send to servers
/// of the zone.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// The time within which a request is refused at once, also on a busy machine. One that waits
/// has four times the answer target of its class, 80 s.
const REFUSAL_TIME: Duration = Duration::from_secs(10);

async fn order(fleet: &FleetFixture, host: usize, zone: &str, drained: bool) -> HttpAnswer {
    let body = json!({ "drained": drained });
    fleet
        .admin(host, "PUT", &format!("zones/{zone}"), &body)
        .await
}

/// Repeats an order until it is acknowledged.
async fn order_until_acknowledged(fleet: &FleetFixture, host: usize, zone: &str, drained: bool) {
    let acknowledged = || async {
        let answer = order(fleet, host, zone, drained).await;
        assert!(
            [200, 503].contains(&answer.status.as_u16()),
            "{}",
            answer.text()
        );
        answer.status == 200
    };
    eventually("the order is acknowledged", acknowledged).await;
}

/// The entry of a zone in the list of a host.
async fn entry(fleet: &FleetFixture, host: usize, zone: &str) -> Value {
    let listed = fleet.admin(host, "GET", "zones", &json!({})).await.json();
    let zones = listed["zones"].as_array().expect("a list").clone();
    let mut entries = zones.into_iter().filter(|entry| entry["zone"] == zone);
    entries.next().expect("the zone is listed")
}

async fn chat(fleet: &FleetFixture, host: usize, key: &GrantedKey) -> HttpAnswer {
    let path = "/v1/chat/completions";
    let request = HttpRequest::post(fleet.ports(host).callers, path, chat_body(2, false));
    send(request.with_key(&key.text)).await.expect("a response")
}

/// Sends requests to all hosts until each of them serves some.
async fn wait_until_served(fleet: &FleetFixture, key: &GrantedKey) {
    for host in 0..HOSTS {
        let served = || async { chat(fleet, host, key).await.status == 200 };
        eventually("the host serves requests", served).await;
    }
}

fn received(engine: &EngineHandle) -> u64 {
    engine.counters().received
}

/// Guards against requests and items that reach a drained zone, against orders that are lost
/// with a restart of every host, against requests that wait or fail as run while all zones are
/// drained, and against a zone that stays out of use after the withdrawal.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_gets_nothing_until_the_drain_is_withdrawn() {
    let mut fleet = FleetFixture::with_document(HOSTS).await;
    let in_a = fleet.start_engine("engine-a", "zone-a").await;
    let in_b = fleet.start_engine("engine-b", "zone-b").await;
    let key = fleet.grant_key(0, "curepipe").await;
    wait_until_served(&fleet, &key).await;
    // Hosts of zone-a prefer the engine there.
    assert!(received(&in_a) > 0);
    let caller = BatchCaller::new(&fleet, 1, &key);
    let job = caller.submit("lot", &chat_items(400, 20)).await;

    let unknown = || async {
        let answer = order(&fleet, 3, "zone-x", true).await;
        answer.reason() == Some("unknown_zone")
            && answer.status == 404
            && answer.text().contains("zone-a, zone-b, zone-c")
    };
    eventually("an unknown zone is refused with those that exist", unknown).await;
    order_until_acknowledged(&fleet, 3, "zone-a", true).await;
    tokio::time::sleep(EVACUATION_TIME).await;
    let at_most = received(&in_a);
    for _ in 0..10 {
        wait_until_served(&fleet, &key).await;
    }
    let later = caller.submit("later-lot", &chat_items(50, 20)).await;
    for job in [job, later] {
        caller.wait_completed(&job).await;
        let results = caller.outcomes(&job).await;
        assert!(results.values().all(String::is_empty), "{results:?}");
    }
    assert_eq!(received(&in_a), at_most);

    let listed = entry(&fleet, 0, "zone-a").await;
    assert_eq!(listed["drained"], true);
    let asked_by = listed["asked_by"].as_str().expect("an address");
    assert!(asked_by.starts_with("127.0.0.1:"), "{asked_by}");
    assert!(listed["since_ms"].as_u64() > Some(1_600_000_000_000));
    assert_eq!(entry(&fleet, 0, "zone-b").await["drained"], false);

    order_until_acknowledged(&fleet, 0, "zone-b", true).await;
    for host in 0..HOSTS {
        let refused = || async { chat(&fleet, host, &key).await.reason() == Some("no_server") };
        eventually("the host has applied the drain", refused).await;
        let began = Instant::now();
        let answer = chat(&fleet, host, &key).await;
        assert!(began.elapsed() < REFUSAL_TIME, "{:?}", began.elapsed());
        assert_eq!(answer.status, 503);
        assert_eq!(answer.verdict(), Some("not-run"));
        assert!(answer.field("retry-after").is_some());
    }

    let before = (received(&in_a), received(&in_b));
    for host in 0..HOSTS {
        fleet.kill_host(host).await;
    }
    for host in 0..HOSTS {
        fleet.start_host(host).await;
    }
    for host in 0..HOSTS {
        fleet.wait_ready(host).await;
        let refused = || async {
            let answer = chat(&fleet, host, &key).await;
            answer.text().contains("are in drained zones")
        };
        eventually("the host knows the drains and the servers", refused).await;
    }
    assert_eq!((received(&in_a), received(&in_b)), before);

    for zone in ["zone-a", "zone-b"] {
        order_until_acknowledged(&fleet, 2, zone, false).await;
        order_until_acknowledged(&fleet, 2, zone, false).await;
    }
    wait_until_served(&fleet, &key).await;
    let used = || async {
        wait_until_served(&fleet, &key).await;
        received(&in_a) > before.0
    };
    eventually("the zone is used again", used).await;
    assert_eq!(entry(&fleet, 1, "zone-a").await["since_ms"], Value::Null);
}

/// Guards against a request that is sent once more to its silent server after the zone of that
/// server was drained.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_again_to_a_silent_server_that_is_drained_meanwhile() {
    // The request has 4 s, and is sent again after a third of them.
    let document = DOCUMENT
        .replace("first_token_ms = 500", "first_token_ms = 400")
        .replace("answer_ms = 2000", "answer_ms = 1000");
    let fleet = FleetFixture::with_text(1, &document).await;
    let received = Arc::new(AtomicUsize::new(0));
    let counted = received.clone();
    let server = ScriptedServer::start(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        ScriptedResponse {
            silence: std::future::pending().boxed(),
            ..(true, String::new()).into()
        }
    });
    let server = server.await;
    fleet
        .announce_service(&server, "rules-1", "park-rules")
        .await;
    let callers = fleet.ports(0).callers;
    let begin = || {
        received.store(0, Ordering::Relaxed);
        let request = HttpRequest::get(callers, "/services/park-rules/curepipe");
        tokio::spawn(send(request))
    };
    let is_sent = || async { received.load(Ordering::Relaxed) > 0 };
    let request = begin();
    let answer = request.await.expect("no panic").expect("a response");
    assert_eq!(answer.status, 504, "{}", answer.text());
    assert_eq!(received.load(Ordering::Relaxed), 2);
    for _ in 0..10 {
        let request = begin();
        eventually("the server has the request", is_sent).await;
        order_until_acknowledged(&fleet, 0, "zone-a", true).await;
        // On a busy machine, the order may be acknowledged only after the second time.
        let is_in_time = received.load(Ordering::Relaxed) == 1;
        let answer = request.await.expect("no panic").expect("a response");
        assert_eq!(answer.status, 504, "{}", answer.text());
        if is_in_time {
            assert_eq!(received.load(Ordering::Relaxed), 1);
            return;
        }
        order_until_acknowledged(&fleet, 0, "zone-a", false).await;
    }
    panic!("no order was acknowledged in time");
}
