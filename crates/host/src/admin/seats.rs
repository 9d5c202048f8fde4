//! The `seats` resource of the administration API: the seats of the consensus group.

use super::{AdminService, parse_body};
use crate::replica::{MembershipOutcome, ProposeError};
use chicoryladder_consensus::{GroupMembership, MemberRole, MembershipChange};
use chicoryladder_gateway::{AdminAnswer, AnswerBody, json_answer};
use chicoryladder_types::admin::{SeatChangeAnswer, SeatChangeRequest, SeatEntry, SeatsAnswer};
use chicoryladder_types::prelude::*;
use hyper::Response;

impl AdminService {
    pub(super) fn list_seats(&self) -> Response<AnswerBody> {
        let group = self.replica.group();
        let answer = SeatsAnswer {
            leader: group.leader,
            term: group.term,
            applied: self.replica.applied(),
            seats: group.membership.as_ref().map(seat_entries),
        };
        json_answer(200, &answer)
    }

    pub(super) async fn change_seats(&self, body: &[u8]) -> AdminAnswer {
        let change = match parse_body(body)? {
            SeatChangeRequest::Add { seat, address } => {
                MembershipChange::AddLearner { seat, address }
            }
            SeatChangeRequest::Promote { seat } => MembershipChange::Promote(seat),
            SeatChangeRequest::Remove { seat } => MembershipChange::Remove(seat),
        };
        let outcome = self.replica.change_membership(change).await;
        match outcome.map_err(ProposeError::refusal)? {
            MembershipOutcome::Changed => {
                let answer = SeatChangeAnswer { changed: true };
                Ok(json_answer(200, &answer))
            }
            MembershipOutcome::Refused { detail } => Err(RequestRefusal::not_run(
                RefusalReason::RevisionConflict,
                detail,
            )),
        }
    }
}

fn seat_entries(membership: &GroupMembership) -> Vec<SeatEntry> {
    let entry = |(seat, record): (_, &chicoryladder_consensus::MemberRecord)| SeatEntry {
        seat,
        address: record.address,
        voter: record.role == MemberRole::Voter,
    };
    membership.members().map(entry).collect()
}
