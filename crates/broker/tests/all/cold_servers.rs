//! Servers that crash well above a low rate while they are cold. Pattern: all or some servers
//! of a service are cold while requests arrive far above what they bear, from hosts that are
//! cut off, join and return, under brokers that follow each other.

use crate::support::{
    BrokerFixture, ENGINE, check_in, granted, plan, refused_after, requester, run_report, settings,
    zone,
};
use chicoryladder_broker::{
    ActiveRun, BrokerEvent, BrokerlessView, ColdPace, ColdServerView, ColdSource, ColdTolerance,
    EngineMemory, LeavingServers, LimitReport, LimitStatement, NamedLimits, ProvenWork,
    ReceivedCheckIn, RunOutcome, SentTimes, ServerCheckIn, ServerLimit, SlotBroker, SlotDecision,
    WorkKind, ZoneAreas, ZoneRoster,
};
use chicoryladder_plan::{ColdTerms, PlanTerms, ServicePlan};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, Tail};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

/// The interval between check-ins of a server, and between syncs of a host.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1_200);
const SYNC_INTERVAL: Duration = Duration::from_millis(350);

/// The longest time between a grant and the arrival of the request, in milliseconds.
const DELAY_MAX_MS: u64 = 100;

/// The time that a server takes for a request.
const HOLD: Duration = Duration::from_millis(300);

const ZONES: [&str; 3] = ["a", "b", "c"];

const TERMS: ColdTerms = ColdTerms {
    duration: Duration::from_secs(30),
    per_second: 6.2,
};

/// The most requests that may arrive within a second: 6.2 * 1.5 + 5, rounded down.
const BOUND: usize = 14;

fn tolerance() -> ColdTolerance {
    settings().cold_tolerance
}

fn pace() -> ColdPace {
    ColdPace::new(TERMS, tolerance()).expect("the terms are valid")
}

fn cold_plan() -> ServicePlan {
    let mut raw = plan(Vec::new()).raw().clone();
    let service = ServiceName::try_from(ENGINE).expect("it is valid");
    raw.terms = Tail(PlanTerms {
        cold: BTreeMap::from([(service, TERMS)]),
        ..PlanTerms::default()
    });
    ServicePlan::try_from(raw).expect("it is valid")
}

fn server_name(number: usize) -> ServerName {
    ServerName::try_from(format!("s{number}")).expect("it is valid")
}

fn cold_check_in(number: usize, sequence: u64, remaining: Duration) -> ServerCheckIn {
    ServerCheckIn {
        warmup_remaining: remaining,
        ..check_in(&format!("s{number}"), ZONES[number % ZONES.len()], sequence)
    }
}

/// A broker under terms on cold servers, with servers that are not cold.
fn warm_fixture(servers: usize) -> BrokerFixture {
    let mut fixture = BrokerFixture::with_servers(servers, &ZONES);
    fixture.broker.set_plan(&cold_plan(), fixture.now);
    fixture
}

/// The most of the instants that lie within a second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let in_window = |(first, at): (usize, &Instant)| {
        let end = *at + Duration::from_secs(1);
        times.partition_point(|other| *other < end) - first
    };
    times.iter().enumerate().map(in_window).max().unwrap_or(0)
}

struct SimulatedHost {
    address: SocketAddr,
    zone: &'static str,
    sent: SentTimes,
    directory: Vec<ServerCheckIn>,
    directory_version: u64,
    directory_at: Option<Instant>,
    first_directory_at: Option<Instant>,
    roster: ZoneRoster,
    is_cut_off: bool,
    next_sync: Instant,
}

struct SimulatedRun {
    host: usize,
    run: ActiveRun,
    ends_at: Instant,
}

/// Simulates hosts, brokers and cold servers that run all that they are given.
struct Simulation {
    rng: ChaCha8Rng,
    /// Whether requests are held up on their way and arrive together every 100 ms.
    arrives_in_bunches: bool,
    /// Whether items are queued for all slots.
    has_items: bool,
    started_at: Instant,
    fixture: BrokerFixture,
    has_broker: bool,
    servers: usize,
    cold_until: Instant,
    next_check_in: Instant,
    sequence: u64,
    hosts: Vec<SimulatedHost>,
    /// The host and kind of each slot request that is not decided.
    pending: BTreeMap<u64, (usize, WorkKind)>,
    runs: BTreeMap<u64, SimulatedRun>,
    arrivals: BTreeMap<ServerName, Vec<Instant>>,
    /// Online requests and items that were sent.
    sent: [usize; 2],
}

