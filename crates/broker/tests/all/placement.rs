//! Simulations of uneven engines with shared prompt segments, and what the broker believes of
//! their speed and memory.

use crate::support::{
    BrokerFixture, check_in, granted, plan, requester, run_report, segment, settings, stopped,
};
use chicoryladder_broker::{
    AnswerReport, BrokerEvent, BrokerSettings, ExpectedAnswer, PromptSegment, RunOutcome,
    RunReport, SlotBroker, SlotDecision, StreamPart, WorkKind, WorkPercent,
};
use chicoryladder_plan::{RawPlan, ServicePlan};
use chicoryladder_types::SoftwareVersion;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
const MEMORY: u64 = 72_000;
const SLOTS: usize = 8;
/// The engines read faster than the broker assumes at first, and answer sooner.
const READ_TOKEN_MS: f64 = 0.02;
const BASE_MS: f64 = 30.0;
const WRITE_TOKEN_MS: f64 = 5.0;
/// The time that work takes at 0.55 of the usual speed.
const SLOW: f64 = 1.0 / 0.55;

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

struct EngineRun {
    ticket: u64,
    tokens: u64,
    sent_at: Instant,
    first_at: Instant,
    ends_at: Instant,
    is_reported: bool,
}

/// An engine that reads one prompt after the other and writes all answers at once.
struct Engine {
    pace: f64,
    /// The part of the pace that is due to others on the machine.
    disturbance: f64,
    runs: Vec<EngineRun>,
    /// Prefixes by their segments, the least recently used first.
    held: Vec<(Vec<u64>, u64)>,
    reads_until: Instant,
}

impl Engine {
    fn pace(&self) -> f64 {
        self.pace * self.disturbance
    }

    fn shrink(&mut self) {
        let running: u64 = self.runs.iter().map(|run| run.tokens).sum();
        assert!(running <= MEMORY, "the engine runs out of memory");
        while self.held.iter().map(|(_, tokens)| tokens).sum::<u64>() + running > MEMORY {
            self.held.remove(0);
        }
    }

    /// Reads a prompt and returns how many of its tokens were not held.
    fn read(&mut self, prompt: &[PromptSegment]) -> u64 {
        let ids: Vec<u64> = prompt.iter().map(|segment| segment.id).collect();
        let is_held = |length: &usize| self.held.iter().any(|(held, _)| *held == ids[..*length]);
        let shared = 1..prompt.len();
        let held = shared.clone().take_while(is_held).count();
        for length in shared.rev() {
            self.held.retain(|(held, _)| *held != ids[..length]);
            let tokens = prompt[length - 1].tokens.into();
            self.held.push((ids[..length].to_vec(), tokens));
        }
        let unread = prompt[held..].iter();
        unread.map(|segment| u64::from(segment.tokens)).sum()
    }

    fn start(&mut self, request: &Asked, now: Instant, ticket: u64) -> u64 {
        let unread = self.read(&request.prompt);
        #[expect(clippy::cast_precision_loss)]
        let reading = millis(unread as f64 * READ_TOKEN_MS * self.pace());
        self.reads_until = self.reads_until.max(now) + reading;
        let first_at = self.reads_until + millis(BASE_MS * self.pace());
        let writing = millis(f64::from(request.output) * WRITE_TOKEN_MS * self.pace());
        self.runs.push(EngineRun {
            ticket,
            tokens: request.tokens(),
            sent_at: now,
            first_at,
            ends_at: first_at + writing,
            is_reported: false,
        });
        assert!(self.runs.len() <= SLOTS, "the engine is overrun");
        self.shrink();
        unread
    }

    /// Changes the pace, also of what runs.
    fn set_pace(&mut self, pace: f64, now: Instant) {
        let factor = pace / self.pace;
        self.pace = pace;
        let stretched = |at: Instant| now + at.saturating_duration_since(now).mul_f64(factor);
        self.reads_until = stretched(self.reads_until);
        for run in &mut self.runs {
            if run.first_at > now {
                run.first_at = stretched(run.first_at);
            }
            run.ends_at = stretched(run.ends_at);
        }
    }
}

