//! Servers that say in their responses that they leave: what a host remembers, and what
//! the broker makes of its reports. Pattern: many servers replaced at once, while check-ins
//! are late and hosts out of touch.

use crate::support::{BrokerFixture, check_in, granted, refused_after};
use chicoryladder_broker::{
    BrokerlessView, ColdServerView, EngineMemory, LeavingServers, NamedLimits, RunOutcome,
    ServerCheckIn, WorkKind, ZoneAreas, ZoneRoster,
};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

fn name(text: &str) -> ServerName {
    ServerName::try_from(text).expect("a valid test value")
}

fn incarnation_of(check_in: ServerCheckIn, incarnation: u64) -> ServerCheckIn {
    ServerCheckIn {
        incarnation,
        ..check_in
    }
}

#[test]
fn a_mark_holds_for_the_incarnation_and_earlier_ones() {
    let now = Instant::now();
    let mut leaving = LeavingServers::default();
    assert!(leaving.mark(&name("a1"), 5, now));
    assert!(!leaving.mark(&name("a1"), 5, now));
    assert!(leaving.is_leaving(&name("a1"), 5) && leaving.is_leaving(&name("a1"), 4));
    assert!(!leaving.is_leaving(&name("a1"), 6) && !leaving.is_leaving(&name("a2"), 5));
    // A response of an earlier incarnation, read late.
    assert!(!leaving.mark(&name("a1"), 4, now));
    assert!(leaving.is_leaving(&name("a1"), 5));
    leaving.observe(&name("a1"), 5);
    assert_eq!(leaving.len(), 1);
    leaving.observe(&name("a1"), 6);
    assert!(leaving.is_empty());
}

#[test]
fn a_mark_is_reported_once_unless_the_report_is_lost() {
    let now = Instant::now();
    let mut leaving = LeavingServers::default();
    leaving.mark(&name("a1"), 1, now);
    leaving.mark(&name("a2"), 1, now);
    leaving.mark(&name("a1"), 1, now);
    let reports = leaving.take_reports();
    assert_eq!(reports.len(), 2);
    assert!(leaving.take_reports().is_empty());
    leaving.mark(&name("a2"), 2, now);
    leaving.return_reports(&reports);
    let mut again = leaving.take_reports();
    again.sort_by_key(|report| report.incarnation);
    // The newer incarnation replaced the mark of the lost report.
    let again: Vec<_> = again
        .iter()
        .map(|r| (r.server.as_str(), r.incarnation))
        .collect();
    assert_eq!(again, [("a1", 1), ("a2", 2)]);
}

#[test]
fn marks_are_bounded_and_the_oldest_are_dropped_first() {
    let start = Instant::now();
    let mut leaving = LeavingServers::default();
    for number in 0..10_000u64 {
        let now = start + Duration::from_millis(number);
        leaving.mark(&name(&format!("s{number}")), 1, now);
    }
    assert_eq!(leaving.len(), 4_096);
    assert!(leaving.is_leaving(&name("s9999"), 1) && !leaving.is_leaving(&name("s0"), 1));
}

#[test]
fn a_host_without_the_broker_uses_no_marked_server_of_its_stale_directory() {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let servers = [check_in("a1", "a", 1), check_in("b1", "b", 1)];
    let mut leaving = LeavingServers::default();
    leaving.mark(&name("a1"), servers[0].incarnation, fixture.now);
    let request = fixture.slot_request(WorkKind::Online);
    let choose = |servers: &[ServerCheckIn], leaving: &LeavingServers| {
        let view = BrokerlessView {
            memory: &EngineMemory::default(),
            areas: &ZoneAreas::default(),
            versions: None,
            servers,
            own_runs: &HashMap::new(),
            unreachable: &HashSet::new(),
            leaving,
            limits: &NamedLimits::default(),
            cold: ColdServerView::default(),
            roster: &ZoneRoster::default(),
            now: Instant::now(),
        };
        view.choose(&request).map(|server| server.name.clone())
    };
    assert_eq!(choose(&servers, &leaving), Some(name("b1")));
    assert_eq!(choose(&servers[..1], &leaving), None);
    let restarted = [incarnation_of(servers[0].clone(), 2)];
    assert_eq!(choose(&restarted, &leaving), Some(name("a1")));
}

