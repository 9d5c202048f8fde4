//! Simulations of demand beyond the capacity, with and without the feature `pressure`: waves,
//! slow servers, a team that floods the others, and callers that return once after a refusal.

use crate::support::{
    ENGINE, check_in, plan, refused_after, requester, run_report, settings, team_name,
};
use chicoryladder_broker::{
    ActiveRun, BrokerEvent, BrokerSettings, CallerTerms, ProvenWork, RunOutcome, RunReport,
    SlotBroker, SlotDecision, SlotRequest, WorkKind, WorkPercent,
};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const TARGET: Duration = Duration::from_millis(300);
const TIME_LIMIT: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_millis(160);
const FIRST_ANSWER: Duration = Duration::from_millis(40);
const BATCH_RUN: Duration = Duration::from_millis(800);
const SERVERS: usize = 12;
const SLOTS: u32 = 8;
/// The factor by which the slow servers are slower.
const SLOWNESS: u32 = 4;
/// 48 % of what the servers sustain if none is slow.
const MEAN_RATE: f64 = 290.0;

/// What became of one request of a caller, with its return.
#[derive(Clone, Debug)]
struct CallerRequest {
    team: usize,
    arrived_at: Duration,
    returned_at: Option<Duration>,
    refusals: u32,
    /// Whether it was refused only after a quarter of its target.
    was_refused_late: bool,
    /// The time to the beginning of the answer from the arrival or the return, and when.
    served: Option<(Duration, Duration)>,
}

impl CallerRequest {
    fn is_in_time(&self) -> bool {
        self.served.is_some_and(|(latency, _)| latency <= TARGET)
    }

    /// What the answer is worth to the caller, as the specification weighs it.
    fn worth(&self) -> f64 {
        match (self.served, self.refusals) {
            (Some((latency, _)), 0) if latency <= TARGET => 1.0,
            (Some((latency, _)), _) if latency <= TARGET && !self.was_refused_late => 0.58,
            (Some(_), _) => 0.15,
            (None, _) => 0.0,
        }
    }
}

struct Run {
    server: ServerName,
    caller: Option<usize>,
    ends_at: Instant,
    first_answer: Duration,
}

struct OverloadSimulation {
    broker: SlotBroker,
    pressure: bool,
    start: Instant,
    now: Instant,
    /// Arrivals are the same whatever the broker decides.
    arrival_rng: ChaCha8Rng,
    run_rng: ChaCha8Rng,
    next_ticket: u64,
    /// The number of the servers' last check-ins.
    sequence: u64,
    /// Servers below this number are slow.
    slow_servers: usize,
    callers: Vec<CallerRequest>,
    /// The caller of each pending ticket; `None` for a batch item.
    pending: HashMap<u64, Option<usize>>,
    runs: BTreeMap<u64, Run>,
    returns: BTreeSet<(Instant, usize)>,
    pending_batch: usize,
    batch_completed: usize,
    online_running: usize,
    /// Teams from this number on are of the rank behind the others.
    second_rank_from: usize,
    /// Refusals of fresh requests and of returned ones, and those of them that came later than
    /// a quarter of the target.
    refusals: [usize; 2],
    slow_refusals: [usize; 2],
    /// Refusals while at least a fifth of the slots had no online request.
    refused_while_idle: usize,
    stopped_items: usize,
}

impl OverloadSimulation {
    fn new(pressure: bool) -> Self {
        let now = Instant::now();
        let settings = BrokerSettings {
            pressure,
            ..settings()
        };
        let mut broker = SlotBroker::new(settings);
        broker.set_plan(&plan(Vec::new()), now);
        for number in 0..SERVERS {
            broker.check_in(check_in(&format!("s{number}"), "a", 1), now);
        }
        Self {
            broker,
            pressure,
            start: now,
            now,
            arrival_rng: ChaCha8Rng::seed_from_u64(7),
            run_rng: ChaCha8Rng::seed_from_u64(8),
            next_ticket: 1,
            sequence: 1,
            slow_servers: 0,
            callers: Vec::new(),
            pending: HashMap::new(),
            runs: BTreeMap::new(),
            returns: BTreeSet::new(),
            pending_batch: 0,
            batch_completed: 0,
            online_running: 0,
            second_rank_from: usize::MAX,
            refusals: [0; 2],
            slow_refusals: [0; 2],
            refused_while_idle: 0,
            stopped_items: 0,
        }
    }