#[derive(Clone)]
struct Asked {
    prompt: Vec<PromptSegment>,
    output: u32,
    at: Instant,
}

impl Asked {
    fn tokens(&self) -> u64 {
        let prompt = self.prompt.iter();
        prompt.map(|part| u64::from(part.tokens)).sum::<u64>() + u64::from(self.output)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    first_answers: Vec<Duration>,
    refused: usize,
    read: u64,
    sent: Vec<usize>,
}

impl Outcome {
    fn percentile(&self, percent: usize) -> Duration {
        let mut sorted = self.first_answers.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() - 1) * percent / 100]
    }
}

struct Simulation {
    fixture: BrokerFixture,
    engines: Vec<Engine>,
    asked: HashMap<u64, Asked>,
    rng: ChaCha8Rng,
    states_work: bool,
    /// The share of requests for one popular prompt.
    popular_share: f64,
    sequence: u64,
    outcome: Outcome,
}

impl Simulation {
    /// Servers of which the first quarter is slow.
    fn new(servers: usize, pressure: bool, states_work: bool) -> Self {
        let mut fixture = fixture(pressure);
        let engine = |number| Engine {
            pace: if number < servers / 4 { SLOW } else { 1.0 },
            disturbance: 1.0,
            runs: Vec::new(),
            held: Vec::new(),
            reads_until: fixture.now,
        };
        let engines: Vec<Engine> = (0..servers).map(engine).collect();
        for number in 0..servers {
            let check_in = check_in(&format!("{number}"), zone_of(number), 1);
            fixture.broker.check_in(check_in, fixture.now);
        }
        Self {
            fixture,
            engines,
            asked: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            states_work,
            popular_share: 0.0,
            sequence: 1,
            outcome: Outcome {
                sent: vec![0; servers],
                ..Outcome::default()
            },
        }
    }

    /// A prompt of one of 8 instructions and, below it, one of 12 documents.
    fn prompt(&mut self) -> Vec<PromptSegment> {
        let specific = segment(self.rng.random(), self.rng.random_range(50..400));
        if self.rng.random_bool(self.popular_share) {
            return vec![segment(900, 3_000), segment(901, 10_000), specific];
        }
        // The lower numbers are the more popular ones.
        let mut popular = |count: f64| {
            let number = self.rng.random::<f64>().powi(2) * count;
            (1..100u32)
                .take_while(|n| f64::from(*n) <= number)
                .fold(0, |_, n| n)
        };
        let (instruction, document) = (popular(8.0), popular(12.0));
        vec![
            segment(instruction.into(), 500 + 200 * instruction),
            segment(100 + u64::from(document), 1_000 + 400 * document),
            specific,
        ]
    }

    fn ask(&mut self) {
        let asked = Asked {
            prompt: self.prompt(),
            output: self.rng.random_range(20..180),
            at: self.fixture.now,
        };
        let mut request = self.fixture.slot_request(WorkKind::Online);
        request.zone = crate::support::zone(zone_of(self.rng.random_range(0..2)));
        request.prompt.clone_from(&asked.prompt);
        request.tokens = asked.tokens();
        request.first_answer_within = Duration::from_secs(3);
        request.wait_max = Duration::from_secs(3);
        self.asked.insert(request.ticket, asked);
        let events = self.fixture.submit(request);
        self.handle(events);
    }

    fn handle(&mut self, events: Vec<BrokerEvent>) {
        for event in events {
            let BrokerEvent::Decided {
                ticket, decision, ..
            } = event
            else {
                continue;
            };
            let asked = self.asked.remove(&ticket).expect("it was asked for");
            let SlotDecision::Granted { server, .. } = decision else {
                self.outcome.refused += 1;
                continue;
            };
            let number: usize = server.as_str().parse().expect("a number");
            let engine = &mut self.engines[number];
            self.outcome.read += engine.start(&asked, self.fixture.now, ticket);
            self.outcome.sent[number] += 1;
            let first_at = engine.runs.last().expect("it started").first_at;
            self.outcome.first_answers.push(first_at - asked.at);
        }
    }

