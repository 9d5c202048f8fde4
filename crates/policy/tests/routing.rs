//! Tests of server selection: leases, leaving, load, zones, ejection and prefixes.

use chicoryladder_policy::routing::{
    AnnounceOutcome, PrefixHash, PrefixHints, RouteChoice, RouteQuery, RouteTimes, ServerKey,
    ServerOutcome, ServerTable, WorkTarget,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerGeneration, ServerLoad};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashSet};
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

struct Fixture {
    table: ServerTable,
    rng: ChaCha8Rng,
    now: Instant,
}

impl Fixture {
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
            reserved_slots: 0,
        };
        self.table.choose(&query, &mut self.rng, self.now)
    }

    fn choose(&mut self) -> RouteChoice {
        self.choose_with(&[], &[])
    }

    /// Starts a request and returns the index of its server.
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
    let mut fixture = Fixture::new(&[("a", 4), ("a", 4)]);
    let mut leaving = announcement(0, "a", 4);
    leaving.leaving = true;
    assert_eq!(
        fixture.table.announce(&leaving, fixture.now),
        AnnounceOutcome::Leaving
    );
    // An earlier announcement that arrives late through a relay does not revoke it.
    fixture
        .table
        .announce(&announcement(0, "a", 4), fixture.now);
    let used: HashSet<_> = (0..4).filter_map(|_| fixture.start()).collect();
    assert_eq!(used, HashSet::from([1]));
    fixture.now += RouteTimes::default().server_lease;
    assert_eq!(fixture.choose(), RouteChoice::NoServer);
}

#[test]
fn a_server_that_says_itself_that_it_leaves_gets_no_work_until_it_restarts() {
    let mut fixture = Fixture::new(&[("a", 4), ("a", 4)]);
    let key = fixture.key(0);
    let known = fixture.table.mark_leaving(key).expect("the first mark");
    assert!(known.leaving);
    assert_eq!(fixture.table.mark_leaving(key), None);
    // Its next announcement still says that it is ready.
    fixture
        .table
        .announce(&announcement(0, "a", 4), fixture.now);
    let used: HashSet<_> = (0..4).filter_map(|_| fixture.start()).collect();
    assert_eq!(used, HashSet::from([1]));
    let mut restarted = announcement(0, "a", 4);
    restarted.generation = ServerGeneration(2);
    fixture.table.announce(&restarted, fixture.now);
    assert_eq!(fixture.table.mark_leaving(key), None);
    // The other server is full by now.
    let used: HashSet<_> = (0..4).filter_map(|_| fixture.start()).collect();
    assert_eq!(used, HashSet::from([0]));
}

#[test]
fn restart_replaces_the_server_and_old_incarnations_are_ignored() {
    let mut fixture = Fixture::new(&[("a", 4)]);
    let old = fixture.key(0);
    let mut restarted = announcement(0, "a", 4);
    restarted.generation = ServerGeneration(2);
    assert_eq!(
        fixture.table.announce(&restarted, fixture.now),
        AnnounceOutcome::Joined
    );
    assert!(fixture.table.get(old).is_none());
    let late = announcement(0, "a", 4);
    assert_eq!(
        fixture.table.announce(&late, fixture.now + SECOND),
        AnnounceOutcome::Stale
    );
}

#[test]
fn in_flight_is_bounded_by_slots() {
    let mut fixture = Fixture::new(&[("a", 2), ("a", 3), ("b", 1)]);
    let started = (0..6).filter_map(|_| fixture.start()).count();
    assert_eq!(started, 6);
    assert_eq!(fixture.choose(), RouteChoice::Busy);
    fixture.finish(1, ServerOutcome::Answered);
    assert_eq!(fixture.start(), Some(1));
}

#[test]
fn local_zone_is_preferred_and_spills_over_when_full() {
    let mut fixture = Fixture::new(&[("a", 2), ("b", 2), ("c", 2)]);
    assert_eq!(fixture.start(), Some(0));
    assert_eq!(fixture.start(), Some(0));
    let spilled = fixture.start().expect("other zones have room");
    assert_ne!(spilled, 0);
}