    fn at(&self) -> Duration {
        self.now - self.start
    }

    fn request(&mut self, kind: WorkKind) -> SlotRequest {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        SlotRequest {
            ticket,
            service: ServiceName::try_from(ENGINE).expect("it is valid"),
            kind,
            rank: 0,
            zone: crate::support::zone("a"),
            charged_team: None,
            prompt: Vec::new(),
            fingerprint: crate::support::fingerprint(ticket),
            tokens: 100,
            stream: None,
            avoid: Vec::new(),
            first_answer_within: TARGET,
            wait_max: TARGET,
            homes: None,
        }
    }

    /// Asks for a slot as an entry host does.
    fn submit_online(&mut self, caller: usize) {
        let mut request = self.request(WorkKind::Online);
        let record = &self.callers[caller];
        let left =
            (self.start + record.arrived_at + TIME_LIMIT).saturating_duration_since(self.now);
        let returned = record.returned_at.is_some();
        request.rank = u32::from(record.team >= self.second_rank_from);
        if returned {
            request.first_answer_within = left / 2;
            request.wait_max = left / 2;
        }
        let terms = self.pressure.then(|| CallerTerms {
            team: Some(team_name(&format!("t{}", record.team))),
            returned,
            target_left: TARGET,
            time_left: left,
        });
        self.pending.insert(request.ticket, Some(caller));
        let entry = requester("entry-1");
        self.broker
            .request_slot_for(&entry, request, terms, self.now);
        self.handle_events();
    }

    fn submit_batch(&mut self) {
        let mut request = self.request(WorkKind::Batch);
        request.wait_max = Duration::from_secs(2);
        self.pending.insert(request.ticket, None);
        self.pending_batch += 1;
        self.broker
            .request_slot(&requester("store-1"), request, self.now);
        self.handle_events();
    }