    fn step_engines(&mut self) {
        let now = self.fixture.now;
        let mut ended = Vec::new();
        for engine in &mut self.engines {
            let work = WorkPercent::try_from(engine.pace() * 100.0).expect("it is valid");
            for run in &mut engine.runs {
                // Hosts report what servers state with their next calls.
                if self.states_work && !run.is_reported && run.first_at + 4 * STEP <= now {
                    run.is_reported = true;
                    let report = AnswerReport {
                        ticket: run.ticket,
                        first_answer: run.first_at - run.sent_at,
                        work: Some(work),
                    };
                    let broker = &mut self.fixture.broker;
                    broker.record_answer(&requester("entry-1"), &report, now);
                }
            }
            ended.extend(engine.runs.extract_if(.., |run| run.ends_at <= now));
        }
        for run in ended {
            let events = self.fixture.report(&RunReport {
                first_answer: Some(run.first_at - run.sent_at),
                ..run_report(run.ticket, RunOutcome::Served)
            });
            self.handle(events);
        }
    }

    /// Simulates `length` with `rate` requests a second on average, in waves.
    fn run(&mut self, length: Duration, rate: f64) {
        let start = self.fixture.now;
        while self.fixture.now < start + length {
            let at = self.fixture.now - start;
            let wave = if at.as_secs_f64() % 5.8 < 3.4 {
                0.38
            } else {
                1.87
            };
            let due = rate * wave * STEP.as_secs_f64();
            for _ in 0..4 {
                if self.rng.random_bool((due / 4.0).min(1.0)) {
                    self.ask();
                }
            }
            if at.as_millis().is_multiple_of(100) {
                for engine in &mut self.engines {
                    engine.disturbance = self.rng.random_range(0.85..1.2);
                }
            }
            if at.as_millis().is_multiple_of(1_000) {
                self.sequence += 1;
                for number in 0..self.engines.len() {
                    let check_in = check_in(&number.to_string(), zone_of(number), self.sequence);
                    self.fixture.broker.check_in(check_in, self.fixture.now);
                }
            }
            let events = self.fixture.tick(STEP);
            self.handle(events);
            self.step_engines();
        }
    }

    /// The share of requests that a server gets during `length`.
    fn share_of(&mut self, server: usize, length: Duration, rate: f64) -> f64 {
        self.outcome.sent.fill(0);
        self.run(length, rate);
        share(&self.outcome.sent[server..=server], &self.outcome.sent)
    }
}

fn share(part: &[usize], all: &[usize]) -> f64 {
    let sum =
        |counts: &[usize]| f64::from(u32::try_from(counts.iter().sum::<usize>()).expect("u32"));
    sum(part) / sum(all)
}

fn zone_of(number: usize) -> &'static str {
    ["a", "b"][number / 2 % 2]
}

fn fixture(pressure: bool) -> BrokerFixture {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    fixture.broker = SlotBroker::new(BrokerSettings {
        pressure,
        ..settings()
    });
    let mut raw: RawPlan = plan(Vec::new()).raw().clone();
    for service in &mut raw.services {
        if let Some(engine) = &mut service.engine {
            engine.memory_tokens = MEMORY;
        }
    }
    let plan = ServicePlan::try_from(raw).expect("it is valid");
    fixture.broker.set_plan(&plan, fixture.now);
    fixture
}

/// How the servers are weighed: not at all, by the setting, or since they state figures.
const MODES: [(bool, bool); 3] = [(false, false), (true, false), (false, true)];

/// Slow servers answered half as fast as the others and got as many requests, and prompts were
/// read again where the broker counted on segments that the server had long evicted.
#[test]
fn uneven_servers_answer_sooner_if_they_are_weighed() {
    for rate in [60.0, 90.0, 110.0] {
        let outcomes = MODES.map(|(pressure, states_work)| {
            let mut simulation = Simulation::new(16, pressure, states_work);
            simulation.run(Duration::from_secs(30), rate);
            simulation.outcome
        });
        let [before, weighed @ ..] = &outcomes;
        for outcome in &outcomes {
            println!(
                "{rate}/s: median {:?}, 95 % {:?}, {} refused, {} tokens read, slow quarter {:.3}",
                outcome.percentile(50),
                outcome.percentile(95),
                outcome.refused,
                outcome.read,
                share(&outcome.sent[..4], &outcome.sent),
            );
        }
        for outcome in weighed {
            let slow_share = share(&outcome.sent[..4], &outcome.sent);
            assert!((0.02..0.17).contains(&slow_share), "{slow_share}");
            assert!(outcome.percentile(50) < before.percentile(50).mul_f64(0.8));
            assert!(outcome.percentile(95) < before.percentile(95).mul_f64(0.9));
            assert!(outcome.read < before.read);
            assert!(outcome.refused <= before.refused);
        }
    }
}

