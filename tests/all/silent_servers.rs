//! Sound servers that are silent for a time.

use crate::fixture::{
    DOCUMENT, FleetFixture, HttpAnswer, HttpRequest, ScriptedResponse, ScriptedServer, send,
};
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

const RULES: &str = "/services/park-rules/curepipe";

/// The example document, with an answer target of half a second for `park-rules`: requests
/// have four times as long.
fn quick_document() -> String {
    DOCUMENT
        .replace("first_token_ms = 500", "first_token_ms = 400")
        .replace("answer_ms = 2000", "answer_ms = 500")
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

fn answer(text: &str) -> String {
    let length = text.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{text}")
}

async fn get(callers: SocketAddr) -> HttpAnswer {
    send(HttpRequest::get(callers, RULES)).await.unwrap()
}

/// A server that responds to each request after `silence`.
async fn slow_server(silence: Duration) -> ScriptedServer {
    let server = ScriptedServer::start(move |_| ScriptedResponse {
        silence: tokio::time::sleep(silence).boxed(),
        ..(true, answer("rules")).into()
    });
    server.await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_outlasts_a_silence_of_its_only_server() {
    let fleet = FleetFixture::with_text(1, &quick_document()).await;
    // The server stands still from its first request on, for three quarters of the time.
    let silent_until = OnceLock::new();
    let server = ScriptedServer::start(move |_| {
        let until = *silent_until.get_or_init(|| Instant::now() + REQUEST_TIMEOUT * 3 / 4);
        ScriptedResponse {
            silence: tokio::time::sleep_until(until).boxed(),
            ..(true, answer("rules")).into()
        }
    });
    let server = server.await;
    fleet
        .announce_service(&server, "rules-1", "park-rules")
        .await;
    for _ in 0..2 {
        let answer = get(fleet.ports(0).callers).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// Guards against requests that are cut again and again and then refused, since their only
/// server needs longer than an attempt waits that could be made elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_cut_while_no_other_server_could_run_it() {
    let fleet = FleetFixture::with_text(1, &quick_document()).await;
    let server = slow_server(REQUEST_TIMEOUT * 3 / 4).await;
    fleet
        .announce_service(&server, "rules-1", "park-rules")
        .await;
    for _ in 0..4 {
        let answer = get(fleet.ports(0).callers).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// Guards against requests on silent connections that are lost, although their only server
/// responds on new ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_silent_connection_is_served_on_a_new_one_by_the_only_server() {
    let fleet = FleetFixture::with_text(1, &quick_document()).await;
    let server = ScriptedServer::start(|request| {
        let response = ScriptedResponse::from((true, answer("rules")));
        match request.earlier {
            0 => response,
            _ => ScriptedResponse {
                silence: std::future::pending().boxed(),
                ..response
            },
        }
    });
    let server = server.await;
    fleet
        .announce_service(&server, "rules-1", "park-rules")
        .await;
    for _ in 0..4 {
        let answer = get(fleet.ports(0).callers).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
