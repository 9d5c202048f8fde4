//! Streams over whole fleets whose engines have several software versions.

use crate::client::Answer;
use crate::servers::{CHECK_IN_INTERVAL, Server};
use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;
use std::time::Duration;

/// A stream of three seconds.
const LONG_STREAM: &str = "/rules/200";

/// The time after which all long streams have brought events.
const BEGIN_TIME: Duration = Duration::from_millis(700);

/// The time from the first check-in of a version until streams begin at it.
const VERSION_NOTICE: Duration = Duration::from_secs(1);

/// The streams that are begun together.
const STREAMS: usize = 12;

fn engines(fleet: &ProcessFleet) -> Vec<Server> {
    let servers = fleet.servers.iter();
    let engines = servers.filter(|server| server.name.starts_with("engine"));
    engines.cloned().collect()
}

/// Starts a fleet with two engines of version v1 and one of v2.
async fn mixed_fleet() -> ProcessFleet {
    let fleet = ProcessFleet::start().await;
    engines(&fleet)[2].restart_as("v2");
    tokio::time::sleep(CHECK_IN_INTERVAL * 3 + VERSION_NOTICE).await;
    fleet
}

/// The versions that ran an attempt.
fn versions_of(fleet: &ProcessFleet, attempt: &str) -> Vec<&'static str> {
    let runs = fleet.runs.runs_of(attempt);
    runs.iter().map(|run| run.version).collect()
}

/// The number of the last whole event of a response that broke off.
pub(crate) fn last_event(answer: &Answer) -> Option<u64> {
    let text = answer.text();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let mut ids = whole
        .lines()
        .rev()
        .filter_map(|line| line.strip_prefix("id:"));
    ids.next()?.trim().parse().ok()
}

/// Takes streams that broke off up at an entry host; returns how many went on, all of them
/// at the version that began them.
async fn take_up(fleet: &ProcessFleet, entry: &str, broken: &[(String, Answer)]) -> usize {
    let calls = broken.iter().map(|(attempt, answer)| async move {
        let last = last_event(answer).expect("an event");
        let next = format!("{attempt}-again");
        let call = fleet
            .caller_request(entry, LONG_STREAM, &next)
            .field("last-event-id", &last.to_string())
            .field("resumes", attempt);
        let answer = call.send().await.expect("an answer");
        (attempt, next, answer)
    });
    let mut gone_on = 0;
    for (attempt, next, answer) in join_all(calls).await {
        if !answer.status.is_success() {
            assert!(answer.guarantees_not_run(), "{answer:?}");
            continue;
        }
        gone_on += 1;
        let before = versions_of(fleet, attempt);
        for version in versions_of(fleet, &next) {
            assert_eq!(
                before.last(),
                Some(&version),
                "{attempt} began at {before:?}"
            );
        }
    }
    gone_on
}

/// Begins streams at an entry host that is killed under them after `time`.
async fn break_streams(
    fleet: &mut ProcessFleet,
    entry: &str,
    name: &str,
    time: Duration,
) -> Vec<(String, Answer)> {
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("{name}-{number}"))
        .collect();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| fleet.caller_request(entry, LONG_STREAM, id))
        .collect();
    let sending = calls
        .into_iter()
        .map(|call| tokio::spawn(async move { call.send().await }));
    let sending: Vec<_> = sending.collect();
    tokio::time::sleep(time).await;
    fleet.kill(entry);
    let mut broken = Vec::new();
    for (id, call) in ids.into_iter().zip(sending) {
        let answer = call
            .await
            .expect("no panic")
            .expect("the head of an answer");
        assert!(!answer.complete, "{id}: {answer:?}");
        broken.push((id, answer));
    }
    broken
}

/// Guards against streams that callers take up at another version after their entry host
/// died.
#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_after_the_death_of_an_entry_host_keep_their_version() {
    let mut fleet = mixed_fleet().await;
    let entries = fleet.host_names(Role::Entry);
    let broken = break_streams(&mut fleet, &entries[0], "dead", BEGIN_TIME).await;
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert!(
        gone_on >= STREAMS / 2,
        "{gone_on} of {STREAMS} streams went on"
    );
}

/// Guards against streams that callers take up at a server which has started again under its
/// name with another version, and has not checked in since.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_taken_up_at_a_server_that_started_again_unnoticed() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let broken = break_streams(&mut fleet, &entries[0], "again", BEGIN_TIME).await;
    let restarted = &engines(&fleet)[2];
    restarted.hold_check_ins(true);
    restarted.restart_as("v2");
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert!(
        gone_on >= STREAMS / 2,
        "{gone_on} of {STREAMS} streams went on"
    );
}

