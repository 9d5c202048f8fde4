//! Load patterns: bursts of online requests over troughs that batch items fill.

use crate::support::{World, check_in, requester};
use chicoryladder_broker::{BrokerEvent, RunOutcome, RunReport, SlotDecision, WorkKind};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const ONLINE_RUN: Duration = Duration::from_millis(800);
const BATCH_RUN: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Tally {
    online_granted: usize,
    online_refused: usize,
    waits: Vec<Duration>,
    returns: Vec<Duration>,
    batch_done: usize,
    most_running: usize,
}

struct Run {
    kind: WorkKind,
    ends_at: Instant,
}

/// Engines that run what they are given; batch items that are stopped keep what
/// they have made.
struct Simulation {
    world: World,
    asked: HashMap<u64, (WorkKind, Instant)>,
    runs: BTreeMap<u64, Run>,
    batch_left: Vec<Duration>,
    batch_asks: usize,
    tally: Tally,
}

impl Simulation {
    fn new(servers: usize, batch_items: usize) -> Self {
        let names: Vec<String> = (0..servers).map(|n| format!("s{n}")).collect();
        let pairs: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        Self {
            world: World::new(&pairs, Vec::new()),
            asked: HashMap::new(),
            runs: BTreeMap::new(),
            batch_left: vec![BATCH_RUN; batch_items],
            batch_asks: 0,
            tally: Tally::default(),
        }
    }

    fn ask(&mut self, kind: WorkKind) {
        let mut question = self.world.question(kind);
        if kind == WorkKind::Batch {
            question.wait_max = Duration::from_secs(2);
            self.batch_asks += 1;
        }
        self.asked.insert(question.ticket, (kind, self.world.now));
        let events = self.world.ask(question);
        self.act(events);
    }

    fn act(&mut self, events: Vec<BrokerEvent>) {
        for event in events {
            match event {
                BrokerEvent::Decided {
                    ticket, decision, ..
                } => self.decided(ticket, &decision),
                BrokerEvent::Stop { ticket, .. } => self.stop(ticket),
            }
        }
        self.tally.most_running = self.tally.most_running.max(self.runs.len());
    }

    fn decided(&mut self, ticket: u64, decision: &SlotDecision) {
        let Some((kind, asked_at)) = self.asked.remove(&ticket) else {
            return;
        };
        let now = self.world.now;
        let granted = matches!(decision, SlotDecision::Granted { .. });
        match (kind, decision) {
            (WorkKind::Online, SlotDecision::Granted { .. }) => {
                self.tally.online_granted += 1;
                self.tally.waits.push(now - asked_at);
            }
            (WorkKind::Online, SlotDecision::Refused { retry_after, .. }) => {
                self.tally.online_refused += 1;
                self.tally.returns.push(*retry_after);
            }
            (WorkKind::Batch, _) => self.batch_asks -= 1,
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
        let ends_at = now + run;
        self.runs.insert(ticket, Run { kind, ends_at });
    }

    fn stop(&mut self, ticket: u64) {
        if let Some(run) = self.runs.remove(&ticket) {
            self.batch_left.push(run.ends_at - self.world.now);
            self.release(ticket, RunOutcome::Stopped);
        }
    }

    fn release(&mut self, ticket: u64, outcome: RunOutcome) {
        let report = RunReport {
            ticket,
            outcome,
            load: None,
            first_answer: Some(Duration::from_millis(40)),
            refund: false,
        };
        let now = self.world.now;
        self.world
            .broker
            .release(&requester("entry-1"), &report, now);
        let events = self.world.broker.take_events();
        self.act(events);
    }

    /// Runs `length` with `rate(t)` online requests a second.
    fn play(&mut self, length: Duration, rate: impl Fn(Duration) -> f64) {
        let start = self.world.now;
        let mut owed = 0.0;
        let mut sequence = 1;
        while self.world.now < start + length {
            let at = self.world.now - start;
            owed += rate(at) * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                self.ask(WorkKind::Online);
            }
            while self.batch_asks < self.batch_left.len().min(12) {
                self.ask(WorkKind::Batch);
            }
            let events = self.world.tick(STEP);
            self.act(events);
            self.end_runs();
            if at.as_millis().is_multiple_of(1_000) {
                sequence += 1;
                for server in self.world.broker.servers() {
                    let check_in = check_in(server.name.as_str(), "a", sequence);
                    self.world.broker.check_in(check_in, self.world.now);
                }
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.world.now;
        let ended: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ended {
            if let Some(run) = self.runs.remove(&ticket) {
                self.tally.batch_done += usize::from(run.kind == WorkKind::Batch);
                self.release(ticket, RunOutcome::Served);
            }
        }
    }
}

fn burst(at: Duration) -> f64 {
    let phase = at.as_secs_f64() % 5.8;
    if phase < 3.4 { 20.0 } else { 100.0 }
}

/// Twelve engines of eight slots; bursts of 100 requests a second need 80 of the 96
/// slots, troughs 16. Batch items take the rest and must not delay anyone.
#[test]
fn bursts_take_the_slots_of_batch_items_at_once() {
    let mut simulation = Simulation::new(12, 200);
    simulation.play(Duration::from_secs(30), burst);
    let tally = &simulation.tally;
    assert_eq!(tally.online_refused, 0);
    let longest = tally.waits.iter().max().expect("it is valid");
    assert!(*longest <= STEP, "a request waited {longest:?}");
    assert!(tally.batch_done >= 100, "{} items done", tally.batch_done);
    assert!(tally.most_running <= 96, "{} at once", tally.most_running);
}

/// Half of the engines are gone, so the bursts ask for more than there is. Whoever
/// is admitted is served in time; the others are told to return at different times.
#[test]
fn beyond_capacity_some_are_served_in_time_and_the_others_refused_at_once() {
    let mut simulation = Simulation::new(6, 50);
    simulation.play(Duration::from_secs(20), |_| 100.0);
    let tally = &simulation.tally;
    let capacity = 48.0 / ONLINE_RUN.as_secs_f64() * 20.0;
    let granted = f64::from(u32::try_from(tally.online_granted).expect("a small count"));
    assert!(granted > 0.9 * capacity, "{granted} of {capacity}");
    assert!(tally.online_refused > 500);
    let limit = Duration::from_millis(305);
    assert!(tally.waits.iter().all(|wait| *wait <= limit));
    let mut distinct: Vec<_> = tally.returns.iter().map(Duration::as_millis).collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 50, "{} different times", distinct.len());
}

/// Online load alone at four fifths of the slots: nobody waits.
#[test]
fn a_steady_load_below_capacity_waits_for_nothing() {
    let mut simulation = Simulation::new(12, 0);
    simulation.play(Duration::from_secs(10), |_| 96.0);
    assert_eq!(simulation.tally.online_refused, 0);
    assert!(simulation.tally.waits.iter().all(|wait| *wait <= STEP));
}
