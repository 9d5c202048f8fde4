//! What the broker says that it would decide, compared with what it decides. Load: online
//! requests and items of several teams beyond the capacity of a few servers, some of which are
//! cold, limited, failing, crashing, leaving or drained.

use crate::support::{
    BrokerFixture, check_in, plan, requester, run_report, segment, settings, stopped, team,
    team_name, zone,
};
use chicoryladder_broker::{
    AnswerReport, BrokerEvent, BrokerSettings, CallerTerms, CandidateFigures, CandidateList,
    CrashedRun, ExplainedOutcome, LimitReport, QuarantineStanding, RefusedFor, RunOutcome,
    RunReport, ServerLimit, ServerObstacle, SlotBroker, SlotDecision, SlotExplanation, SlotRequest,
    StreamId, StreamPart, WorkKind, WorkPercent, ZoneAreas,
};
use chicoryladder_plan::{ColdTerms, PlanTerms, RawPlan, ServicePlan};
use chicoryladder_policy::quarantine::ServerCrash;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, ServerGeneration, ServiceName, SoftwareVersion, Tail};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const STEPS: usize = 600;
const SERVERS: usize = 6;
const ZONES: [&str; 3] = ["a", "b", "c"];

fn area(name: &str) -> AreaName {
    AreaName::try_from(name).expect("it is valid")
}

fn engine() -> ServiceName {
    ServiceName::try_from(crate::support::ENGINE).expect("it is valid")
}

fn areas() -> ZoneAreas {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    ZoneAreas::new(&zones.map(|(name, of)| (zone(name), area(of))).into())
}

/// A plan with cold terms and two teams, of which one has a rate.
fn cold_plan() -> ServicePlan {
    let terms = ColdTerms {
        duration: Duration::from_secs(3),
        per_second: 6.0,
    };
    let raw = plan(vec![team("fast", 0.0, 0.0), team("slow", 2.0, 1.0)]);
    let raw = RawPlan {
        terms: Tail(PlanTerms {
            cold: BTreeMap::from([(engine(), terms)]),
            ..PlanTerms::default()
        }),
        ..raw.raw().clone()
    };
    ServicePlan::try_from(raw).expect("it is valid")
}

fn fixture(pressure: bool) -> BrokerFixture {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    fixture.broker = SlotBroker::new(BrokerSettings {
        pressure,
        areas: areas(),
        ..settings()
    });
    fixture.broker.set_plan(&cold_plan(), fixture.now);
    fixture
}

/// A run that has a slot.
struct Run {
    ticket: u64,
    server: ServerName,
    incarnation: u64,
    request: SlotRequest,
}

/// How often each kind of decision was explained.
#[derive(Debug, Default)]
struct ExplainedCounts {
    sent: usize,
    preempted: usize,
    queued: usize,
    late: usize,
    refused: BTreeMap<&'static str, usize>,
    obstacles: BTreeSet<&'static str>,
}

struct ExplanationSimulation {
    fixture: BrokerFixture,
    rng: ChaCha8Rng,
    /// Whether servers state how long work takes.
    states_work: bool,
    incarnations: [u64; SERVERS],
    sequence: u64,
    pending: BTreeMap<u64, SlotRequest>,
    runs: Vec<Run>,
    counts: ExplainedCounts,
}

