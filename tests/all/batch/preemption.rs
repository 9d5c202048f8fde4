//! Online requests preempt batch items that occupy their slots.

use super::caller::{BatchCaller, chat_items};
use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, send};
use std::net::SocketAddr;

const CHAT: &str = "/v1/chat/completions";

/// Runs a batch item from host 0 on an engine with two slots, of which one is kept
/// free for online requests, then sends two concurrent online requests to `host`:
/// the second one preempts the item, which runs again afterwards.
async fn check_preemption_by_online_burst(host: usize) {
    let fleet = FleetFixture::with_document(2).await;
    let engine = fleet.start_engine_with_slots("engine-1", "zone-a", 2).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    BatchCaller::new(&fleet, host, &key)
        .wait_until_known()
        .await;
    let job = caller.submit("lot", &chat_items(2, 5_000)).await;
    eventually("batch runs", || async { engine.counters().started > 0 }).await;
    assert_eq!(engine.load().running, 1, "one slot is kept free");
    let address = fleet.ports(host).callers;
    let reported = || async { sees_batch_load(&fleet, host).await };
    eventually("the host has the reported load", reported).await;
    let online = || send_chat(address, &key.text);
    let (first, second) = tokio::join!(online(), online());
    assert_eq!((first, second), (200, 200));
    // The batch item was preempted by the second request.
    let counters = engine.counters();
    assert_eq!(counters.cancelled, 1, "{counters:?}");
    // The item is dispatched again when the slot is idle, until the job is cancelled.
    eventually("batch runs again", || async {
        engine.counters().started > 3
    })
    .await;
    assert_eq!(caller.cancel(&job).await["request_counts"]["cancelled"], 2);
}

async fn send_chat(address: SocketAddr, key: &str) -> u16 {
    let request = HttpRequest::post(address, CHAT, chat_body(60, false)).with_key(key);
    send(request).await.unwrap().status.as_u16()
}

/// Whether a host that did not dispatch the batch item sees the slot as occupied.
async fn sees_batch_load(fleet: &FleetFixture, host: usize) -> bool {
    if host == 0 {
        return true;
    }
    let servers = fleet.admin(host, "GET", "servers", &serde_json::json!(null));
    let servers = servers.await.json();
    servers.to_string().contains("\"occupied\":1")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_online_burst_preempts_batch_items_of_the_same_host() {
    check_preemption_by_online_burst(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_online_burst_preempts_batch_items_of_another_host() {
    check_preemption_by_online_burst(1).await;
}