impl Simulation {
    fn new(seed: u64, hosts: usize, servers: usize) -> Self {
        let fixture = warm_fixture(0);
        let now = fixture.now;
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrives_in_bunches: false,
            has_items: true,
            started_at: now,
            fixture,
            has_broker: true,
            servers,
            // Longer than any simulation takes: a server may say that it stays cold for longer
            // than after a start.
            cold_until: now + TERMS.duration * 10,
            next_check_in: now,
            sequence: 0,
            hosts: Vec::new(),
            pending: BTreeMap::new(),
            runs: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            sent: [0; 2],
        };
        for _ in 0..hosts {
            simulation.add_host();
        }
        simulation
    }

    fn add_host(&mut self) {
        let number = self.hosts.len();
        self.hosts.push(SimulatedHost {
            address: format!("10.0.0.{number}:1").parse().expect("it is valid"),
            zone: ZONES[number % ZONES.len()],
            sent: SentTimes::default(),
            directory: Vec::new(),
            directory_version: 0,
            directory_at: None,
            first_directory_at: None,
            roster: ZoneRoster::default(),
            is_cut_off: false,
            next_sync: self.fixture.now,
        });
    }

    fn roster(&self, zone: &str) -> ZoneRoster {
        let in_zone = self.hosts.iter().filter(|host| host.zone == zone);
        ZoneRoster {
            hosts: in_zone.map(|host| host.address).collect(),
            fleet_hosts: u32::try_from(self.hosts.len()).expect("it fits"),
        }
    }

    /// Advances the time, with `per_second` online requests from each host and as many items
    /// as fit.
    fn advance(&mut self, time: Duration, per_second: f64) {
        let end = self.fixture.now + time;
        while self.fixture.now < end {
            self.fixture.now += STEP;
            self.check_in();
            self.sync();
            if self.has_broker {
                self.fixture.broker.tick(self.fixture.now);
                self.process();
            }
            self.end_runs();
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(per_second * STEP.as_secs_f64()) {
                    self.request(host, WorkKind::Online);
                }
            }
            let items = self.pending.values();
            let items = items.filter(|(_, kind)| *kind == WorkKind::Batch).count();
            if self.has_items && self.has_broker && items < 4 {
                self.request(0, WorkKind::Batch);
            }
        }
    }

    fn check_in(&mut self) {
        let now = self.fixture.now;
        if now < self.next_check_in {
            return;
        }
        self.next_check_in = now + CHECK_IN_INTERVAL;
        self.sequence += 1;
        let remaining = self.cold_until.saturating_duration_since(now);
        for number in 0..self.servers {
            let check_in = cold_check_in(number, self.sequence, remaining);
            if self.has_broker {
                self.fixture.broker.check_in(check_in, now);
            }
        }
        self.process();
    }

    fn sync(&mut self) {
        let now = self.fixture.now;
        for number in 0..self.hosts.len() {
            let roster = self.roster(self.hosts[number].zone);
            let host = &mut self.hosts[number];
            if !self.has_broker || host.is_cut_off || now < host.next_sync {
                continue;
            }
            host.next_sync = now + SYNC_INTERVAL;
            host.roster = roster;
            let of_host = self.runs.values().filter(|run| run.host == number);
            let active: Vec<ActiveRun> = of_host.map(|run| run.run.clone()).collect();
            let broker = &mut self.fixture.broker;
            broker.reconcile(&requester(&format!("entry-{number}")), &active, now);
            if host.directory_version != broker.directory_version() {
                host.directory_version = broker.directory_version();
                host.directory = broker.servers_at(now);
                host.directory_at = Some(now);
                host.first_directory_at.get_or_insert(now);
            }
        }
        self.process();
    }

    fn request(&mut self, host: usize, kind: WorkKind) {
        let mut request = self.fixture.slot_request(kind);
        request.zone = zone(self.hosts[host].zone);
        if kind == WorkKind::Batch {
            request.wait_max = Duration::from_secs(5);
        }
        let now = self.fixture.now;
        if self.has_broker && (kind == WorkKind::Batch || !self.hosts[host].is_cut_off) {
            self.pending.insert(request.ticket, (host, kind));
            let requester = requester(&format!("entry-{host}"));
            self.fixture.broker.request_slot(&requester, request, now);
            self.process();
            return;
        }
        let of_host = self.runs.values().filter(|run| run.host == host);
        let mut own_runs: HashMap<ServerName, u32> = HashMap::new();
        for run in of_host {
            *own_runs.entry(run.run.server.clone()).or_default() += 1;
        }
        let known = &self.hosts[host];
        let view = BrokerlessView {
            memory: &EngineMemory::default(),
            areas: &ZoneAreas::default(),
            servers: &known.directory,
            own_runs: &own_runs,
            unreachable: &HashSet::new(),
            versions: None,
            leaving: &LeavingServers::default(),
            limits: &NamedLimits::default(),
            cold: ColdServerView {
                pace: Some(pace()),
                directory_at: known.directory_at,
                first_directory_at: known.first_directory_at,
                host: Some(known.address),
                sent: Some(&known.sent),
            },
            roster: &known.roster,
            now,
        };
        if let Some(server) = view.choose(&request).map(|server| server.name.clone()) {
            self.send(request.ticket, host, &server, kind, true);
        }
    }

    fn process(&mut self) {
        for event in self.fixture.broker.take_events() {
            match event {
                BrokerEvent::Decided {
                    ticket, decision, ..
                } => {
                    let (host, kind) = self.pending.remove(&ticket).expect("a pending request");
                    if let SlotDecision::Granted { server, .. } = decision {
                        self.send(ticket, host, &server, kind, false);
                    }
                }
                BrokerEvent::Stop { ticket, .. } => {
                    // A host that is cut off cannot report that a run has ended.
                    if let Some(run) = self.runs.get_mut(&ticket) {
                        run.ends_at = self.fixture.now;
                    }
                }
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        ticket: u64,
        host: usize,
        server: &ServerName,
        kind: WorkKind,
        brokerless: bool,
    ) {
        let now = self.fixture.now;
        self.hosts[host].sent.record(server, now);
        let delay_ms = if self.arrives_in_bunches {
            let elapsed = now.saturating_duration_since(self.started_at).as_millis();
            let elapsed = u64::try_from(elapsed).expect("it fits");
            elapsed.next_multiple_of(DELAY_MAX_MS) - elapsed
        } else {
            self.rng.random_range(0..=DELAY_MAX_MS)
        };
        let delay = Duration::from_millis(delay_ms);
        let arrivals = self.arrivals.entry(server.clone()).or_default();
        arrivals.push(now + delay);
        self.sent[usize::from(kind == WorkKind::Batch)] += 1;
        let run = ActiveRun {
            ticket,
            server: server.clone(),
            kind,
            tokens: 100,
            brokerless,
            proven: ProvenWork::None,
        };
        let ends_at = now + delay + HOLD;
        self.runs
            .insert(ticket, SimulatedRun { host, run, ends_at });
    }

    fn end_runs(&mut self) {
        let now = self.fixture.now;
        let due = self.runs.iter().filter(|(_, run)| run.ends_at <= now);
        let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            let run = self.runs.remove(&ticket).expect("it is listed");
            if self.has_broker && !self.hosts[run.host].is_cut_off {
                let requester = requester(&format!("entry-{}", run.host));
                let report = run_report(ticket, RunOutcome::Served);
                self.fixture.broker.release(&requester, &report, now);
                self.process();
            }
        }
    }

    fn stop_broker(&mut self) {
        self.has_broker = false;
        self.pending.clear();
    }

    /// Starts a broker that knows what a control host was told last.
    fn start_broker(&mut self) {
        let now = self.fixture.now;
        let directory = self.fixture.broker.servers_at(now);
        self.fixture.broker = SlotBroker::new(settings());
        self.fixture.broker.set_plan(&cold_plan(), now);
        for server in directory {
            self.fixture.broker.restore_server(server, now);
        }
        self.has_broker = true;
        for host in &mut self.hosts {
            host.directory_version = 0;
            host.next_sync = now;
        }
    }

    fn assert_bound(&self, what: &str) {
        for (server, arrivals) in &self.arrivals {
            let most = most_in_a_second(arrivals);
            assert!(most <= BOUND, "{what}: {server} got {most} in a second");
        }
    }

    /// The requests that arrived at a server on average, a second.
    fn rate_of(&self, number: usize, time: Duration) -> f64 {
        let arrivals = self.arrivals.get(&server_name(number));
        let count = u32::try_from(arrivals.map_or(0, Vec::len)).expect("it fits");
        f64::from(count) / time.as_secs_f64()
    }
}

