//! Tests of an engine without injected faults: responses, slots, disconnects and the stop.

use crate::support::{TestClient, fast_engine, stream_text};
use chicoryladder_standin::{EngineServer, answer_text};
use hyper::Method;
use std::time::Duration;

#[tokio::test]
async fn complete_chat_response_repeats_prompt_and_request_id() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let response = client
        .chat(engine.address(), "id-1", "walk the dog", 5, false)
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-request-id"], "id-1");
    assert!(response.headers().contains_key("chicoryladder-load"));
    let value: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    let content = &value["choices"][0]["message"]["content"];
    assert_eq!(content, "walk the dog walk the");
    assert_eq!(value["usage"]["completion_tokens"], 5);
    assert_eq!(engine.counters().completed, 1);
}

#[tokio::test]
async fn streamed_chat_response_ends_with_end_marker() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let response = client
        .chat(engine.address(), "id-2", "a b c", 7, true)
        .await
        .unwrap();
    let (text, ended) = stream_text(response.body());
    assert!(ended);
    assert_eq!(text, answer_text("a b c", 7));
}

#[tokio::test]
async fn text_completion_is_served() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let body = r#"{"model":"m","prompt":"one two","max_tokens":2}"#;
    let path = "/v1/completions";
    let response = client
        .send(Method::POST, engine.address(), path, &[], body)
        .await
        .unwrap();
    let value: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(value["choices"][0]["text"], "one two");
}

#[tokio::test]
async fn malformed_body_is_refused() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let path = "/v1/completions";
    let response = client
        .send(Method::POST, engine.address(), path, &[], "{")
        .await
        .unwrap();
    assert_eq!(response.status(), 400);
    assert_eq!(engine.counters().started, 0);
}

#[tokio::test]
async fn sequences_beyond_the_slots_wait_and_complete() {
    let mut options = fast_engine("e");
    options.slots = 2;
    options.timing.decode_step = Duration::from_millis(1);
    let engine = EngineServer::start(options).await.unwrap();
    let client = TestClient::new();
    let responses = (0..8).map(|_| client.chat(engine.address(), "x", "p", 4, false));
    let responses = futures_util::future::join_all(responses).await;
    assert!(responses.iter().all(Result::is_ok));
    let counters = engine.counters();
    assert_eq!((counters.started, counters.completed), (8, 8));
    assert_eq!(counters.output_tokens, 32);
}

#[tokio::test]
async fn disconnect_frees_the_slot() {
    let mut options = fast_engine("e");
    options.slots = 1;
    options.timing.decode_step = Duration::from_millis(1);
    let engine = EngineServer::start(options).await.unwrap();
    let client = TestClient::new();
    let endless = client.chat(engine.address(), "x", "p", u32::MAX, true);
    let disconnect_after = Duration::from_millis(50);
    assert!(
        tokio::time::timeout(disconnect_after, endless)
            .await
            .is_err()
    );
    drop(client);
    let response = TestClient::new()
        .chat(engine.address(), "y", "p", 1, false)
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(engine.counters().cancelled, 1);
}

#[tokio::test]
async fn stop_waits_for_running_requests() {
    let mut options = fast_engine("e");
    options.timing.decode_step = Duration::from_millis(2);
    let engine = EngineServer::start(options).await.unwrap();
    let address = engine.address();
    let response = tokio::spawn(async move {
        let client = TestClient::new();
        client.chat(address, "x", "p", 20, false).await
    });
    while engine.counters().started == 0 {
        tokio::task::yield_now().await;
    }
    engine.stop(Duration::from_secs(10)).await;
    let response = response.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
}
