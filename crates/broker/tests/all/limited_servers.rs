//! Servers that name a limit on their requests. Pattern: most servers of a service are
//! limited for many seconds, while online requests come in bursts and batch items take every
//! free slot between them.

use crate::support::{BrokerFixture, check_in, granted, refused_after, run_report};
use chicoryladder_broker::{
    BrokerEvent, BrokerlessView, ColdServerView, EngineMemory, LeavingServers, LimitReport,
    LimitStatement, NamedLimits, RunOutcome, RunReport, ServerLimit, SlotDecision, WorkKind,
    ZoneAreas, ZoneRoster,
};
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

/// The span over which the requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The servers of the simulation; the first ones are limited.
const SERVERS: usize = 12;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn server_name(number: usize) -> ServerName {
    ServerName::try_from(format!("s{number}")).expect("it is valid")
}

fn limit_report(number: usize, per_second: Option<f64>) -> LimitReport {
    LimitReport {
        server: server_name(number),
        incarnation: 1,
        limit: per_second.map(|limit| ServerLimit::try_from(limit).expect("it is valid")),
        age: Duration::ZERO,
    }
}

/// Simulates hosts that report what servers name, and servers that run all they are given.
struct Simulation {
    fixture: BrokerFixture,
    /// When each run ends.
    runs: BTreeMap<u64, Instant>,
    kinds: BTreeMap<u64, WorkKind>,
    sent: BTreeMap<String, Vec<Instant>>,
    items_waiting: usize,
    /// The number of the last check-in of all servers.
    sequence: u64,
    granted: usize,
    refused: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            fixture: BrokerFixture::with_servers(SERVERS, &ZONES),
            runs: BTreeMap::new(),
            kinds: BTreeMap::new(),
            sent: BTreeMap::new(),
            items_waiting: 0,
            sequence: 1,
            granted: 0,
            refused: 0,
        }
    }

    fn check_in(&mut self) {
        self.sequence += 1;
        for number in 0..SERVERS {
            let zone = ZONES[number % ZONES.len()];
            let check_in = check_in(&format!("s{number}"), zone, self.sequence);
            self.fixture.broker.check_in(check_in, self.fixture.now);
        }
    }

    fn submit(&mut self, kind: WorkKind) {
        let mut request = self.fixture.slot_request(kind);
        let ticket = usize::try_from(request.ticket).expect("it fits");
        request.zone = crate::support::zone(ZONES[ticket % ZONES.len()]);
        if kind == WorkKind::Batch {
            request.wait_max = Duration::from_secs(2);
            self.items_waiting += 1;
        }
        self.kinds.insert(request.ticket, kind);
        let events = self.fixture.submit(request);
        self.process(events);
    }

    fn process(&mut self, events: Vec<BrokerEvent>) {
        for event in events {
            match event {
                BrokerEvent::Decided {
                    ticket, decision, ..
                } => self.decide(ticket, decision),
                BrokerEvent::Stop { ticket, .. } => self.end(ticket, RunOutcome::Stopped),
                BrokerEvent::Quarantine(_)
                | BrokerEvent::Suspended(_)
                | BrokerEvent::Cold(_)
                | BrokerEvent::CutOff { .. }
                | BrokerEvent::VersionStep(_) => {}
            }
        }
    }

    fn decide(&mut self, ticket: u64, decision: SlotDecision) {
        let kind = self.kinds.remove(&ticket).expect("a pending request");
        if kind == WorkKind::Batch {
            self.items_waiting -= 1;
        }
        let SlotDecision::Granted { server, .. } = decision else {
            self.refused += usize::from(kind == WorkKind::Online);
            return;
        };
        let now = self.fixture.now;
        self.sent.entry(server.to_string()).or_default().push(now);
        self.granted += usize::from(kind == WorkKind::Online);
        let time = match kind {
            WorkKind::Online => Duration::from_millis(700),
            WorkKind::Batch => Duration::from_secs(5),
        };
        let ends_at = now + time;
        self.runs.insert(ticket, ends_at);
    }

    fn end(&mut self, ticket: u64, outcome: RunOutcome) {
        if self.runs.remove(&ticket).is_none() {
            return;
        }
        let events = self.fixture.report(&RunReport {
            first_answer: Some(Duration::from_millis(50)),
            ..run_report(ticket, outcome)
        });
        self.process(events);
    }

    /// Advances the time, with `per_second` online requests and as many items as fit.
    fn advance(&mut self, time: Duration, per_second: u32) {
        let end = self.fixture.now + time;
        let mut next_at = self.fixture.now;
        while self.fixture.now < end {
            self.check_in();
            let events = self.fixture.tick(STEP);
            self.process(events);
            let now = self.fixture.now;
            let due = self.runs.iter().filter(|(_, ends_at)| **ends_at <= now);
            let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
            for ticket in due {
                self.end(ticket, RunOutcome::Served);
            }
            for _ in self.items_waiting..12 {
                self.submit(WorkKind::Batch);
            }
            while per_second > 0 && next_at <= now {
                self.submit(WorkKind::Online);
                next_at += Duration::from_secs(1) / per_second;
            }
        }
    }

    fn report(&mut self, report: &LimitReport) {
        let now = self.fixture.now;
        self.fixture.broker.record_limit(report, now);
    }

    /// The most requests that a server got in a window after `since`.
    fn most_in_window(&self, number: usize, since: Instant) -> usize {
        let sent = self.sent.get(server_name(number).as_str());
        let sent: Vec<Instant> = sent.into_iter().flatten().copied().collect();
        let sent: Vec<Instant> = sent.into_iter().filter(|at| *at >= since).collect();
        let in_window = |first: &Instant| {
            let last = *first + WINDOW;
            sent.iter()
                .filter(|at| **at >= *first && **at < last)
                .count()
        };
        sent.iter().map(in_window).max().unwrap_or_default()
    }
}

