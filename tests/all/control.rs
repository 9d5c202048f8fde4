//! Changes of the fleet document and of keys across several hosts, including without
//! a quorum and across restarts.

use crate::fixture::{
    DOCUMENT, FleetFixture, GrantedKey, HttpAnswer, HttpRequest, chat_body, eventually, send,
};
use serde_json::json;
use std::collections::BTreeSet;

const CHAT: &str = "/v1/chat/completions";

/// Two of the three voters; without them there is no quorum.
const QUORUM_HOSTS: [usize; 2] = [1, 2];

/// The third voter, which stays up when the others are killed.
const REMAINING_VOTER: usize = 0;

/// A host without a disk, and thus without a seat, in the availability zone of the
/// remaining voter. Killing the other voters has the same effect on both as a partition
/// that isolates the zone.
const OBSERVER: usize = 3;

/// More requests than an engine of the fixture has slots, so that some wait.
const REQUESTS: usize = 12;

async fn chat(fleet: &FleetFixture, host: usize, key: &GrantedKey) -> HttpAnswer {
    let request = HttpRequest::post(fleet.ports(host).callers, CHAT, chat_body(1, false));
    send(request.with_key(&key.text)).await.unwrap()
}

async fn withdraw(fleet: &FleetFixture, host: usize, key: &GrantedKey) -> serde_json::Value {
    let path = format!("keys/{}", key.id);
    let answer = fleet.admin(host, "DELETE", &path, &json!(null)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()
}

async fn wait_refused(fleet: &FleetFixture, host: usize, key: &GrantedKey, reason: &str) {
    let refused = || async { chat(fleet, host, key).await.reason() == Some(reason) };
    eventually(reason, refused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_reported_as_in_force_is_in_force_on_every_host() {
    let fleet = FleetFixture::with_document(3).await;
    let document = DOCUMENT.replace("rate = 50", "rate = 51");
    let answer = fleet.put_document(1, &document, 1, "op-1").await.json();
    assert_eq!(answer["in_force"], true, "{answer}");
    for host in 0..3 {
        assert_eq!(fleet.revision(host).await, Some(2));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_host_is_reported_with_its_zone() {
    let mut fleet = FleetFixture::with_document(3).await;
    fleet.kill_host(2).await;
    let document = DOCUMENT.replace("rate = 50", "rate = 51");
    let answer = fleet.put_document(1, &document, 1, "op-1").await.json();
    assert_eq!(answer["revision"], 2);
    assert_eq!(answer["in_force"], false);
    assert_eq!(answer["hosts_not_heard"][0]["host"], "host-2");
    assert_eq!(answer["zones_not_heard"], json!(["zone-c"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_one_wins_and_the_conflict_names_it() {
    let fleet = FleetFixture::with_document(3).await;
    let left = DOCUMENT.replace("rate = 50", "rate = 51");
    let right = DOCUMENT.replace("rate = 50", "rate = 52");
    let (left, right) = tokio::join!(
        fleet.put_document(1, &left, 1, "op-left"),
        fleet.put_document(2, &right, 1, "op-right"),
    );
    let (winner, loser, name) = if left.status == 200 {
        (left, right, "op-left")
    } else {
        (right, left, "op-right")
    };
    assert_eq!((winner.status.as_u16(), loser.status.as_u16()), (200, 409));
    let conflict = &loser.json()["error"]["conflict"];
    assert_eq!(conflict["winner"], name);
    assert_eq!(conflict["current_revision"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_get_the_first_response_from_any_host_and_after_a_restart() {
    let mut fleet = FleetFixture::with_document(3).await;
    let grant = json!({"team": "curepipe", "operation_id": "op-key"});
    let first_key = fleet.admin(0, "POST", "keys", &grant).await.json();
    let document = DOCUMENT.replace("rate = 50", "rate = 51");
    fleet.put_document(1, &document, 1, "op-1").await;
    fleet.put_document(1, DOCUMENT, 2, "op-2").await;
    for host in 0..3 {
        fleet.kill_host(host).await;
    }
    for host in 0..3 {
        fleet.start_host(host).await;
    }
    fleet.wait_ready(2).await;
    let resent = fleet.put_document(2, &document, 1, "op-1").await.json();
    assert_eq!(resent["revision"], 2, "{resent}");
    assert_eq!(fleet.revision(2).await, Some(3));
    let resent_key = fleet.admin(2, "POST", "keys", &grant).await.json();
    assert_eq!(resent_key["key"], first_key["key"]);
}

async fn kill_quorum(fleet: &mut FleetFixture) {
    for host in QUORUM_HOSTS {
        fleet.kill_host(host).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawal_without_a_quorum_propagates_and_is_committed_later() {
    let mut fleet = FleetFixture::with_document(4).await;
    let _engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(OBSERVER, "curepipe").await;
    assert_eq!(chat(&fleet, REMAINING_VOTER, &key).await.status, 200);
    kill_quorum(&mut fleet).await;
    let answer = withdraw(&fleet, OBSERVER, &key).await;
    assert_eq!(answer["logged"], false);
    assert_eq!(answer["stops_within_ms"], json!(null));
    let missing = answer["hosts_not_heard"].as_array().unwrap();
    let missing: Vec<_> = missing.iter().map(|location| &location["host"]).collect();
    assert_eq!(missing, ["host-1", "host-2"]);
    let refused = chat(&fleet, REMAINING_VOTER, &key).await;
    assert_eq!(refused.reason(), Some("withdrawn_key"));
    for host in QUORUM_HOSTS {
        fleet.start_host(host).await;
    }
    for host in QUORUM_HOSTS {
        wait_refused(&fleet, host, &key, "withdrawn_key").await;
    }
    let committed = || async { withdraw(&fleet, REMAINING_VOTER, &key).await["logged"] == true };
    eventually("the withdrawal is committed", committed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawal_survives_a_restart_of_every_host_that_has_it() {
    let mut fleet = FleetFixture::with_document(4).await;
    let key = fleet.grant_key(OBSERVER, "curepipe").await;
    kill_quorum(&mut fleet).await;
    withdraw(&fleet, OBSERVER, &key).await;
    fleet.kill_host(OBSERVER).await;
    fleet.kill_host(REMAINING_VOTER).await;
    for host in [QUORUM_HOSTS[0], REMAINING_VOTER] {
        fleet.start_host(host).await;
    }
    wait_refused(&fleet, QUORUM_HOSTS[0], &key, "withdrawn_key").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_its_lease_a_partitioned_host_refuses_keys_except_of_teams_served_through_a_cut() {
    let mut fleet = FleetFixture::with_document(4).await;
    let _engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(OBSERVER, "curepipe").await;
    let reserve_key = fleet.grant_key(OBSERVER, "rent-desk").await;
    kill_quorum(&mut fleet).await;
    for host in [OBSERVER, REMAINING_VOTER] {
        wait_refused(&fleet, host, &key, "key_view_stale").await;
        let refused = chat(&fleet, host, &key).await;
        assert_eq!(refused.verdict(), Some("not-run"));
        assert!(refused.field("retry-after").is_some());
        // The document sets `serve_through_cut` for the team of this key, so its requests
        // are served at its reserve rate. A request may have to wait for a token.
        let served = || async {
            let answer = chat(&fleet, host, &reserve_key).await;
            assert_ne!(answer.reason(), Some("key_view_stale"));
            answer.status == 200
        };
        eventually("the team is served through the cut", served).await;
    }
    fleet.start_host(QUORUM_HOSTS[0]).await;
    let served = || async { chat(&fleet, OBSERVER, &key).await.status == 200 };
    eventually("the key works again", served).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_and_waiting_requests_of_a_withdrawn_key_end() {
    let fleet = FleetFixture::with_document(3).await;
    let engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let mut running = Vec::new();
    for _ in 0..REQUESTS {
        let request = HttpRequest::post(fleet.ports(0).callers, CHAT, chat_body(2000, true));
        running.push(tokio::spawn(send(request.with_key(&key.text))));
    }
    eventually("streams run", || async { engine.load().running >= 8 }).await;
    withdraw(&fleet, 2, &key).await;
    let mut verdicts = BTreeSet::new();
    for request in running {
        let answer = request.await.unwrap().unwrap();
        let text = answer.text();
        assert!(text.contains("withdrawn_key"), "{} {text}", answer.status);
        assert!(!text.contains("[DONE]"));
        verdicts.insert(answer.verdict().unwrap().to_owned());
    }
    // The verdict of a stream that has started is `ran`; a queued request did not run.
    assert_eq!(Vec::from_iter(verdicts), ["not-run", "ran"]);
}
