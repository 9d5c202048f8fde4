//! Simulations of bursts of online requests, with batch items in the slots that are free
//! between the bursts.

use crate::support::{BrokerFixture, check_in, run_report};
use chicoryladder_broker::{BrokerEvent, RunOutcome, RunReport, SlotDecision, WorkKind};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const ONLINE_RUN: Duration = Duration::from_millis(800);
const BATCH_RUN: Duration = Duration::from_secs(5);

#[derive(Default)]
struct RunStatistics {
    online_granted: usize,
    online_refused: usize,
    waits: Vec<Duration>,
    retry_delays: Vec<Duration>,
    batch_completed: usize,
    max_running: usize,
    errored: usize,
}

struct Run {
    kind: WorkKind,
    outcome: RunOutcome,
    ends_at: Instant,
}

/// Simulates engines that run every request they are given. Preempted batch items
/// keep their progress.
struct Simulation {
    fixture: BrokerFixture,
    pending: HashMap<u64, (WorkKind, Instant)>,
    runs: BTreeMap<u64, Run>,
    batch_left: Vec<Duration>,
    pending_batch: usize,
    /// Servers that answer each request with an error at once.
    lying: Vec<String>,
    statistics: RunStatistics,
}

impl Simulation {
    fn new(servers: usize, batch_items: usize) -> Self {
        let names: Vec<String> = (0..servers).map(|n| format!("s{n}")).collect();
        let pairs: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        Self {
            fixture: BrokerFixture::new(&pairs, Vec::new()),
            pending: HashMap::new(),
            runs: BTreeMap::new(),
            batch_left: vec![BATCH_RUN; batch_items],
            pending_batch: 0,
            lying: Vec::new(),
            statistics: RunStatistics::default(),
        }
    }

    fn request_slot(&mut self, kind: WorkKind) {
        let mut request = self.fixture.slot_request(kind);
        if kind == WorkKind::Batch {
            request.wait_max = Duration::from_secs(2);
            self.pending_batch += 1;
        }
        self.pending
            .insert(request.ticket, (kind, self.fixture.now));
        let events = self.fixture.submit(request);
        self.handle(events);
    }

    fn handle(&mut self, events: Vec<BrokerEvent>) {
        for event in events {
            match event {
                BrokerEvent::Decided {
                    ticket, decision, ..
                } => self.handle_decision(ticket, &decision),
                BrokerEvent::Stop { ticket, .. } => self.stop(ticket),
                BrokerEvent::Quarantine(change) => panic!("unexpected: {change:?}"),
                BrokerEvent::Suspended(_)
                | BrokerEvent::Cold(_)
                | BrokerEvent::CutOff { .. }
                | BrokerEvent::VersionStep(_) => {}
            }
        }
        self.statistics.max_running = self.statistics.max_running.max(self.runs.len());
    }

    fn handle_decision(&mut self, ticket: u64, decision: &SlotDecision) {
        let Some((kind, requested_at)) = self.pending.remove(&ticket) else {
            return;
        };
        let now = self.fixture.now;
        let granted = matches!(decision, SlotDecision::Granted { .. });
        match (kind, decision) {
            (WorkKind::Online, SlotDecision::Granted { .. }) => {
                self.statistics.online_granted += 1;
                self.statistics.waits.push(now - requested_at);
            }
            (WorkKind::Online, SlotDecision::Refused { retry_after, .. }) => {
                self.statistics.online_refused += 1;
                self.statistics.retry_delays.push(*retry_after);
            }
            (WorkKind::Batch, _) => self.pending_batch -= 1,
        }
        if !granted {
            return;
        }
        let run = match kind {
            WorkKind::Online => ONLINE_RUN,
            WorkKind::Batch => match self.batch_left.pop() {
                Some(left) => left,
                None => return self.release(ticket, RunOutcome::Stopped),
            },
        };
        let is_lying = match decision {
            SlotDecision::Granted { server, .. } => {
                self.lying.iter().any(|name| server.as_str() == name)
            }
            SlotDecision::Refused { .. } => false,
        };
        let (run, outcome) = if is_lying {
            (STEP, RunOutcome::Errored)
        } else {
            (run, RunOutcome::Served)
        };
        let ends_at = now + run;
        let run = Run {
            kind,
            outcome,
            ends_at,
        };
        self.runs.insert(ticket, run);
    }

    fn stop(&mut self, ticket: u64) {
        if let Some(run) = self.runs.remove(&ticket) {
            self.batch_left.push(run.ends_at - self.fixture.now);
            self.release(ticket, RunOutcome::Stopped);
        }
    }

