//! Measures slot decisions among 300 engines with full caches: `slot_decisions [weighed]`.

use chicoryladder_broker::{
    BrokerSettings, ColdTolerance, PromptSegment, ProvenWork, RateTolerance, RequesterId,
    RunOutcome, RunReport, ServerCheckIn, ServerPhase, SlotBroker, SlotRequest, WorkKind,
    ZoneAreas,
};
use chicoryladder_plan::{
    CallerLimits, EngineCapacity, PlanVersion, RawPlan, RawService, ServicePlan,
};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName, SoftwareVersion, Tail};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::error::Error;
use std::time::{Duration, Instant};

const SERVERS: usize = 300;
const ACTIVE: usize = 1_200;
const WARM_UP: u64 = 20_000;
const DECISIONS: u64 = 20_000;

fn settings(pressure: bool) -> BrokerSettings {
    BrokerSettings {
        check_in_interval: Duration::from_secs(1),
        lost_after: Duration::from_secs(5),
        remove_after: Duration::from_secs(30),
        requester_lost_after: Duration::from_secs(2),
        tolerance: RateTolerance::default(),
        cold_tolerance: ColdTolerance::default(),
        pressure,
        weighs_placement: pressure,
        areas: ZoneAreas::default(),
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let weighed = std::env::args().any(|argument| argument == "weighed");
    let start = Instant::now();
    let mut broker = SlotBroker::new(settings(weighed));
    let service = ServiceName::try_from("engine")?;
    let engine = EngineCapacity {
        slots: 8,
        memory_tokens: 72_000,
    };
    let raw = RawPlan {
        version: PlanVersion(1),
        routes: Vec::new(),
        services: vec![RawService {
            name: service.clone(),
            connections_max: 100,
            engine: Some(engine),
        }],
        teams: Vec::new(),
        limits: CallerLimits::default(),
        terms: Tail::default(),
    };
    broker.set_plan(&ServicePlan::try_from(raw)?, start);
    for number in 0..SERVERS {
        let check_in = ServerCheckIn {
            name: ServerName::try_from(format!("server-{number}"))?,
            incarnation: 1,
            sequence: 1,
            service: service.clone(),
            address: "127.0.0.1:9000".parse()?,
            zone: ZoneName::try_from(["a", "b", "c"][number % 3])?,
            version: SoftwareVersion::from("v1"),
            slots: 8,
            phase: ServerPhase::Ready,
            warmup_remaining: Duration::ZERO,
        };
        broker.check_in(check_in, start);
    }
    let requester = RequesterId {
        host: HostName::try_from("entry-1")?,
        incarnation: 1,
    };
    let route = RouteName::try_from("chat")?;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut active = VecDeque::new();
    let mut spent = Duration::ZERO;
    for ticket in 0..WARM_UP + DECISIONS {
        let now = start + Duration::from_micros(ticket * 100);
        let segment = |id, tokens| PromptSegment { id, tokens };
        let request = SlotRequest {
            ticket,
            service: service.clone(),
            kind: WorkKind::Online,
            rank: 0,
            zone: ZoneName::try_from("a")?,
            charged_team: None,
            prompt: vec![
                segment(rng.random_range(0..8), 1_000),
                segment(rng.random_range(0..50), 2_000),
                segment(rng.random_range(0..20), 500),
                segment(rng.random_range(0..20), 500),
                segment(rng.random(), 200),
            ],
            fingerprint: RequestFingerprint::new(None, &route, "/chat", &ticket.to_le_bytes()),
            tokens: 4_400,
            stream: None,
            avoid: Vec::new(),
            first_answer_within: Duration::from_secs(1),
            wait_max: Duration::from_secs(1),
            homes: None,
        };
        let began = Instant::now();
        broker.request_slot(&requester, request, now);
        if ticket >= WARM_UP {
            spent += began.elapsed();
        }
        broker.take_events();
        active.push_back(ticket);
        if active.len() > ACTIVE {
            let report = RunReport {
                ticket: active.pop_front().unwrap_or_default(),
                outcome: RunOutcome::Served,
                load: None,
                first_answer: Some(Duration::from_millis(50)),
                refund: false,
                completed: ProvenWork::None,
            };
            broker.release(&requester, &report, now);
            broker.take_events();
        }
    }
    let mean = spent.as_secs_f64() / f64::from(u32::try_from(DECISIONS)?);
    println!("{:.1} us a decision", mean * 1_000_000.0);
    Ok(())
}
