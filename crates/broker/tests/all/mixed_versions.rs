//! Streams while servers of several software versions serve side by side. Pattern: entry
//! hosts die and servers crash under many streams at once, so that callers and hosts take the
//! streams up at a time at which other versions have more free slots.

use crate::support::{
    BrokerFixture, ENGINE, check_in, granted, plan, refused_after, requester, settings, zone,
};
use chicoryladder_broker::{
    BrokerEvent, RunOutcome, ServerCheckIn, SlotBroker, SlotDecision, SlotRequest, StreamId,
    StreamPart, StreamVersions, VERSION_NOTICE, VersionRecord, VersionStep, WorkKind,
};
use chicoryladder_types::{ServiceName, SoftwareVersion};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// The version of a server by its name: `v1-0`, `v2-3` and so on.
fn version_of(server: &str) -> &str {
    server.split('-').next().unwrap_or_default()
}

fn versioned(name: &str, zone: &str, sequence: u64) -> ServerCheckIn {
    ServerCheckIn {
        version: SoftwareVersion::from(version_of(name)),
        ..check_in(name, zone, sequence)
    }
}

/// A broker with servers of several versions, as many of each as given.
fn mixed_fixture(versions: &[(&str, usize)]) -> BrokerFixture {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    for (version, _) in versions {
        let record = record(version, VersionStep::InUse);
        fixture.broker.confirm_version(&record, fixture.now);
    }
    for (version, count) in versions {
        for number in 0..*count {
            let name = format!("{version}-{number}");
            let zone = ZONES[number % ZONES.len()];
            fixture
                .broker
                .check_in(versioned(&name, zone, 1), fixture.now);
        }
    }
    fixture
}

fn record(version: &str, step: VersionStep) -> VersionRecord {
    VersionRecord {
        service: ServiceName::try_from(ENGINE).expect("it is valid"),
        version: SoftwareVersion::from(version),
        step,
    }
}

fn attempt(number: u64) -> StreamId {
    StreamId::of_attempt(&format!("attempt-{number}"))
}

fn beginning(fixture: &mut BrokerFixture, number: u64) -> SlotRequest {
    SlotRequest {
        stream: Some(StreamPart::Beginning(attempt(number))),
        zone: zone(ZONES[usize::try_from(number).expect("it fits") % ZONES.len()]),
        ..fixture.slot_request(WorkKind::Online)
    }
}

/// The rest of a stream as another host asks for it, which does not know its version.
fn taken_up(fixture: &mut BrokerFixture, number: u64, from_zone: &str) -> SlotRequest {
    SlotRequest {
        stream: Some(StreamPart::Rest {
            stream: Some(attempt(number)),
            version: None,
        }),
        zone: zone(from_zone),
        ..fixture.slot_request(WorkKind::Online)
    }
}

fn submit_from(fixture: &mut BrokerFixture, host: &str, request: SlotRequest) -> Vec<BrokerEvent> {
    let requester = requester(host);
    fixture
        .broker
        .request_slot(&requester, request, fixture.now);
    fixture.broker.take_events()
}

/// Guards against streams that callers take up at another version, after the entry host died
/// that had relayed their first events.
#[test]
fn streams_that_callers_take_up_go_on_at_their_version() {
    let mut fixture = mixed_fixture(&[("v1", 6), ("v1.1", 4), ("v1.2", 2)]);
    let mut began = Vec::new();
    for number in 0..40 {
        let request = beginning(&mut fixture, number);
        let server = granted(&submit_from(&mut fixture, "entry-1", request));
        began.push(server.expect("a slot"));
    }
    // The broker has not noticed yet that the host died, so its slots are still taken.
    for (number, server) in (0..).zip(&began) {
        for from_zone in ZONES {
            let request = taken_up(&mut fixture, number, from_zone);
            let events = submit_from(&mut fixture, "entry-2", request);
            if let Some(next) = granted(&events) {
                let versions = (version_of(server), version_of(&next));
                assert_eq!(versions.0, versions.1, "{server} to {next}");
            }
        }
    }
}