    fn release(&mut self, ticket: u64, outcome: RunOutcome) {
        let events = self.fixture.report(&RunReport {
            first_answer: Some(Duration::from_millis(40)),
            ..run_report(ticket, outcome)
        });
        self.handle(events);
    }

    /// Simulates `length` with `rate(t)` online requests per second.
    fn run(&mut self, length: Duration, rate: impl Fn(Duration) -> f64) {
        let start = self.fixture.now;
        let mut due = 0.0;
        let mut sequence = 1;
        while self.fixture.now < start + length {
            let at = self.fixture.now - start;
            due += rate(at) * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request_slot(WorkKind::Online);
            }
            while self.pending_batch < self.batch_left.len().min(12) {
                self.request_slot(WorkKind::Batch);
            }
            let events = self.fixture.tick(STEP);
            self.handle(events);
            self.end_runs();
            if at.as_millis().is_multiple_of(1_000) {
                sequence += 1;
                for server in self.fixture.broker.servers() {
                    let check_in = check_in(server.name.as_str(), "a", sequence);
                    self.fixture.broker.check_in(check_in, self.fixture.now);
                }
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.fixture.now;
        let ended: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ended {
            if let Some(run) = self.runs.remove(&ticket) {
                self.statistics.batch_completed += usize::from(run.kind == WorkKind::Batch);
                self.statistics.errored += usize::from(run.outcome == RunOutcome::Errored);
                self.release(ticket, run.outcome);
            }
        }
    }
}

/// The rate of online requests per second: 20 for 3.4 s, then 100 for 2.4 s, repeatedly.
fn burst_rate(at: Duration) -> f64 {
    let phase = at.as_secs_f64() % 5.8;
    if phase < 3.4 { 20.0 } else { 100.0 }
}

/// On twelve engines with eight slots each, bursts of 100 requests per second need 80
/// of the 96 slots and troughs 16. Batch items use the remaining slots and must not
/// delay online requests.
#[test]
fn bursts_preempt_batch_items_immediately() {
    let mut simulation = Simulation::new(12, 200);
    simulation.run(Duration::from_secs(30), burst_rate);
    let statistics = &simulation.statistics;
    assert_eq!(statistics.online_refused, 0);
    let longest = statistics.waits.iter().max().expect("it is valid");
    assert!(*longest <= STEP, "a request waited {longest:?}");
    assert!(
        statistics.batch_completed >= 100,
        "{} items done",
        statistics.batch_completed
    );
    assert!(
        statistics.max_running <= 96,
        "{} at once",
        statistics.max_running
    );
}

/// With half of the engines lost, the load exceeds the capacity. Admitted requests
/// must be served in time, and the others must get different retry delays.
#[test]
fn overload_is_refused_immediately_and_admitted_requests_are_in_time() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(Duration::from_secs(20), |_| 100.0);
    let statistics = &simulation.statistics;
    let capacity = 48.0 / ONLINE_RUN.as_secs_f64() * 20.0;
    let granted = f64::from(u32::try_from(statistics.online_granted).expect("a small count"));
    assert!(granted > 0.9 * capacity, "{granted} of {capacity}");
    assert!(statistics.online_refused > 500);
    let limit = Duration::from_millis(305);
    assert!(statistics.waits.iter().all(|wait| *wait <= limit));
    let mut distinct: Vec<_> = statistics
        .retry_delays
        .iter()
        .map(Duration::as_millis)
        .collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 50, "{} different times", distinct.len());
}

/// An online load of four fifths of the slots, without batch items: no request waits.
#[test]
fn a_steady_load_below_capacity_does_not_wait() {
    let mut simulation = Simulation::new(12, 0);
    simulation.run(Duration::from_secs(10), |_| 96.0);
    assert_eq!(simulation.statistics.online_refused, 0);
    assert!(simulation.statistics.waits.iter().all(|wait| *wait <= STEP));
}

/// Two of twelve engines pass their health checks and answer each request with an error at
/// once, so that they have free slots while the others are full. Each may get its slots full
/// once and then single requests, ever more rarely.
#[test]
fn servers_that_answer_only_errors_get_few_requests() {
    let mut simulation = Simulation::new(12, 0);
    simulation.lying = vec!["s0".to_owned(), "s5".to_owned()];
    simulation.run(Duration::from_secs(10), |_| 120.0);
    let errored = simulation.statistics.errored;
    assert!(errored <= 2 * (8 + 6), "{errored} requests got an error");
}