/// Six in ten requests begin with the same 13,000 tokens. If they all went to the servers that
/// hold these, they would wait there while others are idle. The engines check that they get no
/// more than fits their slots and memory.
#[test]
fn a_popular_beginning_does_not_overrun_a_server() {
    let outcomes = MODES.map(|(pressure, states_work)| {
        let mut simulation = Simulation::new(16, pressure, states_work);
        simulation.popular_share = 0.6;
        simulation.run(Duration::from_secs(30), 60.0);
        simulation.outcome
    });
    let [before, weighed @ ..] = &outcomes;
    for outcome in &outcomes {
        let busiest = *outcome.sent.iter().max().expect("there are servers");
        println!(
            "median {:?}, 95 % {:?}, {} read, busiest {busiest} of {}, {} refused",
            outcome.percentile(50),
            outcome.percentile(95),
            outcome.read,
            outcome.first_answers.len(),
            outcome.refused,
        );
    }
    for outcome in weighed {
        let busiest = *outcome.sent.iter().max().expect("there are servers");
        assert!(busiest * 6 < outcome.first_answers.len());
        assert!(outcome.percentile(95) < before.percentile(95));
        assert!(outcome.refused <= before.refused);
    }
}

/// A server that shares its machine gets four times slower at once. Requests that are still
/// sent there are late. If it is avoided for good, it is lost to the others.
#[test]
fn a_server_that_slows_down_loses_its_load_and_gets_it_back() {
    for (pressure, states_work) in &MODES[1..] {
        let mut simulation = Simulation::new(16, *pressure, *states_work);
        simulation.run(Duration::from_secs(12), 80.0);
        let usual = simulation.share_of(15, Duration::from_secs(12), 80.0);
        let now = simulation.fixture.now;
        simulation.engines[15].set_pace(4.0, now);
        simulation.run(Duration::from_secs(1), 80.0);
        let slowed = simulation.share_of(15, Duration::from_secs(11), 80.0);
        let now = simulation.fixture.now;
        simulation.engines[15].set_pace(1.0, now);
        simulation.run(Duration::from_secs(12), 80.0);
        let restored = simulation.share_of(15, Duration::from_secs(12), 80.0);
        println!("share {usual:.3}, then {slowed:.3}, then {restored:.3}");
        assert!(slowed < usual * 0.35, "{slowed} after {usual}");
        assert!(restored > usual * 0.7, "{restored} after {usual}");
    }
}

fn prompt(document: u64) -> Vec<PromptSegment> {
    vec![
        segment(1, 2_000),
        segment(document, 8_000),
        segment(document + 1_000, 100),
    ]
}

fn fixture_with(pressure: bool, servers: &[&str]) -> BrokerFixture {
    let mut fixture = fixture(pressure);
    for name in servers {
        let check_in = check_in(name, "a", 1);
        fixture.broker.check_in(check_in, fixture.now);
    }
    fixture
}

/// Guards against deployments that are placed otherwise than before although they do not call
/// for the feature `weighed-placement`.
#[test]
fn without_the_feature_no_server_is_weighed() {
    let mut fixture = fixture_with(true, &[]);
    fixture.broker = SlotBroker::new(BrokerSettings {
        pressure: true,
        weighs_placement: false,
        ..settings()
    });
    fixture.broker.set_plan(&plan(Vec::new()), fixture.now);
    let check_in = check_in("s0", "a", 1);
    fixture.broker.check_in(check_in, fixture.now);
    let (_, _, expected) = place(&mut fixture, WorkKind::Online, prompt(1));
    assert_eq!(expected, None);
}

