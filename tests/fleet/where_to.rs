//! `chicoryladder where`: the server that the command names gets the next such request, over
//! real processes.

use crate::client::Call;
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use serde_json::Value;
use std::process::{Command, Output};

const CLI_PROGRAM: &str = env!("CARGO_BIN_EXE_chicoryladder");

const PROMPT: &str = "a1:2000,b2:8000,c3:50";

/// Runs the command against a control or store host.
fn run(fleet: &ProcessFleet, host: &str, options: &[&str]) -> Output {
    let address = fleet.control_address(host).to_string();
    let mut command = Command::new(CLI_PROGRAM);
    command.args(["where", "--operators", &address]);
    command.args(options).output().expect("the command runs")
}

fn ask(fleet: &ProcessFleet, host: &str, options: &[&str]) -> Value {
    let options = [options, &["--output", "json"]].concat();
    let output = run(fleet, host, &options);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{host} {options:?}: {errors}");
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

/// Prints the text for `docs/OPERATIONS.md`.
fn show(fleet: &ProcessFleet, host: &str, options: &[&str]) -> String {
    let output = run(fleet, host, options);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("$ chicoryladder where {}\n{text}", options.join(" "));
    text
}

/// The options that ask about the request of [`send`] from a zone.
fn options<'a>(zone: &'a str, path: &'a str) -> [&'a str; 10] {
    [
        "--host",
        "walks.example",
        "--path",
        path,
        "--team",
        "curepipe",
        "--zone",
        zone,
        "--segments",
        PROMPT,
    ]
}

/// Sends a request at the entry host of a zone; returns the server that got it.
async fn send(fleet: &ProcessFleet, number: usize, path: &str, id: &str) -> String {
    let entry = fleet.host_names(Role::Entry)[number - 1].clone();
    let call = fleet.caller_request(&entry, path, id);
    let answer = call.field("x-prompt-prefix", PROMPT).send().await;
    let answer = answer.expect("an answer");
    assert!(answer.status.is_success() && answer.complete, "{answer:?}");
    let sent = || {
        let log = fleet.read_log(&entry);
        let lines = log.lines().map(serde_json::from_str);
        let lines: Vec<Value> = lines.filter_map(Result::ok).collect();
        let of_request = |line: &&Value| line["event"] == "sent" && line["request"] == id;
        let found = lines.iter().find(of_request);
        found.map(|line| line["server"].as_str().expect("a name").to_owned())
    };
    fleet
        .wait_until("the log names the server", || async { sent().is_some() })
        .await;
    sent().expect("the server")
}