/// Guards against streams that a host resumes at another version within one response.
#[test]
fn streams_that_hosts_resume_go_on_at_their_version() {
    let mut fixture = mixed_fixture(&[("v1", 2), ("v2", 6)]);
    for number in 0..12 {
        let request = beginning(&mut fixture, number);
        let server = granted(&submit_from(&mut fixture, "entry-1", request)).expect("a slot");
        let version = SoftwareVersion::from(version_of(&server));
        let request = SlotRequest {
            stream: Some(StreamPart::Rest {
                stream: Some(attempt(number)),
                version: Some(version),
            }),
            avoid: vec![server.as_str().try_into().expect("it is valid")],
            ..fixture.slot_request(WorkKind::Online)
        };
        let next = granted(&submit_from(&mut fixture, "entry-1", request)).expect("a slot");
        assert_eq!(version_of(&server), version_of(&next));
    }
}

/// Guards against a stream that waits until its deadline for a version that no server has
/// any more, or that goes on at another one.
#[test]
fn streams_of_a_version_that_is_gone_are_refused_at_once() {
    let mut fixture = mixed_fixture(&[("v1", 1)]);
    let request = beginning(&mut fixture, 1);
    assert!(granted(&submit_from(&mut fixture, "entry-1", request)).is_some());
    fixture
        .broker
        .check_in(versioned("v2-0", "a", 1), fixture.now);
    let name = "v1-0".try_into().expect("it is valid");
    fixture.broker.mark_leaving(&name, Some(1));
    let request = taken_up(&mut fixture, 1, "a");
    let events = submit_from(&mut fixture, "entry-2", request);
    assert!(refused_after(&events).is_some(), "{events:?}");
    assert_eq!(granted(&fixture.tick(Duration::ZERO)), None);
}

/// Guards against a stream of an unknown version that goes on at any of several.
#[test]
fn streams_of_unknown_versions_go_on_only_while_there_is_one() {
    let mut fixture = mixed_fixture(&[("v1", 2)]);
    let request = taken_up(&mut fixture, 1, "a");
    assert!(granted(&submit_from(&mut fixture, "entry-2", request)).is_some());
    fixture
        .broker
        .check_in(versioned("v2-0", "a", 1), fixture.now);
    let request = taken_up(&mut fixture, 2, "a");
    let events = submit_from(&mut fixture, "entry-2", request);
    assert!(refused_after(&events).is_some(), "{events:?}");
}

/// Guards against a version that the broker is not told, or is told again with each call.
#[test]
fn versions_are_reported_once_to_each_broker_unless_a_report_is_lost() {
    let now = Instant::now();
    let version = SoftwareVersion::from("v1");
    let mut streams = StreamVersions::default();
    streams.bind(attempt(1), &version, true, now);
    streams.bind(attempt(2), &version, false, now);
    streams.bind(attempt(2), &version, false, now);
    let reports = streams.take_reports(now);
    assert_eq!(reports.len(), 1);
    assert!(streams.take_reports(now).is_empty());
    streams.return_reports(&reports);
    assert_eq!(streams.take_reports(now), reports);
    streams.report_all(now);
    assert_eq!(streams.take_reports(now).len(), 2);
    // Callers have given up streams that are older.
    let later = now + Duration::from_secs(31);
    streams.report_all(later);
    assert!(streams.take_reports(later).is_empty());
}

/// The steps that the broker asks to record.
fn steps(events: &[BrokerEvent]) -> Vec<VersionRecord> {
    let step = |event: &BrokerEvent| match event {
        BrokerEvent::VersionStep(record) => Some(record.clone()),
        _ => None,
    };
    events.iter().filter_map(step).collect()
}

/// Lets time pass, and records each step that the broker asks for.
fn run(fixture: &mut BrokerFixture, time: Duration) -> Vec<VersionRecord> {
    const STEP: Duration = Duration::from_millis(50);
    let until = fixture.now + time;
    let mut recorded = Vec::new();
    while fixture.now < until {
        for record in steps(&fixture.tick(STEP)) {
            fixture.broker.confirm_version(&record, fixture.now);
            recorded.push(record);
        }
    }
    recorded
}

/// A new broker without servers, which takes over what an earlier one recorded.
fn next_broker(fixture: &mut BrokerFixture, records: &[VersionRecord], is_complete: bool) {
    fixture.broker = SlotBroker::new(settings());
    fixture.broker.set_plan(&plan(Vec::new()), fixture.now);
    let now = fixture.now;
    fixture.broker.restore_versions(records, is_complete, now);
}

