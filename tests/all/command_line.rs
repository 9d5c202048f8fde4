//! Runs the two binaries and checks their output, error messages and exit codes.

mod fake_host;

use fake_host::FakeHost;
use std::path::Path;
use std::process::{Command, Output};

const CLI_PROGRAM: &str = env!("CARGO_BIN_EXE_chicoryladder");
const DAEMON: &str = env!("CARGO_BIN_EXE_chicoryladderd");
const EXAMPLE: &str = include_str!("../../examples/fleet.ini");

fn run(program: &str, folder: &Path, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .current_dir(folder)
        .env("NO_COLOR", "1")
        .env_remove("CHICORYLADDER_OPERATORS")
        .output()
        .expect("the program starts")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the program exits")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is UTF-8")
}

/// Creates a folder with a token, a key, the example document and an invalid one.
fn workspace() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        std::fs::write(folder.path().join(name), text).expect("the file is written");
    };
    write("operator-token.txt", "token-1\n");
    write("caller-key.txt", "key-1\n");
    write("fleet.ini", EXAMPLE);
    write("items.jsonl", "{}\n");
    write("faulty.ini", "[team a]\nrate = much\nburts = 1\n");
    folder
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    let folder = workspace();
    for arguments in [&["unknown"][..], &["apply"], &["key", "withdraw", "short"]] {
        assert_eq!(code(&run(CLI_PROGRAM, folder.path(), arguments)), 2);
    }
    assert_eq!(code(&run(CLI_PROGRAM, folder.path(), &["--help"])), 0);
}

#[test]
fn all_errors_of_an_invalid_document_are_reported_and_nothing_is_sent() {
    let folder = workspace();
    let host = FakeHost::start(Vec::new());
    let arguments = ["apply", "--operators", &host.address, "faulty.ini"];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 3);
    let report = text(&output.stderr);
    for part in [
        "line 2",
        "line 3",
        "lacks the key `burst`",
        "has no key `burts`",
    ] {
        assert!(report.contains(part), "{part} is missing in {report}");
    }
    assert!(host.requests().is_empty());
}

#[test]
fn apply_shows_the_changes_and_sends_the_revision_that_it_saw() {
    let folder = workspace();
    let old = r#"{"revision":4,"document":"[team gone]\nrate = 1\nburst = 1\n"}"#;
    let accepted = r#"{"revision":5,"in_force":true,"hosts_not_heard":[],"zones_not_heard":[]}"#;
    let host = FakeHost::start(vec![(200, old), (200, accepted)]);
    let arguments = ["apply", "--operators", &host.address, "fleet.ini"];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    let shown = text(&output.stdout);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    assert!(shown.contains("- [team gone]"), "{shown}");
    assert!(shown.contains("revision 5 is accepted and in force on every host"));
    let requests = host.requests();
    assert!(requests[0].starts_with("GET /admin/v1/fleet "));
    assert!(requests[1].starts_with("PUT /admin/v1/fleet "));
    assert!(requests[1].contains("authorization: Bearer token-1"));
    assert!(requests[1].contains(r#""expected_revision":4"#));
}

#[test]
fn a_revision_conflict_names_the_winning_operation_and_exits_with_4() {
    let folder = workspace();
    let conflict = r#"{"error":{"message":"taken","type":"invalid_request_error",
        "code":"revision_conflict","verdict":"not-run","conflict":{"expected_revision":4,
        "current_revision":6,"winner":"op-winner","winner_host":"host-2"}}}"#;
    let host = FakeHost::start(vec![(409, conflict)]);
    let arguments = [
        "apply",
        "--operators",
        &host.address,
        "--expected-revision=4",
        "fleet.ini",
    ];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 4);
    assert!(text(&output.stderr).contains("op-winner"));
}

#[test]
fn a_lost_response_prints_how_to_resend() {
    let folder = workspace();
    let arguments = [
        "apply",
        "--operators=127.0.0.1:1",
        "--expected-revision=4",
        "--operation-id=op-mine",
        "fleet.ini",
    ];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 6);
    let report = text(&output.stderr);
    assert!(report.contains("--operation-id op-mine"), "{report}");
}

