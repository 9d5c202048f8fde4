//! Choice of servers: leases, leaving, load, zones, ejection and prefixes.

use chicoryladder_policy::routing::{
    AnnounceOutcome, PrefixHash, PrefixHints, RouteChoice, RouteQuery, RouteTimes, ServerKey,
    ServerOutcome, ServerTable, WorkTarget,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerGeneration, ServerLoad};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("valid")
}

fn model() -> WorkTarget {
    WorkTarget::Model(ModelName::try_from("walks").expect("valid"))
}

fn announcement(index: usize, zone_name: &str, slots: u32) -> ServerAnnouncement {
    ServerAnnouncement {
        name: ServerName::try_from(format!("server-{index}")).expect("valid"),
        zone: zone(zone_name),
        address: "127.0.0.1:1".parse().expect("valid"),
        generation: ServerGeneration(1),
        slots,
        models: vec![ModelName::try_from("walks").expect("valid")],
        services: Vec::new(),
        checks_fencing: false,
        leaving: false,
        load: ServerLoad::default(),
    }
}

struct Bench {
    table: ServerTable,
    rng: ChaCha8Rng,
    now: Instant,
}

impl Bench {
    fn new(servers: &[(&str, u32)]) -> Self {
        let now = Instant::now();
        let mut table = ServerTable::new(zone("a"), RouteTimes::default());
        for (index, (zone, slots)) in servers.iter().enumerate() {
            table.announce(&announcement(index, zone, *slots), now);
        }
        let rng = ChaCha8Rng::seed_from_u64(3);
        Self { table, rng, now }
    }

    fn choose_with(&mut self, prefixes: &[PrefixHash], avoid: &[ServerKey]) -> RouteChoice {
        let target = model();
        let query = RouteQuery {
            target: &target,
            prefixes,
            avoid,
            reserve: 0,
        };
        self.table.choose(&query, &mut self.rng, self.now)
    }

    fn choose(&mut self) -> RouteChoice {
        self.choose_with(&[], &[])
    }

    /// Starts a request and names the server that got it.
    fn start(&mut self) -> Option<usize> {
        let RouteChoice::Server(key) = self.choose() else {
            return None;
        };
        self.table.start(key);
        Some(self.index(key))
    }

    fn index(&self, key: ServerKey) -> usize {
        let record = self.table.get(key).expect("known");
        let (_, index) = record
            .announcement()
            .name
            .as_str()
            .split_at("server-".len());
        index.parse().expect("numbered")
    }

    fn key(&self, index: usize) -> ServerKey {
        let name = ServerName::try_from(format!("server-{index}")).expect("valid");
        self.table.find(&name).expect("known")
    }

    fn finish(&mut self, index: usize, outcome: ServerOutcome) {
        let key = self.key(index);
        self.table.finish(key, outcome, SECOND, None, self.now);
    }
}

#[test]
fn missed_lease_and_leaving_end_new_work() {
    let mut bench = Bench::new(&[("a", 4), ("a", 4)]);
    let mut leaving = announcement(0, "a", 4);
    leaving.leaving = true;
    assert_eq!(
        bench.table.announce(&leaving, bench.now),
        AnnounceOutcome::Leaving
    );
    // A relayed announcement from before does not revoke it.
    bench.table.announce(&announcement(0, "a", 4), bench.now);
    let used: HashSet<_> = (0..4).filter_map(|_| bench.start()).collect();
    assert_eq!(used, HashSet::from([1]));
    bench.now += RouteTimes::default().server_lease;
    assert_eq!(bench.choose(), RouteChoice::NoServer);
}

#[test]
fn restart_is_a_new_server_and_old_incarnations_stay_out() {
    let mut bench = Bench::new(&[("a", 4)]);
    let old = bench.key(0);
    let mut restarted = announcement(0, "a", 4);
    restarted.generation = ServerGeneration(2);
    assert_eq!(
        bench.table.announce(&restarted, bench.now),
        AnnounceOutcome::Joined
    );
    assert!(bench.table.get(old).is_none());
    let late = announcement(0, "a", 4);
    assert_eq!(
        bench.table.announce(&late, bench.now + SECOND),
        AnnounceOutcome::Stale
    );
}

#[test]
fn in_flight_is_bounded_by_slots() {
    let mut bench = Bench::new(&[("a", 2), ("a", 3), ("b", 1)]);
    let started = (0..6).filter_map(|_| bench.start()).count();
    assert_eq!(started, 6);
    assert_eq!(bench.choose(), RouteChoice::Busy);
    bench.finish(1, ServerOutcome::Answered);
    assert_eq!(bench.start(), Some(1));
}