/// A new broker took the only version among the servers that were left for the one that had
/// begun a stream, after the servers of the version before had just left.
#[test]
fn a_new_broker_does_not_join_streams_of_a_version_that_has_just_left() {
    let mut fixture = mixed_fixture(&[("v1", 2), ("v2", 2)]);
    let records = ["v1", "v2"].map(|version| record(version, VersionStep::InUse));
    next_broker(&mut fixture, &records, true);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 1), now);
    let request = taken_up(&mut fixture, 1, "a");
    let events = submit_from(&mut fixture, "entry-2", request);
    assert!(refused_after(&events).is_some(), "{events:?}");
    // Hosts that choose by themselves are told of it as well.
    let service = ServiceName::try_from(ENGINE).expect("it is valid");
    assert_eq!(fixture.broker.version_list().sole(&service), None);
    // Once no stream of the version can go on, the other one is the only one left.
    run(&mut fixture, Duration::from_secs(15));
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 2), now);
    let recorded = run(&mut fixture, Duration::from_secs(16));
    assert_eq!(recorded, [record("v1", VersionStep::Gone)]);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 3), now);
    let request = taken_up(&mut fixture, 2, "a");
    assert!(granted(&submit_from(&mut fixture, "entry-2", request)).is_some());
}

/// The same after brokers of a build that recorded no versions.
#[test]
fn a_new_broker_without_records_joins_no_streams_until_they_are_too_old() {
    let mut fixture = mixed_fixture(&[]);
    next_broker(&mut fixture, &[], false);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 1), now);
    let request = taken_up(&mut fixture, 1, "a");
    let events = submit_from(&mut fixture, "entry-2", request);
    assert!(refused_after(&events).is_some(), "{events:?}");
    let request = beginning(&mut fixture, 2);
    assert!(granted(&submit_from(&mut fixture, "entry-1", request)).is_some());
    run(&mut fixture, Duration::from_secs(31));
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 2), now);
    let request = taken_up(&mut fixture, 3, "a");
    assert!(granted(&submit_from(&mut fixture, "entry-2", request)).is_some());
}

/// A host that was out of step for a moment knew only the version before, and took it for the
/// one that had begun a stream elsewhere. It concludes nothing once its view is as old as the
/// notice, so no stream may begin at a new version before.
#[test]
fn streams_begin_at_a_new_version_only_after_all_recent_views_list_it() {
    let mut fixture = mixed_fixture(&[("v1", 1)]);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 1), now);
    let listed_before = fixture.broker.version_list();
    let notified = run(&mut fixture, VERSION_NOTICE);
    assert_eq!(notified, [record("v2", VersionStep::Announced)]);
    let service = ServiceName::try_from(ENGINE).expect("it is valid");
    let list = fixture.broker.version_list();
    assert_eq!(list.sole(&service), None);
    assert!(!list.may_begin(&service, &SoftwareVersion::from("v2")));
    assert!(!listed_before.may_begin(&service, &SoftwareVersion::from("v2")));
    for number in 0..12 {
        let request = beginning(&mut fixture, number);
        let server = granted(&submit_from(&mut fixture, "entry-1", request));
        assert!(server.is_none_or(|server| version_of(&server) == "v1"));
    }
    // Other requests use the free slots meanwhile.
    let request = fixture.slot_request(WorkKind::Online);
    let server = granted(&submit_from(&mut fixture, "entry-1", request));
    assert_eq!(server.as_deref(), Some("v2-0"));
    let used = run(&mut fixture, Duration::from_millis(200));
    assert_eq!(used, [record("v2", VersionStep::InUse)]);
    let request = beginning(&mut fixture, 12);
    let server = granted(&submit_from(&mut fixture, "entry-1", request));
    assert_eq!(server.as_deref(), Some("v2-0"));
}

/// The first version of a service waits for nothing, as no stream can be joined with it, and
/// neither does one that an earlier broker has put into use.
#[test]
fn the_first_version_and_versions_in_use_begin_streams_at_once() {
    let mut fixture = mixed_fixture(&[]);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v1-0", "a", 1), now);
    let request = beginning(&mut fixture, 1);
    assert!(granted(&submit_from(&mut fixture, "entry-1", request)).is_some());
    let recorded = run(&mut fixture, Duration::from_millis(50));
    assert_eq!(recorded, [record("v1", VersionStep::InUse)]);
    let records = [
        record("v1", VersionStep::InUse),
        record("v2", VersionStep::InUse),
    ];
    next_broker(&mut fixture, &records, true);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 1), now);
    let request = beginning(&mut fixture, 2);
    assert!(granted(&submit_from(&mut fixture, "entry-1", request)).is_some());
}

