//! The replicated state when hosts are lost or shut down, changes of seats, and
//! commands that exceed one message.

use crate::fixture::{DOCUMENT, FleetFixture, HttpRequest, eventually, job_lines, send};
use serde_json::json;

/// Waits until the given revision or a later one is in force on a host.
async fn wait_revision(fleet: &FleetFixture, host: usize, revision: u64) {
    let reached = || async { fleet.revision(host).await >= Some(revision) };
    eventually("the revision is in force on the host", reached).await;
}

/// The current leader as reported by host `queried`.
async fn leader(fleet: &FleetFixture, queried: usize, hosts: usize) -> Option<usize> {
    let answer = fleet
        .admin(queried, "GET", "seats", &json!({}))
        .await
        .json();
    let address = answer["leader"].as_str()?.to_owned();
    (0..hosts).find(|host| fleet.ports(*host).peers.to_string() == address)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_the_loss_of_the_leader() {
    let mut fleet = FleetFixture::with_document(5).await;
    let changed = DOCUMENT.replace("rate = 50", "rate = 51");
    let change = fleet.change_document(4, &changed, 1, "second-document");
    assert_eq!(change.await, 2);
    let lost = leader(&fleet, 0, 3).await.expect("a leader");
    fleet.kill_host(lost).await;
    for host in (0..5).filter(|host| *host != lost) {
        wait_revision(&fleet, host, 2).await;
        fleet.wait_ready(host).await;
    }
    let queried = (0..3).find(|host| *host != lost).expect("a host");
    let again = fleet.change_document(4, &changed, 1, "second-document");
    assert_eq!(again.await, 2);
    let other = fleet.change_document(queried, DOCUMENT, 2, "third-document");
    assert_eq!(other.await, 3);
    fleet.start_host(lost).await;
    for host in 0..5 {
        wait_revision(&fleet, host, 3).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_without_a_quorum_accepts_no_change_and_a_restart_applies_none() {
    let mut fleet = FleetFixture::with_document(3).await;
    fleet.kill_host(1).await;
    fleet.kill_host(2).await;
    let changed = DOCUMENT.replace("rate = 50", "rate = 51");
    let refused = fleet.put_document(0, &changed, 1, "lone-document").await;
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.reason(), Some("no_quorum"));
    assert_eq!(fleet.revision(0).await, Some(1));
    fleet.start_host(1).await;
    fleet.start_host(2).await;
    for host in 0..3 {
        fleet.wait_ready(host).await;
    }
    let again = fleet.change_document(1, &changed, 1, "lone-document");
    assert_eq!(again.await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn leadership_moves_before_the_leader_stops() {
    let mut fleet = FleetFixture::with_document(3).await;
    let old = leader(&fleet, 0, 3).await.expect("a leader");
    let host = fleet.take_host(old);
    host.shutdown().await;
    let queried = (0..3).find(|host| *host != old).expect("a host");
    let moved = || async {
        let next = leader(&fleet, queried, 3).await;
        next.is_some() && next != Some(old)
    };
    eventually("another host leads", moved).await;
    let changed = DOCUMENT.replace("rate = 50", "rate = 51");
    let answer = fleet
        .put_document(queried, &changed, 1, "second-document")
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_holds_one_seat_and_a_lagging_learner_is_not_promoted() {
    let fleet = FleetFixture::with_document(3).await;
    let address = fleet.ports(2).peers;
    let add = json!({"change": "add", "seat": 4, "address": address});
    let refused = fleet.admin(0, "POST", "seats", &add).await;
    assert_eq!(refused.status, 409, "{}", refused.text());
    let remove = json!({"change": "remove", "seat": 3});
    let removed = fleet.admin(0, "POST", "seats", &remove).await;
    assert_eq!(removed.status, 200, "{}", removed.text());
    let added = fleet.admin(1, "POST", "seats", &add).await;
    assert_eq!(added.status, 200, "{}", added.text());
    let promote = json!({"change": "promote", "seat": 4});
    let behind = fleet.admin(1, "POST", "seats", &promote).await;
    assert_eq!(behind.status, 409, "{}", behind.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_larger_than_one_message_is_accepted_by_any_host() {
    let fleet = FleetFixture::with_document(4).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let callers = fleet.ports(3).callers;
    let known = || async {
        let request = HttpRequest::get(callers, "/v1/batches/0").with_key(&key.text);
        send(request).await.unwrap().status != 401
    };
    eventually("the key is known", known).await;
    let items = job_lines(12_000);
    assert!(items.len() > 1_500_000);
    let request = HttpRequest::post(callers, "/v1/batches", items).with_key(&key.text);
    let answer = send(request).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["request_counts"]["total"], 12_000);
}