/// Guards against cold servers that crash since hosts without the broker, and brokers one
/// after another, each keep to the rate by themselves.
#[test]
fn no_second_brings_a_cold_server_more_requests_than_the_bound() {
    for hosts in [1, 3, 5, 6, 9, 30] {
        for seed in 0..4 {
            let mut simulation = Simulation::new(seed, hosts, 6);
            simulation.arrives_in_bunches = seed % 2 == 0;
            simulation.has_items = seed % 4 < 2;
            let second = Duration::from_secs(1);
            simulation.advance(second * 2, 40.0);
            for host in 0..hosts.div_ceil(2) {
                simulation.hosts[host].is_cut_off = true;
            }
            simulation.advance(second * 2, 40.0);
            simulation.add_host();
            simulation.advance(second, 40.0);
            // The next broker begins at once, then another after a second without any.
            simulation.stop_broker();
            simulation.start_broker();
            simulation.advance(second, 40.0);
            simulation.stop_broker();
            simulation.advance(second, 40.0);
            simulation.start_broker();
            simulation.advance(second, 40.0);
            // A broker that began with a full burst would add it to those before.
            for _ in 0..5 {
                simulation.stop_broker();
                simulation.start_broker();
                simulation.advance(second / 5, 40.0);
            }
            for _ in 0..20 {
                let host = simulation.rng.random_range(0..simulation.hosts.len());
                let host = &mut simulation.hosts[host];
                host.is_cut_off = !host.is_cut_off;
                // Without requests, the bursts accumulate, and hosts may send again at once.
                let pause = second.mul_f64(simulation.rng.random_range(0.0..1.0));
                simulation.advance(pause, 0.0);
                let wave = second.mul_f64(simulation.rng.random_range(0.1..1.2));
                simulation.advance(wave, 80.0);
                if simulation.rng.random_bool(0.2) {
                    simulation.stop_broker();
                    simulation.start_broker();
                }
            }
            simulation.assert_bound(&format!("{hosts} hosts, seed {seed}"));
        }
    }
}

