//! From the id of a failed request to its cause, by the steps of
//! `docs/OPERATIONS.md`: the logs of all hosts and `chicoryladder explain`.

use crate::servers::{CRASH_PATH, SILENT_PATH};
use crate::world::{Role, World};
use std::process::Command;

const LADDER: &str = env!("CARGO_BIN_EXE_chicoryladder");

fn explain(world: &World, id: &str) -> String {
    let output = Command::new(LADDER)
        .arg("explain")
        .arg(id)
        .args(world.log_files())
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("$ chicoryladder explain {id} *.log\n{text}");
    text
}

async fn until_explained(world: &World, id: &str, cause: &str) -> String {
    let has_cause = || async { explain(world, id).contains(cause) };
    world.until("the log names the cause", has_cause).await;
    explain(world, id)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_refused_request_is_found() {
    let mut world = World::start().await;
    let plan = world.plan(&["k2"]);
    world.apply(&plan).await;
    let entry = world.names(Role::Entry)[0].clone();
    world
        .until("the key is withdrawn", || async {
            let answer = world.ask(&entry, "/ping/1", "withdrawn").send().await;
            answer.is_some_and(|answer| answer.status.as_u16() == 401)
        })
        .await;
    let text = until_explained(&world, "withdrawn", "unknown_key").await;
    // The refusal names the plan that it follows, and the walk shows its arrival.
    assert!(text.contains("plan=2"), "{text}");
    assert!(text.contains("plan_in_force version=2"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_request_that_timed_out_is_found() {
    let world = World::start().await;
    let entry = &world.names(Role::Entry)[1];
    let path = format!("/charge{SILENT_PATH}");
    let answer = world.ask(entry, &path, "too-slow").send().await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 504);
    let text = until_explained(&world, "too-slow", "deadline_unmet").await;
    let sent = text.lines().find(|line| line.contains(" sent "));
    assert!(
        sent.is_some_and(|line| line.contains("server=\"app-")),
        "{text}"
    );
    assert!(text.contains("verdict=\"may-have-run\""), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_request_that_may_have_run_is_found() {
    let world = World::start().await;
    let entry = &world.names(Role::Entry)[2];
    let path = format!("/charge{CRASH_PATH}");
    let answer = world.ask(entry, &path, "broken-charge").send().await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 502);
    let text = until_explained(&world, "broken-charge", "server_failed").await;
    assert!(text.contains("attempt_failed"), "{text}");
    assert!(text.contains("connection broke"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_id_is_told() {
    let world = World::start().await;
    let output = Command::new(LADDER)
        .args(["explain", "never-seen"])
        .args(world.log_files())
        .output()
        .expect("the command runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("never-seen"), "{text}");
}
