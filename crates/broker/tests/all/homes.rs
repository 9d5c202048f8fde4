//! Requests with homes: they run only in areas that their route and team allow.

use crate::support::{
    BrokerFixture, check_in, granted, plan, refusal, refused_after, requester, settings, stopped,
    zone,
};
use chicoryladder_broker::{
    BrokerEvent, BrokerSettings, BrokerlessView, CallerTerms, ColdServerView, EngineMemory,
    LeavingServers, NamedLimits, RunOutcome, SlotBroker, SlotDecision, SlotRefusalReason,
    SlotRequest, StreamId, StreamPart, WorkKind, ZoneAreas, ZoneRoster,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// The slots of each server.
const SLOTS: usize = 8;

fn area(name: &str) -> AreaName {
    AreaName::try_from(name).expect("it is valid")
}

/// Zones `a` and `b` in the north, `c` in the south; `d` is not in the settings.
fn areas() -> ZoneAreas {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let zones = zones.map(|(name, of)| (zone(name), area(of)));
    ZoneAreas::new(&BTreeMap::from(zones))
}

/// A broker with servers `s0` and so on in the given zones.
fn fixture(zones: &[&str], pressure: bool) -> BrokerFixture {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    fixture.broker = SlotBroker::new(BrokerSettings {
        areas: areas(),
        pressure,
        ..settings()
    });
    fixture.broker.set_plan(&plan(Vec::new()), fixture.now);
    for (number, name) in zones.iter().enumerate() {
        let server = check_in(&format!("s{number}"), name, 1);
        fixture.broker.check_in(server, fixture.now);
    }
    fixture
}

fn request(fixture: &mut BrokerFixture, kind: WorkKind, homes: &[&str]) -> SlotRequest {
    let mut request = fixture.slot_request(kind);
    request.homes = Some(homes.iter().map(|name| area(name)).collect());
    request
}

fn submit(fixture: &mut BrokerFixture, kind: WorkKind, homes: &[&str]) -> Vec<BrokerEvent> {
    let request = request(fixture, kind, homes);
    fixture.submit(request)
}

/// Guards against first attempts and retries in another area, although the caller is there and
/// the servers at home are full.
#[test]
fn requests_get_slots_at_home_only() {
    let mut fixture = fixture(&["a", "c"], false);
    for _ in 0..SLOTS {
        let events = submit(&mut fixture, WorkKind::Online, &["south"]);
        assert_eq!(granted(&events).as_deref(), Some("s1"));
    }
    assert_eq!(
        granted(&submit(&mut fixture, WorkKind::Online, &["south"])),
        None
    );
    assert_eq!(
        granted(&submit(&mut fixture, WorkKind::Batch, &["south"])),
        None
    );
    let mut retry = request(&mut fixture, WorkKind::Online, &["south"]);
    retry.avoid = vec![ServerName::try_from("s1").expect("it is valid")];
    assert_eq!(granted(&fixture.submit(retry)), None);
    for _ in 0..40 {
        assert_eq!(granted(&fixture.tick(Duration::from_millis(25))), None);
    }
    let events = submit(&mut fixture, WorkKind::Online, &["north", "south"]);
    assert_eq!(granted(&events).as_deref(), Some("s0"));
    assert_eq!(granted(&fixture.request_online()).as_deref(), Some("s0"));
}

/// Guards against requests that wait, or run anywhere, if no server is allowed: none is in a
/// home, the only one is in a zone that the settings do not name, or the route and the team
/// allow no area in common.
#[test]
fn a_request_is_refused_at_once_if_no_server_is_at_home() {
    let mut fixture = fixture(&["a", "d"], false);
    for kind in [WorkKind::Online, WorkKind::Batch] {
        for homes in [&["south"][..], &["west"], &[]] {
            let events = submit(&mut fixture, kind, homes);
            assert_eq!(refusal(&events), Some(SlotRefusalReason::NoHomeServer));
            assert!(refused_after(&events).is_some_and(|after| !after.is_zero()));
        }
    }
    assert!(granted(&fixture.request_online()).is_some());
}

/// Guards against queued requests that wait on after the last server at home was drained.
#[test]
fn queued_requests_are_refused_when_their_home_is_drained() {
    let mut fixture = fixture(&["a", "c"], false);
    for _ in 0..SLOTS {
        submit(&mut fixture, WorkKind::Online, &["south"]);
    }
    let events = submit(&mut fixture, WorkKind::Online, &["south"]);
    assert!(events.is_empty(), "it is queued");
    let drained = BTreeSet::from([zone("c")]);
    fixture.broker.set_drained_zones(&drained, fixture.now);
    let events = fixture.broker.take_events();
    assert_eq!(refusal(&events), Some(SlotRefusalReason::NoHomeServer));
    assert_eq!(granted(&events), None);
}

/// Guards against a request that waits for its home while a free slot elsewhere is withheld
/// from those behind it.
#[test]
fn a_request_that_waits_for_its_home_blocks_no_others() {
    for pressure in [false, true] {
        let mut fixture = fixture(&["a", "c"], pressure);
        let mut in_north = None;
        for _ in 0..2 * SLOTS {
            let ticket = fixture.next_ticket;
            let server = granted(&fixture.request_online()).expect("a free slot");
            if server == "s0" {
                in_north = Some(ticket);
            }
        }
        let homed = request(&mut fixture, WorkKind::Online, &["south"]);
        let homed_ticket = homed.ticket;
        let other = fixture.slot_request(WorkKind::Online);
        let other_ticket = other.ticket;
        for request in [homed, other] {
            let terms = pressure.then_some(CallerTerms {
                team: None,
                returned: false,
                target_left: Duration::from_secs(2),
                time_left: Duration::from_secs(4),
            });
            let id = requester("entry-1");
            let broker = &mut fixture.broker;
            broker.request_slot_for(&id, request, terms, fixture.now);
            assert!(broker.take_events().is_empty(), "it is queued");
        }
        let ticket = in_north.expect("a run in the north");
        let events = fixture.release(ticket, RunOutcome::Served);
        assert_eq!(granted(&events).as_deref(), Some("s0"));
        let is_other = |event: &BrokerEvent| matches!(event, BrokerEvent::Decided { ticket, .. } if *ticket == other_ticket);
        assert!(
            events.iter().any(is_other),
            "{events:?}, not {homed_ticket}"
        );
    }
}

/// Guards against callers that wait until their time limit for a home which is too small, since
/// the whole fleet counts as taking up the requests ahead of them.
#[test]
fn the_predicted_wait_counts_the_servers_at_home() {
    let mut fixture = fixture(&["c", "a", "a", "a", "a", "a", "a", "a"], false);
    for _ in 0..SLOTS {
        assert!(granted(&submit(&mut fixture, WorkKind::Online, &["south"])).is_some());
    }
    let queued = (0..40).filter(|_| {
        let events = submit(&mut fixture, WorkKind::Online, &["south"]);
        let is_queued = events.is_empty();
        let is_refused = matches!(refusal(&events), Some(SlotRefusalReason::NoSlot(_)));
        assert!(is_queued || is_refused, "{events:?}");
        is_queued
    });
    // 8 slots of 0.5 s take up 4 requests within 250 ms.
    assert_eq!(queued.count(), 4);
}

/// Lets 80 callers ask for slots at once under the feature `pressure`, half of them for the second
/// time; returns how many are queued, and how many of those get a slot.
fn queue_under_pressure(zones: &[&str], homes: Option<&str>) -> (usize, usize) {
    let mut fixture = fixture(zones, true);
    let mut running = Vec::new();
    let mut queued = 0;
    for number in 0..80 {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.homes = homes.map(|home| BTreeSet::from([area(home)]));
        let ticket = request.ticket;
        let terms = CallerTerms {
            team: None,
            returned: number % 2 == 1,
            target_left: Duration::from_secs(1),
            time_left: Duration::from_secs(2),
        };
        let id = requester("entry-1");
        let broker = &mut fixture.broker;
        broker.request_slot_for(&id, request, Some(terms), fixture.now);
        let events = broker.take_events();
        if granted(&events).is_some() {
            running.push((ticket, fixture.now));
        }
        queued += usize::from(events.is_empty());
    }
    let mut served = 0;
    for _ in 0..300 {
        let mut events = fixture.tick(Duration::from_millis(10));
        let now = fixture.now;
        let ended = running.extract_if(.., |(_, since)| now - *since >= Duration::from_millis(500));
        let ended: Vec<_> = ended.collect();
        for (ticket, _) in ended {
            events.extend(fixture.release(ticket, RunOutcome::Served));
        }
        for event in events {
            if let BrokerEvent::Decided {
                ticket,
                decision: SlotDecision::Granted { .. },
                ..
            } = event
            {
                running.push((ticket, now));
                served += 1;
            }
        }
    }
    (queued, served)
}

/// Guards against the same under the feature `pressure`. The queue may be longer than that of a
/// fleet of the servers at home alone by what they take up at once, since the forecast of late
/// requests knows no areas.
#[test]
fn requests_with_homes_are_queued_nearly_as_if_there_were_no_other_servers() {
    let fleet = ["c", "a", "a", "a", "a", "a", "a", "a"];
    let (queued, served) = queue_under_pressure(&fleet, Some("south"));
    let (queued_alone, served_alone) = queue_under_pressure(&["c"], None);
    let counts = format!("{served} of {queued}, {served_alone} of {queued_alone} alone");
    assert!(served >= served_alone, "{counts}");
    assert!(queued <= queued_alone + SLOTS, "{counts}");
}

/// Guards against an online request that preempts an item in another area and takes its slot,
/// and against an item that gets one there.
#[test]
fn only_items_at_home_are_preempted() {
    let mut fixture = fixture(&["a"], false);
    assert_eq!(granted(&fixture.request_batch()).as_deref(), Some("s0"));
    fixture.broker.check_in(check_in("s1", "c", 1), fixture.now);
    fixture.broker.take_events();
    for _ in 0..SLOTS {
        let events = submit(&mut fixture, WorkKind::Online, &["south"]);
        assert_eq!(granted(&events).as_deref(), Some("s1"));
        assert_eq!(stopped(&events), None);
    }
    let events = submit(&mut fixture, WorkKind::Online, &["south"]);
    assert_eq!((granted(&events), stopped(&events)), (None, None));
    let events = submit(&mut fixture, WorkKind::Batch, &["south"]);
    assert_eq!(granted(&events), None);
    let events = submit(&mut fixture, WorkKind::Batch, &["north"]);
    assert_eq!(granted(&events).as_deref(), Some("s0"));
}

/// Guards against streams that are resumed in another area, because only servers there have
/// their version.
#[test]
fn a_stream_is_resumed_at_home_only() {
    let mut fixture = fixture(&["a"], false);
    let mut other = check_in("s1", "c", 1);
    other.version = SoftwareVersion::from("v2");
    fixture.broker.check_in(other, fixture.now);
    fixture.broker.take_events();
    let mut rest = |version: &str| {
        let mut request = request(&mut fixture, WorkKind::Online, &["north"]);
        request.stream = Some(StreamPart::Rest {
            stream: Some(StreamId::of_attempt("first")),
            version: Some(SoftwareVersion::from(version)),
        });
        fixture.submit(request)
    };
    assert_eq!(granted(&rest("v1")).as_deref(), Some("s0"));
    assert_eq!(refusal(&rest("v2")), Some(SlotRefusalReason::VersionGone));
}

/// Guards against a host without the broker that takes a server of its own zone, or a free one,
/// for a request with homes elsewhere.
#[test]
fn a_host_without_the_broker_chooses_servers_at_home() {
    let mut fixture = fixture(&[], false);
    let servers = [
        check_in("a1", "a", 1),
        check_in("c1", "c", 1),
        check_in("d1", "d", 1),
    ];
    let mut choose = |homes: &[&str], runs: &HashMap<ServerName, u32>| {
        let request = request(&mut fixture, WorkKind::Online, homes);
        let view = BrokerlessView {
            memory: &EngineMemory::default(),
            areas: &areas(),
            versions: None,
            servers: &servers,
            own_runs: runs,
            unreachable: &HashSet::new(),
            leaving: &LeavingServers::default(),
            limits: &NamedLimits::default(),
            cold: ColdServerView::default(),
            roster: &ZoneRoster::default(),
            now: fixture.now,
        };
        view.choose(&request).map(|server| server.name.to_string())
    };
    let idle = HashMap::new();
    assert_eq!(choose(&["south"], &idle).as_deref(), Some("c1"));
    assert_eq!(choose(&["north", "south"], &idle).as_deref(), Some("a1"));
    assert_eq!(choose(&["west"], &idle), None);
    assert_eq!(choose(&[], &idle), None);
    let name = ServerName::try_from("c1").expect("it is valid");
    assert_eq!(choose(&["south"], &HashMap::from([(name, 8)])), None);
}

/// Guards against bodies that go to hosts of another area, by a tunnel or into the storage of
/// jobs.
#[test]
fn bodies_go_to_hosts_at_home_and_in_the_own_area() {
    let areas = areas();
    let south = BTreeSet::from([area("south")]);
    let allows = |own: &str, other: &str| areas.allows_host(&south, &zone(own), &zone(other));
    assert!(allows("a", "a") && allows("a", "b") && allows("a", "c"));
    assert!(allows("c", "c") && !allows("c", "a") && !allows("a", "d"));
    // Two zones that the settings do not name are not known to be in one area.
    assert!(allows("d", "d") && !allows("d", "e") && !allows("d", "a"));
    assert_eq!(areas.foreign_zone(&south, &zone("a")), None);
    let foreign = areas.foreign_zone(&south, &zone("c"));
    assert_eq!(foreign, Some((&zone("a"), &area("north"))));
}
