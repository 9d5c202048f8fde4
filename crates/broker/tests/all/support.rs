//! A broker with servers and requesters for tests.

use chicoryladder_broker::{
    BrokerEvent, BrokerSettings, ColdTolerance, PromptSegment, ProvenWork, RateTolerance,
    RequesterId, RunOutcome, RunReport, ServerCheckIn, ServerPhase, SlotBroker, SlotDecision,
    SlotRefusalReason, SlotRequest, WorkKind, ZoneAreas,
};
use chicoryladder_plan::{
    CallerLimits, EngineCapacity, PlanVersion, RawPlan, RawService, RawTeam, ServicePlan,
};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServiceName, SoftwareVersion, Tail};
use std::time::{Duration, Instant};

pub(crate) const ENGINE: &str = "engine";
pub(crate) const APP: &str = "app";

pub(crate) fn settings() -> BrokerSettings {
    BrokerSettings {
        check_in_interval: Duration::from_secs(1),
        lost_after: Duration::from_secs(5),
        remove_after: Duration::from_secs(30),
        requester_lost_after: Duration::from_secs(2),
        tolerance: RateTolerance {
            requests: 10.0,
            ..RateTolerance::default()
        },
        cold_tolerance: ColdTolerance {
            overshoot: 1.5,
            slack: 5.0,
        },
        pressure: false,
        weighs_placement: true,
        areas: ZoneAreas::default(),
    }
}

pub(crate) fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("it is valid")
}

pub(crate) fn team_name(name: &str) -> TeamName {
    TeamName::try_from(name).expect("it is valid")
}

pub(crate) fn requester(name: &str) -> RequesterId {
    RequesterId {
        host: HostName::try_from(name).expect("it is valid"),
        incarnation: 1,
    }
}

pub(crate) fn team(name: &str, rate: f64, burst: f64) -> RawTeam {
    RawTeam {
        name: team_name(name),
        keys: vec![format!("key-{name}")],
        rank: None,
        rate,
        burst,
    }
}

pub(crate) fn plan(teams: Vec<RawTeam>) -> ServicePlan {
    let service = |name: &str, engine| RawService {
        name: ServiceName::try_from(name).expect("it is valid"),
        connections_max: 100,
        engine,
    };
    let engine = EngineCapacity {
        slots: 8,
        memory_tokens: 100_000,
    };
    let raw = RawPlan {
        version: PlanVersion(1),
        routes: Vec::new(),
        services: vec![service(ENGINE, Some(engine)), service(APP, None)],
        teams,
        limits: CallerLimits::default(),
        terms: Tail::default(),
    };
    ServicePlan::try_from(raw).expect("it is valid")
}

