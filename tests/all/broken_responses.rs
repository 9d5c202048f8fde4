//! Faulty servers whose responses are no responses to the request, or parts of one: callers
//! must be told neither that a request did not run nor that a response is whole.

use crate::batch::caller::{BatchCaller, charge, charge_document, items};
use crate::fixture::{FleetFixture, HttpRequest, ScriptedServer, send};
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
        for charge in 0..8 {
            let request = HttpRequest::post(callers, CHARGES, format!("charge-{charge}"));
            let answer = send(request.with_key(&key.text)).await.unwrap();
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