/// Guards against a waiting request that gets the slot of a leaving server.
#[test]
fn a_waiting_request_gets_no_slot_of_a_server_that_is_reported_meanwhile() {
    let mut fixture = BrokerFixture::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let mut running = Vec::new();
    loop {
        let ticket = fixture.next_ticket;
        let Some(server) = granted(&fixture.request_online()) else {
            break;
        };
        running.push((ticket, server));
    }
    assert!(fixture.broker.mark_leaving(&name("a1"), Some(1)));
    let ticket_on = |server: &str| {
        let run = running.iter().find(|(_, on)| on == server);
        run.expect("a run").0
    };
    let (on_leaving, on_other) = (ticket_on("a1"), ticket_on("a2"));
    assert_eq!(
        granted(&fixture.release(on_leaving, RunOutcome::Served)),
        None
    );
    let events = fixture.release(on_other, RunOutcome::Served);
    assert_eq!(granted(&events).as_deref(), Some("a2"));
}

/// Pattern: all servers of a service leave during a burst. Requests that wait for one of
/// their slots are refused at once, as new ones are.
#[test]
fn waiting_requests_are_refused_when_the_last_server_leaves() {
    let mut fixture = BrokerFixture::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    while granted(&fixture.request_online()).is_some() {}
    fixture.broker.mark_leaving(&name("a1"), Some(1));
    assert_eq!(refused_after(&fixture.tick(Duration::ZERO)), None);
    fixture.broker.mark_leaving(&name("a2"), Some(1));
    assert!(refused_after(&fixture.tick(Duration::ZERO)).is_some());
}

#[test]
fn a_returned_slot_tells_the_broker_that_its_server_leaves() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let ticket = fixture.next_ticket;
    assert!(granted(&fixture.request_online()).is_some());
    let version = fixture.broker.directory_version();
    fixture.release(ticket, RunOutcome::Leaving);
    assert!(fixture.broker.directory_version() > version);
    assert!(granted(&fixture.request_online()).is_none());
    // A late check-in of the same incarnation says that the server is ready.
    fixture.broker.check_in(check_in("a1", "a", 9), fixture.now);
    assert!(granted(&fixture.request_online()).is_none());
    let restarted = incarnation_of(check_in("a1", "a", 1), 2);
    fixture.broker.check_in(restarted, fixture.now);
    assert!(granted(&fixture.request_online()).is_some());
}

#[test]
fn a_report_of_another_incarnation_changes_nothing() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let restarted = incarnation_of(check_in("a1", "a", 1), 2);
    fixture.broker.check_in(restarted, fixture.now);
    let version = fixture.broker.directory_version();
    assert!(!fixture.broker.mark_leaving(&name("a1"), Some(1)));
    assert!(!fixture.broker.mark_leaving(&name("a1"), Some(3)));
    assert!(!fixture.broker.mark_leaving(&name("unknown"), Some(1)));
    assert_eq!(fixture.broker.directory_version(), version);
    assert!(granted(&fixture.request_online()).is_some());
}

/// Pattern: 250 hosts report the same servers within one sync. Each report beyond the first
/// would send the directory to every host again.
#[test]
fn repeated_reports_change_the_directory_once() {
    let names: Vec<String> = (0..76).map(|n| format!("s{n}")).collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut fixture = BrokerFixture::new(&servers, Vec::new());
    let version = fixture.broker.directory_version();
    let mut changes = 0;
    for _ in 0..250 {
        for server in &names {
            changes += u32::from(fixture.broker.mark_leaving(&name(server), Some(1)));
        }
    }
    assert_eq!(changes, 76);
    assert_eq!(fixture.broker.directory_version(), version + 76);
}