    fn handle_events(&mut self) {
        loop {
            let events = self.broker.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                match event {
                    BrokerEvent::Decided {
                        ticket, decision, ..
                    } => self.handle_decision(ticket, &decision),
                    BrokerEvent::Stop { ticket, .. } => {
                        self.stopped_items += 1;
                        self.runs.remove(&ticket);
                        self.release("store-1", ticket, RunOutcome::Stopped, None);
                    }
                    _ => {}
                }
            }
        }
    }

    fn handle_decision(&mut self, ticket: u64, decision: &SlotDecision) {
        let Some(caller) = self.pending.remove(&ticket) else {
            return;
        };
        let at = self.at();
        match decision {
            SlotDecision::Granted { server, .. } => {
                let number: usize = server.as_str()[1..].parse().expect("it is a number");
                let factor = if number < self.slow_servers {
                    SLOWNESS
                } else {
                    1
                };
                let jitter = self.run_rng.random_range(0.7..1.3);
                let first_answer = FIRST_ANSWER * factor;
                let run = if caller.is_some() { RUN } else { BATCH_RUN };
                let run = Run {
                    server: server.clone(),
                    caller,
                    ends_at: self.now + (run * factor).mul_f64(jitter),
                    first_answer,
                };
                self.runs.insert(ticket, run);
                if let Some(caller) = caller {
                    self.online_running += 1;
                    let record = &mut self.callers[caller];
                    let since = record.returned_at.unwrap_or(record.arrived_at);
                    let waited = at.saturating_sub(since);
                    record.served = Some((waited + first_answer, at));
                } else {
                    self.pending_batch -= 1;
                }
            }
            SlotDecision::Refused { retry_after, .. } => {
                let Some(caller) = caller else {
                    self.pending_batch -= 1;
                    return;
                };
                let slots = usize::try_from(SLOTS).expect("a small count") * SERVERS;
                if self.online_running * 5 < slots * 4 {
                    self.refused_while_idle += 1;
                }
                let record = &mut self.callers[caller];
                let since = record.returned_at.unwrap_or(record.arrived_at);
                let attempt = usize::from(record.returned_at.is_some());
                self.refusals[attempt] += 1;
                let is_late = at.saturating_sub(since) > TARGET / 4;
                self.slow_refusals[attempt] += usize::from(is_late);
                record.was_refused_late |= is_late;
                record.refusals += 1;
                let left = (record.arrived_at + TIME_LIMIT).saturating_sub(at);
                // A caller that is told to wait for longer than a third of its time returns
                // after a third.
                if record.returned_at.is_none() && left > Duration::from_millis(50) {
                    let after = (*retry_after).min(left / 3);
                    self.returns.insert((self.now + after, caller));
                }
            }
        }
    }

    fn release(
        &mut self,
        host: &str,
        ticket: u64,
        outcome: RunOutcome,
        first_answer: Option<Duration>,
    ) {
        let report = RunReport {
            first_answer,
            ..run_report(ticket, outcome)
        };
        self.broker.release(&requester(host), &report, self.now);
    }

    /// Simulates `length`, with the online requests a second of each team at a time.
    fn run(&mut self, length: Duration, batch: usize, rates: impl Fn(Duration) -> Vec<f64>) {
        let end = self.now + length;
        while self.now < end {
            let rates = rates(self.at());
            for (team, rate) in rates.iter().enumerate() {
                // Two trials in each step come close to random arrivals at these rates.
                let trials = (rate * STEP.as_secs_f64()).ceil().max(1.0) * 2.0;
                let chance = rate * STEP.as_secs_f64() / trials;
                let mut trial = 0.0;
                while trial < trials {
                    trial += 1.0;
                    if self.arrival_rng.random_bool(chance) {
                        self.arrive(team);
                    }
                }
            }
            while let Some((at, caller)) = self.returns.first().copied() {
                if at > self.now {
                    break;
                }
                self.returns.pop_first();
                self.callers[caller].returned_at = Some(self.at());
                self.submit_online(caller);
            }
            for _ in self.pending_batch..batch {
                self.submit_batch();
            }
            self.now += STEP;
            if self.at().as_millis().is_multiple_of(25) {
                self.broker.tick(self.now);
                self.handle_events();
            }
            self.end_runs();
            if self.at().as_millis().is_multiple_of(1_000) {
                self.sequence += 1;
                for server in self.broker.servers() {
                    let check_in = check_in(server.name.as_str(), "a", self.sequence);
                    self.broker.check_in(check_in, self.now);
                }
                self.sync_hosts();
            }
        }
    }

    /// Reports the active runs of the hosts, so that they do not count as lost.
    fn sync_hosts(&mut self) {
        for (host, kind) in [("entry-1", WorkKind::Online), ("store-1", WorkKind::Batch)] {
            let is_own = |run: &Run| run.caller.is_some() == (kind == WorkKind::Online);
            let runs = self.runs.iter().filter(|(_, run)| is_own(run));
            let active: Vec<ActiveRun> = runs
                .map(|(ticket, run)| ActiveRun {
                    ticket: *ticket,
                    server: run.server.clone(),
                    kind,
                    tokens: 100,
                    brokerless: false,
                    proven: ProvenWork::None,
                })
                .collect();
            self.broker.reconcile(&requester(host), &active, self.now);
        }
    }

    fn arrive(&mut self, team: usize) {
        self.callers.push(CallerRequest {
            team,
            arrived_at: self.at(),
            returned_at: None,
            refusals: 0,
            was_refused_late: false,
            served: None,
        });
        self.submit_online(self.callers.len() - 1);
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended = self.runs.iter().filter(|(_, run)| run.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(ticket, _)| *ticket).collect();
        for ticket in ended {
            let Some(run) = self.runs.remove(&ticket) else {
                continue;
            };
            let host = if run.caller.is_some() {
                self.online_running -= 1;
                "entry-1"
            } else {
                self.batch_completed += 1;
                "store-1"
            };
            self.release(host, ticket, RunOutcome::Served, Some(run.first_answer));
            self.handle_events();
        }
    }

    fn summary(&self, from: f64, to: f64, team: impl Fn(usize) -> bool) -> Summary {
        let window = Duration::from_secs_f64(from)..Duration::from_secs_f64(to);
        let mut summary = Summary::default();
        let mut latencies = Vec::new();
        for caller in &self.callers {
            if !window.contains(&caller.arrived_at) || !team(caller.team) {
                continue;
            }
            summary.all += 1;
            summary.in_time += usize::from(caller.is_in_time());
            summary.in_time_at_once +=
                usize::from(caller.is_in_time() && caller.returned_at.is_none());
            summary.late += usize::from(caller.served.is_some() && !caller.is_in_time());
            summary.refused_once += usize::from(caller.refusals == 1);
            summary.refused_twice += usize::from(caller.refusals > 1);
            summary.worth += caller.worth();
            latencies.extend(caller.served.map(|(latency, _)| latency));
        }
        latencies.sort_unstable();
        summary.median = latencies
            .get(latencies.len() / 2)
            .copied()
            .unwrap_or_default();
        summary
    }
}

