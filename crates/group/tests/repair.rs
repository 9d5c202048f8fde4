//! Membership repair: the next membership change of a leader.

use chicoryladder_consensus::{MemberRole, MembershipChange};
use chicoryladder_group::{
    MemberView, RepairLimits, RepairView, StandbyHost, plan_repair, spread_over_zones,
    zone_voters_max,
};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const LIMITS: RepairLimits = RepairLimits {
    voters: 3,
    replace_after: Duration::from_secs(2),
    responsive_within: Duration::from_millis(600),
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
        had_contact: true,
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

fn unresponsive(mut member: MemberView) -> MemberView {
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
        requesting_for: Duration::from_secs(1),
    }
}

fn next_change(members: Vec<MemberView>, standbys: Vec<StandbyHost>) -> Option<MembershipChange> {
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
fn complete_group_needs_no_change() {
    assert_eq!(next_change(three(), Vec::new()), None);
    assert_eq!(next_change(three(), vec![standby(4)]), None);
}

#[test]
fn host_that_lost_its_disk_gets_a_new_seat_after_its_old_one_is_removed() {
    assert_eq!(next_change(three(), vec![standby(3)]), Some(remove(3)));
    let two = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next_change(two, vec![standby(3)]), Some(add(3)));
    let joining = vec![voter(1, 1), voter(2, 2), learner(4, 3)];
    assert_eq!(
        next_change(joining, Vec::new()),
        Some(MembershipChange::Promote(SeatId(4)))
    );
}

#[test]
fn unresponsive_voter_is_kept_if_no_host_can_replace_it() {
    let members = vec![voter(1, 1), voter(2, 2), unresponsive(voter(3, 3))];
    assert_eq!(next_change(members, Vec::new()), None);
}

#[test]
fn unresponsive_voter_is_replaced_once_the_new_seat_responds() {
    let members = || vec![voter(1, 1), voter(2, 2), unresponsive(voter(3, 3))];
    assert_eq!(next_change(members(), vec![standby(4)]), Some(add(4)));
    let mut waiting = learner(4, 4);
    waiting.had_contact = false;
    let mut joining = members();
    joining.push(waiting);
    assert_eq!(next_change(joining, Vec::new()), None);
    let mut joined = members();
    joined.push(learner(4, 4));
    assert_eq!(next_change(joined, Vec::new()), Some(remove(3)));
}

#[test]
fn voter_is_not_removed_if_no_quorum_would_respond() {
    let members = vec![voter(1, 1), unresponsive(voter(2, 2)), voter(3, 3)];
    // The host of seat 3 requests a new seat, but only the leader would remain responsive.
    assert_eq!(next_change(members, vec![standby(3)]), None);
}

#[test]
fn learner_without_contact_keeps_its_seat_when_its_host_requests_one_again() {
    let mut waiting = learner(4, 3);
    waiting.had_contact = false;
    let members = vec![voter(1, 1), voter(2, 2), waiting];
    assert_eq!(next_change(members, vec![standby(3)]), None);
}

#[test]
fn retiring_voter_is_removed_after_it_was_replaced() {
    let members = || vec![voter(1, 1), voter(2, 2), retiring(voter(3, 3))];
    assert_eq!(next_change(members(), Vec::new()), None);
    assert_eq!(next_change(members(), vec![standby(4)]), Some(add(4)));
    let mut joined = members();
    joined.push(learner(4, 4));
    assert_eq!(
        next_change(joined, Vec::new()),
        Some(MembershipChange::Promote(SeatId(4)))
    );
    let mut four = members();
    four.push(voter(4, 4));
    assert_eq!(next_change(four, Vec::new()), Some(remove(3)));
}

#[test]
fn retiring_host_gets_no_seat() {
    let mut leaving = standby(4);
    leaving.retiring = true;
    let members = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next_change(members, vec![leaving]), None);
}

#[test]
fn next_voter_is_placed_in_the_zone_with_the_fewest_voters() {
    let mut near = standby(4);
    near.zone = ZoneName::try_from("z1").expect("it is valid");
    let members = vec![voter(1, 1), voter(2, 2)];
    assert_eq!(next_change(members, vec![near, standby(5)]), Some(add(5)));
}

#[test]
fn surplus_learner_is_removed() {
    let mut members = three();
    members.push(learner(4, 4));
    assert_eq!(next_change(members, Vec::new()), Some(remove(4)));
}

