//! Finds the cause of a failed request from its id, by the steps of
//! `docs/OPERATIONS.md`: `chicoryladder explain` over the logs of all hosts.

use crate::servers::{CRASH_PATH, STALL_PATH};
use crate::world::{ProcessFleet, Role};
use std::process::Command;

const CLI_PROGRAM: &str = env!("CARGO_BIN_EXE_chicoryladder");

fn explain(fleet: &ProcessFleet, id: &str) -> String {
    let output = Command::new(CLI_PROGRAM)
        .arg("explain")
        .arg(id)
        .args(fleet.log_files())
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("$ chicoryladder explain {id} *.log\n{text}");
    text
}

async fn wait_until_explained(fleet: &ProcessFleet, id: &str, cause: &str) -> String {
    let has_cause = || async { explain(fleet, id).contains(cause) };
    fleet.wait_until("the log names the cause", has_cause).await;
    explain(fleet, id)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_refused_request_is_found() {
    let mut fleet = ProcessFleet::start().await;
    let plan = fleet.next_plan(&["k2"]);
    fleet.apply_plan(&plan).await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("the key is withdrawn", || async {
            let answer = fleet
                .caller_request(&entry, "/ping/1", "withdrawn")
                .send()
                .await;
            answer.is_some_and(|answer| answer.status.as_u16() == 401)
        })
        .await;
    let text = wait_until_explained(&fleet, "withdrawn", "unknown_key").await;
    // The refusal names the plan that it is based on, and the output shows when that
    // plan came into force.
    assert!(text.contains("plan=2"), "{text}");
    assert!(text.contains("plan_in_force version=2"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_request_that_timed_out_is_found() {
    let fleet = ProcessFleet::start().await;
    let entry = &fleet.host_names(Role::Entry)[1];
    let path = format!("/charge{STALL_PATH}");
    let answer = fleet.caller_request(entry, &path, "too-slow").send().await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 504);
    let text = wait_until_explained(&fleet, "too-slow", "deadline_unmet").await;
    let sent = text.lines().find(|line| line.contains(" sent "));
    assert!(
        sent.is_some_and(|line| line.contains("server=\"app-")),
        "{text}"
    );
    assert!(text.contains("verdict=\"may-have-run\""), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_request_that_may_have_run_is_found() {
    let fleet = ProcessFleet::start().await;
    let entry = &fleet.host_names(Role::Entry)[2];
    let path = format!("/charge{CRASH_PATH}");
    let answer = fleet
        .caller_request(entry, &path, "broken-charge")
        .send()
        .await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 502);
    let text = wait_until_explained(&fleet, "broken-charge", "server_failed").await;
    assert!(text.contains("attempt_failed"), "{text}");
    assert!(text.contains("connection broke"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_fails_for_an_unknown_request_id() {
    let fleet = ProcessFleet::start().await;
    let output = Command::new(CLI_PROGRAM)
        .args(["explain", "never-seen"])
        .args(fleet.log_files())
        .output()
        .expect("the command runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("never-seen"), "{text}");
}
