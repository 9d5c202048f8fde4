//! Tests of the faults that are injected into a running engine.

use crate::support::{TestClient, fast_engine, stream_text};
use chicoryladder_standin::{EngineServer, FaultPlan};
use std::time::Duration;

/// A request without a response for this time counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn crashed_engine_refuses_connections_until_recovery() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let client = TestClient::new();
    let address = engine.address();
    client.chat(address, "1", "p", 1, false).await.unwrap();
    engine.control().crash().await;
    assert!(client.chat(address, "2", "p", 1, false).await.is_err());
    engine.control().recover().await;
    let response = TestClient::new().chat(address, "3", "p", 1, false).await;
    assert_eq!(response.unwrap().status(), 200);
}

#[tokio::test]
async fn only_a_body_with_the_marker_crashes_the_engine() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    engine.control().set_faults(FaultPlan {
        crash_on: Some("poison".to_owned()),
        ..FaultPlan::default()
    });
    let client = TestClient::new();
    let address = engine.address();
    client.chat(address, "1", "sound", 1, false).await.unwrap();
    assert!(client.chat(address, "2", "poison", 1, false).await.is_err());
    assert!(client.chat(address, "3", "sound", 1, false).await.is_err());
    assert_eq!(engine.counters().crashes, 1);
}

#[tokio::test]
async fn stalled_open_connections_do_not_affect_new_ones() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let address = engine.address();
    let old = TestClient::new();
    old.chat(address, "1", "p", 1, false).await.unwrap();
    engine.control().stall_open_connections().await;
    let stalled = old.chat(address, "2", "p", 1, false);
    assert!(tokio::time::timeout(STALL_TIMEOUT, stalled).await.is_err());
    let response = TestClient::new().chat(address, "3", "p", 1, false).await;
    assert_eq!(response.unwrap().status(), 200);
}

#[tokio::test]
async fn stall_of_all_connections_lasts_until_recovery() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let address = engine.address();
    engine.control().stall_all_connections().await;
    let client = TestClient::new();
    let stalled = client.chat(address, "1", "p", 1, false);
    assert!(tokio::time::timeout(STALL_TIMEOUT, stalled).await.is_err());
    engine.control().recover().await;
    let response = TestClient::new().chat(address, "2", "p", 1, false).await;
    assert_eq!(response.unwrap().status(), 200);
}

#[tokio::test]
async fn mismatched_response_has_the_previous_request_id() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let address = engine.address();
    let client = TestClient::new();
    client.chat(address, "first", "p", 1, false).await.unwrap();
    engine.control().set_faults(FaultPlan {
        mismatches_response: true,
        ..FaultPlan::default()
    });
    let response = client.chat(address, "second", "q", 1, false).await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "first");
}

#[tokio::test]
async fn truncated_stream_has_no_end_marker() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    engine.control().set_faults(FaultPlan {
        truncates_after: Some(3),
        ..FaultPlan::default()
    });
    let client = TestClient::new();
    let streamed = client.chat(engine.address(), "1", "a b", 9, true).await;
    assert_eq!(
        stream_text(streamed.unwrap().body()),
        ("a b a".to_owned(), false)
    );
    let unstreamed = client.chat(engine.address(), "2", "a b", 9, false).await;
    assert!(unstreamed.is_err());
}

#[tokio::test]
async fn refusal_has_verdict_not_run_and_starts_no_sequence() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    engine.control().set_faults(FaultPlan {
        refuses: true,
        ..FaultPlan::default()
    });
    let client = TestClient::new();
    let response = client.chat(engine.address(), "1", "p", 1, false).await;
    let response = response.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(
        response.headers()["chicoryladder-server-verdict"],
        "not-run"
    );
    let counters = engine.counters();
    assert_eq!((counters.refused, counters.started), (1, 0));
}
