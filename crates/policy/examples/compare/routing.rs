//! The wait for a server: power of two choices with bounded requests in flight,
//! compared with round robin. The simulated engines accept every request.

use chicoryladder_policy::routing::{
    RouteChoice, RouteQuery, RouteTimes, ServerOutcome, ServerTable, WorkTarget,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerGeneration, ServerLoad};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

const HOSTS: usize = 9;
const SERVERS: usize = 12;
const SLOTS: u32 = 8;
const REQUESTS: usize = 60_000;
const LOAD: f64 = 0.8;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The durations of requests; one request in ten is long.
const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(4);
const LONG_OF_TEN: u32 = 1;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    Finish { server: usize, request: usize },
    Report,
}

#[derive(Clone, Copy)]
struct SimRequest {
    arrived_at: Duration,
    length: Duration,
    host: usize,
}

#[derive(Default)]
struct SimServer {
    running: u32,
    waiting: VecDeque<usize>,
}

enum Router {
    RoundRobin([usize; HOSTS]),
    Policy(Box<PolicyRouter>),
}

struct PolicyRouter {
    tables: Vec<ServerTable>,
    queues: Vec<VecDeque<usize>>,
    rng: ChaCha8Rng,
    base: Instant,
}

struct Simulation {
    requests: Vec<SimRequest>,
    servers: Vec<SimServer>,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    last_sequence: u64,
    waits: Vec<Duration>,
    router: Router,
}

pub(crate) fn compare() {
    println!();
    println!("wait for a server, 9 hosts, 12 servers of 8 slots, 80 % load,");
    println!("nine of ten requests 0.2 s and one 4 s, reports each second");
    println!("router          |    p50 |    p95 |    p99");
    let mut worst = Vec::new();
    for policy in [false, true] {
        let mut waits = Simulation::new(policy).run();
        waits.sort_unstable();
        let at = |permille: usize| waits[waits.len() * permille / 1_000].as_secs_f64() * 1_000.0;
        let name = if policy { "two choices" } else { "round robin" };
        println!(
            "{name:15} | {:4.0}ms | {:4.0}ms | {:4.0}ms",
            at(500),
            at(950),
            at(990)
        );
        worst.push(at(990));
    }
    println!(
        "p99 round robin / two choices: {:.1}",
        worst[0] / worst[1].max(1.0)
    );
}

impl Simulation {
    fn new(policy: bool) -> Self {
        let base = Instant::now();
        let router = if policy {
            Router::Policy(Box::new(PolicyRouter::new(base)))
        } else {
            Router::RoundRobin(std::array::from_fn(|host| host))
        };
        let mut simulation = Self {
            requests: requests(),
            servers: (0..SERVERS).map(|_| SimServer::default()).collect(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            waits: Vec::new(),
            router,
        };
        for index in 0..REQUESTS {
            simulation.push(
                simulation.requests[index].arrived_at,
                SimEvent::Arrival(index),
            );
        }
        simulation.push(Duration::ZERO, SimEvent::Report);
        simulation
    }

    fn push(&mut self, at: Duration, event: SimEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse((at, self.last_sequence, event)));
    }

    fn run(mut self) -> Vec<Duration> {
        while self.waits.len() < REQUESTS {
            let Some(Reverse((now, _, event))) = self.events.pop() else {
                break;
            };
            match event {
                SimEvent::Arrival(request) => self.arrive(request, now),
                SimEvent::Finish { server, request } => self.finish(server, request, now),
                SimEvent::Report => self.report(now),
            }
        }
        self.waits
    }

    fn arrive(&mut self, request: usize, now: Duration) {
        let host = self.requests[request].host;
        match &mut self.router {
            Router::RoundRobin(next) => {
                let server = next[host];
                next[host] = (server + 1) % SERVERS;
                self.send(request, server, now);
            }
            Router::Policy(router) => {
                router.queues[host].push_back(request);
                self.serve_host(host, now);
            }
        }
    }

    fn serve_host(&mut self, host: usize, now: Duration) {
        while let Router::Policy(router) = &mut self.router {
            let Some(request) = router.queues[host].front().copied() else {
                return;
            };
            let Some(server) = router.choose(host, now) else {
                return;
            };
            router.queues[host].pop_front();
            self.send(request, server, now);
        }
    }

