//! Requests that come on open connections while a host stops as planned.

use crate::servers::STALL_PATH;
use crate::world::{ProcessFleet, Role};
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// When requests are sent after the SIGTERM, in ms. The drain timeout of the host is 8 s.
const SENT_AFTER_MS: [u64; 8] = [500, 2_000, 2_500, 3_500, 5_000, 6_000, 7_000, 7_400];

/// Requests that run at most once, where the server never answers; that run for about 2 s; that
/// are short.
fn paths() -> [String; 3] {
    let silent = format!("/charge/1{STALL_PATH}");
    [silent, "/walk/130".to_owned(), "/ping/1".to_owned()]
}

/// The end of a request for its caller.
#[derive(Debug)]
enum CallerEnd {
    /// The connection closed without a whole answer.
    Cut,
    /// A whole answer came with this status.
    Answered(u16),
}

type LateBody = UnsyncBoxBody<Bytes, Infallible>;

/// A request on a connection that was open before the stop.
struct LateCall {
    sender: SendRequest<LateBody>,
    path: String,
    id: String,
    time_limit: Duration,
    /// When it is sent after the SIGTERM.
    sent_after: Duration,
    /// How much later the second half of its body follows.
    body_after: Duration,
}

impl LateCall {
    async fn new(address: SocketAddr, path: &str, id: String) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a connection");
        tokio::spawn(connection);
        Self {
            sender,
            path: path.to_owned(),
            id,
            time_limit: Duration::from_secs(5),
            sent_after: Duration::ZERO,
            body_after: Duration::ZERO,
        }
    }

    /// The body in two halves, the second one late.
    fn body(&self) -> LateBody {
        let question = format!("the question of {}", self.id);
        let (first, second) = question.split_at(question.len() / 2);
        let halves = vec![
            Bytes::from(second.to_owned()),
            Bytes::from(first.to_owned()),
        ];
        let pause = self.body_after;
        let frames = unfold(halves, move |mut left| async move {
            let half = left.pop()?;
            if left.is_empty() {
                tokio::time::sleep(pause).await;
            }
            Some((Ok(Frame::data(half)), left))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn send(mut self) -> (String, CallerEnd) {
        tokio::time::sleep(self.sent_after).await;
        let request = Request::post(&self.path)
            .header("host", "walks.example")
            .header("authorization", "Bearer k1")
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", self.time_limit.as_millis().to_string())
            .body(self.body());
        let sending = self.sender.send_request(request.expect("it is valid"));
        let Ok(response) = sending.await else {
            return (self.id, CallerEnd::Cut);
        };
        let status = response.status().as_u16();
        let end = match response.into_body().collect().await {
            Ok(_) => CallerEnd::Answered(status),
            Err(_) => CallerEnd::Cut,
        };
        (self.id, end)
    }
}

/// Stops a host as planned and sends the requests; returns those that a server got and that have
/// no answer, or one that denies it.
async fn play_stop(fleet: &ProcessFleet, entry: &str, calls: Vec<LateCall>) -> Vec<String> {
    fleet.send_signal(entry, "TERM");
    let calls: Vec<_> = calls
        .into_iter()
        .map(|call| tokio::spawn(call.send()))
        .collect();
    let mut failed = Vec::new();
    for call in calls {
        let (id, end) = call.await.expect("no panic");
        let runs = fleet.runs.runs_of(&id).len();
        println!("{id}: {end:?}, {runs} runs");
        let is_sound = match end {
            CallerEnd::Cut | CallerEnd::Answered(408 | 503) => runs == 0,
            CallerEnd::Answered(_) => true,
        };
        if !is_sound {
            failed.push(format!("{id}: {end:?}, {runs} runs"));
        }
    }
    failed
}

/// Guards against requests that come late in a planned stop on connections that had been open
/// before, are taken and passed on, and are cut without an answer when the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_late_in_a_planned_stop_is_answered() {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let address = fleet.callers_address(&entry);
    let mut calls = Vec::new();
    for sent_after in SENT_AFTER_MS {
        for (kind, path) in paths().into_iter().enumerate() {
            let id = format!("late-{sent_after}-{kind}");
            calls.push(LateCall {
                sent_after: Duration::from_millis(sent_after),
                ..LateCall::new(address, &path, id).await
            });
        }
    }
    let failed = play_stop(&fleet, &entry, calls).await;
    assert!(failed.is_empty(), "{failed:#?}");
}

/// When requests are sent after the SIGTERM and how much later their bodies end, in ms. New
/// connections are accepted for the first 2.6 s.
const SLOW_BODIES_MS: [(u64, u64); 5] = [
    (500, 0),
    (2_000, 0),
    (1_500, 2_500),
    (1_500, 5_000),
    (2_000, 5_300),
];

/// Requests with more time than the stop takes were passed on, also when their bodies came late
/// in it, and cut without an answer when the process ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_more_time_than_a_planned_stop_is_answered_in_it() {
    const TIME_LIMIT: Duration = Duration::from_secs(20);
    let mut fleet = ProcessFleet::start().await;
    let mut plan = fleet.next_plan(&["k1"]);
    for route in plan["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = json!(u64::try_from(TIME_LIMIT.as_millis()).expect("it fits"));
    }
    fleet.apply_plan(&plan).await;
    // Until the plan is in force at the host.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let address = fleet.callers_address(&entry);
    let mut calls = Vec::new();
    for (sent_after, body_after) in SLOW_BODIES_MS {
        for (kind, path) in paths().into_iter().enumerate() {
            let id = format!("slow-{sent_after}-{body_after}-{kind}");
            calls.push(LateCall {
                time_limit: TIME_LIMIT,
                sent_after: Duration::from_millis(sent_after),
                body_after: Duration::from_millis(body_after),
                ..LateCall::new(address, &path, id).await
            });
        }
    }
    let failed = play_stop(&fleet, &entry, calls).await;
    assert!(failed.is_empty(), "{failed:#?}");
}
