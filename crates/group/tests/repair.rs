//! Which membership change a leader makes next.

use chicoryladder_consensus::{MemberRole, MembershipChange};
use chicoryladder_group::{MemberView, RepairLimits, RepairView, StandbyHost, plan_repair};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const LIMITS: RepairLimits = RepairLimits {
    voters: 3,
    replace_after: Duration::from_secs(2),
    answers_within: Duration::from_millis(600),
};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

fn member(seat: u64, host: u8, role: MemberRole) -> MemberView {
    MemberView {
        seat: SeatId(seat),
        address: address(host),
        role,
        silent_for: Duration::from_millis(50),
        heard: true,
        caught_up: true,
        retiring: false,
        zone: ZoneName::try_from(format!("z{host}")).ok(),
    }
}

fn voter(seat: u64, host: u8) -> MemberView {
    member(seat, host, MemberRole::Voter)
}

fn learner(seat: u64, host: u8) -> MemberView {
    member(seat, host, MemberRole::Learner)
}

fn silent(mut member: MemberView) -> MemberView {
    member.silent_for = Duration::from_secs(5);
    member
}

fn retiring(mut member: MemberView) -> MemberView {
    member.retiring = true;
    member
}

fn standby(host: u8) -> StandbyHost {
    StandbyHost {
        address: address(host),
        zone: ZoneName::try_from(format!("z{host}").as_str()).expect("it is valid"),
        retiring: false,
    }
}

fn next(members: Vec<MemberView>, standbys: Vec<StandbyHost>) -> Option<MembershipChange> {
    let view = RepairView {
        leader: SeatId(1),
        members,
        standbys,
    };
    plan_repair(&view, &LIMITS)
}

fn three() -> Vec<MemberView> {
    vec![voter(1, 1), voter(2, 2), voter(3, 3)]
}

fn add(host: u8) -> MembershipChange {
    MembershipChange::AddLearner {
        seat: SeatId::default(),
        address: address(host),
    }
}

fn remove(seat: u64) -> MembershipChange {
    MembershipChange::Remove(SeatId(seat))
}

#[test]
fn a_whole_group_stays_as_it_is() {
    assert_eq!(next(three(), Vec::new()), None);
    assert_eq!(next(three(), vec![standby(4)]), None);
}

#[test]
fn a_host_that_lost_its_disk_gets_a_new_seat_after_its_old_one_is_removed() {
    assert_eq!(next(three(), vec![standby(3)]), Some(remove(3)));
    let two = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next(two, vec![standby(3)]), Some(add(3)));
    let joining = vec![voter(1, 1), voter(2, 2), learner(4, 3)];
    assert_eq!(
        next(joining, Vec::new()),
        Some(MembershipChange::Promote(SeatId(4)))
    );
}

#[test]
fn a_silent_voter_stays_where_nobody_can_take_its_place() {
    let members = vec![voter(1, 1), voter(2, 2), silent(voter(3, 3))];
    assert_eq!(next(members, Vec::new()), None);
}

#[test]
fn a_silent_voter_is_replaced_once_the_new_seat_answers() {
    let members = || vec![voter(1, 1), voter(2, 2), silent(voter(3, 3))];
    assert_eq!(next(members(), vec![standby(4)]), Some(add(4)));
    let mut waiting = learner(4, 4);
    waiting.heard = false;
    let mut joining = members();
    joining.push(waiting);
    assert_eq!(next(joining, Vec::new()), None);
    let mut joined = members();
    joined.push(learner(4, 4));
    assert_eq!(next(joined, Vec::new()), Some(remove(3)));
}

#[test]
fn no_voter_is_removed_while_the_others_are_no_quorum() {
    let members = vec![voter(1, 1), silent(voter(2, 2)), voter(3, 3)];
    // Seat 3 asks for a new seat, but only the leader would be left to answer.
    assert_eq!(next(members, vec![standby(3)]), None);
}

#[test]
fn a_learner_that_has_not_begun_keeps_its_seat_when_its_host_asks_again() {
    let mut waiting = learner(4, 3);
    waiting.heard = false;
    let members = vec![voter(1, 1), voter(2, 2), waiting];
    assert_eq!(next(members, vec![standby(3)]), None);
}

#[test]
fn a_retiring_voter_leaves_after_another_has_taken_its_place() {
    let members = || vec![voter(1, 1), voter(2, 2), retiring(voter(3, 3))];
    assert_eq!(next(members(), Vec::new()), None);
    assert_eq!(next(members(), vec![standby(4)]), Some(add(4)));
    let mut joined = members();
    joined.push(learner(4, 4));
    assert_eq!(
        next(joined, Vec::new()),
        Some(MembershipChange::Promote(SeatId(4)))
    );
    let mut four = members();
    four.push(voter(4, 4));
    assert_eq!(next(four, Vec::new()), Some(remove(3)));
}

#[test]
fn a_retiring_host_gets_no_seat() {
    let mut leaving = standby(4);
    leaving.retiring = true;
    let members = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next(members, vec![leaving]), None);
}

#[test]
fn the_zone_with_the_fewest_voters_gets_the_next_one() {
    let mut near = standby(4);
    near.zone = ZoneName::try_from("z1").expect("it is valid");
    let members = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next(members, vec![near, standby(5)]), Some(add(5)));
}

#[test]
fn learners_that_nobody_needs_are_removed() {
    let mut members = three();
    members.push(learner(4, 4));
    assert_eq!(next(members, Vec::new()), Some(remove(4)));
}

/// Any sequence of lost disks, one at a time, ends with three voters again.
#[test]
fn lost_disks_one_after_the_other_are_all_replaced() {
    let mut members = three();
    let mut highest = 3;
    for lost in [2u8, 3, 2, 2, 3] {
        let mut steps = Vec::new();
        for _ in 0..8 {
            let hosted = |m: &MemberView| m.address == address(lost);
            let is_seated = members
                .iter()
                .any(|m| hosted(m) && m.seat.0 > highest - 1 && !steps.is_empty());
            let standbys = if is_seated {
                Vec::new()
            } else {
                vec![standby(lost)]
            };
            let Some(change) = next(members.clone(), standbys) else {
                break;
            };
            match &change {
                MembershipChange::Remove(seat) => members.retain(|m| m.seat != *seat),
                MembershipChange::AddLearner { .. } => {
                    highest += 1;
                    members.push(learner(highest, lost));
                }
                MembershipChange::Promote(seat) => {
                    for member in members.iter_mut().filter(|m| m.seat == *seat) {
                        member.role = MemberRole::Voter;
                    }
                }
            }
            steps.push(change);
        }
        assert_eq!(steps.len(), 3, "{steps:?}");
        let voters = members.iter().filter(|m| m.role == MemberRole::Voter);
        assert_eq!(voters.count(), 3);
    }
}

#[test]
fn the_learner_that_has_caught_up_is_promoted_before_one_that_lags() {
    let mut lagging = learner(4, 4);
    lagging.caught_up = false;
    let members = || vec![voter(1, 1), voter(2, 2), lagging.clone()];
    assert_eq!(next(members(), Vec::new()), None);
    let mut with_ready = members();
    with_ready.push(learner(5, 5));
    let promote = MembershipChange::Promote(SeatId(5));
    assert_eq!(next(with_ready, Vec::new()), Some(promote));
}