/// A step that could not be recorded is asked for again, and takes no effect meanwhile.
#[test]
fn a_step_that_was_not_recorded_is_asked_for_again() {
    let mut fixture = mixed_fixture(&[("v1", 1)]);
    let now = fixture.now;
    fixture.broker.check_in(versioned("v2-0", "a", 1), now);
    let asked = steps(&fixture.tick(Duration::from_millis(50)));
    assert_eq!(asked, [record("v2", VersionStep::Announced)]);
    assert!(steps(&fixture.tick(VERSION_NOTICE * 2)).is_empty());
    fixture.broker.retry_version(&asked[0]);
    assert_eq!(steps(&fixture.tick(Duration::from_millis(50))), asked);
}

/// The time that 100 slots take to be released and granted again while 1,000 streams are queued,
/// for one version if `is_bound`. Another version has free slots if `has_free`.
fn time_of_releases(is_bound: bool, has_free: bool) -> Duration {
    let mut fixture = mixed_fixture(&[("v1", 60), ("v2", usize::from(has_free))]);
    let streams = 60 * 8 + 1_000;
    let mut running = Vec::new();
    for number in 0..streams {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.first_answer_within = Duration::from_secs(600);
        request.wait_max = Duration::from_secs(600);
        request.stream = is_bound.then(|| StreamPart::Rest {
            stream: Some(attempt(number)),
            version: Some(SoftwareVersion::from("v1")),
        });
        let ticket = request.ticket;
        let events = fixture.submit(request);
        running.extend(granted(&events).map(|_| ticket));
    }
    assert_eq!(running.len(), 60 * 8);
    let began = Instant::now();
    for ticket in running.iter().take(100) {
        let events = fixture.release(*ticket, RunOutcome::Served);
        assert!(granted(&events).is_some_and(|server| server.starts_with("v1")));
    }
    began.elapsed()
}

/// The least of several measurements: other tests on the machine only add to a time.
fn least_time_of_releases(is_bound: bool, has_free: bool) -> Duration {
    const MEASUREMENTS: usize = 4;
    let times = (0..MEASUREMENTS).map(|_| time_of_releases(is_bound, has_free));
    times.min().unwrap_or_default()
}

/// Each free slot must not cost a search of all servers for each of the streams that wait for
/// the same version, or the broker comes to a halt under overload.
#[test]
fn queued_streams_of_one_version_do_not_multiply_the_work() {
    let unbound = least_time_of_releases(false, false);
    for has_free in [false, true] {
        let bound = least_time_of_releases(true, has_free);
        println!("unbound {unbound:?}, bound {bound:?}");
        // A search for each of them takes 500 times as long as one search.
        let bound_max = unbound * 60 + Duration::from_millis(100);
        assert!(bound < bound_max, "{bound:?}, {unbound:?}");
    }
}

/// A stream that was passed over must not hold up one of the same version that needs less
/// memory.
#[test]
fn a_smaller_stream_of_the_same_version_gets_the_slot() {
    let mut fixture = mixed_fixture(&[("v1", 1)]);
    let mut tickets = Vec::new();
    for tokens in [60_000, 40_000, 45_000, 50_000, 5_000] {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.first_answer_within = Duration::from_secs(600);
        request.wait_max = Duration::from_secs(600);
        request.tokens = tokens;
        request.stream = Some(StreamPart::Rest {
            stream: None,
            version: Some(SoftwareVersion::from("v1")),
        });
        tickets.push(request.ticket);
        fixture.submit(request);
    }
    let of_ticket = |ticket: u64, events: &[BrokerEvent]| {
        events.iter().any(|event| {
            matches!(event, BrokerEvent::Decided { ticket: decided, decision, .. }
                if *decided == ticket && matches!(decision, SlotDecision::Granted { .. }))
        })
    };
    let events = fixture.release(tickets[1], RunOutcome::Served);
    assert!(!of_ticket(tickets[2], &events));
    assert!(!of_ticket(tickets[3], &events));
    assert!(of_ticket(tickets[4], &events));
}