#[derive(Clone, Debug, Default)]
struct Summary {
    all: usize,
    in_time: usize,
    in_time_at_once: usize,
    late: usize,
    refused_once: usize,
    refused_twice: usize,
    median: Duration,
    worth: f64,
}

/// The factor of the waves at a time: 0.38 for 3.4 s, then 1.87 for 2.4 s.
fn wave(at: Duration) -> f64 {
    let phase = at.as_secs_f64() % 5.8;
    if phase < 3.4 { 0.38 } else { 1.87 }
}

/// The waves with a burst of 2.2 from 14.8 s to 19.8 s, shared by eight teams.
fn burst(at: Duration) -> Vec<f64> {
    let seconds = at.as_secs_f64();
    let factor = if (14.8..19.8).contains(&seconds) {
        2.2
    } else {
        1.0
    };
    vec![MEAN_RATE * factor * wave(at) / 8.0; 8]
}

fn burst_day(pressure: bool) -> OverloadSimulation {
    let mut simulation = OverloadSimulation::new(pressure);
    simulation.run(Duration::from_millis(14_800), 12, burst);
    simulation.slow_servers = 4;
    simulation.run(Duration::from_secs(17), 12, burst);
    simulation
}

/// Callers in waves, with a burst while a third of the servers are four times slower. Without
/// the feature, everybody waits behind returned callers and is late.
#[test]
fn in_a_burst_more_requests_are_in_time_and_few_wait_for_nothing() {
    let (off, on) = (burst_day(false), burst_day(true));
    for (from, to) in [(0.0, 14.8), (14.8, 19.8), (19.8, 30.0), (0.0, 30.0)] {
        println!("off {from}-{to}: {:?}", off.summary(from, to, |_| true));
        println!("on  {from}-{to}: {:?}", on.summary(from, to, |_| true));
    }
    println!(
        "items: off {}, on {}",
        off.batch_completed, on.batch_completed
    );
    let before = off.summary(14.8, 19.8, |_| true);
    let burst = on.summary(14.8, 19.8, |_| true);
    assert!(burst.median <= TARGET, "{burst:?}");
    assert!(burst.in_time > 2 * before.in_time, "{burst:?} {before:?}");
    assert!(burst.worth > 1.5 * before.worth, "{burst:?} {before:?}");
    // The slow servers leave 450 requests a second, which serve one request each.
    assert!(burst.refused_twice + 5 * 450 <= burst.all, "{burst:?}");
    let after = on.summary(19.8, 30.0, |_| true);
    assert!(after.median <= TARGET, "{after:?}");
    assert!(after.refused_twice * 100 <= after.all, "{after:?}");
    assert_eq!(on.refused_while_idle, 0);
    println!("slow refusals {:?} of {:?}", on.slow_refusals, on.refusals);
    assert!(on.slow_refusals[0] * 10 <= on.refusals[0]);
    // Returned callers whose wait is predicted to end at their time limits wait for nothing if
    // the prediction errs at all.
    assert!(on.slow_refusals[1] * 5 <= on.refusals[1]);
    assert!(on.batch_completed * 10 >= off.batch_completed * 9);
    assert!(burst.late > 0, "{burst:?}");
}

