//! Requests end to end: from a caller through a host to a backend server and back.

use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, job_lines, send};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CHAT: &str = "/v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_key_is_served_by_every_host() {
    let fleet = FleetFixture::with_document(3).await;
    let engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(1, "curepipe").await;
    for host in 0..3 {
        let callers = fleet.ports(host).callers;
        let served = || async {
            let request = HttpRequest::post(callers, CHAT, chat_body(4, false)).with_key(&key.text);
            send(request).await.unwrap().status == 200
        };
        eventually("the key works on the host", served).await;
    }
    let request = HttpRequest::post(fleet.ports(2).callers, CHAT, chat_body(4, false))
        .with_key(&key.text)
        .with_field("cookie", "session=1")
        .with_field("x-copy-of-key", &key.text);
    let answer = send(request).await.unwrap();
    assert_eq!(answer.verdict(), Some("ran"));
    assert!(answer.json()["choices"][0]["message"]["content"].is_string());
    for received in engine.received() {
        let fields = format!("{:?}", received.headers);
        assert!(!fields.contains(&key.text), "{fields}");
        assert!(!fields.contains("cookie"), "{fields}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_arrives_complete_with_its_end_marker() {
    let fleet = FleetFixture::with_document(1).await;
    let _engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let request = HttpRequest::post(fleet.ports(0).callers, CHAT, chat_body(6, true));
    let answer = send(request.with_key(&key.text)).await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(!answer.truncated);
    assert!(answer.text().trim_end().ends_with("data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_takes_requests_without_a_key_only_on_an_open_route() {
    let fleet = FleetFixture::with_document(1).await;
    let _rules = fleet.start_service("rules-1", "park-rules").await;
    let ledger = fleet.start_service("ledger-1", "rent-ledger").await;
    let callers = fleet.ports(0).callers;
    let open = send(HttpRequest::get(callers, "/services/park-rules/curepipe")).await;
    assert_eq!(open.unwrap().status, 200);
    let keyless = HttpRequest::post(callers, "/services/rent-ledger/charges", "{}");
    let refused = send(keyless).await.unwrap();
    assert_eq!(refused.status, 401);
    assert_eq!(refused.verdict(), Some("not-run"));
    assert_eq!(refused.reason(), Some("missing_key"));
    assert!(ledger.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_job_records_one_result_per_item() {
    let fleet = FleetFixture::with_document(3).await;
    let _engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let items = job_lines(20);
    let submit = || {
        HttpRequest::post(fleet.ports(0).callers, "/v1/batches", items.clone())
            .with_key(&key.text)
            .with_field("idempotency-key", "weekly-digest")
    };
    let first = send(submit()).await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let job = first.json()["id"].as_str().unwrap().to_owned();
    let resent = send(submit()).await.unwrap();
    assert_eq!(resent.json()["id"].as_str(), Some(job.as_str()));
    let callers = fleet.ports(0).callers;
    let done = || async {
        let request = HttpRequest::get(callers, &format!("/v1/batches/{job}"));
        let status = send(request.with_key(&key.text)).await.unwrap().json();
        status["status"] == "completed"
    };
    eventually("the job is completed", done).await;
    let request = HttpRequest::get(callers, &format!("/v1/batches/{job}/results"));
    let results = send(request.with_key(&key.text)).await.unwrap().text();
    let mut ids: Vec<String> = results
        .lines()
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            assert_eq!(line["response"]["status_code"], 200, "{line}");
            line["custom_id"].as_str().unwrap().to_owned()
        })
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
    assert_eq!(results.lines().count(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_on_every_host() {
    let fleet = FleetFixture::with_document(3).await;
    let _engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let withdrawn = fleet
        .admin(
            2,
            "DELETE",
            &format!("keys/{}", key.id),
            &serde_json::json!(null),
        )
        .await;
    assert_eq!(withdrawn.status, 200, "{}", withdrawn.text());
    for host in 0..3 {
        let callers = fleet.ports(host).callers;
        let refused = || async {
            let request = HttpRequest::post(callers, CHAT, chat_body(1, false));
            let answer = send(request.with_key(&key.text)).await.unwrap();
            answer.reason() == Some("withdrawn_key")
        };
        eventually("the key is refused", refused).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_shutdown_interrupts_no_request() {
    let mut fleet = FleetFixture::with_document(1).await;
    let engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let callers = fleet.ports(0).callers;
    let request = HttpRequest::post(callers, CHAT, chat_body(200, true)).with_key(&key.text);
    let streaming = tokio::spawn(send(request));
    let runs = || async { engine.load().running > 0 || streaming.is_finished() };
    eventually("the stream runs", runs).await;
    assert!(!streaming.is_finished(), "{:?}", streaming.await);
    let host = fleet.take_host(0);
    host.shutdown().await;
    let answer = streaming.await.unwrap().unwrap();
    assert!(!answer.truncated);
    assert!(answer.text().trim_end().ends_with("data: [DONE]"));
    assert!(send(HttpRequest::get(callers, "/readyz")).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_fleet_keeps_document_and_keys() {
    let mut fleet = FleetFixture::with_document(3).await;
    let _engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    for host in 0..3 {
        fleet.kill_host(host).await;
    }
    for host in 0..3 {
        fleet.start_host(host).await;
    }
    for host in 0..3 {
        fleet.wait_ready(host).await;
        assert_eq!(fleet.revision(host).await, Some(1));
        let callers = fleet.ports(host).callers;
        let served = || async {
            let request = HttpRequest::post(callers, CHAT, chat_body(1, false));
            let answer = send(request.with_key(&key.text)).await.unwrap();
            answer.status == 200
        };
        eventually("the key still works", served).await;
    }
}

/// Starts a plain service that answers with `length` bytes, and announces it to a
/// host periodically.
async fn start_long_service(servers: std::net::SocketAddr, service: &str, length: usize) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; length]).await;
        }
    });
    let announcement = serde_json::json!({
        "name": "long-1", "zone": "zone-a", "address": address, "generation": 1,
        "slots": 4, "services": [service],
    });
    tokio::spawn(async move {
        loop {
            let body = announcement.to_string();
            let _ = send(HttpRequest::post(servers, "/servers/v1/announce", body)).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_too_long_to_buffer_arrives_complete() {
    const LENGTH: usize = 9 * 1024 * 1024;
    let fleet = FleetFixture::with_document(1).await;
    start_long_service(fleet.ports(0).servers, "park-rules", LENGTH).await;
    let callers = fleet.ports(0).callers;
    let served = || async {
        let answer = send(HttpRequest::get(callers, "/services/park-rules/all")).await;
        answer.unwrap().status != 503
    };
    eventually("the service is known", served).await;
    let answer = send(HttpRequest::get(callers, "/services/park-rules/all")).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200, "{:?}", answer.reason());
    assert!(!answer.truncated);
    assert_eq!(answer.body.len(), LENGTH);
}
