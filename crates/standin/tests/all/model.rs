//! Tests of the prefix cache, resumed and cancelled streams, and orders.

use crate::support::{TestClient, fast_engine, plain_service, stream_text};
use chicoryladder_standin::{EngineHandle, EngineServer, EventOptions, PlainServer, answer_text};
use chicoryladder_types::CacheReport;
use hyper::Method;
use std::time::Duration;

const LONG_PROMPT_BYTES: usize = 640;

async fn send_order(engine: &EngineHandle, fencing: &str, body: &str) -> u16 {
    let headers = [("chicoryladder-fencing", fencing)];
    let response = TestClient::new()
        .send(Method::POST, engine.address(), "/orders", &headers, body)
        .await
        .unwrap();
    response.status().as_u16()
}

#[tokio::test]
async fn repeated_prefix_is_found_in_the_cache() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let prompt = "x".repeat(LONG_PROMPT_BYTES);
    for _ in 0..2 {
        let response = client.chat(engine.address(), "i", &prompt, 1, false).await;
        assert!(response.is_ok());
    }
    let counters = engine.counters();
    assert_eq!(counters.prompt_tokens, 320);
    assert_eq!(counters.cached_tokens, 160);
}

#[tokio::test]
async fn small_cache_evicts_and_its_events_are_delayed_and_dropped() {
    let host = PlainServer::start(plain_service("h")).await.unwrap();
    let mut options = fast_engine("e");
    options.cache_blocks = 10;
    options.entry_hosts = vec![host.address()];
    options.events = Some(EventOptions {
        delay: Duration::from_millis(20),
        drop_interval: 4,
    });
    let engine = EngineServer::start(options).await.unwrap();
    let client = TestClient::new();
    for letter in ["x", "y"] {
        let prompt = letter.repeat(LONG_PROMPT_BYTES);
        let response = client.chat(engine.address(), "i", &prompt, 1, false).await;
        assert!(response.is_ok());
    }
    assert_eq!(engine.counters().cached_tokens, 0);
    // 20 events of stored and 10 of evicted blocks; numbers 4, 8, ... 28 are dropped.
    let expected: Vec<u64> = (1..=30).filter(|number| number % 4 != 0).collect();
    let all_received = async {
        loop {
            let received = host.received();
            let numbers: Vec<u64> = received
                .iter()
                .filter(|request| request.path == "/servers/v1/cache-events")
                .flat_map(|request| {
                    let report: CacheReport = serde_json::from_slice(&request.body).unwrap();
                    report.events.into_iter().map(|event| event.number)
                })
                .collect();
            if numbers == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), all_received)
        .await
        .unwrap();
}

#[tokio::test]
async fn resumed_stream_continues_after_the_last_received_event() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let address = engine.address();
    client.chat(address, "s1", "a b c", 9, true).await.unwrap();
    let headers = [("last-event-id", "3")];
    let rest = client
        .send(Method::GET, address, "/v1/streams/s1", &headers, "")
        .await
        .unwrap();
    let (text, ended) = stream_text(rest.body());
    assert!(ended);
    assert_eq!(answer_text("a b c", 4) + &text, answer_text("a b c", 9));
}

#[tokio::test]
async fn stream_cancelled_by_id_ends_without_end_marker() {
    let mut options = fast_engine("e");
    options.timing.decode_step = Duration::from_millis(1);
    let engine = EngineServer::start(options).await.unwrap();
    let address = engine.address();
    let endless = tokio::spawn(async move {
        let client = TestClient::new();
        client.chat(address, "s2", "p", u32::MAX, true).await
    });
    while engine.counters().started == 0 {
        tokio::task::yield_now().await;
    }
    let path = "/v1/streams/s2";
    let cancelled = TestClient::new()
        .send(Method::DELETE, address, path, &[], "")
        .await;
    assert_eq!(cancelled.unwrap().status(), 200);
    assert!(endless.await.unwrap().is_err());
    assert_eq!(engine.counters().cancelled, 1);
}

#[tokio::test]
async fn engine_that_checks_fencing_refuses_a_stale_number() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let load = r#"{"action":"load_model","model":"n"}"#;
    let unload = r#"{"action":"unload_model","model":"n"}"#;
    assert_eq!(send_order(&engine, "5", load).await, 200);
    assert_eq!(send_order(&engine, "4", unload).await, 409);
    assert_eq!(send_order(&engine, "", unload).await, 400);
    let state = TestClient::new()
        .send(Method::GET, engine.address(), "/orders", &[], "")
        .await
        .unwrap();
    let state: serde_json::Value = serde_json::from_slice(state.body()).unwrap();
    assert_eq!(state["fencing"], 5);
    assert_eq!(state["models"], serde_json::json!(["m", "n"]));
}

#[tokio::test]
async fn engine_without_fencing_check_executes_an_order_with_a_stale_number() {
    let mut options = fast_engine("e");
    options.checks_fencing = false;
    let engine = EngineServer::start(options).await.unwrap();
    let role = r#"{"action":"set_role","role":"prefill"}"#;
    assert_eq!(send_order(&engine, "5", role).await, 200);
    assert_eq!(send_order(&engine, "4", role).await, 200);
}