    fn send(&mut self, request: usize, server: usize, now: Duration) {
        if self.servers[server].running < SLOTS {
            self.begin(request, server, now);
        } else {
            self.servers[server].waiting.push_back(request);
        }
    }

    fn begin(&mut self, request: usize, server: usize, now: Duration) {
        self.servers[server].running += 1;
        let SimRequest {
            arrived_at, length, ..
        } = self.requests[request];
        self.waits.push(now.saturating_sub(arrived_at));
        self.push(now + length, SimEvent::Finish { server, request });
    }

    fn finish(&mut self, server: usize, request: usize, now: Duration) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.begin(next, server, now);
        }
        let load = self.load(server);
        let SimRequest { host, length, .. } = self.requests[request];
        if let Router::Policy(router) = &mut self.router {
            router.finish(host, server, length, load, now);
        }
        self.serve_host(host, now);
    }

    fn report(&mut self, now: Duration) {
        for server in 0..SERVERS {
            let load = self.load(server);
            if let Router::Policy(router) = &mut self.router {
                router.announce(server, load, now);
            }
        }
        for host in 0..HOSTS {
            self.serve_host(host, now);
        }
        self.push(now + REPORT_INTERVAL, SimEvent::Report);
    }

    fn load(&self, server: usize) -> ServerLoad {
        let server = &self.servers[server];
        ServerLoad {
            running: server.running,
            waiting: u32::try_from(server.waiting.len()).expect("a short run"),
        }
    }
}

impl PolicyRouter {
    fn new(base: Instant) -> Self {
        let table = |host: usize| {
            let mut table = ServerTable::new(zone(host), RouteTimes::default());
            table.set_live_hosts(u32::try_from(HOSTS).expect("few"));
            table
        };
        Self {
            tables: (0..HOSTS).map(table).collect(),
            queues: vec![VecDeque::new(); HOSTS],
            rng: ChaCha8Rng::seed_from_u64(9),
            base,
        }
    }

    fn announce(&mut self, server: usize, load: ServerLoad, now: Duration) {
        let announcement = ServerAnnouncement {
            name: server_name(server),
            zone: zone(server),
            address: "127.0.0.1:1".parse().expect("valid"),
            generation: ServerGeneration(1),
            slots: SLOTS,
            models: vec![model()],
            services: Vec::new(),
            checks_fencing: false,
            leaving: false,
            load,
        };
        for table in &mut self.tables {
            table.announce(&announcement, self.base + now);
        }
    }

    fn choose(&mut self, host: usize, now: Duration) -> Option<usize> {
        let target = WorkTarget::Model(model());
        let query = RouteQuery {
            target: &target,
            prefixes: &[],
            avoid: &[],
            reserved_slots: 0,
        };
        let table = &mut self.tables[host];
        let RouteChoice::Server(key) = table.choose(&query, &mut self.rng, self.base + now) else {
            return None;
        };
        table.start(key);
        let name = table.get(key)?.announcement().name.clone();
        name.as_str().strip_prefix("server-")?.parse().ok()
    }

    fn finish(
        &mut self,
        host: usize,
        server: usize,
        length: Duration,
        load: ServerLoad,
        now: Duration,
    ) {
        let table = &mut self.tables[host];
        if let Some(key) = table.find(&server_name(server)) {
            let (outcome, now) = (ServerOutcome::Answered, self.base + now);
            table.finish(key, outcome, length, Some(load), now);
        }
    }
}

fn requests() -> Vec<SimRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(21);
    let mean = SHORT.as_secs_f64() * 0.9 + LONG.as_secs_f64() * 0.1;
    let slots = u32::try_from(SERVERS).expect("few") * SLOTS;
    let rate = LOAD * f64::from(slots) / mean;
    let mut at = Duration::ZERO;
    let request = |_| {
        let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-draw.ln() / rate);
        let long = rng.random_range(0..10) < LONG_OF_TEN;
        SimRequest {
            arrived_at: at,
            length: if long { LONG } else { SHORT },
            host: rng.random_range(0..HOSTS),
        }
    };
    (0..REQUESTS).map(request).collect()
}

fn zone(index: usize) -> ZoneName {
    ZoneName::try_from(["a", "b", "c"][index % 3]).expect("valid")
}

fn server_name(index: usize) -> ServerName {
    ServerName::try_from(format!("server-{index}")).expect("valid")
}

fn model() -> ModelName {
    ModelName::try_from("walks").expect("valid")
}