/// Guards against rates of cold servers that are left unused, and against items that take them
/// from online requests.
#[test]
fn the_rates_of_cold_servers_are_used_and_go_to_online_requests_first() {
    let time = Duration::from_secs(10);
    let mut simulation = Simulation::new(1, 3, 6);
    simulation.advance(time, 40.0);
    simulation.assert_bound("above the rate");
    for number in 0..6 {
        let rate = simulation.rate_of(number, time);
        assert!((5.8..=6.4).contains(&rate), "s{number}: {rate} a second");
    }
    let [online, items] = simulation.sent;
    assert!(items * 20 <= online, "{items} items, {online} online");

    // Without online requests, items get what the rates allow.
    let mut simulation = Simulation::new(2, 3, 6);
    simulation.advance(time, 0.0);
    let rate = simulation.rate_of(0, time);
    assert!((5.0..=6.4).contains(&rate), "s0: {rate} items a second");
}

/// Guards against hosts without the broker that refuse all requests although the bound has a
/// part for them.
#[test]
fn hosts_without_the_broker_use_their_part_of_the_bound() {
    for hosts in [1, 3, 9, 30] {
        let mut simulation = Simulation::new(3, hosts, 6);
        simulation.advance(Duration::from_secs(2), 0.0);
        simulation.stop_broker();
        simulation.sent = [0; 2];
        simulation.advance(Duration::from_secs(10), 40.0);
        simulation.assert_bound(&format!("{hosts} hosts"));
        let sent = simulation.sent[0];
        // Half of 6 rates of 6.2 a second are 186, and 5 hosts at most send the first request
        // to each server at once. The rounding to whole requests a host costs up to half.
        assert!((90..=186 + 30).contains(&sent), "{hosts} hosts sent {sent}");
    }
}

/// Guards against hosts that never send to cold servers while the broker is too slow for slot
/// requests but goes on sending them directories, as when many servers start after a power loss.
#[test]
fn hosts_that_get_new_directories_use_their_part_of_the_bound() {
    let mut simulation = Simulation::new(4, 30, 6);
    simulation.advance(Duration::from_secs(2), 0.0);
    simulation.stop_broker();
    simulation.sent = [0; 2];
    for _ in 0..10 {
        let now = simulation.fixture.now;
        for host in &mut simulation.hosts {
            host.directory_at = Some(now);
        }
        simulation.advance(Duration::from_secs(1), 40.0);
    }
    simulation.assert_bound("with new directories");
    let sent = simulation.sent[0];
    assert!((90..=186 + 30).contains(&sent), "the hosts sent {sent}");
}

/// Guards against a host that is cut off and never sends to a server again, since an answer said
/// that it was cold and other hosts have the shares of it: only an answer would tell otherwise.
#[test]
fn a_host_without_a_share_does_not_hold_a_server_cold_for_ever() {
    let mut fixture = warm_fixture(0);
    let now = fixture.now;
    let address = |number: usize| format!("10.0.0.{number}:1").parse().expect("it is valid");
    let hosts: Vec<SocketAddr> = (0..30).map(address).collect();
    let roster = ZoneRoster {
        hosts: hosts.clone(),
        fleet_hosts: 30,
    };
    let server = cold_check_in(0, 1, Duration::ZERO);
    let mut limits = NamedLimits::default();
    let limit = LimitStatement::Limited(pace().limit());
    limits.record(&server.name, server.incarnation, limit, now);
    let mut request = fixture.slot_request(WorkKind::Online);
    request.zone = server.zone.clone();
    let senders_after = |elapsed: Duration| {
        let is_sender = |host: &&SocketAddr| {
            let view = BrokerlessView {
                servers: std::slice::from_ref(&server),
                own_runs: &HashMap::new(),
                unreachable: &HashSet::new(),
                versions: None,
                leaving: &LeavingServers::default(),
                limits: &limits,
                cold: ColdServerView {
                    pace: Some(pace()),
                    directory_at: Some(now),
                    first_directory_at: Some(now),
                    host: Some(**host),
                    sent: None,
                },
                areas: &ZoneAreas::default(),
                memory: &EngineMemory::default(),
                roster: &roster,
                now: now + elapsed,
            };
            view.choose(&request).is_some()
        };
        hosts.iter().filter(is_sender).count()
    };
    assert_eq!(senders_after(TERMS.duration.saturating_sub(STEP)), 5);
    assert_eq!(senders_after(TERMS.duration + STEP), 30);
}