impl ExplanationSimulation {
    fn new(pressure: bool, states_work: bool, seed: u64) -> Self {
        Self {
            fixture: fixture(pressure),
            rng: ChaCha8Rng::seed_from_u64(seed),
            states_work,
            incarnations: [1; SERVERS],
            sequence: 0,
            pending: BTreeMap::new(),
            runs: Vec::new(),
            counts: ExplainedCounts::default(),
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn name(number: usize) -> ServerName {
        ServerName::try_from(format!("s{number}").as_str()).expect("it is valid")
    }

    fn check_servers_in(&mut self, now_cold: Option<usize>) {
        self.sequence += 1;
        for number in 0..SERVERS {
            // One server is silent for seven seconds, after which it counts as lost.
            if number == SERVERS - 1 && self.sequence % 450 > 100 {
                continue;
            }
            let mut server = check_in(&format!("s{number}"), ZONES[number % 3], self.sequence);
            server.incarnation = self.incarnations[number];
            server.slots = 2;
            server.version = SoftwareVersion::from(if number < 4 { "v1" } else { "v2" });
            if now_cold == Some(number) {
                server.warmup_remaining = Duration::from_secs(2);
            }
            self.fixture.broker.check_in(server, self.fixture.now);
        }
    }

    fn next_request(&mut self) -> (SlotRequest, Option<CallerTerms>) {
        let kind = if self.chance(0.25) {
            WorkKind::Batch
        } else {
            WorkKind::Online
        };
        let mut request = self.fixture.slot_request(kind);
        request.zone = zone(ZONES[self.rng.random_range(0..3)]);
        request.rank = self.rng.random_range(0..2);
        request.tokens = self.rng.random_range(1_000..40_000);
        let first = self.rng.random_range(1..6);
        request.prompt = vec![
            segment(first, 2_000),
            segment(first * 10 + self.rng.random_range(0..2), 3_000),
            segment(1_000 + request.ticket, 50),
        ];
        if self.chance(0.2) {
            let home = if self.chance(0.5) { "north" } else { "east" };
            request.homes = Some(BTreeSet::from([area(home)]));
        }
        if self.chance(0.12) {
            request.charged_team = Some(team_name("slow"));
        }
        if kind == WorkKind::Online && self.chance(0.3) {
            request.stream = Some(self.stream_part(request.ticket));
        }
        if self.chance(0.05) {
            request.avoid = vec![Self::name(0)];
        }
        if kind == WorkKind::Batch {
            request.wait_max = Duration::from_secs(60);
        }
        let terms = CallerTerms {
            team: Some(team_name(if self.chance(0.8) { "fast" } else { "slow" })),
            returned: self.chance(0.4),
            target_left: Duration::from_millis(300),
            time_left: Duration::from_secs(5),
        };
        (request, (kind == WorkKind::Online).then_some(terms))
    }

    fn stream_part(&mut self, ticket: u64) -> StreamPart {
        match self.rng.random_range(0..4) {
            0 => StreamPart::Rest {
                stream: None,
                version: Some(SoftwareVersion::from("v2")),
            },
            1 => StreamPart::Rest {
                stream: None,
                version: Some(SoftwareVersion::from("v0")),
            },
            2 => StreamPart::Rest {
                stream: None,
                version: None,
            },
            _ => StreamPart::Beginning(StreamId::of_attempt(&ticket.to_string())),
        }
    }

    /// Asks what would be decided on a request, then lets the broker decide.
    fn compare(&mut self) {
        let (request, terms) = self.next_request();
        let now = self.fixture.now;
        let broker = &mut self.fixture.broker;
        let before = format!("{broker:?}");
        let explained = broker.explain_slot(&request, terms.as_ref(), now);
        assert_eq!(
            before,
            format!("{broker:?}"),
            "the question changed something"
        );
        broker.request_slot_for(&requester("entry-1"), request.clone(), terms, now);
        let events = broker.take_events();
        let decided = decision_of(&events, request.ticket);
        check_outcome(&explained, decided, stopped(&events).is_some());
        check_candidates(&explained);
        self.count(&explained);
        self.pending.insert(request.ticket, request);
        self.process(&events);
    }

    fn count(&mut self, explained: &SlotExplanation) {
        let counts = &mut self.counts;
        match &explained.outcome {
            ExplainedOutcome::Sent { preempts_item, .. } => {
                counts.sent += 1;
                counts.preempted += usize::from(*preempts_item);
            }
            ExplainedOutcome::Queued { is_late, .. } => {
                counts.queued += 1;
                counts.late += usize::from(*is_late);
            }
            ExplainedOutcome::Refused { reason, .. } => {
                *counts.refused.entry(reason.as_str()).or_default() += 1;
            }
        }
        let obstacles = explained
            .candidates
            .candidates
            .iter()
            .flat_map(|c| &c.obstacles);
        counts.obstacles.extend(obstacles.map(|o| o.as_str()));
    }

    fn process(&mut self, events: &[BrokerEvent]) {
        for event in events {
            match event {
                BrokerEvent::Decided {
                    ticket, decision, ..
                } => {
                    let Some(request) = self.pending.remove(ticket) else {
                        continue;
                    };
                    if let SlotDecision::Granted {
                        server,
                        incarnation,
                        ..
                    } = decision
                    {
                        self.runs.push(Run {
                            ticket: *ticket,
                            server: server.clone(),
                            incarnation: *incarnation,
                            request,
                        });
                    }
                }
                BrokerEvent::Stop { ticket, .. } => {
                    self.runs.retain(|run| run.ticket != *ticket);
                    let report = run_report(*ticket, RunOutcome::Stopped);
                    let now = self.fixture.now;
                    let broker = &mut self.fixture.broker;
                    broker.release(&requester("entry-1"), &report, now);
                }
                BrokerEvent::VersionStep(record) => {
                    let now = self.fixture.now;
                    self.fixture.broker.confirm_version(record, now);
                }
                _ => {}
            }
        }
        let more = self.fixture.broker.take_events();
        if !more.is_empty() {
            self.process(&more);
        }
    }

    fn end_a_run(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.runs.len());
        let run = self.runs.swap_remove(index);
        let now = self.fixture.now;
        let outcome = match self.rng.random_range(0..12) {
            0 => RunOutcome::Failed,
            1 => RunOutcome::Errored,
            _ => RunOutcome::Served,
        };
        let is_crashing = run.request.prompt[0].id == 1 && self.chance(0.2);
        let broker = &mut self.fixture.broker;
        if is_crashing {
            let crash = ServerCrash {
                server: run.server.clone(),
                generation: ServerGeneration(run.incarnation),
            };
            let crashed = CrashedRun {
                service: engine(),
                traits: run.request.traits(),
                crash,
            };
            broker.record_crash(&crashed, now);
        }
        let work = self.states_work.then(|| {
            let percent = self.rng.random_range(60..300);
            WorkPercent::try_from(f64::from(percent)).expect("it is valid")
        });
        let broker = &mut self.fixture.broker;
        let first_answer = Duration::from_millis(self.rng.random_range(20..400));
        let answer = AnswerReport {
            ticket: run.ticket,
            first_answer,
            work,
        };
        broker.record_answer(&requester("entry-1"), &answer, now);
        let report = RunReport {
            first_answer: Some(first_answer),
            ..run_report(
                run.ticket,
                if is_crashing {
                    RunOutcome::Failed
                } else {
                    outcome
                },
            )
        };
        broker.release_stated(&requester("entry-1"), &report, work, now);
        let events = broker.take_events();
        self.process(&events);
    }

    fn change_servers(&mut self, step: usize) {
        let now = self.fixture.now;
        if step.is_multiple_of(50) {
            let drained = match (step / 50) % 8 {
                1 => BTreeSet::from([zone("b")]),
                5 => ZONES.map(zone).into(),
                _ => BTreeSet::new(),
            };
            self.fixture.broker.set_drained_zones(&drained, now);
        }
        if step % 150 == 60 {
            let number = self.rng.random_range(0..SERVERS);
            self.incarnations[number] += 1;
        }
        if step % 100 == 30 {
            let report = LimitReport {
                server: Self::name(1),
                incarnation: self.incarnations[1],
                limit: Some(ServerLimit::try_from(4.0).expect("it is valid")),
                age: Duration::ZERO,
            };
            self.fixture.broker.record_limit(&report, now);
        }
        if step == STEPS - 40 {
            self.fixture.broker.mark_leaving(&Self::name(2), None);
        }
        let cold = step.is_multiple_of(120).then_some(3);
        self.check_servers_in(cold);
    }

    fn run(mut self) -> ExplainedCounts {
        for step in 0..STEPS {
            self.change_servers(step);
            let events = self.fixture.tick(STEP);
            self.process(&events);
            // Slots that have become free go to the requests that are queued before the question.
            let arrivals = self.rng.random_range(0..3);
            for _ in 0..arrivals {
                let now = self.fixture.now;
                self.fixture.broker.tick(now);
                let events = self.fixture.broker.take_events();
                self.process(&events);
                self.compare();
            }
            if self.chance(0.5) {
                self.end_a_run();
            }
        }
        self.counts
    }
}

fn decision_of(events: &[BrokerEvent], ticket: u64) -> Option<&SlotDecision> {
    events.iter().find_map(|event| match event {
        BrokerEvent::Decided {
            ticket: decided,
            decision,
            ..
        } if *decided == ticket => Some(decision),
        _ => None,
    })
}

fn check_outcome(explained: &SlotExplanation, decided: Option<&SlotDecision>, preempted: bool) {
    let outcome = &explained.outcome;
    match decided {
        None => assert!(
            matches!(outcome, ExplainedOutcome::Queued { .. }),
            "queued, not {outcome:?}"
        ),
        Some(SlotDecision::Granted { server, .. }) => {
            let sent = ExplainedOutcome::Sent {
                server: server.clone(),
                preempts_item: preempted,
            };
            assert_eq!(*outcome, sent);
        }
        Some(SlotDecision::Refused {
            reason,
            retry_after,
        }) => {
            let refused = ExplainedOutcome::Refused {
                reason: RefusedFor::from(*reason),
                retry_after_ms: u64::try_from(retry_after.as_millis()).expect("it fits"),
            };
            assert_eq!(*outcome, refused);
        }
    }
}

/// The first candidate is the one that gets the request, unless an item is preempted.
fn check_candidates(explained: &SlotExplanation) {
    let open = explained
        .candidates
        .candidates
        .iter()
        .filter(|c| c.obstacles.is_empty());
    let first = open.clone().next();
    match &explained.outcome {
        ExplainedOutcome::Sent {
            server,
            preempts_item: false,
        } => assert_eq!(first.map(|c| &c.server), Some(server)),
        ExplainedOutcome::Queued {
            is_undecided: false,
            ..
        } => assert_eq!(open.count(), 0, "{explained:?}"),
        _ => {}
    }
}

fn merge(all: impl Iterator<Item = ExplainedCounts>) -> ExplainedCounts {
    all.fold(ExplainedCounts::default(), |mut sum, counts| {
        sum.sent += counts.sent;
        sum.preempted += counts.preempted;
        sum.queued += counts.queued;
        sum.late += counts.late;
        for (reason, count) in counts.refused {
            *sum.refused.entry(reason).or_default() += count;
        }
        sum.obstacles.extend(counts.obstacles);
        sum
    })
}

/// Guards against an answer to operators that differs from the decision on the next request,
/// and against questions that take a token or a slot, begin a trial or book a return.
#[test]
fn the_broker_decides_as_it_explains_and_questions_change_nothing() {
    let modes = [(false, false), (false, true), (true, false), (true, true)];
    let runs = modes.into_iter().flat_map(|(pressure, states_work)| {
        (1..=3).map(move |seed| ExplanationSimulation::new(pressure, states_work, seed).run())
    });
    let counts = merge(runs);
    println!("{counts:?}");
    assert!(counts.sent > 500 && counts.preempted > 20, "{counts:?}");
    assert!(counts.queued > 200 && counts.late > 20, "{counts:?}");
    let reasons = [
        "rate_exceeded",
        "no_slot",
        "no_server",
        "version_gone",
        "version_unknown",
        "quarantined",
        "no_home_server",
    ];
    for reason in reasons {
        assert!(counts.refused.contains_key(reason), "{reason}: {counts:?}");
    }
    let obstacles = [
        ServerObstacle::Leaving,
        ServerObstacle::Lost,
        ServerObstacle::Suspended,
        ServerObstacle::Silent,
        ServerObstacle::Drained,
        ServerObstacle::NoFreeSlot,
        ServerObstacle::NoMemory,
        ServerObstacle::Version,
        ServerObstacle::OutsideHomes,
        ServerObstacle::Avoided,
        ServerObstacle::Limited,
        ServerObstacle::Cold,
    ];
    for obstacle in obstacles {
        let name = obstacle.as_str();
        assert!(counts.obstacles.contains(name), "{name}: {counts:?}");
    }
}

fn explain(fixture: &BrokerFixture, request: &SlotRequest) -> SlotExplanation {
    fixture.broker.explain_slot(request, None, fixture.now)
}

fn candidate<'a>(explained: &'a SlotExplanation, name: &str) -> &'a CandidateFigures {
    let mut candidates = explained.candidates.candidates.iter();
    let found = candidates.find(|candidate| candidate.server.as_str() == name);
    found.expect("the server is listed")
}

