//! Check-ins of servers that are late, repeated, or sent after a restart of the server or
//! a change of the broker.

use crate::support::{BrokerFixture, check_in, granted};
use chicoryladder_broker::{CheckInOutcome, ServerPhase};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;

fn leaving(sequence: u64) -> chicoryladder_broker::ServerCheckIn {
    let mut check_in = check_in("a1", "a", sequence);
    check_in.phase = ServerPhase::Leaving;
    check_in
}

#[test]
fn a_leaving_server_gets_no_new_work_and_never_returns() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let now = fixture.now;
    assert_eq!(
        fixture.broker.check_in(leaving(2), now),
        CheckInOutcome::Leaving
    );
    assert!(granted(&fixture.request_online()).is_none());
    // An older check-in of the same incarnation arrives late, or a newer one wrongly
    // reports the server as ready.
    assert_eq!(
        fixture.broker.check_in(check_in("a1", "a", 1), now),
        CheckInOutcome::Stale
    );
    fixture.broker.check_in(check_in("a1", "a", 3), now);
    assert!(granted(&fixture.request_online()).is_none());
}

#[test]
fn a_restarted_server_counts_as_new() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    fixture.broker.check_in(leaving(2), fixture.now);
    let mut restarted = check_in("a1", "a", 1);
    restarted.incarnation = 2;
    assert_eq!(
        fixture.broker.check_in(restarted, fixture.now),
        CheckInOutcome::Added
    );
    assert!(granted(&fixture.request_online()).is_some());
    // A delayed check-in of the previous incarnation is stale.
    assert_eq!(
        fixture.broker.check_in(check_in("a1", "a", 9), fixture.now),
        CheckInOutcome::Stale
    );
}

#[test]
fn a_server_without_check_ins_gets_no_work() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    for _ in 0..51 {
        fixture.tick(Duration::from_millis(100));
    }
    assert!(granted(&fixture.request_online()).is_none());
    fixture.broker.check_in(check_in("a1", "a", 2), fixture.now);
    assert!(granted(&fixture.request_online()).is_some());
}

/// The version of the directory must change, so that the copies for hosts that cannot reach
/// the broker and for the next broker are updated.
#[test]
fn a_lost_server_is_removed_from_the_directory_until_it_checks_in_again() {
    let mut fixture = BrokerFixture::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let version_before = fixture.broker.directory_version();
    for step in 0..51 {
        fixture.tick(Duration::from_millis(100));
        let check_in = check_in("a2", "a", 2 + step);
        fixture.broker.check_in(check_in, fixture.now);
    }
    assert_eq!(fixture.broker.servers().len(), 1);
    let version_after_loss = fixture.broker.directory_version();
    assert!(version_after_loss > version_before);
    fixture.broker.check_in(check_in("a1", "a", 2), fixture.now);
    assert_eq!(fixture.broker.servers().len(), 2);
    assert!(fixture.broker.directory_version() > version_after_loss);
}

/// When the broker is replaced, servers check in with the new one only a second or two
/// later. Until then it has to grant slots on the servers of its predecessor.
#[test]
fn a_new_broker_grants_slots_on_the_servers_of_its_predecessor() {
    let old = BrokerFixture::new(&[("a1", "a"), ("b1", "b")], Vec::new());
    let mut new = BrokerFixture::new(&[], Vec::new());
    new.now += Duration::from_secs(60);
    for check_in in old.broker.servers() {
        new.broker.restore_server(check_in, new.now);
    }
    for _ in 0..16 {
        assert!(granted(&new.request_online()).is_some());
    }
}

#[test]
fn a_departure_affects_only_the_incarnation_that_it_names() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let name = ServerName::try_from("a1").expect("it is valid");
    fixture.broker.mark_leaving(&name, Some(7));
    assert!(granted(&fixture.request_online()).is_some());
    fixture.broker.mark_leaving(&name, Some(1));
    assert!(granted(&fixture.request_online()).is_none());
}

#[test]
fn a_server_that_moved_to_another_service_serves_only_that_service() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let mut moved = check_in("a1", "a", 1);
    moved.incarnation = 2;
    moved.service = ServiceName::try_from("app").expect("it is valid");
    fixture.broker.check_in(moved, fixture.now);
    assert!(granted(&fixture.request_online()).is_none());
}

#[test]
fn repeated_check_ins_keep_one_record_per_server() {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    for sequence in 1..=20 {
        for server in 0..200 {
            let check_in = check_in(&format!("s{server}"), "a", sequence);
            fixture.broker.check_in(check_in, fixture.now);
        }
    }
    assert_eq!(fixture.broker.servers().len(), 200);
}