#[test]
fn own_zone_comes_first_and_spills_when_full() {
    let mut bench = Bench::new(&[("a", 2), ("b", 2), ("c", 2)]);
    assert_eq!(bench.start(), Some(0));
    assert_eq!(bench.start(), Some(0));
    let spilled = bench.start().expect("other zones have room");
    assert_ne!(spilled, 0);
}

#[test]
fn full_zone_is_waited_for_when_that_is_shorter_than_the_trip() {
    let mut bench = Bench::new(&[("a", 1), ("b", 1)]);
    let key = bench.key(0);
    bench.table.start(key);
    let quick = Duration::from_millis(1);
    bench
        .table
        .finish(key, ServerOutcome::Answered, quick, None, bench.now);
    assert_eq!(bench.start(), Some(0));
    assert_eq!(bench.choose(), RouteChoice::Busy);
}

#[test]
fn report_is_corrected_by_own_requests_since() {
    let mut bench = Bench::new(&[("a", 8), ("a", 8)]);
    let mut busy = announcement(0, "a", 8);
    busy.load = ServerLoad {
        running: 6,
        waiting: 0,
    };
    bench.table.announce(&busy, bench.now);
    for _ in 0..4 {
        let key = bench.key(1);
        bench.table.start(key);
    }
    let loads = [0, 1].map(|index| bench.table.get(bench.key(index)).expect("known").load());
    assert_eq!(loads, [6, 4]);
    // Nearly all go to the less loaded server until the two are even.
    let first = (0..2)
        .filter_map(|_| bench.start())
        .filter(|index| *index == 1)
        .count();
    assert!(first >= 1);
}

#[test]
fn failing_server_is_ejected_and_returns_through_one_probe() {
    let mut bench = Bench::new(&[("a", 8), ("a", 8), ("a", 8)]);
    for _ in 0..3 {
        let key = bench.key(0);
        bench.table.start(key);
        bench.finish(0, ServerOutcome::Failed);
    }
    let used: HashSet<_> = (0..12).filter_map(|_| bench.start()).collect();
    assert!(!used.contains(&0));
    bench.now += SECOND;
    let servers = 0..3;
    for index in servers {
        let renewed = announcement(index, "a", 8);
        bench.table.announce(&renewed, bench.now);
    }
    let probes = (0..12)
        .filter_map(|_| bench.start())
        .filter(|index| *index == 0)
        .count();
    assert_eq!(probes, 1);
    bench.finish(0, ServerOutcome::Answered);
    let back = (0..12)
        .filter_map(|_| bench.start())
        .any(|index| index == 0);
    assert!(back);
}

#[test]
fn at_most_half_of_the_servers_are_ejected() {
    let mut bench = Bench::new(&[("a", 8), ("a", 8), ("a", 8), ("a", 8)]);
    for index in 0..4 {
        for _ in 0..5 {
            let key = bench.key(index);
            bench.table.start(key);
            bench.finish(index, ServerOutcome::Failed);
        }
    }
    let used: HashSet<_> = (0..16).filter_map(|_| bench.start()).collect();
    assert_eq!(used.len(), 2);
}

#[test]
fn cached_prefix_is_a_hint_that_load_overrules() {
    let mut bench = Bench::new(&[("a", 8), ("a", 8), ("a", 8)]);
    let prefixes = [PrefixHash(1), PrefixHash(2)];
    let key = bench.key(2);
    bench.table.record_prefix(PrefixHash(1), key);
    assert_eq!(bench.choose_with(&prefixes, &[]), RouteChoice::Server(key));
    for _ in 0..4 {
        bench.table.start(key);
    }
    assert_ne!(bench.choose_with(&prefixes, &[]), RouteChoice::Server(key));
    bench.table.forget_prefix(PrefixHash(1), key);
    assert_ne!(
        bench.choose_with(&prefixes, &[key]),
        RouteChoice::Server(key)
    );
}

#[test]
fn prefix_hints_are_bounded() {
    let mut hints = PrefixHints::new(100);
    let key = Bench::new(&[("a", 1)]).key(0);
    for prefix in 0..10_000 {
        hints.record(PrefixHash(prefix % 150), key);
        assert!(hints.len() <= 100);
    }
    assert_eq!(hints.find(PrefixHash(9_999 % 150)), Some(key));
}

#[test]
fn failed_server_is_avoided() {
    let mut bench = Bench::new(&[("a", 8), ("b", 8)]);
    let first = bench.key(0);
    let other = bench.key(1);
    assert_eq!(bench.choose_with(&[], &[first]), RouteChoice::Server(other));
}
