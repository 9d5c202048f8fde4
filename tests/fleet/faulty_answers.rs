//! Servers that send an earlier answer once more, go on with a stream wrongly, or stop in the
//! middle of a head. Callers never get these for the answer to their request.

use crate::client::Answer;
use crate::faulty::{
    BROKEN_JSON, COPIED_DEPARTURE_PATH, COPIED_REFUSAL_PATH, COPY_SUFFIX, CUT_FRAMINGS,
    CUT_HEAD_PREFIX, FAULTY_SERVICE, RESUMED_FAULTS, RESUMED_PREFIX, WHOLE_HEAD,
};
use crate::servers::{event_data, stream_text};
use crate::world::{ProcessFleet, Role};
use std::cell::RefCell;
use std::time::Duration;

/// The faulty servers. After a failure, a server is suspended, so that others are needed.
const SERVERS: usize = 6;

/// The events of a stream.
const EVENTS: u64 = 7;

/// The copies of refusals after which a test ends.
const COPIES: usize = 8;

/// The requests within which that many copies are sent, at most.
const REQUESTS_MAX: usize = 200;

/// The time within which suspended servers are tried again.
const SUSPENSION: Duration = Duration::from_millis(250);

async fn start_fleet() -> (ProcessFleet, String) {
    let mut fleet = ProcessFleet::start().await;
    fleet.add_servers(FAULTY_SERVICE, SERVERS).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("the faulty servers are known", || async {
            let answer = send(&fleet, &entry, "/faulty-ping/1", "probe").await;
            answer.status.is_success()
        })
        .await;
    (fleet, entry)
}

async fn send(fleet: &ProcessFleet, entry: &str, path: &str, id: &str) -> Answer {
    let call = fleet.caller_request(entry, path, id);
    call.send().await.expect("an answer")
}

/// Sends requests to servers that copy an earlier refusal, on all kinds of routes, until
/// [`COPIES`] were sent. Each answer has to agree with the runs.
async fn play_copies(fleet: &ProcessFleet, entry: &str, suffix: &str) {
    let mut copies = 0;
    for number in 0..REQUESTS_MAX {
        if copies >= COPIES {
            return;
        }
        // Leaves a connection on which the server has answered.
        send(fleet, entry, "/faulty-ping/1", &format!("{number}-before")).await;
        let route = ["charge", "walk", "ping", "rules"][number % 4];
        let id = format!("{number}-{route}");
        let path = format!("/faulty-{route}/1{suffix}");
        let answer = send(fleet, entry, &path, &id).await;
        let runs = fleet.runs.runs_of(&id);
        assert!(
            runs.is_empty() || !answer.guarantees_not_run(),
            "{id} ran: {answer:?}"
        );
        if ["charge", "walk"].contains(&route) {
            assert!(runs.len() <= 1, "{id} ran {} times", runs.len());
        }
        copies += fleet.runs.runs_of(&format!("{id}{COPY_SUFFIX}")).len();
        if answer.status.is_server_error() {
            tokio::time::sleep(SUSPENSION).await;
        }
    }
    panic!("{copies} copies in {REQUESTS_MAX} requests");
}

/// Guards against an earlier refusal that a server sends once more and that callers, or other
/// servers, get for the answer to a request which runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_says_nothing_of_the_next_request() {
    let (fleet, entry) = start_fleet().await;
    play_copies(&fleet, &entry, COPIED_REFUSAL_PATH).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_of_a_named_request_says_nothing_of_its_server() {
    let (fleet, entry) = start_fleet().await;
    play_copies(&fleet, &entry, COPIED_DEPARTURE_PATH).await;
    let log = fleet.read_log(&entry);
    for event in ["server_leaving", "server_limit"] {
        assert!(!log.contains(&format!("\"{event}\"")), "{event}");
    }
}

