//! The replies of a leader to hosts that check whether they still have a seat.

use chicoryladder_group::{GroupStatus, JoinAnswer, JoinRequest, MembershipRepair};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

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
