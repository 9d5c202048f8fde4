//! The replies of a leader to hosts that check whether they still have a seat.

use chicoryladder_consensus::MemberRole;
use chicoryladder_group::{GroupStatus, JoinAnswer, JoinRequest, MemberStatus, MembershipRepair};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

fn request(host: u8, seat: Option<SeatId>) -> JoinRequest {
    JoinRequest {
        address: address(host),
        zone: ZoneName::try_from("z1").expect("it is valid"),
        seat,
    }
}

/// A group whose voters are the given hosts, all in contact with the leader at the first one.
fn status(hosts: &[u8]) -> GroupStatus {
    let member = |host: &u8| MemberStatus {
        seat: SeatId(u64::from(*host)),
        address: address(*host),
        role: MemberRole::Voter,
        last_contact_at: None,
        caught_up: true,
    };
    GroupStatus {
        seat: SeatId(1),
        leads: true,
        members: hosts.iter().map(member).collect(),
        membership_committed: true,
        ..GroupStatus::default()
    }
}

/// Records that the leader has contact with all members.
fn make_contact(status: &mut GroupStatus, now: Instant) {
    for member in &mut status.members {
        member.last_contact_at = Some(now);
    }
}

/// A host deletes the files of its seat when it is told that the seat is gone. It was told so
/// while another leader could still undo the removal, and the seat be needed again.
#[test]
fn seat_counts_as_removed_once_the_removal_is_committed() {
    let request = JoinRequest {
        address: SocketAddr::from(([10, 0, 0, 2], 7000)),
        zone: ZoneName::try_from("z2").expect("it is valid"),
        seat: Some(SeatId(2)),
    };
    let mut repair = MembershipRepair::default();
    let mut status = GroupStatus::default();
    let answer = repair.handle_join(&status, &request, Instant::now());
    assert_eq!(answer, JoinAnswer::Member);
    status.membership_committed = true;
    let answer = repair.handle_join(&status, &request, Instant::now());
    assert_eq!(answer, JoinAnswer::Removed);
}

/// A voter that stops waited for its replacement until its time was up, as the only host on
/// standby retired and could get no seat.
#[test]
fn stopping_voter_does_not_wait_for_a_retiring_standby() {
    let status = status(&[1, 2, 3]);
    let began_at = Instant::now();
    let now = began_at + Duration::from_secs(10);
    let mut repair = MembershipRepair::default();
    repair.restart(began_at);
    let answer = repair.handle_join(&status, &request(4, None), now);
    assert_eq!(answer, JoinAnswer::Wait);
    let retiring = HashSet::from([address(4)]);
    assert_eq!(repair.next_change(&status, &retiring, 3, now), None);
    let answer = repair.handle_leave(&status, &request(3, Some(SeatId(3))), 3, now);
    assert_eq!(answer, JoinAnswer::Member);
}

/// A voter was removed, and its disk deleted, as a request for a seat that its host had sent
/// before it became a member arrived late.
#[test]
fn voter_stays_when_a_late_request_of_its_host_arrives() {
    let began_at = Instant::now();
    let mut repair = MembershipRepair::default();
    repair.restart(began_at);
    let mut status = status(&[1, 2, 3]);
    for step in 0..40 {
        let now = began_at + Duration::from_millis(100) * step;
        make_contact(&mut status, now);
        // All requests that were held up arrive at once.
        if step >= 20 {
            for _ in 0..3 {
                repair.handle_join(&status, &request(3, None), now);
            }
        }
        let change = repair.next_change(&status, &HashSet::new(), 3, now);
        assert_eq!(change, None, "step {step}");
    }
}

/// Guards against a voter without its disk that stays a member: its host goes on requesting a
/// seat, and the seat is silent.
#[test]
fn voter_is_removed_once_its_host_goes_on_requesting_a_seat() {
    let began_at = Instant::now();
    let mut repair = MembershipRepair::default();
    repair.restart(began_at);
    let mut status = status(&[1, 2, 3]);
    make_contact(&mut status, began_at);
    let mut removed_after = None;
    for step in 1..20 {
        let now = began_at + Duration::from_millis(100) * step;
        for member in &mut status.members[..2] {
            member.last_contact_at = Some(now);
        }
        repair.handle_join(&status, &request(3, None), now);
        if repair
            .next_change(&status, &HashSet::new(), 3, now)
            .is_some()
        {
            removed_after = Some(now - began_at);
            break;
        }
    }
    let within = Duration::from_secs(1);
    assert!(
        removed_after.is_some_and(|after| after <= within),
        "{removed_after:?}"
    );
}
