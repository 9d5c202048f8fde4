//! Servers that name a limit on their requests. Pattern: most servers of a service are
//! limited for many seconds, while online requests come in bursts and batch items take every
//! free slot between them.

use crate::support::{BrokerFixture, check_in, requester};
use chicoryladder_broker::{
    BrokerEvent, LimitReport, ProvenWork, RunOutcome, RunReport, ServerLimit, SlotDecision,
    WorkKind,
};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
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

struct Run {
    kind: WorkKind,
    ends_at: Instant,
}

/// Simulates hosts that report what servers name, and servers that run all they are given.
struct Simulation {
    fixture: BrokerFixture,
    runs: BTreeMap<u64, Run>,
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
        let names: Vec<String> = (0..SERVERS).map(|n| format!("s{n}")).collect();
        let servers: Vec<(&str, &str)> = names
            .iter()
            .zip(ZONES.iter().cycle())
            .map(|(name, zone)| (name.as_str(), *zone))
            .collect();
        Self {
            fixture: BrokerFixture::new(&servers, Vec::new()),
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
                BrokerEvent::Quarantine(_) => {}
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
        self.runs.insert(ticket, Run { kind, ends_at });
    }

    fn end(&mut self, ticket: u64, outcome: RunOutcome) {
        if self.runs.remove(&ticket).is_none() {
            return;
        }
        let report = RunReport {
            ticket,
            outcome,
            load: None,
            first_answer: Some(Duration::from_millis(50)),
            refund: false,
            completed: ProvenWork::None,
        };
        let now = self.fixture.now;
        self.fixture
            .broker
            .release(&requester("entry-1"), &report, now);
        let events = self.fixture.broker.take_events();
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
            let due = self.runs.iter().filter(|(_, run)| run.ends_at <= now);
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
