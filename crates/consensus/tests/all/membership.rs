//! The rules of membership changes.

use crate::cluster::{ELECTION_TIMEOUT, TestCluster, address};
use crate::network::LinkFaults;
use chicoryladder_consensus::{GroupMembership, MembershipChange, MembershipError, ProposeError};
use chicoryladder_types::SeatId;

fn add(seat: u64, on: u64) -> MembershipChange {
    let seat = SeatId(seat);
    let address = address(on);
    MembershipChange::AddLearner { seat, address }
}

#[test]
fn host_with_a_replaced_disk_needs_a_new_seat_after_its_old_one_is_removed() {
    let mut cluster = TestCluster::new(21, 3, LinkFaults::RELIABLE);
    let refused = cluster.change(&add(2, 9));
    assert_eq!(
        refused,
        Err(MembershipError::SeatIdReused(SeatId(2)).into())
    );
    let refused = cluster.change(&add(4, 2));
    let seated = MembershipError::HostHasSeat {
        address: address(2),
        seat: SeatId(2),
    };
    assert_eq!(refused, Err(seated.into()));
    cluster
        .change(&MembershipChange::Remove(SeatId(2)))
        .expect("removed");
    let refused = cluster.change(&add(2, 2));
    assert_eq!(
        refused,
        Err(MembershipError::SeatIdReused(SeatId(2)).into())
    );
    cluster.change(&add(4, 2)).expect("added");
}

#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    let mut cluster = TestCluster::new(22, 3, LinkFaults::RELIABLE);
    for value in 1..=50 {
        cluster.write(1, value);
    }
    cluster.change(&add(4, 4)).expect("added");
    let refused = cluster.change(&MembershipChange::Promote(SeatId(4)));
    let behind = MembershipError::NotCaughtUp(SeatId(4));
    assert_eq!(refused, Err(behind.into()));
    cluster.add_seat(SeatId(4), GroupMembership::default());
    cluster.run(ELECTION_TIMEOUT * 10);
    cluster
        .change(&MembershipChange::Promote(SeatId(4)))
        .expect("promoted");
    let leader = cluster.wait_for_leader();
    let membership = cluster
        .replica(leader)
        .expect("a leader")
        .seat()
        .membership();
    assert!(membership.is_voter(SeatId(4)));
}

#[test]
fn second_change_is_rejected_while_one_is_pending() {
    let mut cluster = TestCluster::new(23, 3, LinkFaults::RELIABLE);
    let leader = cluster.wait_for_leader();
    let now = cluster.now(leader);
    let replica = cluster.replica(leader).expect("a leader");
    let token = chicoryladder_consensus::ProposalToken(1_000);
    replica
        .change_membership(token, &add(4, 4), now)
        .expect("a proposal");
    let refused = replica.change_membership(token, &add(5, 5), now);
    assert_eq!(
        refused,
        Err(ProposeError::Membership(MembershipError::ChangePending))
    );
}

#[test]
fn removed_leader_steps_down_and_the_remaining_seats_elect_another() {
    let mut cluster = TestCluster::new(24, 3, LinkFaults::RELIABLE);
    let old = cluster.wait_for_leader();
    cluster
        .change(&MembershipChange::Remove(old))
        .expect("removed");
    cluster.run(ELECTION_TIMEOUT * 4);
    let new = cluster.wait_for_leader();
    assert_ne!(new, old);
    cluster.write(3, 3);
}

#[test]
fn last_voter_cannot_be_removed() {
    let mut cluster = TestCluster::new(25, 1, LinkFaults::RELIABLE);
    let refused = cluster.change(&MembershipChange::Remove(SeatId(1)));
    let last = MembershipError::LastVoter(SeatId(1));
    assert_eq!(refused, Err(last.into()));
}

/// Pattern: hosts lost their disks and got new seats, and later all hosts lose power. After the
/// restart the log is delivered from its start, with memberships of before the new seats.
/// Guards against a new leader that takes one of these for its own removal and steps down.
#[test]
fn a_seat_that_joined_late_keeps_its_lead_after_a_restart_of_all_seats() {
    let mut led_by_late_seat = 0;
    for seed in 1..=60 {
        let mut cluster = TestCluster::new(seed, 3, LinkFaults::RELIABLE);
        cluster.snapshot_interval = 1_000_000;
        cluster.write(1, 1);
        let late = SeatId(5);
        for seat in [4, 5] {
            cluster.change(&add(seat, seat)).expect("added");
            cluster.add_seat(SeatId(seat), GroupMembership::default());
            cluster.run(ELECTION_TIMEOUT * 2);
            let promote = MembershipChange::Promote(SeatId(seat));
            cluster.change(&promote).expect("it has caught up");
        }
        cluster.run(ELECTION_TIMEOUT);
        // A restarted leader takes its lead up again, so the late seat has to lead before.
        if seed % 2 == 0 {
            let leader = cluster.leader().expect("a leader");
            let now = cluster.now(leader);
            let replica = cluster.replica(leader).expect("a leader");
            replica.transfer(Some(late), now).expect("a transfer");
            cluster.run(ELECTION_TIMEOUT);
        }
        let seats: Vec<SeatId> = (1..=5).map(SeatId).collect();
        for seat in &seats {
            cluster.crash(*seat);
        }
        for seat in &seats {
            cluster.restart(*seat);
        }
        let first = loop {
            cluster.step();
            if let Some(leader) = cluster.leader() {
                break leader;
            }
        };
        cluster.run(ELECTION_TIMEOUT * 2);
        assert_eq!(cluster.leader(), Some(first), "seed {seed}");
        led_by_late_seat += u32::from(first == late);
    }
    assert!(led_by_late_seat > 0, "the late seat never led");
}