#[test]
fn request_waits_for_a_full_zone_if_the_wait_is_below_the_round_trip() {
    let mut fixture = Fixture::new(&[("a", 1), ("b", 1)]);
    let key = fixture.key(0);
    fixture.table.start(key);
    let quick = Duration::from_millis(1);
    fixture
        .table
        .finish(key, ServerOutcome::Answered, quick, None, fixture.now);
    assert_eq!(fixture.start(), Some(0));
    assert_eq!(fixture.choose(), RouteChoice::Busy);
}

#[test]
fn reported_load_is_corrected_by_requests_since_the_report() {
    let mut fixture = Fixture::new(&[("a", 8), ("a", 8)]);
    let mut busy = announcement(0, "a", 8);
    busy.load = ServerLoad {
        running: 6,
        waiting: 0,
    };
    fixture.table.announce(&busy, fixture.now);
    for _ in 0..4 {
        let key = fixture.key(1);
        fixture.table.start(key);
    }
    let loads = [0, 1].map(|index| fixture.table.get(fixture.key(index)).expect("known").load());
    assert_eq!(loads, [6, 4]);
    // Most requests go to the less loaded server until the loads are equal.
    let first = (0..2)
        .filter_map(|_| fixture.start())
        .filter(|index| *index == 1)
        .count();
    assert!(first >= 1);
}

#[test]
fn failing_server_is_ejected_and_readmitted_after_one_probe() {
    let mut fixture = Fixture::new(&[("a", 8), ("a", 8), ("a", 8)]);
    for _ in 0..3 {
        let key = fixture.key(0);
        fixture.table.start(key);
        fixture.finish(0, ServerOutcome::Failed);
    }
    let used: HashSet<_> = (0..12).filter_map(|_| fixture.start()).collect();
    assert!(!used.contains(&0));
    fixture.now += SECOND;
    let servers = 0..3;
    for index in servers {
        let renewed = announcement(index, "a", 8);
        fixture.table.announce(&renewed, fixture.now);
    }
    let probes = (0..12)
        .filter_map(|_| fixture.start())
        .filter(|index| *index == 0)
        .count();
    assert_eq!(probes, 1);
    fixture.finish(0, ServerOutcome::Answered);
    let back = (0..12)
        .filter_map(|_| fixture.start())
        .any(|index| index == 0);
    assert!(back);
}

#[test]
fn at_most_half_of_the_servers_are_ejected() {
    let mut fixture = Fixture::new(&[("a", 8), ("a", 8), ("a", 8), ("a", 8)]);
    for index in 0..4 {
        for _ in 0..5 {
            let key = fixture.key(index);
            fixture.table.start(key);
            fixture.finish(index, ServerOutcome::Failed);
        }
    }
    let used: HashSet<_> = (0..16).filter_map(|_| fixture.start()).collect();
    assert_eq!(used.len(), 2);
}

#[test]
fn prefix_hint_is_overruled_by_load() {
    let mut fixture = Fixture::new(&[("a", 8), ("a", 8), ("a", 8)]);
    let prefixes = [PrefixHash(1), PrefixHash(2)];
    let key = fixture.key(2);
    fixture.table.record_prefix(PrefixHash(1), key);
    assert_eq!(
        fixture.choose_with(&prefixes, &[]),
        RouteChoice::Server(key)
    );
    for _ in 0..4 {
        fixture.table.start(key);
    }
    assert_ne!(
        fixture.choose_with(&prefixes, &[]),
        RouteChoice::Server(key)
    );
    fixture.table.remove_prefix(PrefixHash(1), key);
    assert_ne!(
        fixture.choose_with(&prefixes, &[key]),
        RouteChoice::Server(key)
    );
}

#[test]
fn prefix_hints_are_bounded() {
    let mut hints = PrefixHints::new(100);
    let key = Fixture::new(&[("a", 1)]).key(0);
    for prefix in 0..10_000 {
        hints.record(PrefixHash(prefix % 150), key);
        assert!(hints.len() <= 100);
    }
    assert_eq!(hints.find(PrefixHash(9_999 % 150)), Some(key));
}