async fn order(fleet: &ProcessFleet, zone: &str, step: &str) {
    let host = fleet.host_names(Role::Control)[0].clone();
    let path = format!("/drain/{zone}/{step}");
    let call = Call::new(fleet.control_address(&host), Method::POST, &path);
    fleet
        .wait_until("the order is acknowledged", || async {
            let answer = call.send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
}

fn obstacles(report: &Value, server: &str) -> Vec<String> {
    let candidates = report["slot"]["candidates"].as_array().expect("a list");
    let found = candidates.iter().find(|found| found["server"] == server);
    let obstacles = &found.expect("the server is listed")["obstacles"];
    serde_json::from_value(obstacles.clone()).expect("a list of names")
}

/// Asks each control and store host in turn about the request that is sent next, from each zone
/// and on routes of each kind.
async fn follow_requests(fleet: &ProcessFleet, name: &str) {
    let leader = fleet.wait_for_leader(Role::Control).await;
    let mut hosts = fleet.host_names(Role::Control);
    hosts.extend(fleet.host_names(Role::Store));
    let mut hosts = hosts.iter().cycle();
    for path in ["/ping/1", "/walk/3", "/rules/3", "/charge/1"] {
        for number in 1..=3 {
            let zone = format!("zone-{number}");
            let options = options(&zone, path);
            // The report on the end of a run may arrive after its answer.
            fleet
                .wait_until("no request runs", || async {
                    let host = leader.as_str();
                    ask(fleet, host, &options)["slot"]["load"]["running"] == 0
                })
                .await;
            // A question that took a slot or a token would move the next answer.
            let answers = [(); 3].map(|()| ask(fleet, hosts.next().expect("a host"), &options));
            for report in &answers {
                let (slot, first) = (&report["slot"], &answers[0]["slot"]);
                assert_eq!(slot["decision"], "sent", "{report}");
                assert_eq!(slot["server"], first["server"]);
                assert_eq!(report["leader"], leader.as_str());
                assert_eq!(report["match"]["team"], "curepipe");
            }
            let id = format!("{name}-{number}-{}", &path[1..5]);
            let server = send(fleet, number, path, &id).await;
            assert_eq!(answers[0]["slot"]["server"], server.as_str(), "{id}");
        }
    }
}

/// Guards against an answer that names another server than the next request reaches, at hosts
/// that lead and hosts that relay, and against questions that change what is decided.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_request_reaches_the_server_that_the_command_names() {
    let fleet = ProcessFleet::start().await;
    follow_requests(&fleet, "stable").await;
    let control = fleet.host_names(Role::Control)[1].clone();
    let text = show(&fleet, &control, &options("zone-1", "/ping/1"));
    assert!(text.contains("would be sent to app-"), "{text}");

    order(&fleet, "zone-1", "begin").await;
    follow_requests(&fleet, "drained").await;
    let report = ask(&fleet, &control, &options("zone-1", "/ping/1"));
    assert_eq!(obstacles(&report, "app-1"), ["drained"]);
    let text = show(&fleet, &control, &options("zone-1", "/ping/1"));
    assert!(text.contains("drained zones zone-1"), "{text}");

    // An item waits while all zones are drained, and then goes where the command says.
    for zone in ["zone-2", "zone-3"] {
        order(&fleet, zone, "begin").await;
    }
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let answer = fleet.submit(&entry, "held", &["one".to_owned()], 3).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    let item = ["--job", "held", "--item", "one"];
    let report = ask(&fleet, &control, &item);
    assert_eq!(report["item_state"], "waiting", "{report}");
    assert_eq!(report["match"]["route"], "digest");
    assert_eq!(report["slot"]["decision"], "refused");
    assert_eq!(report["slot"]["reason"], "no_server");
    assert_eq!(obstacles(&report, "engine-2"), ["drained"]);
    let text = show(&fleet, &control, &item);
    assert!(text.contains("would be refused: no_server"), "{text}");
    order(&fleet, "zone-2", "finish").await;
    fleet
        .wait_until("the item has a result", || async {
            let results = fleet.read_results(&entry, "held").await;
            results.is_some_and(|results| results.len() == 1)
        })
        .await;
    let output = run(&fleet, &control, &item);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("has no item one"), "{errors}");
    check_refusals(&fleet, &control);
    let leader = fleet.leader(Role::Control).expect("a leader");
    let metrics = fleet.metrics(&leader).await;
    for answer in ["sent", "refused", "unmatched", "invalid"] {
        let label = format!("questions_total{{answer=\"{answer}\"");
        assert!(metrics.contains(&label), "{answer}: {metrics}");
    }
    assert!(fleet.read_log(&leader).contains("\"request_explained\""));
}

/// Bad input gets a clear error, and a request that no server would get the refusal of its host.
fn check_refusals(fleet: &ProcessFleet, control: &str) {
    let path = ["--host", "walks.example", "--path", "/ping/1"];
    let report = ask(fleet, control, &path);
    assert_eq!(report["refused"]["reason"], "missing_key", "{report}");
    let unknown = ["--host", "walks.example", "--path", "/none/1"];
    let report = ask(fleet, control, &unknown);
    assert_eq!(report["refused"]["reason"], "unknown_route", "{report}");
    let cases = [
        (&["--team", "nobody"][..], 5, "the plan has no team nobody"),
        (&["--zone", "mars"], 5, "there is no zone mars"),
        (&["--segments", "a1"], 5, "is not ID:TOKENS"),
        (&["--zone", "two words"], 2, "zone name"),
        (
            &["--service", "engine", "--team", "curepipe"],
            5,
            "does not lead",
        ),
        (&["--key-file", "/nonexistent"], 3, "/nonexistent"),
    ];
    for (options, code, fault) in cases {
        let output = run(fleet, control, &[&path[..], options].concat());
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{options:?}: {errors}");
        // Lines are wrapped.
        let errors = errors.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(errors.contains(fault), "{options:?}: {errors}");
    }
}
