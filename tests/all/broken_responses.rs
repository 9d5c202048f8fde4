//! Faulty servers whose responses are no responses to the request, or parts of one: callers
//! must be told neither that a request did not run nor that a response is whole.

use crate::batch::caller::{BatchCaller, charge, charge_document, items};
use crate::fixture::{
    FleetFixture, HttpRequest, ScriptedResponse, ScriptedServer, eventually, send,
};
use chicoryladder_types::headers;

const CHARGES: &str = "/services/rent-ledger/charges";

const ANSWER: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

fn refusal(id: Option<&str>) -> String {
    let id = id.map_or_else(String::new, |id| {
        format!("{}: {id}\r\n", headers::REQUEST_ID)
    });
    format!(
        "HTTP/1.1 503 Busy\r\n{id}{}: not-run\r\ncontent-length: 0\r\n\r\n",
        headers::SERVER_VERDICT
    )
}

/// Guards against a charge that runs twice, or that is told as not run after it ran, since its
/// server runs it and then repeats an earlier refusal on the kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_charge_under_which_an_earlier_refusal_is_repeated_runs_once() {
    for names_request in [true, false] {
        let fleet = FleetFixture::with_document(1).await;
        let key = fleet.grant_key(0, "rent-desk").await;
        let server = ScriptedServer::start(move |request| {
            let id = names_request.then(|| request.id());
            match request.earlier {
                // Refused once on each connection; every later request runs.
                0 => (false, refusal(id)),
                _ => (true, request.first_response.to_owned()),
            }
        });
        let server = server.await;
        fleet
            .announce_service(&server, "ledger-1", "rent-ledger")
            .await;
        let callers = fleet.ports(0).callers;
        let send_charge = |body: String| {
            let request = HttpRequest::post(callers, CHARGES, body);
            send(request.with_key(&key.text))
        };
        let reaches_server = || async {
            let answer = send_charge("first".to_owned()).await.unwrap();
            answer.reason() == Some("server_failed")
        };
        eventually("a charge reaches the server", reaches_server).await;
        for charge in 0..8 {
            let answer = send_charge(format!("charge-{charge}")).await.unwrap();
            assert_eq!(answer.reason(), Some("server_failed"), "{}", answer.text());
            let runs = server.runs(&format!("charge-{charge}"));
            assert!(runs <= 1, "charge {charge} ran {runs} times");
            let not_run = answer.verdict() == Some("not-run");
            assert!(
                !not_run || runs == 0,
                "charge {charge} ran: {}",
                answer.text()
            );
        }
    }
}

/// Guards against items that run twice, since their server runs them and repeats a refusal
/// that names no request on the kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_under_which_a_refusal_is_repeated_runs_once() {
    let fleet = FleetFixture::with_text(1, &charge_document()).await;
    let key = fleet.grant_key(0, "rent-desk").await;
    let server = ScriptedServer::start(|request| match request.earlier {
        0 => (true, ANSWER.to_owned()),
        _ => (true, refusal(None)),
    });
    let server = server.await;
    fleet
        .announce_service(&server, "ledger-1", "rent-ledger")
        .await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let job = caller.submit("rent", &items(40, CHARGES, charge)).await;
    caller.wait_completed(&job).await;
    for item in 0..40 {
        let runs = server.runs(&charge(item));
        assert!(runs <= 1, "item {item} ran {runs} times");
    }
}

/// Guards against a long JSON text that a crash cut off, where only the end of the connection
/// marks its end, and that a caller gets framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_unframed_json_text_that_was_cut_off_is_not_whole() {
    // Longer than what a host holds back until it is whole.
    let walks = "7,".repeat(3 * 1024 * 1024);
    for (end, is_cut) in [("7]", false), ("7", true)] {
        let fleet = FleetFixture::with_document(1).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
        let bytes = format!("{head}[{walks}{end}");
        let server = ScriptedServer::start(move |_| ScriptedResponse {
            closes: true,
            ..(true, bytes.clone()).into()
        });
        let server = server.await;
        fleet
            .announce_service(&server, "rules-1", "park-rules")
            .await;
        let request = HttpRequest::get(fleet.ports(0).callers, "/services/park-rules/curepipe");
        let answer = send(request).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.truncated, is_cut);
    }
}