/// Guards against requests that wait at cold servers beyond the time in which they are served,
/// and against an order other than that of the queue.
#[test]
fn requests_are_served_in_order_as_the_rates_allow_or_refused_at_once() {
    let mut fixture = warm_fixture(0);
    let check_in = cold_check_in(0, 1, TERMS.duration);
    fixture.broker.check_in(check_in, fixture.now);
    fixture.broker.take_events();
    // One interval is 161 ms: the first request waits for one, the second for two.
    let first = fixture.slot_request(WorkKind::Online);
    let mut urgent = fixture.slot_request(WorkKind::Online);
    let mut late = fixture.slot_request(WorkKind::Online);
    for request in [&mut urgent, &mut late] {
        request.first_answer_within = Duration::from_secs(1);
        request.wait_max = Duration::from_secs(1);
    }
    late.rank = 1;
    let (urgent_ticket, late_ticket) = (urgent.ticket, late.ticket);
    assert_eq!(granted(&fixture.submit(late)), None);
    assert_eq!(granted(&fixture.submit(urgent)), None);
    let refused = fixture.submit(first);
    assert!(refused_after(&refused).is_some(), "{refused:?}");
    let mut order = Vec::new();
    for _ in 0..20 {
        let events = fixture.tick(Duration::from_millis(25));
        order.extend(events.iter().filter_map(|event| match event {
            BrokerEvent::Decided { ticket, .. } => Some(*ticket),
            _ => None,
        }));
    }
    assert_eq!(order, [urgent_ticket, late_ticket]);
}

fn changes(events: &[BrokerEvent]) -> Vec<(String, Option<ColdSource>)> {
    let change = |event: &BrokerEvent| match event {
        BrokerEvent::Cold(change) => Some((change.server.to_string(), change.source)),
        _ => None,
    };
    events.iter().filter_map(change).collect()
}

/// The number of online requests that a broker grants at once.
fn grants_at_once(fixture: &mut BrokerFixture) -> usize {
    let grants = (0..20).map(|_| granted(&fixture.request_online()));
    grants.flatten().count()
}

/// Guards against a server that is sent all it has slots for after it said that it is cold,
/// and against hosts that do not learn of it.
#[test]
fn a_check_in_makes_a_running_server_cold_and_a_later_one_ends_that() {
    let mut fixture = warm_fixture(1);
    let version = fixture.broker.directory_version();
    let remaining = Duration::from_secs(3);
    fixture
        .broker
        .check_in(cold_check_in(0, 2, remaining), fixture.now);
    assert_ne!(fixture.broker.directory_version(), version);
    assert_eq!(fixture.broker.cold_servers(fixture.now), 1);
    assert_eq!(grants_at_once(&mut fixture), 0);
    let events = fixture.tick(Duration::from_secs(1));
    assert_eq!(changes(&events), Vec::new());
    assert!((1..=2).contains(&grants_at_once(&mut fixture)));
    let left = fixture.broker.servers_at(fixture.now)[0].warmup_remaining;
    assert_eq!(left, Duration::from_secs(2));

    // A renewed check-in is no news to hosts, one that prolongs the coldness is.
    let version = fixture.broker.directory_version();
    let now = fixture.now;
    fixture.broker.check_in(cold_check_in(0, 3, left), now);
    assert_eq!(fixture.broker.directory_version(), version);
    let prolonged = cold_check_in(0, 4, left * 2);
    fixture.broker.check_in(prolonged, now);
    assert_ne!(fixture.broker.directory_version(), version);

    let warm = cold_check_in(0, 5, Duration::ZERO);
    fixture.broker.check_in(warm, now);
    let events = fixture.broker.take_events();
    assert_eq!(changes(&events), [("s0".to_owned(), None)]);
    assert_eq!(fixture.broker.cold_servers(now), 0);
    assert!(grants_at_once(&mut fixture) >= 5);
}