/// What the users' rule allows within a window.
fn allowed(per_second: f64) -> f64 {
    per_second * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// Guards against servers that get as many requests as they have slots for, whatever limit
/// they name.
#[test]
fn limited_servers_get_no_more_requests_than_they_name() {
    let limits = [2.0, 2.8, 3.2, 0.5, 0.0, 12.0, 2.4, 3.0];
    let mut simulation = Simulation::new();
    simulation.advance(Duration::from_secs(4), 40);
    for (number, limit) in limits.iter().enumerate() {
        simulation.report(&limit_report(number, Some(*limit)));
    }
    let limited_at = simulation.fixture.now;
    for burst in [20, 70, 10, 90, 30] {
        simulation.advance(Duration::from_secs(4), burst);
    }
    for (number, limit) in limits.iter().enumerate() {
        let most = simulation.most_in_window(number, limited_at);
        let most = f64::from(u32::try_from(most).expect("it fits"));
        assert!(
            most <= allowed(*limit),
            "s{number} with a limit of {limit} a second got {most} requests in 4 s"
        );
    }
    assert!(simulation.granted > 0);
}

/// Guards against requests that are refused although unlimited servers have free slots, and
/// against limits that are left unused.
#[test]
fn limits_cost_no_request_while_other_servers_have_slots() {
    let mut simulation = Simulation::new();
    for number in 0..8 {
        simulation.report(&limit_report(number, Some(2.5)));
    }
    let limited_at = simulation.fixture.now;
    simulation.advance(Duration::from_secs(20), 45);
    assert_eq!(simulation.refused, 0);
    for number in 0..8 {
        let most = simulation.most_in_window(number, limited_at);
        assert!(
            most >= 8,
            "s{number} got {most} requests in 4 s, allowed 10"
        );
    }
}

/// Guards against a limit that outlasts the responses that name it.
#[test]
fn a_server_gets_as_many_requests_as_before_once_it_names_no_limit() {
    let mut simulation = Simulation::new();
    for number in 0..SERVERS {
        simulation.report(&limit_report(number, Some(1.0)));
    }
    simulation.advance(Duration::from_secs(4), 60);
    assert!(simulation.refused > 0);
    for number in 0..SERVERS {
        simulation.report(&limit_report(number, None));
    }
    simulation.refused = 0;
    simulation.advance(Duration::from_secs(4), 60);
    assert_eq!(simulation.refused, 0);
}

/// Pattern: all servers are limited and a few requests come at once. Those that wait are
/// served as the limits allow; one that cannot be served in time is refused at once.
#[test]
fn requests_wait_for_a_limit_only_if_it_serves_them_in_time() {
    let mut fixture = BrokerFixture::new(&[("s0", "a")], Vec::new());
    let now = fixture.now;
    fixture
        .broker
        .record_limit(&limit_report(0, Some(5.0)), now);
    assert_eq!(granted(&fixture.request_online()), None);
    let second = fixture.request_online();
    assert!(refused_after(&second).is_some(), "{second:?}");
    assert!(granted(&fixture.tick(Duration::from_millis(200))).is_some());
}

/// Guards against hosts without the broker that together exceed a limit, or one that sends
/// a server nothing.
#[test]
fn hosts_without_the_broker_stay_within_a_limit_together() {
    let hosts = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let roster = ZoneRoster {
        hosts: hosts
            .iter()
            .map(|host| host.parse().expect("it is valid"))
            .collect(),
        fleet_hosts: 9,
    };
    let start = Instant::now();
    let limit = ServerLimit::try_from(4.0).expect("it is valid");
    let mut limits = NamedLimits::default();
    let server = check_in("s0", "a", 1);
    let statement = LimitStatement::Limited(limit);
    limits.record(&server.name, server.incarnation, statement, start);
    let mut hosts: Vec<(&str, NamedLimits)> = (0..9)
        .map(|host| (ZONES[host % ZONES.len()], limits.clone()))
        .collect();
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let mut sent = 0;
    for step in 0..800u32 {
        let now = start + STEP * step;
        for (zone, limits) in &mut hosts {
            let mut request = fixture.slot_request(WorkKind::Online);
            request.zone = crate::support::zone(zone);
            let view = BrokerlessView {
                memory: &EngineMemory::default(),
                areas: &ZoneAreas::default(),
                versions: None,
                servers: std::slice::from_ref(&server),
                own_runs: &HashMap::new(),
                unreachable: &HashSet::new(),
                leaving: &LeavingServers::default(),
                limits,
                cold: ColdServerView::default(),
                roster: &roster,
                now,
            };
            if view.choose(&request).is_some() {
                sent += 1;
                limits.record_sent(&server.name, now);
            }
        }
    }
    assert!((3..=16).contains(&sent), "{sent} requests in 4 s");
}
