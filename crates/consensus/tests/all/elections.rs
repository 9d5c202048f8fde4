//! Elections, leases and the handover of leadership.

use crate::cluster::{ELECTION_TIMEOUT, STEP, TestCluster};
use crate::network::LinkFaults;
use chicoryladder_consensus::SeatRole;
use chicoryladder_types::SeatId;

#[test]
fn three_seats_elect_one_leader() {
    let mut cluster = TestCluster::new(1, 3, LinkFaults::CALM);
    let leader = cluster.settle();
    cluster.run(ELECTION_TIMEOUT * 10);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn isolated_leader_steps_down_within_an_election_timeout() {
    let mut cluster = TestCluster::new(2, 3, LinkFaults::CALM);
    let old = cluster.settle();
    cluster.isolate(old);
    cluster.run(ELECTION_TIMEOUT + ELECTION_TIMEOUT / 5 + STEP * 2);
    let replica = cluster.replica(old).expect("a replica");
    assert_ne!(replica.seat().role(), SeatRole::Leader);
    let new = cluster.settle();
    assert_ne!(new, old);
}

#[test]
fn leader_that_hears_nobody_steps_down() {
    let mut cluster = TestCluster::new(3, 3, LinkFaults::CALM);
    let old = cluster.settle();
    for other in (1..=3).map(SeatId).filter(|seat| *seat != old) {
        cluster.network.cut(other, old);
    }
    cluster.run(ELECTION_TIMEOUT * 2);
    let replica = cluster.replica(old).expect("a replica");
    assert_ne!(replica.seat().role(), SeatRole::Leader);
    cluster.write(1, 1);
}

#[test]
fn cut_off_follower_disturbs_nobody_on_its_return() {
    let mut cluster = TestCluster::new(4, 3, LinkFaults::CALM);
    let leader = cluster.settle();
    let term = cluster.replica(leader).expect("a leader").seat().term();
    let away = (1..=3).map(SeatId).find(|s| *s != leader).expect("a seat");
    cluster.isolate(away);
    cluster.run(ELECTION_TIMEOUT * 20);
    cluster.network.heal();
    cluster.run(ELECTION_TIMEOUT * 4);
    assert_eq!(cluster.leader(), Some(leader));
    let replica = cluster.replica(away).expect("a replica");
    assert_eq!(replica.seat().term(), term);
}

#[test]
fn leases_of_two_leaders_never_overlap_under_clock_drift() {
    for faults in [LinkFaults::CALM, LinkFaults::ROUGH] {
        for seed in 1..=30 {
            let holders = most_lease_holders(seed, [100, 109, 104], faults);
            assert!(holders <= 1, "seed {seed}: {holders} leases at a time");
        }
    }
}

#[test]
fn check_catches_clocks_that_drift_beyond_the_bound() {
    let drifting = [100, 300, 300];
    let red = (1..=30).any(|seed| most_lease_holders(seed, drifting, LinkFaults::CALM) > 1);
    assert!(red, "overlapping leases went unnoticed");
}

/// The most seats that held a lease at one time, with the given speeds of their
/// clocks in percent, while leaders are cut off in turn.
fn most_lease_holders(seed: u64, clock_percents: [u32; 3], faults: LinkFaults) -> usize {
    let mut cluster = TestCluster::new(seed, 3, faults);
    for (record, percent) in cluster.seats.values_mut().zip(clock_percents) {
        record.clock_percent = percent;
    }
    let mut most = 0;
    for _ in 0..6 {
        let leader = cluster.settle();
        cluster.isolate(leader);
        for _ in 0..400 {
            cluster.step();
            most = most.max(lease_holders(&mut cluster));
        }
        cluster.network.heal();
    }
    most
}

fn lease_holders(cluster: &mut TestCluster) -> usize {
    let seats = cluster.running();
    let holds = |seat: &&SeatId| {
        let now = cluster.now(**seat);
        cluster.replica(**seat).is_some_and(|r| r.can_read(now))
    };
    seats.iter().filter(holds).count()
}

#[test]
fn handover_moves_the_leadership_faster_than_a_timeout() {
    let mut cluster = TestCluster::new(6, 3, LinkFaults::CALM);
    cluster.write(1, 1);
    let old = cluster.settle();
    let target = (1..=3).map(SeatId).find(|s| *s != old).expect("a seat");
    let now = cluster.now(old);
    let replica = cluster.replica(old).expect("a leader");
    replica.transfer(Some(target), now).expect("a handover");
    assert!(!replica.can_read(now));
    cluster.run(ELECTION_TIMEOUT / 4);
    assert_eq!(cluster.leader(), Some(target));
}