/// Guards against hosts that start long after a server became warm and take it for cold, since
/// the directory is still the one of then: one that leads next would pace all servers.
#[test]
fn hosts_are_told_that_a_server_is_no_longer_cold() {
    for by_check_in in [false, true] {
        let mut fixture = warm_fixture(1);
        let now = fixture.now;
        fixture
            .broker
            .check_in(cold_check_in(0, 2, TERMS.duration), now);
        let version = fixture.broker.directory_version();
        if by_check_in {
            let warm = cold_check_in(0, 3, Duration::ZERO);
            fixture.broker.check_in(warm, now);
        } else {
            // Check-ins keep the server listed, and none of them is news.
            let mut sequence = 3;
            while fixture.now + CHECK_IN_INTERVAL < now + TERMS.duration {
                fixture.tick(CHECK_IN_INTERVAL);
                let left = (now + TERMS.duration).saturating_duration_since(fixture.now);
                let check_in = cold_check_in(0, sequence, left);
                fixture.broker.check_in(check_in, fixture.now);
                sequence += 1;
            }
            assert_eq!(fixture.broker.directory_version(), version);
            fixture.tick(CHECK_IN_INTERVAL);
        }
        let told = fixture.broker.directory_version();
        assert_ne!(told, version, "by a check-in: {by_check_in}");
        let left = fixture.broker.servers_at(fixture.now)[0].warmup_remaining;
        assert_eq!(left, Duration::ZERO);
        fixture.tick(STEP);
        assert_eq!(fixture.broker.directory_version(), told);
    }
}

/// Guards against coldness that is reported at every check-in, or never ends.
#[test]
fn a_server_is_reported_once_as_cold_and_once_as_cold_no_more() {
    let mut fixture = warm_fixture(1);
    let mut reported = Vec::new();
    for sequence in 2..10 {
        let since_start = Duration::from_secs(sequence - 2);
        let remaining = Duration::from_secs(3).saturating_sub(since_start);
        let check_in = cold_check_in(0, sequence, remaining);
        fixture.broker.check_in(check_in, fixture.now);
        reported.extend(changes(&fixture.tick(Duration::from_secs(1))));
    }
    let cold = ("s0".to_owned(), Some(ColdSource::CheckIn));
    assert_eq!(reported, [cold, ("s0".to_owned(), None)]);
}

/// Guards against requests that were granted just before a server turned out to be cold and
/// count for nothing.
#[test]
fn grants_of_the_second_before_count_against_a_server_that_becomes_cold() {
    let mut fixture = warm_fixture(1);
    assert_eq!(grants_at_once(&mut fixture), 8);
    let cold = cold_check_in(0, 2, TERMS.duration);
    fixture.broker.check_in(cold, fixture.now);
    for ticket in 1..=8 {
        fixture.release(ticket, RunOutcome::Served);
    }
    fixture.tick(Duration::from_millis(950));
    assert_eq!(grants_at_once(&mut fixture), 0);
    fixture.tick(Duration::from_millis(500));
    assert!(grants_at_once(&mut fixture) >= 1);
}

/// Guards against the same when a server starts again under its name and address: requests
/// that are on their way to the incarnation before may reach the new one.
#[test]
fn grants_of_the_second_before_count_against_a_server_that_starts_again() {
    let mut fixture = warm_fixture(1);
    assert_eq!(grants_at_once(&mut fixture), 8);
    let restarted = ServerCheckIn {
        incarnation: 2,
        ..cold_check_in(0, 1, TERMS.duration)
    };
    fixture.broker.check_in(restarted, fixture.now);
    fixture.tick(Duration::from_millis(950));
    assert_eq!(grants_at_once(&mut fixture), 0);
    fixture.tick(Duration::from_millis(500));
    assert!(grants_at_once(&mut fixture) >= 1);
}

/// Guards against a response that tells of coldness and is ignored until the next check-in,
/// and against a check-in from before that ends it.
#[test]
fn a_response_makes_a_server_cold_until_one_says_otherwise() {
    let mut fixture = warm_fixture(1);
    fixture.now += Duration::from_secs(1);
    let now = fixture.now;
    let mut report = LimitReport {
        server: server_name(0),
        incarnation: 1,
        limit: Some(pace().limit()),
        age: Duration::ZERO,
    };
    assert!(fixture.broker.record_limit(&report, now));
    let cold = [("s0".to_owned(), Some(ColdSource::Answer))];
    assert_eq!(changes(&fixture.broker.take_events()), cold);
    let earlier = cold_check_in(0, 2, Duration::ZERO);
    fixture.broker.check_in(earlier, now);
    assert_eq!(fixture.broker.cold_servers(now), 1);
    // A stricter limit that a cold server names is kept with the small burst.
    report.limit = Some(ServerLimit::try_from(6.0).expect("it is valid"));
    fixture.broker.record_limit(&report, now);
    fixture.tick(Duration::from_secs(2));
    assert_eq!(grants_at_once(&mut fixture), 2);
    let now = fixture.now;
    report.limit = None;
    fixture.broker.record_limit(&report, now);
    assert_eq!(fixture.broker.cold_servers(now), 0);
    assert!(grants_at_once(&mut fixture) >= 5);
}

/// Guards against a new incarnation that is paced although it says that it is not cold, or not
/// paced although it is.
#[test]
fn a_new_incarnation_is_cold_as_its_first_check_in_says() {
    let mut fixture = warm_fixture(1);
    let restarted = |incarnation, remaining| ServerCheckIn {
        incarnation,
        ..cold_check_in(0, 1, remaining)
    };
    let now = fixture.now;
    fixture.broker.check_in(restarted(2, TERMS.duration), now);
    assert_eq!(grants_at_once(&mut fixture), 0);
    // One request still waits and is granted at the check-in.
    fixture.broker.check_in(restarted(3, Duration::ZERO), now);
    assert!(granted(&fixture.broker.take_events()).is_some());
    assert_eq!(grants_at_once(&mut fixture), 7);
}