/// Requests a slot for a prompt; returns its ticket, the server, and what was expected of it.
fn place(
    fixture: &mut BrokerFixture,
    kind: WorkKind,
    prompt: Vec<PromptSegment>,
) -> (u64, String, Option<ExpectedAnswer>) {
    let mut request = fixture.slot_request(kind);
    request.tokens = prompt.iter().map(|part| u64::from(part.tokens)).sum();
    request.prompt = prompt;
    let ticket = request.ticket;
    let events = fixture.submit(request);
    let expected = events.iter().find_map(|event| match event {
        BrokerEvent::Decided {
            decision: SlotDecision::Granted { expected, .. },
            ..
        } => expected.0,
        _ => None,
    });
    (ticket, granted(&events).expect("it is granted"), expected)
}

fn answer(fixture: &mut BrokerFixture, ticket: u64, first_ms: f64, stated: Option<f64>) {
    let report = AnswerReport {
        ticket,
        first_answer: millis(first_ms),
        work: stated.map(|percent| WorkPercent::try_from(percent).expect("it is valid")),
    };
    fixture.now += millis(first_ms);
    let now = fixture.now;
    fixture
        .broker
        .record_answer(&requester("entry-1"), &report, now);
    fixture.release(ticket, RunOutcome::Served);
}