/// One of eight teams sends eight times its usual load. The others must not notice, and it may
/// use what they leave.
#[test]
fn a_team_that_floods_waits_behind_itself() {
    let rates = |at: Duration| {
        let mut rates = vec![50.0; 8];
        if at >= Duration::from_secs(5) {
            rates[0] *= 8.0;
        }
        rates
    };
    let summaries = [false, true].map(|pressure| {
        let mut simulation = OverloadSimulation::new(pressure);
        simulation.run(Duration::from_secs(20), 12, rates);
        let others = simulation.summary(5.0, 14.0, |team| team != 0);
        (others, simulation.summary(5.0, 14.0, |team| team == 0))
    });
    let [off, on] = &summaries;
    println!("off: others {:?}, flood {:?}", off.0, off.1);
    println!("on:  others {:?}, flood {:?}", on.0, on.1);
    assert!(on.0.in_time * 100 >= on.0.all * 98, "{:?}", on.0);
    assert!(on.0.in_time > off.0.in_time);
    // The servers take up 600 a second, of which the others need 350.
    assert!(on.1.in_time + on.1.late > 9 * 200, "{:?}", on.1);
}

/// A wave of twice the capacity that ends must leave nobody refused twice who could be served
/// behind it.
#[test]
fn returned_callers_are_served_behind_a_short_wave() {
    let rates = |at: Duration| {
        let is_wave = (4_000..5_500).contains(&at.as_millis());
        vec![if is_wave { 150.0 } else { 10.0 }; 8]
    };
    let mut simulation = OverloadSimulation::new(true);
    simulation.run(Duration::from_secs(12), 12, rates);
    let wave = simulation.summary(4.0, 5.5, |_| true);
    println!("wave {wave:?}");
    assert!(wave.refused_twice * 20 <= wave.all, "{wave:?}");
    assert!(wave.late > 0, "{wave:?}");
    for caller in &simulation.callers {
        let Some((_, at)) = caller.served else {
            continue;
        };
        assert!(at <= caller.arrived_at + TIME_LIMIT, "{caller:?}");
    }
}

/// Requests behind a rank that takes up all servers must be refused at once rather than wait for
/// slots that never come free.
#[test]
fn a_rank_behind_a_full_one_does_not_wait_for_nothing() {
    let mut simulation = OverloadSimulation::new(true);
    simulation.second_rank_from = 1;
    simulation.run(Duration::from_secs(10), 12, |_| vec![700.0, 60.0]);
    let (first, second) = (
        simulation.summary(1.0, 8.0, |team| team == 0),
        simulation.summary(1.0, 8.0, |team| team == 1),
    );
    println!("first {first:?}, second {second:?}");
    let (slow, refusals) = (simulation.slow_refusals, simulation.refusals);
    println!("slow refusals {slow:?} of {refusals:?}");
    assert!(first.in_time * 100 >= first.all * 75, "{first:?}");
    for (slow, refusals) in slow.iter().zip(refusals) {
        assert!(slow * 10 <= refusals, "{slow} of {refusals}");
    }
}

/// Without the feature, the decisions must be those of the build before it, for which the same
/// simulation gave these figures.
#[test]
fn without_the_feature_decisions_are_those_of_before() {
    let simulation = burst_day(false);
    let day = simulation.summary(0.0, 30.0, |_| true);
    println!("{day:?} {}", simulation.batch_completed);
    let figures = (day.in_time, day.late, day.refused_once, day.refused_twice);
    assert_eq!(figures, (5_696, 4_328, 4_631, 408));
    assert_eq!(simulation.batch_completed, 969);
}

/// Fills all slots of one server and queues an item and two requests.
fn order_of_grants(first_is_late: bool) -> Vec<u64> {
    let mut simulation = OverloadSimulation::new(true);
    for number in 1..SERVERS {
        let name = ServerName::try_from(format!("s{number}").as_str()).expect("it is valid");
        simulation.broker.mark_leaving(&name, None);
    }
    let entry = requester("entry-1");
    let terms = |is_late: bool| CallerTerms {
        team: None,
        returned: is_late,
        target_left: if is_late { Duration::ZERO } else { TARGET },
        time_left: TIME_LIMIT,
    };
    for _ in 0..SLOTS {
        let request = simulation.request(WorkKind::Online);
        simulation
            .broker
            .request_slot_for(&entry, request, Some(terms(false)), simulation.now);
    }
    let mut item = simulation.request(WorkKind::Batch);
    item.wait_max = TIME_LIMIT;
    simulation
        .broker
        .request_slot(&requester("store-1"), item, simulation.now);
    for is_late in [first_is_late, false] {
        let request = simulation.request(WorkKind::Online);
        simulation
            .broker
            .request_slot_for(&entry, request, Some(terms(is_late)), simulation.now);
    }
    simulation.broker.take_events();
    for ticket in 1..=u64::from(SLOTS) {
        simulation.release("entry-1", ticket, RunOutcome::Served, None);
    }
    let events = simulation.broker.take_events();
    events
        .iter()
        .filter_map(|event| match event {
            BrokerEvent::Decided {
                ticket,
                decision: SlotDecision::Granted { .. },
                ..
            } => Some(*ticket),
            _ => None,
        })
        .collect()
}

