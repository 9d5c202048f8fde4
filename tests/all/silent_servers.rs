//! Sound servers that are silent for a time, and changes of the configuration meanwhile: work
//! under way neither ends nor moves to another service.

use crate::batch::caller::{BatchCaller, items};
use crate::fixture::{
    DOCUMENT, FleetFixture, HttpAnswer, HttpRequest, ScriptedResponse, ScriptedServer, eventually,
    send,
};
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
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

/// Plays a request whose server falls silent and then breaks off, with a new document in force
/// meanwhile, and returns its answer and that of the next request.
async fn answers_around(document: &str) -> (HttpAnswer, HttpAnswer) {
    let fleet = FleetFixture::with_document(1).await;
    let (breaks_off, silence) = watch::channel(false);
    let is_first = AtomicBool::new(true);
    let old = ScriptedServer::start(move |_| {
        let response = ScriptedResponse::from((true, answer("old")));
        if !is_first.swap(false, Ordering::Relaxed) {
            return response;
        }
        let mut silence = silence.clone();
        ScriptedResponse {
            silence: async move {
                silence.wait_for(|ends| *ends).await.unwrap();
            }
            .boxed(),
            bytes: String::new(),
            closes: true,
            ..response
        }
    });
    let old = old.await;
    fleet.announce_service(&old, "rules-1", "park-rules").await;
    let new = ScriptedServer::start(|_| (true, answer("new"))).await;
    fleet.announce_service(&new, "rules-2", "new-rules").await;
    let callers = fleet.ports(0).callers;
    let running = tokio::spawn(get(callers));
    eventually("the request runs", || async { old.runs("") == 1 }).await;
    let revision = fleet.change_document(0, document, 1, "second").await;
    let in_force = || async { fleet.revision(0).await >= Some(revision) };
    eventually("the document is in force", in_force).await;
    assert!(!running.is_finished());
    breaks_off.send(true).unwrap();
    (running.await.unwrap(), get(callers).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_stays_at_the_service_of_its_first_attempt() {
    let document = DOCUMENT.replace("to = service park-rules", "to = service new-rules");
    let (retried, next) = answers_around(&document).await;
    assert_eq!(retried.text(), "old");
    assert_eq!(next.text(), "new");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_outlives_its_route() {
    let route = DOCUMENT.find("[route park-rules]").unwrap();
    let (retried, next) = answers_around(&DOCUMENT[..route]).await;
    assert_eq!(retried.text(), "old");
    assert_eq!(next.reason(), Some("unknown_route"));
}

/// The example document with items on the route `park-rules`.
fn item_document() -> String {
    let route = "methods = GET\nto = service park-rules\nclasses = receipt";
    assert!(DOCUMENT.contains(route));
    DOCUMENT.replace(
        route,
        "methods = GET, POST\nto = service park-rules\nclasses = receipt, digest",
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_route_moves_after_a_cut_has_the_answer_of_one_run() {
    let fleet = FleetFixture::with_text(1, &item_document()).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let (breaks_off, silence) = watch::channel(false);
    let old = ScriptedServer::start(move |_| {
        let mut silence = silence.clone();
        ScriptedResponse {
            silence: async move {
                silence.wait_for(|ends| *ends).await.unwrap();
            }
            .boxed(),
            closes: true,
            ..(
                true,
                "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nold".to_owned(),
            )
                .into()
        }
    });
    let old = old.await;
    fleet.announce_service(&old, "rules-1", "park-rules").await;
    let new = ScriptedServer::start(|_| (true, answer("\"new\""))).await;
    fleet.announce_service(&new, "rules-2", "new-rules").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let lines = items(1, RULES, |_| "{}".to_owned());
    let job = caller.submit("lot", &lines).await;
    eventually("the item runs", || async { old.runs("{}") == 1 }).await;
    let document = item_document().replace("to = service park-rules", "to = service new-rules");
    fleet.change_document(0, &document, 1, "second").await;
    breaks_off.send(true).unwrap();
    caller.wait_completed(&job).await;
    let results = caller.results(&job).await;
    let text = results[0].to_string();
    assert!(text.contains("new") && !text.contains("old"), "{text}");
}

/// Guards against an item that ran and runs again after its route has become one whose
/// requests may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_not_repeated_once_its_route_is_not_idempotent() {
    let document = item_document();
    let fleet = FleetFixture::with_text(1, &document).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let (breaks_off, silence) = watch::channel(false);
    let is_first = AtomicBool::new(true);
    let server = ScriptedServer::start(move |_| {
        let response = ScriptedResponse::from((true, answer("{}")));
        if !is_first.swap(false, Ordering::Relaxed) {
            return response;
        }
        let mut silence = silence.clone();
        ScriptedResponse {
            silence: async move {
                silence.wait_for(|ends| *ends).await.unwrap();
            }
            .boxed(),
            bytes: String::new(),
            closes: true,
            ..response
        }
    });
    let server = server.await;
    fleet
        .announce_service(&server, "rules-1", "park-rules")
        .await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let lines = items(1, RULES, |_| "{}".to_owned());
    let job = caller.submit("lot", &lines).await;
    eventually("the item runs", || async { server.runs("{}") == 1 }).await;
    // The route is the last one, and `idempotent` its last value.
    let declaration = document.rfind("idempotent = yes").unwrap();
    let revision = fleet
        .change_document(0, &document[..declaration], 1, "second")
        .await;
    let in_force = || async { fleet.revision(0).await >= Some(revision) };
    eventually("the document is in force", in_force).await;
    breaks_off.send(true).unwrap();
    caller.wait_completed(&job).await;
    assert_eq!(server.runs("{}"), 1);
}