/// After each of a series of lost disks, the group returns to three voters.
#[test]
fn consecutive_disk_losses_are_repaired() {
    let mut members = three();
    let mut highest = 3;
    for lost in [2u8, 3, 2, 2, 3] {
        let mut steps = Vec::new();
        for _ in 0..8 {
            let is_on_lost_host = |m: &MemberView| m.address == address(lost);
            let has_new_seat = members
                .iter()
                .any(|m| is_on_lost_host(m) && m.seat.0 > highest - 1 && !steps.is_empty());
            let standbys = if has_new_seat {
                Vec::new()
            } else {
                vec![standby(lost)]
            };
            let Some(change) = next_change(members.clone(), standbys) else {
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
fn learner_that_has_caught_up_is_promoted_before_a_lagging_one() {
    let mut lagging = learner(4, 4);
    lagging.caught_up = false;
    let members = || vec![voter(1, 1), voter(2, 2), lagging.clone()];
    assert_eq!(next_change(members(), Vec::new()), None);
    let mut with_ready = members();
    with_ready.push(learner(5, 5));
    let promote = MembershipChange::Promote(SeatId(5));
    assert_eq!(next_change(with_ready, Vec::new()), Some(promote));
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("it is valid")
}

/// Candidates with the given number of hosts in each of five zones.
fn candidates(per_zone: [u8; 5]) -> Vec<(SocketAddr, ZoneName)> {
    let zones = per_zone.into_iter().zip(0u8..);
    let hosts = zones.flat_map(|(count, zone_number)| {
        (0..count).map(move |host| {
            (
                SocketAddr::from(([10, zone_number, 0, host], 7000)),
                zone_number,
            )
        })
    });
    hosts
        .map(|(host, number)| (host, zone(&format!("z{number}"))))
        .collect()
}

fn zones_of(chosen: &[SocketAddr], candidates: &[(SocketAddr, ZoneName)]) -> Vec<ZoneName> {
    let zone_of = |host| candidates.iter().find(|(known, _)| known == host);
    let mut zones: Vec<_> = chosen
        .iter()
        .filter_map(zone_of)
        .map(|(_, z)| z.clone())
        .collect();
    zones.sort_unstable();
    zones
}

/// Pattern: a zone is cut off in a fleet with more store hosts in each zone than voters. The
/// lowest addresses are all in one zone there.
#[test]
fn bootstrap_members_of_a_large_fleet_are_in_different_zones() {
    let many = candidates([9; 5]);
    let chosen = spread_over_zones(&many, 5);
    assert_eq!(
        zones_of(&chosen, &many),
        ["z0", "z1", "z2", "z3", "z4"].map(zone)
    );
    let uneven = candidates([9, 1, 1, 0, 0]);
    let chosen = spread_over_zones(&uneven, 5);
    assert_eq!(
        zones_of(&chosen, &uneven),
        ["z0", "z0", "z0", "z1", "z2"].map(zone)
    );
    assert_eq!(spread_over_zones(&candidates([1, 1, 0, 0, 0]), 5).len(), 2);
    assert!(spread_over_zones(&[], 5).is_empty());
    assert_eq!([3, 5, 7].map(zone_voters_max), [1, 2, 3]);
}

/// Applies changes to a group until none is due. Each new learner catches up at once.
fn settle(mut members: Vec<MemberView>, standbys: &[StandbyHost]) -> (Vec<MemberView>, usize) {
    let mut changes = 0;
    loop {
        let is_member = |host: &StandbyHost| members.iter().any(|m| m.address == host.address);
        let free: Vec<_> = standbys.iter().filter(|h| !is_member(h)).cloned().collect();
        let Some(change) = next_change(members.clone(), free) else {
            return (members, changes);
        };
        changes += 1;
        assert!(changes < 20, "the changes do not end");
        match change {
            MembershipChange::AddLearner { address, .. } => {
                let host = standbys.iter().find(|host| host.address == address);
                let seat = 100 + u64::try_from(changes).expect("a small count");
                let mut learner = learner(seat, 0);
                learner.address = address;
                learner.zone = host.map(|host| host.zone.clone());
                members.push(learner);
            }
            MembershipChange::Promote(seat) => {
                let member = members.iter_mut().find(|m| m.seat == seat);
                member.expect("a member").role = MemberRole::Voter;
            }
            MembershipChange::Remove(seat) => members.retain(|m| m.seat != seat),
        }
    }
}

#[test]
fn a_zone_with_too_many_voters_gives_them_up() {
    let mut members = three();
    for member in &mut members {
        member.zone = Some(zone("z1"));
    }
    let (members, changes) = settle(members, &[standby(4), standby(5), standby(6)]);
    let mut zones: Vec<_> = members.iter().filter_map(|m| m.zone.clone()).collect();
    zones.sort_unstable();
    assert_eq!(zones, ["z1", "z4", "z5"].map(zone));
    assert!(members.iter().all(|m| m.role == MemberRole::Voter));
    // Two voters are each added, promoted and replaced.
    assert_eq!(changes, 6);
}

#[test]
fn a_crowded_zone_keeps_its_voters_without_a_host_elsewhere_or_while_one_is_silent() {
    let mut members = three();
    members[1].zone = Some(zone("z1"));
    let mut neighbour = standby(4);
    neighbour.zone = zone("z1");
    assert_eq!(next_change(members.clone(), vec![neighbour]), None);
    assert_eq!(next_change(members.clone(), vec![standby(4)]), Some(add(4)));
    members[2] = MemberView {
        silent_for: Duration::from_secs(1),
        ..members[2].clone()
    };
    assert_eq!(next_change(members, vec![standby(4)]), None);
}

/// A host that had asked to be replaced may start again after its successor became a voter.
/// An even number of voters tolerates no more losses, and fewer zones.
#[test]
fn newest_voter_beyond_the_target_is_removed_once_all_others_respond() {
    let mut members = three();
    members.push(voter(4, 4));
    assert_eq!(next_change(members.clone(), Vec::new()), Some(remove(4)));
    members[1].silent_for = Duration::from_secs(1);
    assert_eq!(next_change(members.clone(), Vec::new()), None);
    members[1] = unresponsive(voter(2, 2));
    assert_eq!(next_change(members, Vec::new()), Some(remove(2)));
}

/// The leader of a retiring host is replaced by a leader elsewhere, not by removing the voter
/// that has come for it.
#[test]
fn voter_that_replaces_a_retiring_leader_stays() {
    let members = vec![retiring(voter(1, 1)), voter(2, 2), voter(3, 3), voter(4, 4)];
    assert_eq!(next_change(members, Vec::new()), None);
}
