//! A planned stop of a host under load, with callers that keep their connections.

use crate::fixture::{FleetFixture, chat_body, eventually};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{AUTHORIZATION, CONNECTION};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

const CALLERS: usize = 16;

/// The pause of a caller between two requests.
const PACE: Duration = Duration::from_millis(30);

#[derive(Default)]
struct Outcomes {
    answered: AtomicUsize,
    refused: AtomicUsize,
    /// Requests on whose connection no whole answer came.
    lost: AtomicUsize,
    /// Answers that asked to close the connection.
    closing: AtomicUsize,
    stop: AtomicBool,
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends requests on one connection at a time, at `first` until an answer closes its
/// connection, and then at `second`, as behind a load balancer.
async fn call(first: SocketAddr, second: SocketAddr, key: String, outcomes: Arc<Outcomes>) {
    let mut kept: Option<SendRequest<Full<Bytes>>> = None;
    let mut target = first;
    while !outcomes.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(PACE).await;
        let mut sender = match kept.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(target).await.expect("the host accepts connections"),
        };
        let request = Request::post("/v1/chat/completions")
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::from(chat_body(1, false)))
            .expect("it is valid");
        let Ok(response) = sender.send_request(request).await else {
            outcomes.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let status = response.status();
        let closes = response
            .headers()
            .get(CONNECTION)
            .is_some_and(|value| value == "close");
        if response.into_body().collect().await.is_err() {
            outcomes.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let counter = if status.is_success() {
            &outcomes.answered
        } else {
            &outcomes.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if closes {
            outcomes.closing.fetch_add(1, Ordering::Relaxed);
            target = second;
        } else {
            kept = Some(sender);
        }
    }
}

/// Guards against callers that are refused, or cut off without an answer, on the connections
/// that they keep while a host stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_costs_callers_with_kept_connections_nothing() {
    let mut fleet = FleetFixture::with_document(3).await;
    let _engines = [
        fleet.start_engine("engine-1", "zone-a").await,
        fleet.start_engine("engine-2", "zone-b").await,
    ];
    let key = fleet.grant_key(0, "curepipe").await.text;
    let (first, second) = (fleet.ports(0).callers, fleet.ports(1).callers);
    let outcomes = Arc::new(Outcomes::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call(first, second, key.clone(), outcomes.clone())))
        .collect();
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let runs = || async { count(&outcomes.answered) > 10 * CALLERS };
    eventually("callers are served", runs).await;
    let refused_before = count(&outcomes.refused);
    fleet.take_host(0).shutdown().await;
    let answered = count(&outcomes.answered);
    let goes_on = || async { count(&outcomes.answered) > answered + CALLERS };
    eventually("callers are served by the other host", goes_on).await;
    outcomes.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(count(&outcomes.refused), refused_before);
    assert_eq!(count(&outcomes.lost), 0);
    assert!(count(&outcomes.closing) >= CALLERS);
}