/// Guards against a late copy of an earlier answer that is taken for the state of a server.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_an_answer_is_no_state_of_a_server() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let broken = break_streams(&mut fleet, &entries[0], "copies", BEGIN_TIME).await;
    let restarted = &engines(&fleet)[2];
    restarted.hold_check_ins(true);
    restarted.restart_as("v2");
    restarted.send_copies();
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert!(gone_on > 0);
}

/// Guards against a late copy of a refusal that is taken for the state of a server, so that a
/// stream goes on at another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_is_no_state_of_a_server() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let broken = break_streams(&mut fleet, &entries[0], "refusals", BEGIN_TIME).await;
    let restarted = &engines(&fleet)[2];
    restarted.hold_check_ins(true);
    restarted.restart_as("v2");
    restarted.send_refusal_copies();
    // Leaves connections on which the server has answered.
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("kept-{number}"))
        .collect();
    let calls = ids.iter().map(|id| {
        let call = fleet.caller_request(&entries[2], "/rules/3", id);
        async move { call.send().await }
    });
    join_all(calls).await;
    let has_kept = ids.iter().any(|id| versions_of(&fleet, id).contains(&"v2"));
    assert!(has_kept, "the restarted server ran nothing");
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert!(gone_on > 0);
}

/// Guards against streams that begin at a server which started again unnoticed, and then go on at the version that it
/// had before.
#[tokio::test(flavor = "multi_thread")]
async fn streams_begun_at_a_server_that_started_again_keep_its_version() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let servers = engines(&fleet);
    let restarted = &servers[2];
    restarted.hold_check_ins(true);
    restarted.restart_as("v2");
    let checked_in = restarted.clone();
    tokio::spawn(async move {
        tokio::time::sleep(CHECK_IN_INTERVAL).await;
        checked_in.hold_check_ins(false);
    });
    // The check-in, the directory and the report that follows from it each take a sync at most.
    let time = BEGIN_TIME * 2;
    let broken = break_streams(&mut fleet, &entries[0], "unnoticed", time).await;
    let of_restarted = broken.into_iter().filter(|(id, _)| {
        let runs = fleet.runs.runs_of(id);
        runs.first().is_some_and(|run| run.version == "v2")
    });
    let of_restarted: Vec<_> = of_restarted.collect();
    let gone_on = take_up(&fleet, &entries[2], &of_restarted).await;
    let begun = of_restarted.len();
    assert!(gone_on > 0, "{gone_on} of {begun} streams went on");
}

/// Guards against streams whose version is lost with the leader of the control group: the
/// host that relayed them tells the next one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_under_a_new_leader_keep_their_version() {
    let mut fleet = mixed_fleet().await;
    let entries = fleet.host_names(Role::Entry);
    let leader = fleet.leader(Role::Control).expect("a leader");
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("led-{number}")).collect();
    // Complete for the entry host, but not for callers that lost their connections.
    let calls = ids
        .iter()
        .map(|id| fleet.caller_request(&entries[0], "/rules/20", id));
    let answers = join_all(calls.map(|call| async move { call.send().await })).await;
    fleet.kill(&leader);
    fleet.wait_for_next_leader(Role::Control, &leader).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answers = answers.into_iter().map(|answer| answer.expect("an answer"));
    let broken: Vec<(String, Answer)> = ids.into_iter().zip(answers).collect();
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert!(
        gone_on >= STREAMS / 2,
        "{gone_on} of {STREAMS} streams went on"
    );
}

/// A new leader took the only version of the servers that were left for the one that had begun
/// a stream, after the entry host was lost that knew better.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_left_are_not_joined_under_a_new_leader() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    let leader = fleet.leader(Role::Control).expect("a leader");
    let broken = break_streams(&mut fleet, &entries[0], "left", BEGIN_TIME).await;
    for engine in engines(&fleet) {
        engine.restart_as("v2");
    }
    // The check-ins, and the directory that follows from them.
    tokio::time::sleep(CHECK_IN_INTERVAL * 3).await;
    fleet.kill(&leader);
    fleet.wait_for_next_leader(Role::Control, &leader).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gone_on = take_up(&fleet, &entries[2], &broken).await;
    assert_eq!(
        gone_on, 0,
        "no server is left of the version that began them"
    );
}

