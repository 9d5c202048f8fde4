//! Servers that state how long work takes on them, over a whole fleet.

use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;
use std::time::Duration;

/// The interval between requests, each of which runs for 40 events of 15 ms.
const INTERVAL: Duration = Duration::from_millis(60);

/// The age below which a figure must have been reported before its run ended.
const RUN_MS: u64 = 500;

/// Guards against a figure that hosts read and do not pass on, and against prompt beginnings
/// that are lost on the way: the decisions after the first answers have to expect both.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_follow_what_servers_state_and_hold() {
    let fleet = ProcessFleet::start_with_features("weighed-placement").await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let engines = || {
        fleet
            .servers
            .iter()
            .filter(|s| s.name.starts_with("engine"))
    };
    let send = async |name: &str, count: u32| {
        let calls = (0..count).map(|number| {
            let call = fleet.caller_request(&entry, "/walk/40", &format!("{name}-{number}"));
            (
                number,
                call.field("x-prompt-prefix", "a1:2000,b2:8000,c3:50"),
            )
        });
        let calls = calls.map(|(number, call)| async move {
            tokio::time::sleep(INTERVAL * number).await;
            call.send().await
        });
        let answers = join_all(calls).await;
        let served = answers.iter().flatten().filter(|a| a.status.is_success());
        assert_eq!(u32::try_from(served.count()), Ok(count));
    };
    send("silent", 4).await;
    let before = fleet.read_log(&entry);
    assert!(!before.contains("\"expected\""), "a decision was weighed");
    for engine in engines() {
        engine.state_work(400);
    }
    send("stated", 24).await;
    let log = fleet.read_log(&entry);
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let expected = lines.filter_map(|line: serde_json::Value| line.get("expected").cloned());
    let expected: Vec<serde_json::Value> = expected.collect();
    let ages = expected.iter().filter_map(|e| e["stated_age_ms"].as_u64());
    let youngest = ages.min().expect("decisions know what servers state");
    assert!(youngest < RUN_MS, "{youngest}");
    let cached = expected.iter().filter_map(|e| e["cached_tokens"].as_u64());
    assert_eq!(cached.max(), Some(10_000));
    let leader = fleet.leader(Role::Control).expect("a leader");
    let requested = fleet.level(&leader, "prompt_tokens_requested").await;
    assert!(
        requested.is_some_and(|tokens| tokens >= 10_050.0),
        "{requested:?}"
    );
    assert!(fleet.level(&leader, "servers_slow").await.is_some());
}