pub(crate) fn check_in(name: &str, zone_name: &str, sequence: u64) -> ServerCheckIn {
    ServerCheckIn {
        name: ServerName::try_from(name).expect("it is valid"),
        incarnation: 1,
        sequence,
        service: ServiceName::try_from(ENGINE).expect("it is valid"),
        address: "127.0.0.1:9000".parse().expect("it is valid"),
        zone: zone(zone_name),
        version: SoftwareVersion::from("v1"),
        slots: 8,
        phase: ServerPhase::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

/// A broker with a manually advanced clock.
pub(crate) struct BrokerFixture {
    pub(crate) broker: SlotBroker,
    pub(crate) now: Instant,
    pub(crate) next_ticket: u64,
}

impl BrokerFixture {
    pub(crate) fn new(servers: &[(&str, &str)], teams: Vec<RawTeam>) -> Self {
        let now = Instant::now();
        let mut broker = SlotBroker::new(settings());
        broker.set_plan(&plan(teams), now);
        broker.rates().fill_all();
        for (name, zone) in servers {
            broker.check_in(check_in(name, zone, 1), now);
        }
        Self {
            broker,
            now,
            next_ticket: 1,
        }
    }

    /// Like [`Self::new`], with servers `s0` and so on, spread over zones round robin.
    pub(crate) fn with_servers(count: usize, zones: &[&str]) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("s{number}")).collect();
        let names = names.iter().map(String::as_str);
        let servers: Vec<(&str, &str)> = names.zip(zones.iter().copied().cycle()).collect();
        Self::new(&servers, Vec::new())
    }

    pub(crate) fn slot_request(&mut self, kind: WorkKind) -> SlotRequest {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        SlotRequest {
            ticket,
            service: ServiceName::try_from(ENGINE).expect("it is valid"),
            kind,
            rank: 0,
            zone: zone("a"),
            charged_team: None,
            prompt: Vec::new(),
            fingerprint: fingerprint(ticket),
            tokens: 100,
            stream: None,
            avoid: Vec::new(),
            first_answer_within: Duration::from_millis(300),
            wait_max: Duration::from_millis(300),
            homes: None,
        }
    }

    pub(crate) fn submit(&mut self, request: SlotRequest) -> Vec<BrokerEvent> {
        self.broker
            .request_slot(&requester("entry-1"), request, self.now);
        self.broker.take_events()
    }

    pub(crate) fn request_online(&mut self) -> Vec<BrokerEvent> {
        let request = self.slot_request(WorkKind::Online);
        self.submit(request)
    }

    pub(crate) fn request_batch(&mut self) -> Vec<BrokerEvent> {
        let mut request = self.slot_request(WorkKind::Batch);
        request.wait_max = Duration::from_secs(60);
        self.submit(request)
    }

    pub(crate) fn release(&mut self, ticket: u64, outcome: RunOutcome) -> Vec<BrokerEvent> {
        self.report(&run_report(ticket, outcome))
    }

    pub(crate) fn report(&mut self, report: &RunReport) -> Vec<BrokerEvent> {
        self.broker.release(&requester("entry-1"), report, self.now);
        self.broker.take_events()
    }

    pub(crate) fn tick(&mut self, step: Duration) -> Vec<BrokerEvent> {
        self.now += step;
        self.broker.tick(self.now);
        self.broker.take_events()
    }
}

/// The report on a run of which nothing but its outcome is known.
pub(crate) fn run_report(ticket: u64, outcome: RunOutcome) -> RunReport {
    RunReport {
        ticket,
        outcome,
        load: None,
        first_answer: None,
        refund: false,
        completed: ProvenWork::None,
    }
}

/// The fingerprint of the request with a number.
pub(crate) fn fingerprint(number: u64) -> RequestFingerprint {
    let route = RouteName::try_from("chat").expect("it is valid");
    RequestFingerprint::new(None, &route, "/chat", &number.to_le_bytes())
}

pub(crate) fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

/// The server of the first grant among the events.
pub(crate) fn granted(events: &[BrokerEvent]) -> Option<String> {
    events.iter().find_map(|event| match event {
        BrokerEvent::Decided {
            decision: SlotDecision::Granted { server, .. },
            ..
        } => Some(server.to_string()),
        _ => None,
    })
}

pub(crate) fn refused_after(events: &[BrokerEvent]) -> Option<Duration> {
    events.iter().find_map(|event| match event {
        BrokerEvent::Decided {
            decision: SlotDecision::Refused { retry_after, .. },
            ..
        } => Some(*retry_after),
        _ => None,
    })
}

pub(crate) fn stopped(events: &[BrokerEvent]) -> Option<u64> {
    events.iter().find_map(|event| match event {
        BrokerEvent::Stop { ticket, .. } => Some(*ticket),
        _ => None,
    })
}

/// The reason of the first refusal among events.
pub(crate) fn refusal(events: &[BrokerEvent]) -> Option<SlotRefusalReason> {
    events.iter().find_map(|event| match event {
        BrokerEvent::Decided {
            decision: SlotDecision::Refused { reason, .. },
            ..
        } => Some(*reason),
        _ => None,
    })
}
