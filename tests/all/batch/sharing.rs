//! Batch work beside online requests.

use super::caller::{BatchCaller, chat_items};
use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, send};
use std::net::SocketAddr;

const CHAT: &str = "/v1/chat/completions";

/// Fills an engine of two slots with batch work dispatched by host 0, then sends
/// two online requests at once to a host.
async fn online_burst_beside_batch(host: usize) {
    let fleet = FleetFixture::with_document(2).await;
    let engine = fleet.start_engine_with_slots("engine-1", "zone-a", 2).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    BatchCaller::new(&fleet, host, &key)
        .wait_until_known()
        .await;
    let job = caller.submit("lot", &chat_items(2, 5_000)).await;
    eventually("batch runs", || async { engine.counters().started > 0 }).await;
    assert_eq!(engine.load().running, 1, "one slot stays free");
    let address = fleet.ports(host).callers;
    let reported = || async { knows_load(&fleet, host).await };
    eventually("the host knows the load", reported).await;
    let online = || ask(address, &key.text);
    let (first, second) = tokio::join!(online(), online());
    assert_eq!((first, second), (200, 200));
    // The batch item gave up its slot to the second request.
    let counters = engine.counters();
    assert_eq!(counters.cancelled, 1, "{counters:?}");
    // It runs again once the slot is idle, until the job is cancelled.
    eventually("batch runs again", || async {
        engine.counters().started > 3
    })
    .await;
    assert_eq!(caller.cancel(&job).await["request_counts"]["cancelled"], 2);
}

async fn ask(address: SocketAddr, key: &str) -> u16 {
    let request = HttpRequest::post(address, CHAT, chat_body(60, false)).with_key(key);
    send(request).await.unwrap().status.as_u16()
}

/// Whether a host has heard of the batch item, of which it runs none itself.
async fn knows_load(fleet: &FleetFixture, host: usize) -> bool {
    if host == 0 {
        return true;
    }
    let servers = fleet.admin(host, "GET", "servers", &serde_json::json!(null));
    let servers = servers.await.json();
    servers.to_string().contains("\"occupied\":1")
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_yields_to_online_requests_of_the_same_host() {
    online_burst_beside_batch(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn batch_yields_to_online_requests_of_another_host() {
    online_burst_beside_batch(1).await;
}
