//! Acknowledged writes survive the failure of hosts, disks and processes.

use crate::cluster::{ELECTION_TIMEOUT, SyncRule, TestCluster, address};
use crate::faulty_storage::FullDiskStorage;
use crate::kv::{KvCommand, KvMachine};
use crate::network::LinkFaults;
use chicoryladder_consensus::{
    GroupMembership, GroupReplica, MembershipChange, MemoryDisk, MemoryStorage, ProposalToken,
    ReplicaError, SeatSettings, StorageError,
};
use chicoryladder_types::{GroupId, SeatId};
use std::time::{Duration, Instant};

#[test]
fn write_survives_a_leader_crash_right_after_its_acknowledgement() {
    for seed in 1..=20 {
        let mut cluster = TestCluster::new(seed, 3, LinkFaults::LOSSY);
        cluster.write(1, 7);
        let leader = cluster.wait_for_leader();
        cluster.crash(leader);
        assert_eq!(cluster.read(1), 7, "seed {seed}");
    }
}

#[test]
fn five_hundred_changes_survive_a_restart_of_all_seats() {
    let mut cluster = TestCluster::new(11, 3, LinkFaults::RELIABLE);
    for value in 1..=500 {
        cluster.write(1, value);
    }
    for seat in (1..=3).map(SeatId) {
        cluster.crash(seat);
    }
    for seat in (1..=3).map(SeatId) {
        cluster.restart(seat);
        let now = cluster.now(seat);
        let replica = cluster.replica(seat).expect("a replica");
        // The state on disk may be outdated, so the seat must not serve it yet.
        assert_eq!(replica.fresh_at(now), None);
        assert!(!replica.can_read(now));
    }
    assert_eq!(cluster.read(1), 500);
    cluster.run(ELECTION_TIMEOUT * 2);
    for seat in (1..=3).map(SeatId) {
        let now = cluster.now(seat);
        let replica = cluster.replica(seat).expect("a replica");
        assert!(replica.fresh_at(now).is_some());
        assert_eq!(cluster.state(seat).expect("a state").get(1), 500);
    }
}

/// A seat that needs entries which are no longer in memory must receive a snapshot, even
/// though the regular snapshot interval is far from reached and none is stored yet.
#[test]
fn seat_that_needs_entries_no_longer_in_memory_receives_a_snapshot() {
    for seed in 1..=5 {
        let mut cluster = TestCluster::new(seed, 3, LinkFaults::LOSSY);
        cluster.snapshot_interval = 1_000_000;
        cluster.applied_max_bytes = 500;
        for seat in (1..=3).map(SeatId) {
            cluster.crash(seat);
            cluster.restart(seat);
        }
        let leader = cluster.wait_for_leader();
        let lagging = (1..=3).map(SeatId).find(|s| *s != leader).expect("a seat");
        cluster.crash(lagging);
        for value in 1..=100 {
            cluster.write(2, value);
        }
        cluster.restart(lagging);
        cluster.run(ELECTION_TIMEOUT * 20);
        assert_eq!(
            cluster.state(lagging).expect("a state").get(2),
            100,
            "seed {seed}"
        );
        // All seats must also recover the state from their disks.
        for seat in (1..=3).map(SeatId) {
            cluster.crash(seat);
        }
        for seat in (1..=3).map(SeatId) {
            cluster.restart(seat);
        }
        assert_eq!(cluster.read(2), 100, "seed {seed}");
    }
}

/// Returns a cluster, its leader, and a seat that restarts after missing 200 writes.
fn cluster_with_a_lagging_seat(seed: u64, faults: LinkFaults) -> (TestCluster, SeatId, SeatId) {
    let mut cluster = TestCluster::new(seed, 3, faults);
    let leader = cluster.wait_for_leader();
    let lagging = (1..=3).map(SeatId).find(|s| *s != leader).expect("a seat");
    cluster.crash(lagging);
    for value in 1..=200 {
        cluster.write(2, value);
    }
    cluster.restart(lagging);
    (cluster, leader, lagging)
}

