//! Drained zones: their servers get no work, and what cannot run elsewhere is refused at once.

use crate::support::{
    BrokerFixture, check_in, granted, plan, refusal, refused_after, requester, stopped, zone,
};
use chicoryladder_broker::{
    BrokerEvent, RunOutcome, SlotRefusalReason, StreamId, StreamPart, WorkKind,
};
use chicoryladder_plan::{ColdTerms, ServicePlan};
use chicoryladder_types::SoftwareVersion;
use chicoryladder_types::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// The slots of each server.
const SLOTS: usize = 8;

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| zone(name)).collect()
}

fn drain(fixture: &mut BrokerFixture, names: &[&str]) -> Vec<BrokerEvent> {
    let now = fixture.now;
    fixture.broker.set_drained_zones(&zones(names), now);
    fixture.broker.take_events()
}

/// Guards against first attempts and retries in a drained zone, although it is the caller's
/// own and the others are full.
#[test]
fn online_requests_get_no_slot_in_a_drained_zone() {
    let mut fixture = BrokerFixture::with_servers(2, &["a", "b"]);
    drain(&mut fixture, &["a"]);
    for _ in 0..SLOTS {
        assert_eq!(granted(&fixture.request_online()).as_deref(), Some("s1"));
    }
    assert_eq!(granted(&fixture.request_online()), None);
    // A retry that avoids the only other server must not come back to the drained one.
    let mut retry = fixture.slot_request(WorkKind::Online);
    retry.avoid = vec![ServerName::try_from("s1").expect("it is valid")];
    assert_eq!(granted(&fixture.submit(retry)), None);
    for _ in 0..40 {
        assert_eq!(granted(&fixture.tick(Duration::from_millis(25))), None);
    }
}

/// Guards against queued requests that are granted a drained slot when a run there ends.
#[test]
fn a_slot_that_is_freed_in_a_drained_zone_is_not_given_to_queued_requests() {
    let mut fixture = BrokerFixture::with_servers(2, &["a", "b"]);
    let mut tickets = Vec::new();
    for _ in 0..2 * SLOTS {
        let ticket = fixture.next_ticket;
        let server = granted(&fixture.request_online()).expect("a free slot");
        tickets.push((server, ticket));
    }
    assert_eq!(granted(&fixture.request_online()), None);
    assert_eq!(granted(&fixture.request_batch()), None);
    let events = drain(&mut fixture, &["a"]);
    assert_eq!(refusal(&events), None, "the other zone still serves");
    let of_drained = tickets.iter().filter(|(server, _)| server == "s0");
    for (_, ticket) in of_drained {
        let events = fixture.release(*ticket, RunOutcome::Served);
        assert_eq!(granted(&events), None);
    }
    let other = tickets.iter().find(|(server, _)| server == "s1");
    let (_, ticket) = other.expect("a run in the other zone");
    let events = fixture.release(*ticket, RunOutcome::Served);
    assert_eq!(granted(&events).as_deref(), Some("s1"));
}

/// Guards against an online request that preempts an item in a drained zone and takes its
/// slot, and against a drain that stops runs in progress.
#[test]
fn items_of_a_drained_zone_run_on_and_are_not_preempted() {
    let mut fixture = BrokerFixture::with_servers(1, &["a"]);
    let item = fixture.request_batch();
    assert_eq!(granted(&item).as_deref(), Some("s0"));
    let item_ticket = fixture.next_ticket - 1;
    fixture.broker.check_in(check_in("s1", "b", 1), fixture.now);
    fixture.broker.take_events();
    let events = drain(&mut fixture, &["a"]);
    assert_eq!(stopped(&events), None);
    for _ in 0..SLOTS {
        let events = fixture.request_online();
        assert_eq!(granted(&events).as_deref(), Some("s1"));
        assert_eq!(stopped(&events), None);
    }
    let events = fixture.request_online();
    assert_eq!((granted(&events), stopped(&events)), (None, None));
    assert_eq!(granted(&fixture.request_batch()), None);
    // The release of the undisturbed run gives its slot to nobody.
    let events = fixture.release(item_ticket, RunOutcome::Served);
    assert_eq!(granted(&events), None);
}

/// Guards against streams that are resumed in a drained zone because its servers alone have
/// their version, and against a wait for that version.
#[test]
fn a_stream_is_not_resumed_in_a_drained_zone() {
    let mut fixture = BrokerFixture::with_servers(1, &["a"]);
    let mut other = check_in("s1", "b", 1);
    other.version = SoftwareVersion::from("v2");
    fixture.broker.check_in(other, fixture.now);
    drain(&mut fixture, &["a"]);
    let rest = |version: &str| {
        Some(StreamPart::Rest {
            stream: Some(StreamId::of_attempt("first")),
            version: Some(SoftwareVersion::from(version)),
        })
    };
    let mut request = fixture.slot_request(WorkKind::Online);
    request.stream = rest("v1");
    let events = fixture.submit(request);
    assert_eq!(refusal(&events), Some(SlotRefusalReason::VersionGone));
    let mut request = fixture.slot_request(WorkKind::Online);
    request.stream = rest("v2");
    assert_eq!(granted(&fixture.submit(request)).as_deref(), Some("s1"));
}