#[test]
fn the_next_host_is_tried_when_one_does_not_answer() {
    let folder = workspace();
    let host = FakeHost::start(vec![(200, r#"{"keys":[]}"#)]);
    let addresses = format!("127.0.0.1:1,{}", host.address);
    let output = run(
        CLI_PROGRAM,
        folder.path(),
        &["key", "list", "--operators", &addresses],
    );
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
}

#[test]
fn a_change_that_has_not_reached_a_host_exits_with_7_and_names_the_host() {
    let folder = workspace();
    let withdrawn = r#"{"key_id":"00000000000000ff","known":true,"logged":false,
        "stops_within_ms":null,"in_force":false,"zones_not_heard":["zone-c"],
        "hosts_not_heard":[{"host":"host-3","zone":"zone-c"}]}"#;
    let host = FakeHost::start(vec![(200, withdrawn)]);
    let id = "00000000000000ff";
    let arguments = ["key", "withdraw", "--operators", &host.address, id];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 7);
    let shown = text(&output.stdout);
    assert!(shown.contains("host-3 (zone-c); hosts not heard from may accept the key until"));
    assert!(host.requests()[0].starts_with("DELETE /admin/v1/keys/00000000000000ff "));
}

#[test]
fn refusals_exit_with_5_and_print_a_remedy() {
    let folder = workspace();
    let refusal = r#"{"error":{"message":"the operator token is wrong",
        "type":"authentication_error","code":"unknown_key","verdict":"not-run"}}"#;
    let host = FakeHost::start(vec![(401, refusal)]);
    let output = run(
        CLI_PROGRAM,
        folder.path(),
        &["get", "--operators", &host.address],
    );
    assert_eq!(code(&output), 5);
    assert!(text(&output.stderr).contains("check the token or key file"));
}

#[test]
fn differences_exit_with_8_and_json_output_parses() {
    let folder = workspace();
    let old = r#"{"revision":4,"document":""}"#;
    let host = FakeHost::start(vec![(200, old)]);
    let arguments = [
        "diff",
        "--output=json",
        "--operators",
        &host.address,
        "fleet.ini",
    ];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 8);
    let changes: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(changes[0]["change"], "added");
}

#[test]
fn a_watched_job_with_failed_items_exits_with_9() {
    let folder = workspace();
    let view = |status: &str, completed: u64| {
        let counts = format!(r#"{{"total":2,"completed":{completed},"failed":1}}"#);
        format!(
            r#"{{"id":"j1","object":"batch","status":"{status}","class":"digest","request_counts":{counts}}}"#
        )
    };
    let running = view("in_progress", 0);
    let ended = view("completed", 1);
    let host = FakeHost::start(vec![(200, &running), (200, &running), (200, &ended)]);
    let arguments = [
        "job",
        "submit",
        "--watch",
        "--output=json",
        "--idempotency-key=lot-1",
        "--class=digest",
        "--callers",
        &host.address,
        "items.jsonl",
    ];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 9, "{}", text(&output.stderr));
    let first = &host.requests()[0];
    assert!(first.contains("idempotency-key: lot-1"), "{first}");
    assert!(first.contains("chicoryladder-class: digest"));
    assert!(first.contains("authorization: Bearer key-1"));
}

#[test]
fn check_reports_a_settings_error_and_accepts_the_complete_example() {
    let folder = workspace();
    let example = include_str!("../../examples/host-1.ini");
    let write = |name: &str, text: &str| {
        std::fs::write(folder.path().join(name), text).expect("the file is written");
    };
    write("host.ini", example);
    write(
        "bad.ini",
        &example.replace("lease_ms = 5000", "lease = 5 s"),
    );
    let bad = run(DAEMON, folder.path(), &["check", "--settings", "bad.ini"]);
    assert_eq!(code(&bad), 3);
    assert!(text(&bad.stderr).contains("known keys are: lease_ms"));
    let absent = run(DAEMON, folder.path(), &["check", "--settings", "host.ini"]);
    assert_eq!(code(&absent), 3);
    assert!(text(&absent.stderr).contains("peer-secret.txt cannot be read"));
    write("peer-secret.txt", "a secret that all entry hosts share\n");
    let complete = run(DAEMON, folder.path(), &["check", "--settings", "host.ini"]);
    assert_eq!(code(&complete), 0, "{}", text(&complete.stderr));
}