#[test]
fn lagging_seat_catches_up_by_a_snapshot() {
    let (mut cluster, _, lagging) = cluster_with_a_lagging_seat(12, LinkFaults::LOSSY);
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.state(lagging).expect("a state").get(2), 200);
}

/// Entries written during a snapshot transfer cause messages to the lagging seat, but
/// must not cause chunks of the snapshot to be sent again.
#[test]
fn chunks_of_a_snapshot_are_sent_once_during_concurrent_writes() {
    let (mut cluster, leader, lagging) = cluster_with_a_lagging_seat(13, LinkFaults::RELIABLE);
    for value in 201..=600 {
        let write = KvCommand::Write { key: 2, value };
        cluster.propose(leader, write).expect("it leads");
        cluster.step();
    }
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.state(lagging).expect("a state").get(2), 600);
    assert!(!cluster.snapshots_sent.is_empty());
    for ((seat, index), (size, sent)) in &cluster.snapshots_sent {
        assert!(
            sent <= size,
            "{sent} bytes of {size} up to {index} to {seat}"
        );
    }
}

#[test]
fn writes_survive_a_leader_crash_right_after_a_seat_was_replaced() {
    for seed in 1..=10 {
        let mut cluster = TestCluster::new(seed, 3, LinkFaults::RELIABLE);
        cluster.write(1, 1);
        let leader = cluster.wait_for_leader();
        let lost = (1..=3).map(SeatId).find(|s| *s != leader).expect("a seat");
        cluster.crash(lost);
        cluster.write(1, 2);
        cluster
            .change(&MembershipChange::Remove(lost))
            .expect("removed");
        let seat = SeatId(4);
        cluster.seats.remove(&lost);
        cluster.add_seat(seat, GroupMembership::default());
        let address = address(lost.0);
        let add = MembershipChange::AddLearner { seat, address };
        cluster.change(&add).expect("added");
        promote(&mut cluster, seat);
        cluster.write(1, 3);
        let leader = cluster.wait_for_leader();
        cluster.crash(leader);
        assert_eq!(cluster.read(1), 3, "seed {seed}");
        cluster.write(1, 4);
    }
}

fn promote(cluster: &mut TestCluster, seat: SeatId) {
    for _ in 0..100 {
        if cluster.change(&MembershipChange::Promote(seat)).is_ok() {
            return;
        }
        cluster.run(ELECTION_TIMEOUT);
    }
    panic!("seat {seat} was not promoted");
}

#[test]
fn failed_sync_acknowledges_nothing_and_stops_the_seat() {
    let mut cluster = TestCluster::new(14, 3, LinkFaults::RELIABLE);
    cluster.write(1, 1);
    let leader = cluster.wait_for_leader();
    cluster.seats[&leader].disk.fail_next_sync();
    let write = KvCommand::Write { key: 1, value: 2 };
    let token = cluster.propose(leader, write).expect("a proposal");
    let now = cluster.now(leader);
    let replica = cluster.replica(leader).expect("a replica");
    let first = replica.flush(now);
    let sync_failed = matches!(
        first,
        Err(ReplicaError::Storage(StorageError::SyncFailed(_)))
    );
    assert!(sync_failed);
    assert!(matches!(replica.flush(now), Err(ReplicaError::Stopped)));
    assert!(!replica.can_read(now));
    assert!(!cluster.is_answered(token));
    cluster.crash(leader);
    assert_eq!(cluster.read(1), 1);
}