/// An entry host that was out of step while servers of a new version joined knew only the one
/// before, and continued streams at it that the new one had begun elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_new_version_are_not_joined_at_a_host_out_of_step() {
    let mut fleet = ProcessFleet::start().await;
    let entries = fleet.host_names(Role::Entry);
    for control in fleet.host_names(Role::Control) {
        fleet.faults.cut(&entries[2], &control);
        fleet.faults.cut(&control, &entries[2]);
    }
    engines(&fleet)[0].restart_as("v2");
    fleet
        .wait_until("streams may begin at the new version", || async {
            let controls = fleet.host_names(Role::Control);
            controls.iter().any(|control| {
                let log = fleet.read_log(control);
                let mut lines = log.lines().filter(|line| line.contains("server_version"));
                lines.any(|line| line.contains("\"InUse\"") && line.contains("\"v2\""))
            })
        })
        .await;
    let broken = break_streams(&mut fleet, &entries[0], "ahead", BEGIN_TIME).await;
    let is_new = |(id, _): &(String, Answer)| versions_of(&fleet, id).first() == Some(&"v2");
    assert!(broken.iter().any(is_new), "no stream began at v2");
    take_up(&fleet, &entries[2], &broken).await;
}

/// Guards against streams that go on at another version within one response, after their
/// engine crashed.
#[tokio::test(flavor = "multi_thread")]
async fn streams_resumed_within_a_response_keep_their_version() {
    let fleet = mixed_fleet().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("crash-{number}"))
        .collect();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| fleet.caller_request(&entry, LONG_STREAM, id))
        .collect();
    let sending: Vec<_> = calls
        .into_iter()
        .map(|call| tokio::spawn(async move { call.send().await }))
        .collect();
    tokio::time::sleep(BEGIN_TIME).await;
    engines(&fleet)[0].break_connections();
    let mut resumed = 0;
    for (id, call) in ids.iter().zip(sending) {
        call.await
            .expect("no panic")
            .expect("the head of an answer");
        let versions = versions_of(&fleet, id);
        resumed += usize::from(versions.len() > 1);
        assert!(
            versions.windows(2).all(|v| v[0] == v[1]),
            "{id}: {versions:?}"
        );
    }
    assert!(resumed > 0);
}

/// Guards against items whose output two versions wrote, after their runs were interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn items_go_on_only_at_the_version_that_wrote_their_output() {
    let fleet = mixed_fleet().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids: Vec<String> = (0..24).map(|number| format!("item-{number}")).collect();
    let answer = fleet.submit(&entry, "job-mixed", &ids, 150).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    for round in 0..12 {
        tokio::time::sleep(BEGIN_TIME / 2).await;
        engines(&fleet)[round % 3].break_connections();
    }
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(&entry, "job-mixed").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
    let mut resumed = 0;
    for id in &ids {
        let runs = fleet.runs.runs_of(id);
        let versions = versions_of(&fleet, id);
        for (run, pair) in runs.iter().skip(1).zip(versions.windows(2)) {
            if run.last_event.is_some() {
                resumed += 1;
                assert_eq!(pair[0], pair[1], "{id}: {versions:?}");
            }
        }
    }
    assert!(resumed > 0);
}

/// Guards against streams that callers take up at another version than the one that began them,
/// since a server of it was searched for while theirs was silent before the first event.
#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_after_a_search_keep_the_version_that_began_them() {
    /// The time without a head after which another server is searched for, less a part.
    const BEFORE_SEARCH: Duration = Duration::from_millis(1_600);
    /// Ends while the server that was found is asked for its state.
    const SILENCE: Duration = Duration::from_millis(2_300);
    let mut fleet = mixed_fleet().await;
    let entries = fleet.host_names(Role::Entry);
    let servers = engines(&fleet);
    servers[0].pause_for(SILENCE);
    servers[1].pause_for(SILENCE);
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("sought-{number}"))
        .collect();
    let calls = ids.iter().map(|id| {
        let call = fleet.caller_request(&entries[0], LONG_STREAM, id);
        tokio::spawn(async move { call.send().await })
    });
    let calls: Vec<_> = calls.collect();
    // The search finds the server of the other version, which does not answer at once.
    tokio::time::sleep(BEFORE_SEARCH).await;
    servers[2].pause_for(BEGIN_TIME * 2);
    tokio::time::sleep(BEGIN_TIME * 2).await;
    fleet.kill(&entries[0]);
    let mut begun = Vec::new();
    for (id, call) in ids.into_iter().zip(calls) {
        let answer = call.await.expect("no panic");
        let answer = answer.filter(|answer| last_event(answer).is_some());
        begun.extend(answer.map(|answer| (id, answer)));
    }
    assert!(!begun.is_empty());
    let gone_on = take_up(&fleet, &entries[2], &begun).await;
    assert!(gone_on > 0, "{gone_on} of {} streams went on", begun.len());
}