/// Guards against figures that are those of another server, or none where the broker knows
/// some: an operator would look for the cause at the wrong place.
#[test]
fn figures_are_those_of_each_server() {
    let servers = [("s0", "a"), ("s1", "b"), ("s2", "c")];
    let mut fixture = BrokerFixture::new(&servers, vec![team("curb", 4.0, 2.0)]);
    let prompt = vec![segment(1, 2_000), segment(2, 500), segment(3, 50)];
    let mut first = fixture.slot_request(WorkKind::Online);
    first.prompt.clone_from(&prompt);
    fixture.submit(first);
    let limit = LimitReport {
        server: ExplanationSimulation::name(1),
        incarnation: 1,
        limit: Some(ServerLimit::try_from(4.0).expect("it is valid")),
        age: Duration::from_millis(30),
    };
    fixture.broker.record_limit(&limit, fixture.now);
    let drained = BTreeSet::from([zone("c")]);
    fixture.broker.set_drained_zones(&drained, fixture.now);
    fixture.tick(Duration::from_millis(100));
    let mut request = fixture.slot_request(WorkKind::Online);
    request.prompt = prompt;
    request.charged_team = Some(team_name("curb"));
    let explained = explain(&fixture, &request);
    let (own, limited) = (candidate(&explained, "s0"), candidate(&explained, "s1"));
    assert_eq!((own.slots, own.free_slots, own.running_online), (8, 7, 1));
    assert_eq!((own.tokens, own.memory_tokens), (100, Some(100_000)));
    assert_eq!((own.cached_tokens, own.check_in_age_ms), (2_500, 100));
    assert!(own.obstacles.is_empty() && own.cost < limited.cost);
    assert_eq!(limited.limit_per_second, Some(4.0));
    assert_eq!(
        (limited.limit_age_ms, limited.cached_tokens),
        (Some(130), 0)
    );
    assert_eq!(limited.obstacles, [ServerObstacle::Limited]);
    let drained = candidate(&explained, "s2");
    assert_eq!(drained.obstacles, [ServerObstacle::Drained]);
    let limits = &explained.limits;
    assert_eq!(limits.drained_zones, BTreeSet::from([zone("c")]));
    assert_eq!(limits.quarantine, QuarantineStanding::Clear);
    let rate = limits.rate.expect("the team has a rate");
    assert!((rate.per_second - 4.0).abs() < f64::EPSILON && rate.wait_ms.is_none());
}