/// A late request must not delay one that can still be in time, and items go last.
#[test]
fn requests_in_time_go_first_then_late_ones_then_items() {
    assert_eq!(order_of_grants(true), [11, 10, 9]);
    assert_eq!(order_of_grants(false), [10, 11, 9]);
}

/// Refused callers that all return at one moment would meet in the same congestion again.
#[test]
fn refused_callers_are_spread_and_return_within_a_third_of_their_time() {
    let mut simulation = OverloadSimulation::new(true);
    simulation.run(Duration::from_secs(3), 0, |_| vec![1_500.0]);
    let third = TIME_LIMIT / 3;
    let mut delays = Vec::new();
    for _ in 0..200 {
        let request = simulation.request(WorkKind::Online);
        let terms = CallerTerms {
            team: Some(team_name("t0")),
            returned: false,
            target_left: TARGET,
            time_left: TIME_LIMIT,
        };
        simulation.broker.request_slot_for(
            &requester("entry-1"),
            request,
            Some(terms),
            simulation.now,
        );
        let events = simulation.broker.take_events();
        delays.extend(refused_after(&events));
    }
    assert!(delays.len() > 100, "{} refused", delays.len());
    assert!(delays.iter().all(|delay| *delay <= third));
    for start in 0..16 {
        let from = Duration::from_millis(start * 100);
        let until = from + Duration::from_millis(200);
        let together = delays.iter().filter(|delay| (from..until).contains(delay));
        let together = together.count();
        assert!(
            together * 2 <= delays.len(),
            "{together} return at {from:?}"
        );
    }
}

/// The requests of two hosts for the slots of one server: the first host takes all of them, the
/// second one is silent from then on while its request is queued.
struct SilentHost {
    simulation: OverloadSimulation,
    occupied: Vec<ActiveRun>,
    queued: u64,
}

impl SilentHost {
    fn new(pressure: bool) -> Self {
        let mut simulation = OverloadSimulation::new(pressure);
        for number in 1..SERVERS {
            let name = ServerName::try_from(format!("s{number}").as_str()).expect("it is valid");
            simulation.broker.mark_leaving(&name, None);
        }
        let terms = CallerTerms {
            team: None,
            returned: true,
            target_left: TIME_LIMIT,
            time_left: TIME_LIMIT,
        };
        let mut occupied = Vec::new();
        let mut ticket = 0;
        for number in 0..=SLOTS {
            let mut request = simulation.request(WorkKind::Online);
            request.first_answer_within = TIME_LIMIT;
            request.wait_max = TIME_LIMIT;
            ticket = request.ticket;
            let mut host = "entry-2";
            if number < SLOTS {
                host = "entry-1";
                occupied.push(ActiveRun {
                    ticket,
                    server: ServerName::try_from("s0").expect("it is valid"),
                    kind: WorkKind::Online,
                    tokens: 100,
                    brokerless: false,
                    proven: ProvenWork::None,
                });
            }
            simulation.broker.request_slot_for(
                &requester(host),
                request,
                Some(terms.clone()),
                simulation.now,
            );
        }
        simulation.broker.take_events();
        Self {
            simulation,
            occupied,
            queued: ticket,
        }
    }

    /// Lets 2.8 s pass, in which only the first host and the server are heard of.
    fn pass(&mut self) {
        let simulation = &mut self.simulation;
        for _ in 0..4 {
            simulation.now += Duration::from_millis(700);
            simulation.sequence += 1;
            let check_in = check_in("s0", "a", simulation.sequence);
            simulation.broker.check_in(check_in, simulation.now);
            let entry = requester("entry-1");
            simulation
                .broker
                .reconcile(&entry, &self.occupied, simulation.now);
            simulation.broker.tick(simulation.now);
        }
    }