/// Guards against an order that is sent for another zone or in the other direction, and against
/// a resend under a new operation id.
#[test]
fn zone_orders_name_the_zone_the_direction_and_the_operation() {
    let folder = workspace();
    for (command, drained) in [("drain", true), ("undrain", false)] {
        let answer = format!(
            r#"{{"zone":"zone-a","drained":{drained},"in_force":true,
            "hosts_not_heard":[],"zones_not_heard":[]}}"#
        );
        let host = FakeHost::start(vec![(200, &answer)]);
        let arguments = [
            "zone",
            command,
            "--operators",
            &host.address,
            "--operation-id=op-mine",
            "zone-a",
        ];
        let output = run(CLI_PROGRAM, folder.path(), &arguments);
        assert_eq!(code(&output), 0, "{}", text(&output.stderr));
        let state = if drained { "drained" } else { "not drained" };
        let expected = format!("zone zone-a is {state}, in force on every host");
        assert!(text(&output.stdout).contains(&expected));
        let requests = host.requests();
        assert!(requests[0].starts_with("PUT /admin/v1/zones/zone-a "));
        let order = format!(r#"{{"drained":{drained},"operation_id":"op-mine"}}"#);
        assert!(requests[0].contains(&order), "{}", requests[0]);
    }
    let arguments = ["zone", "drain", "--operators=127.0.0.1:1", "zone-a"];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 6);
    assert!(text(&output.stderr).contains("--operation-id op-"));
}

/// Guards against a list that hides who drained a zone and since when.
#[test]
fn zone_list_shows_who_drained_a_zone_as_text_and_json() {
    let folder = workspace();
    let listed = r#"{"zones":[
        {"zone":"zone-a","hosts":1,"servers":2,"drained":true,
            "asked_by":"10.0.0.9:5000","since_ms":1000},
        {"zone":"zone-b","hosts":1,"servers":2,"drained":false,
            "asked_by":null,"since_ms":null}]}"#;
    let host = FakeHost::start(vec![(200, listed), (200, listed)]);
    let mut arguments = vec!["zone", "list", "--operators", &host.address];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    let shown = text(&output.stdout);
    let line = shown.lines().find(|line| line.starts_with("zone-a"));
    let line = line.expect("a line for the zone");
    for part in ["drained", "10.0.0.9:5000", " s ago"] {
        assert!(line.contains(part), "{part} is missing in {line}");
    }
    assert!(shown.contains("zone-b  in use"), "{shown}");
    arguments.push("--output=json");
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    let zones: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(zones["zones"][0]["asked_by"], "10.0.0.9:5000");
    assert_eq!(zones["zones"][0]["since_ms"], 1000);
}

/// Guards against an operator who mistypes a zone and is not told which zones exist.
#[test]
fn an_unknown_zone_exits_with_5_and_shows_the_zones() {
    let folder = workspace();
    let refusal = r#"{"error":{"message":"there is no zone zone-x; the zones are zone-a, zone-b",
        "type":"invalid_request_error","code":"unknown_zone","verdict":"not-run"}}"#;
    let host = FakeHost::start(vec![(404, refusal)]);
    let arguments = ["zone", "drain", "--operators", &host.address, "zone-x"];
    let output = run(CLI_PROGRAM, folder.path(), &arguments);
    assert_eq!(code(&output), 5);
    let report = text(&output.stderr);
    assert!(report.contains("zone-a, zone-b"), "{report}");
    assert!(report.contains("zone list"), "{report}");
}