/// Guards against an answer that hides why a team is refused, and when it may return.
#[test]
fn a_rate_that_is_used_up_is_told_with_its_wait() {
    let mut fixture = BrokerFixture::new(&[("s0", "a")], vec![team("curb", 2.0, 1.0)]);
    let request = |fixture: &mut BrokerFixture| {
        let mut request = fixture.slot_request(WorkKind::Online);
        request.charged_team = Some(team_name("curb"));
        request
    };
    let next = request(&mut fixture);
    while matches!(
        explain(&fixture, &next).outcome,
        ExplainedOutcome::Sent { .. }
    ) {
        let taken = request(&mut fixture);
        fixture.submit(taken);
    }
    let explained = explain(&fixture, &next);
    let rate = explained.limits.rate.expect("the team has a rate");
    let wait = rate.wait_ms.expect("no token is left");
    assert!(
        rate.available < 1.0 && (1..=500).contains(&wait),
        "{rate:?}"
    );
    let refused = ExplainedOutcome::Refused {
        reason: RefusedFor::RateExceeded,
        retry_after_ms: wait.max(100),
    };
    assert_eq!(explained.outcome, refused);
}

/// Guards against answers that grow with the service: the leader would spend more on a question
/// than on many requests.
#[test]
fn few_servers_are_listed_and_all_are_counted() {
    let mut fixture = BrokerFixture::with_servers(200, &ZONES);
    let drained = BTreeSet::from([zone("a")]);
    fixture.broker.set_drained_zones(&drained, fixture.now);
    let request = fixture.slot_request(WorkKind::Online);
    let explained = explain(&fixture, &request);
    let list = &explained.candidates;
    assert_eq!(
        (list.servers, list.candidates.len()),
        (200, CandidateList::LISTED_MAX)
    );
    assert_eq!(
        list.obstacles,
        BTreeMap::from([(ServerObstacle::Drained, 67)])
    );
    check_outcome(
        &explained,
        decision_of(&fixture.submit(request.clone()), request.ticket),
        false,
    );
    check_candidates(&explained);
}