/// Guards against streams that a server takes up with something else than their events, which
/// callers get in the middle of the stream, or as its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_only_with_its_events() {
    let (fleet, entry) = start_fleet().await;
    let mut failed = Vec::new();
    for fault in RESUMED_FAULTS {
        let path = format!("/faulty-rules/{EVENTS}/{RESUMED_PREFIX}{fault}");
        let whole = |id: &str| stream_text(id, EVENTS);
        let mut number = 0;
        let (id, answer) = loop {
            let id = format!("{fault}-{number}");
            let answer = send(&fleet, &entry, &path, &id).await;
            let is_played = fleet.runs.runs_of(&id).len() > 1;
            if is_played || number > 20 {
                break (id, answer);
            }
            number += 1;
            tokio::time::sleep(SUSPENSION).await;
        };
        let (text, whole) = (answer.text(), whole(&id));
        let runs = fleet.runs.runs_of(&id).len();
        if !whole.starts_with(&text) || (answer.complete && text != whole) || runs < 2 {
            failed.push(format!("{fault}: {runs} runs, {answer:?}"));
        }
        // Nothing but the fault keeps the third run from the rest.
        if !answer.complete && runs > 2 {
            failed.push(format!("{fault}: not gone on with, {answer:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against an answer without events that broke off, and that a stream of another server
/// follows in the same response.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_no_stream_is_not_gone_on_with() {
    let (fleet, entry) = start_fleet().await;
    let path = format!("/faulty-rules/{EVENTS}/{BROKEN_JSON}");
    let answer = send(&fleet, &entry, &path, "json").await;
    assert!(!answer.complete, "{answer:?}");
    assert!(!answer.text().contains("data:"), "{answer:?}");
}

/// Guards against items that count as complete although the server which took them up sent
/// no more events.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_goes_on_only_with_its_events() {
    let (fleet, entry) = start_fleet().await;
    let id = |fault: &str| format!("item-{fault}");
    for fault in RESUMED_FAULTS {
        let path = format!("/faulty-digest/{EVENTS}/{RESUMED_PREFIX}{fault}");
        let body = ProcessFleet::items_body(&[id(fault)], &path);
        let job = format!("job-{fault}");
        fleet
            .wait_until("the job is accepted", || async {
                let submit = "/faulty-digest/submit";
                let answer = fleet.submit_body(&entry, submit, &job, body.clone()).await;
                answer.is_some_and(|answer| answer.status.as_u16() == 202)
            })
            .await;
    }
    let mut failed = Vec::new();
    for fault in RESUMED_FAULTS {
        let id = id(fault);
        let job = format!("job-{fault}");
        let results = RefCell::new(Vec::new());
        fleet
            .wait_until("the item has a result", || async {
                let read = fleet.read_results(&entry, &job).await;
                results.replace(read.unwrap_or_default());
                !results.borrow().is_empty()
            })
            .await;
        let texts: Vec<String> = (0..EVENTS).map(|number| event_data(&id, number)).collect();
        let expected = [(id.clone(), texts.join("\n"))];
        let results = results.into_inner();
        let runs = fleet.runs.runs_of(&id).len();
        if results != expected || runs < 2 {
            failed.push(format!("{fault}: {runs} runs, {results:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The routes for streams and for other answers, each with and without repeats.
const ROUTES: &[&str] = &["ping", "charge", "rules", "walk"];

/// The number of bytes that no head exceeds.
const HEAD_MAX_BYTES: usize = 180;

/// The requests after which one has reached a server, although servers are suspended.
const CUT_TRIES: usize = 40;

/// Sends requests until a server has cut the head of its answer to one; returns what is wrong
/// with the caller's answer.
async fn play_cut(fleet: &ProcessFleet, entry: &str, route: &str, cut: &str) -> Option<String> {
    for number in 0..CUT_TRIES {
        let id = format!("{route}-{cut}-{number}");
        let path = format!("/faulty-{route}/{EVENTS}/{CUT_HEAD_PREFIX}{cut}");
        let answer = send(fleet, entry, &path, &id).await;
        let runs = fleet.runs.runs_of(&id).len();
        if runs == 0 {
            assert!(answer.guarantees_not_run(), "{answer:?}");
            tokio::time::sleep(SUSPENSION).await;
            continue;
        }
        let is_repeatable = ["ping", "rules"].contains(&route);
        let is_whole = answer.complete && answer.text() == stream_text(&id, EVENTS);
        let is_cut = !answer.complete && answer.text().is_empty();
        let is_sound = if answer.status.is_success() {
            (is_repeatable && is_whole) || is_cut
        } else {
            !answer.guarantees_not_run()
        };
        let is_once = is_repeatable || runs == 1;
        return (!is_sound || !is_once).then(|| format!("{id}: {runs} runs, {answer:?}"));
    }
    Some(format!("{route}-{cut}: no server ran it"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_cut_anywhere_is_no_answer() {
    let (fleet, entry) = start_fleet().await;
    let mut failed = Vec::new();
    for bytes in 0..HEAD_MAX_BYTES {
        let route = ROUTES[bytes % ROUTES.len()];
        let framing = CUT_FRAMINGS[(bytes / ROUTES.len()) % CUT_FRAMINGS.len()];
        let cut = format!("{framing}-{bytes}");
        failed.extend(play_cut(&fleet, &entry, route, &cut).await);
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against streams whose server stops after the head, and that callers get as complete
/// and empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_events_is_no_stream() {
    let (fleet, entry) = start_fleet().await;
    let mut failed = Vec::new();
    for framing in CUT_FRAMINGS {
        for route in ROUTES {
            let cut = format!("{framing}-{WHOLE_HEAD}");
            failed.extend(play_cut(&fleet, &entry, route, &cut).await);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
