//! Observers: replication of the committed tail of a log, and the freshness bound of the
//! replicated state.

use crate::cluster::{ELECTION_TIMEOUT, TestCluster};
use crate::kv::{KvMachine, KvState};
use crate::network::LinkFaults;
use chicoryladder_consensus::{ObserverRequest, ObserverSettings, TailObserver};
use chicoryladder_types::SeatId;
use std::net::SocketAddr;
use std::time::Instant;

struct TestObserver {
    observer: TailObserver<KvMachine>,
}

impl TestObserver {
    fn new(now: Instant) -> Self {
        let sources = (1..=3).map(crate::cluster::address).collect();
        let machine = KvMachine::default();
        let observer = TailObserver::new(ObserverSettings::default(), sources, machine, now);
        Self { observer }
    }

    fn state(&self) -> KvState {
        self.observer.machine().0.clone()
    }

    /// Runs the cluster for at least `steps` steps. Requests of the observer to the seats in
    /// `reachable` get a reply, and all other requests time out.
    fn run(&mut self, cluster: &mut TestCluster, steps: u32, reachable: &[u64]) {
        for _ in 0..steps {
            cluster.step();
            let now = cluster.now(SeatId(1));
            let Some(ObserverRequest { source, request }) = self.observer.tick(now) else {
                continue;
            };
            let seat = reachable
                .iter()
                .find(|n| crate::cluster::address(**n) == source);
            let Some(replica) = seat.and_then(|n| cluster.replica(SeatId(*n))) else {
                continue;
            };
            let answer = replica.answer(&request, now).expect("a reply");
            cluster.step();
            let now = cluster.now(SeatId(1));
            self.observer
                .receive(answer.clone(), now)
                .expect("an applied reply");
            // A duplicate reply must have no effect.
            self.observer
                .receive(answer, now)
                .expect("an ignored reply");
        }
    }
}

#[test]
fn observer_replicates_and_switches_to_another_source() {
    let mut cluster = TestCluster::new(31, 3, LinkFaults::RELIABLE);
    cluster.write(1, 1);
    let mut observer = TestObserver::new(cluster.now(SeatId(1)));
    observer.run(&mut cluster, 500, &[1, 2, 3]);
    assert_eq!(observer.state().get(1), 1);
    assert!(observer.observer.fresh_at().is_some());
    cluster.crash(SeatId(1));
    cluster.write(1, 2);
    observer.run(&mut cluster, 1_500, &[2, 3]);
    assert_eq!(observer.state().get(1), 2);
}

#[test]
fn late_observer_gets_a_snapshot_and_then_the_tail() {
    let mut cluster = TestCluster::new(32, 3, LinkFaults::RELIABLE);
    for value in 1..=1_100 {
        cluster.write(1, value);
    }
    let mut observer = TestObserver::new(cluster.now(SeatId(1)));
    observer.run(&mut cluster, 500, &[1, 2, 3]);
    assert_eq!(observer.state().get(1), 1_100);
    cluster.write(1, 1_101);
    observer.run(&mut cluster, 500, &[1, 2, 3]);
    assert_eq!(observer.state().get(1), 1_101);
}

#[test]
fn freshness_does_not_advance_while_the_source_has_no_quorum() {
    let mut cluster = TestCluster::new(33, 3, LinkFaults::RELIABLE);
    cluster.write(1, 1);
    let mut observer = TestObserver::new(cluster.now(SeatId(1)));
    observer.run(&mut cluster, 500, &[1, 2, 3]);
    cluster.isolate(SeatId(1));
    let isolated_at = cluster.now(SeatId(1));
    cluster.run(ELECTION_TIMEOUT * 10);
    observer.run(&mut cluster, 500, &[1]);
    let fresh_at = observer.observer.fresh_at().expect("a freshness bound");
    assert!(fresh_at <= isolated_at + ELECTION_TIMEOUT / 10);
    cluster.write(1, 2);
    assert_eq!(observer.state().get(1), 1);
}

/// A value and when its write was acknowledged. Written values increase.
struct WrittenValue {
    at: Instant,
    value: u32,
}

/// Checks that the state of each seat includes every write acknowledged up to the seat's
/// freshness bound.
fn check_freshness(cluster: &mut TestCluster, written: &[WrittenValue], seed: u64) {
    for seat in cluster.running() {
        let now = cluster.now(seat);
        let Some(replica) = cluster.replica(seat) else {
            continue;
        };
        let Some(fresh_at) = replica.fresh_at(now) else {
            continue;
        };
        let covered = written.iter().filter(|written| written.at <= fresh_at);
        let expected = covered.map(|written| written.value).max();
        let expected = expected.unwrap_or_default();
        let actual = cluster.state(seat).expect("a state").get(1);
        assert!(
            actual >= expected,
            "seed {seed}: seat {seat} holds {actual}, expected at least {expected}"
        );
    }
}

#[test]
fn state_includes_every_write_up_to_its_freshness_bound() {
    /// The number of steps between two writes; every seat is checked at each step.
    const STEPS: usize = 12;
    for seed in 1..=10 {
        let mut cluster = TestCluster::new(seed, 3, LinkFaults::LOSSY);
        let mut written = Vec::new();
        for value in 1..=60 {
            cluster.write(1, value);
            let at = cluster.now(SeatId(1));
            written.push(WrittenValue { at, value });
            for _ in 0..STEPS {
                check_freshness(&mut cluster, &written, seed);
                cluster.step();
            }
        }
    }
}

#[test]
fn observer_without_a_source_is_never_fresh() {
    let now = Instant::now();
    let machine = KvMachine::default();
    let sources: Vec<SocketAddr> = Vec::new();
    let mut observer = TailObserver::new(ObserverSettings::default(), sources, machine, now);
    assert!(observer.tick(now).is_none());
    assert_eq!(observer.fresh_at(), None);
}