#[test]
fn full_disk_is_reported_and_stops_the_seat() {
    let disk = MemoryDisk::default();
    let storage = FullDiskStorage {
        inner: MemoryStorage::new(disk),
        syncs_left: 2,
    };
    let seat = SeatId(1);
    let settings = SeatSettings::new(GroupId(0), seat);
    let initial = GroupMembership::of_voters([(seat, address(1))]);
    let now = Instant::now();
    let machine = KvMachine::default();
    let replica = GroupReplica::start(settings, initial, Box::new(storage), machine, 1, now);
    let mut replica = replica.expect("a replica");
    replica.tick(now);
    replica.flush(now).expect("elected");
    let command = postcard::to_stdvec(&KvCommand::Write { key: 1, value: 1 }).expect("bytes");
    let token = ProposalToken(1);
    replica.propose(token, command.into()).expect("a proposal");
    let outcome = replica.flush(now);
    let is_full = matches!(
        outcome,
        Err(ReplicaError::Storage(StorageError::DiskFull(_)))
    );
    assert!(is_full);
}

#[test]
fn single_voter_acknowledges_after_its_own_sync() {
    let mut cluster = TestCluster::new(15, 1, LinkFaults::RELIABLE);
    cluster.write(1, 9);
    cluster.crash(SeatId(1));
    cluster.restart(SeatId(1));
    assert_eq!(cluster.read(1), 9);
}

#[test]
fn seat_with_a_wiped_disk_grants_no_vote() {
    let mut cluster = TestCluster::new(16, 3, LinkFaults::RELIABLE);
    cluster.write(1, 5);
    let leader = cluster.wait_for_leader();
    let others: Vec<SeatId> = (1..=3).map(SeatId).filter(|s| *s != leader).collect();
    let [wiped, stale] = others.as_slice() else {
        panic!("two followers");
    };
    cluster.isolate(*stale);
    cluster.write(1, 6);
    cluster.crash(leader);
    let initial = cluster
        .replica(*stale)
        .expect("a replica")
        .seat()
        .membership()
        .clone();
    cluster.crash(*wiped);
    cluster.add_seat(*wiped, initial);
    cluster.network.heal();
    cluster.run(ELECTION_TIMEOUT * 20);
    // Only the crashed leader still holds the last write; electing the stale seat would
    // lose it.
    assert_eq!(cluster.leader(), None);
    cluster.restart(leader);
    assert_eq!(cluster.read(1), 6);
}

/// Guards against commands that a start left in storage and that are not applied, or not sent to
/// a seat which lags.
#[test]
fn commands_that_a_start_left_in_storage_are_applied_and_sent() {
    let mut cluster = TestCluster::with_rule(17, 3, LinkFaults::RELIABLE, SyncRule::Files);
    cluster.write(1, 1);
    let leader = cluster.wait_for_leader();
    let others: Vec<SeatId> = (1..=3).map(SeatId).filter(|s| *s != leader).collect();
    let [current, lagging] = others.as_slice() else {
        panic!("two followers");
    };
    cluster.crash(*lagging);
    // Fewer than there are between two snapshots.
    for value in 2..30 {
        cluster.write(1, value);
    }
    cluster.crash(leader);
    cluster.crash(*current);
    cluster.restart(*current);
    cluster.restart(*lagging);
    assert_eq!(cluster.read(1), 29);
    assert!(cluster.snapshots_sent.is_empty());
    cluster.write(2, 7);
    cluster.run(ELECTION_TIMEOUT);
    let expected = cluster.state(*current);
    assert_eq!(cluster.state(*lagging), expected);
}

/// The same in a series of restarts, with snapshots in between.
#[test]
fn seats_on_files_agree_after_any_restarts() {
    for seed in 0..20 {
        let mut cluster = TestCluster::with_rule(seed, 3, LinkFaults::RELIABLE, SyncRule::Files);
        for value in 1..120 {
            cluster.write(1, value);
            if value % 7 == 0 {
                let seat = SeatId(u64::from(value / 7) % 3 + 1);
                cluster.crash(seat);
                cluster.run(ELECTION_TIMEOUT * (value % 5));
                cluster.restart(seat);
            }
        }
        assert_eq!(cluster.read(1), 119, "seed {seed}");
    }
}