    /// Ends a run of the first host. Returns the decisions on the request of the second one so
    /// far: whether a slot was granted.
    fn free_slot(&mut self) -> Vec<bool> {
        let ended = self.occupied.remove(0);
        self.simulation
            .release("entry-1", ended.ticket, RunOutcome::Served, None);
        let events = self.simulation.broker.take_events();
        let decisions = events.iter().filter_map(|event| match event {
            BrokerEvent::Decided {
                ticket, decision, ..
            } if *ticket == self.queued => Some(matches!(decision, SlotDecision::Granted { .. })),
            _ => None,
        });
        decisions.collect()
    }
}

/// Under pressure, requests may be queued for longer than a silent host is known. They must not
/// take slots that nobody uses.
#[test]
fn queued_requests_of_a_lost_host_get_no_slot() {
    let mut host = SilentHost::new(true);
    host.pass();
    assert_eq!(host.free_slot(), [false]);
}

/// A slot that a lost host gets nevertheless must not stay occupied for good: only the slots of
/// known hosts are reclaimed.
#[test]
fn a_slot_that_is_granted_to_a_lost_host_is_reclaimed() {
    let mut host = SilentHost::new(false);
    host.pass();
    assert_eq!(host.free_slot(), [true]);
    host.pass();
    let service = ServiceName::try_from(ENGINE).expect("it is valid");
    let (running, ..) = host
        .simulation
        .broker
        .load_of(&service, host.simulation.now);
    assert_eq!(running, SLOTS - 1);
}

/// A team whose callers gave up while they were queued must not wait behind the others for what
/// it never got.
#[test]
fn withdrawn_requests_do_not_count_as_a_share() {
    let mut simulation = OverloadSimulation::new(true);
    for number in 1..SERVERS {
        let name = ServerName::try_from(format!("s{number}").as_str()).expect("it is valid");
        simulation.broker.mark_leaving(&name, None);
    }
    let entry = requester("entry-1");
    let request_of = |simulation: &mut OverloadSimulation, team: &str| {
        let request = simulation.request(WorkKind::Online);
        let ticket = request.ticket;
        let terms = CallerTerms {
            team: Some(team_name(team)),
            returned: true,
            target_left: TIME_LIMIT,
            time_left: TIME_LIMIT,
        };
        simulation
            .broker
            .request_slot_for(&entry, request, Some(terms), simulation.now);
        ticket
    };
    for _ in 0..SLOTS {
        request_of(&mut simulation, "others");
    }
    // The class of the queue is never empty, so its shares are not reset.
    let first = request_of(&mut simulation, "others");
    let withdrawn: Vec<u64> = (0..10)
        .map(|_| request_of(&mut simulation, "left"))
        .collect();
    for ticket in withdrawn {
        simulation.broker.withdraw(&entry, ticket);
    }
    let others: Vec<u64> = (0..5)
        .map(|_| request_of(&mut simulation, "others"))
        .collect();
    let last = request_of(&mut simulation, "left");
    simulation.broker.take_events();
    for ticket in 1..=u64::from(SLOTS) {
        simulation.release("entry-1", ticket, RunOutcome::Served, None);
    }
    let events = simulation.broker.take_events();
    let granted = events.iter().filter_map(|event| match event {
        BrokerEvent::Decided {
            ticket,
            decision: SlotDecision::Granted { .. },
            ..
        } => Some(*ticket),
        _ => None,
    });
    let granted: Vec<u64> = granted.collect();
    assert_eq!(granted[..3], [first, last, others[0]], "{granted:?}");
}

/// A time in a report that is beyond what the clock can hold must not end the leader's process.
#[test]
fn reports_of_endless_times_are_borne() {
    for pressure in [false, true] {
        let mut simulation = OverloadSimulation::new(pressure);
        for outcome in [RunOutcome::Served, RunOutcome::Failed] {
            let request = simulation.request(WorkKind::Online);
            let entry = requester("entry-1");
            let report = RunReport {
                first_answer: Some(Duration::MAX),
                ..run_report(request.ticket, outcome)
            };
            simulation
                .broker
                .request_slot_for(&entry, request, None, simulation.now);
            let work = WorkPercent::try_from(150.0).ok();
            simulation
                .broker
                .release_stated(&entry, &report, work, simulation.now);
        }
    }
}