/// An expectation that survives a restart sends prompts to a server that reads all of them.
#[test]
fn a_restarted_server_is_expected_to_hold_nothing_and_to_be_as_fast_as_usual() {
    let mut fixture = fixture_with(true, &["0"]);
    for _ in 0..6 {
        let (ticket, ..) = place(&mut fixture, WorkKind::Online, prompt(5));
        answer(&mut fixture, ticket, 900.0, None);
    }
    let (ticket, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    let expected = expected.expect("servers are weighed");
    assert_eq!(expected.cached, 10_000);
    assert!(expected.pace_percent > 150, "{expected:?}");
    answer(&mut fixture, ticket, 900.0, None);
    let mut restarted = check_in("0", "a", 1);
    restarted.incarnation = 2;
    fixture.broker.check_in(restarted, fixture.now);
    let (_, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    let expected = expected.expect("servers are weighed");
    assert_eq!((expected.cached, expected.pace_percent), (0, 100));
}

/// Counting on segments that were evicted sends prompts where they are read again: seven other
/// documents and the first instruction leave no room for the first document.
#[test]
fn segments_that_the_memory_has_no_room_for_do_not_count() {
    let mut fixture = fixture_with(true, &["0"]);
    let mut cached = Vec::new();
    for document in [5, 5, 6, 7, 8, 9, 10, 11, 12, 5] {
        let (ticket, _, expected) = place(&mut fixture, WorkKind::Online, prompt(document));
        cached.push(expected.expect("servers are weighed").cached);
        answer(&mut fixture, ticket, 50.0, None);
    }
    let instruction = 2_000;
    assert_eq!(cached[..2], [0, 10_000]);
    assert_eq!(cached[2..], [instruction; 8]);
}

/// Items and the rest of streams pass the same decision; they read long prompts as well.
#[test]
fn items_and_resumed_streams_follow_their_prompt_beginnings() {
    let mut fixture = fixture_with(true, &["0", "1", "2"]);
    // The first server is chosen where nothing else decides, so the beginning has to be elsewhere.
    let (other, ..) = place(&mut fixture, WorkKind::Online, prompt(60));
    let (first, holder, _) = place(&mut fixture, WorkKind::Online, prompt(5));
    assert_ne!(holder, "0");
    answer(&mut fixture, first, 250.0, None);
    answer(&mut fixture, other, 250.0, None);
    let (_, server, _) = place(&mut fixture, WorkKind::Batch, prompt(5));
    assert_eq!(server, holder);
    let mut request = fixture.slot_request(WorkKind::Online);
    request.prompt = prompt(5);
    request.stream = Some(StreamPart::Rest {
        stream: None,
        version: Some(SoftwareVersion::from("v1")),
    });
    let events = fixture.submit(request);
    assert_eq!(granted(&events), Some(holder));
}

/// Single answers are delayed by the network or by a pause of the host. A stated figure changes
/// many times a second, so one that is a second old says nothing.
#[test]
fn outliers_and_old_figures_hardly_count() {
    let mut fixture = fixture_with(true, &["0"]);
    let pace = |fixture: &mut BrokerFixture| {
        let (ticket, _, expected) = place(fixture, WorkKind::Online, Vec::new());
        (ticket, expected.expect("servers are weighed").pace_percent)
    };
    let (ticket, _) = pace(&mut fixture);
    answer(&mut fixture, ticket, 20_000.0, None);
    let (ticket, percent) = pace(&mut fixture);
    assert!((101..=120).contains(&percent), "{percent}");
    answer(&mut fixture, ticket, 50.0, Some(400.0));
    let (_, percent) = pace(&mut fixture);
    assert!((250..=400).contains(&percent), "{percent}");
    fixture.now += Duration::from_secs(1);
    let (_, percent) = pace(&mut fixture);
    assert!(percent < 130, "{percent}");
}

/// A server that answers each request with an error at once would count as the fastest.
#[test]
fn quick_errors_do_not_count_as_speed() {
    let mut fixture = fixture_with(true, &["0"]);
    for _ in 0..2 {
        let (ticket, ..) = place(&mut fixture, WorkKind::Online, prompt(5));
        fixture.report(&RunReport {
            first_answer: Some(millis(1.0)),
            ..run_report(ticket, RunOutcome::Errored)
        });
    }
    let (_, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    assert_eq!(expected.expect("servers are weighed").pace_percent, 100);
}

/// A service is served as before until one of its servers states the fourth figure.
#[test]
fn servers_are_weighed_from_the_first_stated_figure_on() {
    let mut fixture = fixture_with(false, &["0"]);
    let (ticket, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    assert_eq!(expected, None);
    answer(&mut fixture, ticket, 50.0, None);
    let (ticket, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    assert_eq!(expected, None);
    answer(&mut fixture, ticket, 50.0, Some(100.0));
    let (_, _, expected) = place(&mut fixture, WorkKind::Online, prompt(5));
    assert!(expected.is_some());
}

/// Deployments whose servers are not weighed are served as by the build before: the hash of 2,000
/// choices is that of commit 37e9ae5.
#[test]
fn choices_without_weights_are_those_of_before() {
    let mut fixture = BrokerFixture::with_servers(9, &["a", "b", "c"]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut hash = 0u64;
    let mut active = Vec::new();
    for _ in 0..2_000 {
        let kind = if rng.random_bool(0.2) {
            WorkKind::Batch
        } else {
            WorkKind::Online
        };
        let mut request = fixture.slot_request(kind);
        request.zone = crate::support::zone(["a", "b", "c"][rng.random_range(0..3)]);
        request.prompt = vec![
            segment(rng.random_range(0..4), 900),
            segment(rng.random_range(0..30), 4_000),
            segment(rng.random(), 100),
        ];
        request.tokens = 5_000;
        let ticket = request.ticket;
        let events = fixture.submit(request);
        for byte in granted(&events).unwrap_or_default().bytes() {
            hash = (hash.rotate_left(5) ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        active.push(ticket);
        if active.len() > 60 {
            let ended = active.swap_remove(rng.random_range(0..active.len()));
            fixture.release(ended, RunOutcome::Served);
        }
        fixture.now += millis(1.0);
    }
    assert_eq!(hash, 289_682_869_360_315_742);
}

/// Pattern: a wave of online requests beside items of jobs. A server of another zone is the
/// cheapest one by its load although the own zone has free slots. Guards against items that lose
/// their slots there for nothing, and start again elsewhere.
#[test]
fn items_keep_their_slots_while_their_zone_has_free_ones() {
    let mut fixture = fixture_with(true, &["0"]);
    for _ in 0..6 {
        assert_eq!(granted(&fixture.request_batch()).as_deref(), Some("0"));
    }
    let other = check_in("1", "b", 1);
    fixture.broker.check_in(other, fixture.now);
    for _ in 0..2 {
        let events = fixture.request_online();
        assert_eq!(stopped(&events), None);
        assert_eq!(granted(&events).as_deref(), Some("1"));
    }
}