/// Guards against requests that wait for their time limit when every zone with servers is
/// drained: new ones and queued ones are refused at once, with a time to retry.
#[test]
fn requests_are_refused_at_once_if_all_zones_are_drained() {
    let mut fixture = BrokerFixture::with_servers(2, &["a", "b"]);
    for _ in 0..2 * SLOTS {
        assert!(granted(&fixture.request_online()).is_some());
    }
    assert!(fixture.request_online().is_empty(), "it is queued");
    assert!(!fixture.broker.is_wholly_drained());
    let events = drain(&mut fixture, &["a", "b"]);
    assert_eq!(refusal(&events), Some(SlotRefusalReason::NoServer));
    assert!(refused_after(&events).is_some_and(|after| !after.is_zero()));
    assert!(fixture.broker.is_wholly_drained());
    for kind in [WorkKind::Online, WorkKind::Batch] {
        let request = fixture.slot_request(kind);
        let events = fixture.submit(request);
        assert_eq!(refusal(&events), Some(SlotRefusalReason::NoServer));
        assert!(refused_after(&events).is_some_and(|after| !after.is_zero()));
    }
    // The zones of servers count, not those without any.
    fixture.broker.check_in(check_in("s2", "c", 1), fixture.now);
    assert!(!fixture.broker.is_wholly_drained());
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("s2"));
}

/// Guards against requests that stay queued after a drain was withdrawn, and against a
/// repeated order that changes what is known of the withdrawal.
#[test]
fn a_withdrawn_drain_serves_what_is_queued_and_is_remembered() {
    let mut fixture = BrokerFixture::with_servers(2, &["a", "b"]);
    let start = fixture.now;
    drain(&mut fixture, &["a"]);
    let version = fixture.broker.directory_version();
    drain(&mut fixture, &["a"]);
    assert_eq!(fixture.broker.directory_version(), version);
    for _ in 0..SLOTS {
        assert!(granted(&fixture.request_online()).is_some());
    }
    assert!(fixture.request_online().is_empty(), "it is queued");
    assert_eq!(fixture.broker.undrained_at(&zone("a")), None);
    fixture.now = start + Duration::from_millis(100);
    let events = drain(&mut fixture, &[]);
    assert_eq!(granted(&events).as_deref(), Some("s0"));
    assert!(fixture.broker.directory_version() > version);
    let withdrawn_at = fixture.now;
    fixture.now += Duration::from_secs(1);
    drain(&mut fixture, &[]);
    let undrained_at = fixture.broker.undrained_at(&zone("a"));
    assert_eq!(undrained_at, Some(withdrawn_at));
    assert_eq!(fixture.broker.undrained_at(&zone("b")), None);
    drain(&mut fixture, &["a"]);
    assert_eq!(fixture.broker.undrained_at(&zone("a")), None);
}

/// Guards against a server that is taken for one of another zone: a new incarnation, or one
/// that checks in for the first time, is drained by the zone that it names.
#[test]
fn servers_that_check_in_later_are_drained_by_their_zone() {
    let mut fixture = BrokerFixture::with_servers(1, &["b"]);
    drain(&mut fixture, &["a"]);
    fixture.broker.check_in(check_in("s1", "a", 1), fixture.now);
    let mut restarted = check_in("s0", "a", 1);
    restarted.incarnation = 2;
    fixture.broker.check_in(restarted, fixture.now);
    let events = fixture.request_online();
    assert_eq!(refusal(&events), Some(SlotRefusalReason::NoServer));
    // Hosts that may lead next need all servers.
    assert_eq!(fixture.broker.servers().len(), 2);
}

/// Guards against a new leader that forgets when a drain was withdrawn, so that it takes the
/// servers of the zone for warm.
#[test]
fn a_new_broker_takes_over_when_a_drain_was_withdrawn() {
    let mut fixture = BrokerFixture::with_servers(1, &["a"]);
    let at = fixture.now;
    fixture.now += Duration::from_secs(2);
    drain(&mut fixture, &["b"]);
    fixture
        .broker
        .restore_undrained(&zone("a"), at, fixture.now);
    fixture
        .broker
        .restore_undrained(&zone("b"), at, fixture.now);
    assert_eq!(fixture.broker.undrained_at(&zone("a")), Some(at));
    assert_eq!(fixture.broker.undrained_at(&zone("b")), None);
    let request = fixture.slot_request(WorkKind::Online);
    let now = fixture.now;
    fixture
        .broker
        .request_slot(&requester("entry-1"), request, now);
    assert_eq!(
        granted(&fixture.broker.take_events()).as_deref(),
        Some("s0")
    );
}

/// Guards against servers that became cold while their zone was drained and are flooded once it
/// is not: their last check-in says that they are warm.
#[test]
fn servers_of_a_zone_are_paced_after_its_drain_was_withdrawn() {
    let mut fixture = BrokerFixture::with_servers(1, &["a"]);
    let mut raw = plan(Vec::new()).raw().clone();
    let terms = ColdTerms {
        duration: Duration::from_secs(3),
        per_second: 6.2,
    };
    let engine = raw.services[0].name.clone();
    raw.terms.0.cold.insert(engine, terms);
    let cold_plan = ServicePlan::try_from(raw).expect("it is valid");
    fixture.broker.set_plan(&cold_plan, fixture.now);
    drain(&mut fixture, &["a"]);
    fixture.now += Duration::from_secs(1);
    drain(&mut fixture, &[]);
    assert_eq!(fixture.broker.cold_servers(fixture.now), 1);
    assert_eq!(granted(&fixture.request_online()), None);
    fixture.now += Duration::from_secs(3);
    assert_eq!(fixture.broker.cold_servers(fixture.now), 0);
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("s0"));
}