#[test]
fn failed_server_is_avoided() {
    let mut fixture = Fixture::new(&[("a", 8), ("b", 8)]);
    let first = fixture.key(0);
    let other = fixture.key(1);
    assert_eq!(
        fixture.choose_with(&[], &[first]),
        RouteChoice::Server(other)
    );
}

/// Guards against requests that reach a server of a drained zone although others are full, in
/// the host's own zone or another, or by a prompt prefix that such a server caches.
#[test]
fn servers_of_a_drained_zone_get_no_work_until_the_drain_is_withdrawn() {
    let prefix = PrefixHash(7);
    for drained in ["a", "b"] {
        let mut fixture = Fixture::new(&[("a", 2), ("a", 2), ("b", 2), ("b", 2)]);
        let zone_of = |index: usize| if index < 2 { "a" } else { "b" };
        for index in (0..4).filter(|index| zone_of(*index) == drained) {
            let key = fixture.key(index);
            fixture.table.record_prefix(prefix, key);
        }
        fixture
            .table
            .set_drained_zones(BTreeSet::from([zone(drained)]));
        assert!(!fixture.table.is_wholly_drained(fixture.now));
        let mut used = Vec::new();
        while let RouteChoice::Server(key) = fixture.choose_with(&[prefix], &[]) {
            fixture.table.start(key);
            used.push(fixture.index(key));
        }
        assert_eq!(used.len(), 4, "{drained}: {used:?}");
        assert!(used.iter().all(|index| zone_of(*index) != drained));
        assert_eq!(fixture.choose(), RouteChoice::Busy);
        fixture.table.set_drained_zones(BTreeSet::new());
        assert!(
            fixture
                .start()
                .is_some_and(|index| zone_of(index) == drained)
        );
    }
}

/// Guards against requests that wait for servers that get no work, and against a drain of all
/// zones that is not told apart from servers that are gone.
#[test]
fn a_target_whose_servers_are_all_drained_has_no_server() {
    let mut fixture = Fixture::new(&[("a", 1), ("b", 1)]);
    let zones = ["a", "b"].map(zone);
    assert!(!fixture.table.is_wholly_drained(fixture.now));
    fixture.table.set_drained_zones(BTreeSet::from(zones));
    assert_eq!(fixture.choose(), RouteChoice::NoServer);
    assert!(!fixture.table.serves(&model(), fixture.now));
    assert!(fixture.table.is_wholly_drained(fixture.now));
    assert!(fixture.table.is_target_drained(&model(), fixture.now));
    // A server that announces itself later is not used either.
    fixture
        .table
        .announce(&announcement(2, "b", 1), fixture.now);
    assert_eq!(fixture.choose(), RouteChoice::NoServer);
    fixture.now += RouteTimes::default().server_lease;
    assert!(!fixture.table.is_wholly_drained(fixture.now));
    assert!(!fixture.table.is_target_drained(&model(), fixture.now));
}

/// Guards against the last servers in use being ejected together, because drained servers
/// count as ones that could take their work.
#[test]
fn drained_servers_do_not_allow_more_ejections() {
    let mut fixture = Fixture::new(&[("a", 1), ("a", 1), ("b", 1), ("b", 1)]);
    fixture.table.set_drained_zones(BTreeSet::from([zone("b")]));
    for index in [0, 1] {
        let key = fixture.key(index);
        for _ in 0..20 {
            fixture.table.start(key);
            fixture.finish(index, ServerOutcome::Failed);
        }
    }
    assert!(matches!(fixture.choose(), RouteChoice::Server(_)));
}

/// Guards against a zone whose servers were all ejected while it was drained, as the last requests
/// there failed, and that serves nothing when the drain is withdrawn.
#[test]
fn servers_of_a_drained_zone_are_not_all_ejected() {
    let mut fixture = Fixture::new(&[("a", 1), ("a", 1), ("b", 1), ("b", 1)]);
    fixture.table.set_drained_zones(BTreeSet::from([zone("b")]));
    for index in [2, 3] {
        let key = fixture.key(index);
        for _ in 0..20 {
            fixture.table.start(key);
            fixture.finish(index, ServerOutcome::Failed);
        }
    }
    fixture.table.set_drained_zones(BTreeSet::from([zone("a")]));
    assert!(matches!(fixture.choose(), RouteChoice::Server(_)));
}