/// A check-in that does not say how long the server stays cold.
fn unstated_check_in(incarnation: u64, sequence: u64) -> ReceivedCheckIn {
    ReceivedCheckIn {
        check_in: ServerCheckIn {
            incarnation,
            ..cold_check_in(0, sequence, Duration::ZERO)
        },
        omits_warmup: Tail(true),
    }
}

/// Guards against a server that starts, does not say how long it stays cold, and is sent all it
/// has slots for; against later check-ins of the same kind that end its coldness or begin it
/// again; and against a plan that comes after the server and does not concern it.
#[test]
fn a_new_incarnation_that_states_nothing_is_cold_for_the_time_of_the_plan() {
    for is_restart in [false, true] {
        let mut fixture = BrokerFixture::new(&[], Vec::new());
        if is_restart {
            fixture = warm_fixture(1);
        }
        let start = fixture.now;
        fixture.broker.check_in(unstated_check_in(2, 1), start);
        fixture.broker.set_plan(&cold_plan(), start);
        let cold = ("s0".to_owned(), Some(ColdSource::Start));
        assert_eq!(changes(&fixture.broker.take_events()), [cold]);
        assert_eq!(grants_at_once(&mut fixture), 0, "restart: {is_restart}");
        let left = fixture.broker.servers_at(start)[0].warmup_remaining;
        assert_eq!(left, TERMS.duration);
        let mut sequence = 2;
        while fixture.now + CHECK_IN_INTERVAL < start + TERMS.duration {
            fixture.tick(CHECK_IN_INTERVAL);
            let check_in = unstated_check_in(2, sequence);
            fixture.broker.check_in(check_in, fixture.now);
            assert_eq!(fixture.broker.cold_servers(fixture.now), 1);
            sequence += 1;
        }
        fixture.tick(CHECK_IN_INTERVAL);
        let check_in = unstated_check_in(2, sequence);
        fixture.broker.check_in(check_in, fixture.now);
        assert_eq!(fixture.broker.cold_servers(fixture.now), 0);
    }
}

/// Guards against a server that counts as cold although it says that it is warm, after a
/// check-in that states nothing or before one.
#[test]
fn a_stated_coldness_goes_before_that_of_a_start() {
    let mut fixture = warm_fixture(0);
    let now = fixture.now;
    fixture.broker.check_in(unstated_check_in(2, 1), now);
    assert_eq!(fixture.broker.cold_servers(now), 1);
    let mut warm = unstated_check_in(2, 2);
    warm.omits_warmup = Tail(false);
    fixture.broker.check_in(warm, now);
    assert_eq!(fixture.broker.cold_servers(now), 0);
    fixture.broker.check_in(unstated_check_in(2, 3), now);
    assert_eq!(fixture.broker.cold_servers(now), 0);
}

/// Guards against a broker that takes over and counts all servers that state nothing as cold
/// again, although its directory says how long they stay cold.
#[test]
fn a_new_broker_keeps_the_coldness_of_servers_that_state_nothing() {
    let mut fixture = warm_fixture(0);
    let start = fixture.now;
    fixture.broker.check_in(unstated_check_in(2, 1), start);
    fixture.tick(Duration::from_secs(2));
    let mut next = BrokerFixture::new(&[], Vec::new());
    next.now = fixture.now;
    next.broker.set_plan(&cold_plan(), next.now);
    for server in fixture.broker.servers_at(fixture.now) {
        next.broker.restore_server(server, next.now);
    }
    next.broker.check_in(unstated_check_in(2, 2), next.now);
    let left = next.broker.servers_at(next.now)[0].warmup_remaining;
    assert_eq!(left + Duration::from_secs(2), TERMS.duration);
}

