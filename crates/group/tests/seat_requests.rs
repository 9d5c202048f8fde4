//! The replies of a leader to hosts that check whether they still have a seat.

use chicoryladder_consensus::MemberRole;
use chicoryladder_group::{GroupStatus, JoinAnswer, JoinRequest, MemberStatus, MembershipRepair};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 7000));
    let request = |host: u8, seat: Option<SeatId>| JoinRequest {
        address: address(host),
        zone: ZoneName::try_from("z1").expect("it is valid"),
        seat,
    };
    let member = |host: u8| MemberStatus {
        seat: SeatId(u64::from(host)),
        address: address(host),
        role: MemberRole::Voter,
        last_contact_at: Some(Instant::now()),
        caught_up: true,
    };
    let status = GroupStatus {
        seat: SeatId(1),
        leads: true,
        members: (1..=3).map(member).collect(),
        membership_committed: true,
        ..GroupStatus::default()
    };
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