/// Guards against servers that are sent all they have slots for when the drain of their zone
/// is withdrawn, since their last check-ins are from before.
#[test]
fn the_servers_of_a_zone_are_cold_after_its_drain_is_withdrawn() {
    let mut fixture = warm_fixture(6);
    let at = fixture.now;
    fixture.tick(Duration::from_millis(50));
    let version = fixture.broker.directory_version();
    let now = fixture.now;
    fixture.broker.mark_zone_cold(&zone("a"), at, now);
    assert_ne!(fixture.broker.directory_version(), version);
    let drain = Some(ColdSource::Drain);
    let expected = HashSet::from([("s0".to_owned(), drain), ("s3".to_owned(), drain)]);
    let reported = changes(&fixture.broker.take_events());
    assert_eq!(HashSet::from_iter(reported), expected);

    // Check-ins that were sent before the withdrawal, and a server that starts meanwhile.
    for number in [0, 1, 6] {
        let check_in = cold_check_in(number, 2, Duration::ZERO);
        fixture.broker.check_in(check_in, now);
    }
    assert_eq!(fixture.broker.cold_servers(now), 3);
    let left = TERMS.duration.saturating_sub(Duration::from_millis(50));
    let servers = fixture.broker.servers_at(now);
    let in_zone = servers.iter().filter(|server| server.zone == zone("a"));
    assert!(
        in_zone
            .clone()
            .all(|server| server.warmup_remaining == left)
    );
    assert_eq!(in_zone.count(), 3);

    // An earlier withdrawal that is told again changes nothing.
    let earlier = at.checked_sub(Duration::from_secs(1)).unwrap_or(at);
    fixture.broker.mark_zone_cold(&zone("a"), earlier, now);
    let end = at + TERMS.duration;
    let just_before = at + TERMS.duration.saturating_sub(STEP);
    assert_eq!(fixture.broker.cold_servers(just_before), 3);
    assert_eq!(fixture.broker.cold_servers(end), 0);
}

/// Guards against a new broker that sends cold servers all they have slots for until they check
/// in, and against one that is told of a withdrawn drain before it knows plan and servers.
#[test]
fn a_new_broker_knows_the_cold_servers_from_the_directory_and_the_drain() {
    let mut fixture = warm_fixture(1);
    let cold = cold_check_in(0, 2, TERMS.duration);
    fixture.broker.check_in(cold, fixture.now);
    let mut next = BrokerFixture::new(&[], Vec::new());
    next.now = fixture.now;
    for server in fixture.broker.servers_at(fixture.now) {
        next.broker.restore_server(server, next.now);
    }
    next.broker.set_plan(&cold_plan(), next.now);
    assert_eq!(grants_at_once(&mut next), 0);

    let mut next = BrokerFixture::new(&[], Vec::new());
    let now = next.now;
    next.broker.mark_zone_cold(&zone("a"), now, now);
    next.broker.set_plan(&cold_plan(), now);
    next.broker
        .check_in(cold_check_in(0, 1, Duration::ZERO), now);
    assert_eq!(grants_at_once(&mut next), 0);
}

/// Guards against services without terms whose servers are paced, or use all their slots
/// during warm-up.
#[test]
fn servers_of_services_without_terms_use_half_of_their_slots_while_cold() {
    let mut fixture = BrokerFixture::with_servers(1, &ZONES);
    let cold = cold_check_in(0, 2, TERMS.duration);
    let version = fixture.broker.directory_version();
    fixture.broker.check_in(cold.clone(), fixture.now);
    fixture
        .broker
        .mark_zone_cold(&zone("a"), fixture.now, fixture.now);
    assert_eq!(fixture.broker.directory_version(), version);
    assert_eq!(fixture.broker.servers_at(fixture.now), [cold]);
    assert_eq!(grants_at_once(&mut fixture), 4);
    assert_eq!(fixture.broker.cold_servers(fixture.now), 0);
    assert_eq!(changes(&fixture.broker.take_events()), Vec::new());
}

/// Guards against tolerances of a deployment under which the parts of the bound together
/// exceed it.
#[test]
fn a_server_gets_no_burst_beyond_any_bound() {
    for (per_second, overshoot, slack) in [
        (6.2, 1.5, 5.0),
        (6.2, 1.0, 1.0),
        (6.2, 1.5, 0.0),
        (0.5, 1.5, 5.0),
        (1.0, 1.0, 0.5),
        (40.0, 1.2, 3.0),
    ] {
        let mut raw = cold_plan().raw().clone();
        for terms in raw.terms.0.cold.values_mut() {
            terms.per_second = per_second;
        }
        let plan = ServicePlan::try_from(raw).expect("it is valid");
        let mut settings = settings();
        settings.cold_tolerance = ColdTolerance { overshoot, slack };
        let mut fixture = BrokerFixture::new(&[], Vec::new());
        fixture.broker = SlotBroker::new(settings);
        fixture.broker.set_plan(&plan, fixture.now);
        let mut sent = Vec::new();
        for sequence in 1..1_000 {
            let mut check_in = cold_check_in(0, sequence, TERMS.duration);
            check_in.slots = 1_000;
            fixture.broker.check_in(check_in, fixture.now);
            fixture.tick(STEP);
            // A pause lets a burst accumulate.
            if sequence % 300 > 100 && granted(&fixture.request_online()).is_some() {
                sent.push(fixture.now);
            }
        }
        let most = most_in_a_second(&sent);
        let bound = per_second * overshoot + slack;
        let most = f64::from(u32::try_from(most).expect("it fits"));
        assert!(most <= bound.floor().max(1.0), "{most} with {bound}");
        assert!(most >= 1.0, "nothing was sent with {bound}");
    }
}
