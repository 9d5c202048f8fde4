//! Elections: pre-vote, votes, and the receiving side of a leadership transfer.

use super::action::BatchNumber;
use super::{RaftSeat, RoleState};
use crate::{HardState, SeatMessage, VoteReply, VoteRequest};
use chicoryladder_types::{SeatId, TermNumber};
use rand::RngExt;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::{Duration, Instant};

/// The time after which a pre-vote without a quorum is repeated, as a share of the election
/// timeout.
const PRE_VOTE_RETRY: Range<f64> = 0.25..0.5;

/// The votes collected so far.
#[derive(Debug, Default)]
pub(super) struct VoteTally {
    granted: BTreeSet<SeatId>,
    /// The batch that makes the seat's vote for itself durable.
    self_vote: Option<BatchNumber>,
}

impl RaftSeat {
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let min_timeout = self.settings.election_timeout;
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_deadline = now + min_timeout + min_timeout.mul_f64(jitter);
    }

    pub(super) fn become_follower(&mut self) {
        if let RoleState::Leader(_) = self.role {
            let group = self.settings.group;
            log::info!(
                "replica: stepped down as leader of group {group} in term {}.",
                self.term()
            );
            self.leader = None;
        }
        self.role = RoleState::Follower;
    }

    /// Moves to a higher term as a follower.
    pub(super) fn enter_term(&mut self, term: TermNumber) {
        debug_assert!(term > self.term());
        self.become_follower();
        self.leader = None;
        self.incoming = None;
        self.set_hard_state(HardState { term, vote: None });
    }

    pub(super) fn tick_election(&mut self, now: Instant) {
        // The seat may be ahead of a candidate and have refused it. The candidate may still win.
        if now < self.election_deadline || self.is_election_recent(now) {
            return;
        }
        self.leader = None;
        self.reset_election_deadline(now);
        if !self.is_voter() {
            return;
        }
        if self.is_only_voter() {
            self.campaign(false, now);
            return;
        }
        // A pre-vote disturbs no leader, and others may grant it soon: they may have started
        // later, or heard from the leader for longer.
        let retry_share = self.rng.random_range(PRE_VOTE_RETRY);
        self.election_deadline = now + self.settings.election_timeout.mul_f64(retry_share);
        let mut tally = VoteTally::default();
        tally.granted.insert(self.seat());
        self.role = RoleState::PreCandidate(tally);
        let request = self.vote_request(self.term().next(), false);
        for peer in self.peers() {
            self.send(peer, SeatMessage::PreVote(request.clone()));
        }
    }

    pub(super) fn campaign(&mut self, transfer: bool, now: Instant) {
        self.last_election = Some(now);
        let term = self.term().next();
        let vote = Some(self.seat());
        self.set_hard_state(HardState { term, vote });
        self.leader = None;
        self.role = RoleState::Candidate(VoteTally::default());
        self.request_votes(transfer);
    }

    /// Requests the votes of all others for the current term.
    pub(super) fn request_votes(&mut self, transfer: bool) {
        let request = self.vote_request(self.term(), transfer);
        for peer in self.peers() {
            self.send_durable(peer, SeatMessage::Vote(request.clone()));
        }
    }

    fn vote_request(&self, term: TermNumber, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    /// Records the batch that stores the seat's vote for itself; the vote counts once that
    /// batch is durable.
    pub(super) fn record_self_vote(&mut self, number: BatchNumber) {
        if let RoleState::Candidate(tally) = &mut self.role {
            tally.self_vote.get_or_insert(number);
        }
    }

    pub(super) fn count_self_vote(&mut self, number: BatchNumber, now: Instant) {
        let seat = self.seat();
        if let RoleState::Candidate(tally) = &mut self.role
            && tally.self_vote.is_some_and(|vote| vote <= number)
        {
            tally.granted.insert(seat);
            self.conclude_election(now);
        }
    }

    /// Whether the seat must not grant a vote yet, since the lease of the current leader may
    /// depend on that.
    fn has_leader_contact(&self, now: Instant) -> bool {
        let contact = match self.role {
            RoleState::Leader(_) => self.confirmed_at(now),
            _ => self.last_contact,
        };
        contact.is_some_and(|at| now < at + self.settings.election_timeout)
    }

    /// Whether an election that this seat knows of may still be in progress or has just
    /// ended. A pre-vote that succeeded now would depose the new leader before its first
    /// message arrives.
    fn is_election_recent(&self, now: Instant) -> bool {
        let period = self.recent_election_period();
        self.last_election.is_some_and(|at| now < at + period)
    }

    pub(super) fn recent_election_period(&self) -> Duration {
        self.settings.election_timeout / 2
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let candidate_log = (request.last_term, request.last_index);
        candidate_log >= (self.log.last_term(), self.log.last_index())
    }

    /// Whether the seat may have lost its disk: its log is empty although the group has
    /// written entries, so that it may have acknowledged entries which it no longer has.
    fn may_have_lost_log(&self, request: &VoteRequest) -> bool {
        self.log.last_index().0 == 0 && request.last_index.0 > 0
    }

    pub(super) fn on_pre_vote(&mut self, from: SeatId, request: &VoteRequest, now: Instant) {
        if self.may_have_lost_log(request) {
            return;
        }
        let granted = request.term > self.term()
            && self.is_up_to_date(request)
            && !self.has_leader_contact(now)
            && !self.is_election_recent(now);
        let term = if granted { request.term } else { self.term() };
        let reply = VoteReply { term, granted };
        self.send_durable(from, SeatMessage::PreVoteReply(reply));
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: SeatId, reply: &VoteReply, now: Instant) {
        if !reply.granted {
            if reply.term > self.term() {
                self.enter_term(reply.term);
            }
            return;
        }
        if reply.term != self.term().next() {
            return;
        }
        let RoleState::PreCandidate(tally) = &mut self.role else {
            return;
        };
        tally.granted.insert(from);
        if self.has_quorum_of_votes() {
            self.reset_election_deadline(now);
            self.campaign(false, now);
        }
    }

    pub(super) fn on_vote(&mut self, from: SeatId, request: &VoteRequest, now: Instant) {
        let in_contact = !request.transfer && self.has_leader_contact(now);
        if request.term > self.term() && (in_contact || self.may_have_lost_log(request)) {
            return;
        }
        if request.term > self.term() {
            self.enter_term(request.term);
            self.last_election = Some(now);
        }
        let may_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = request.term == self.term()
            && may_vote
            && self.is_up_to_date(request)
            && !matches!(self.role, RoleState::Leader(_));
        // A repeated request must not keep the seat from an election: its sender may not receive.
        if granted && self.hard_state.vote.is_none() {
            let term = self.term();
            let vote = Some(from);
            self.set_hard_state(HardState { term, vote });
            self.last_election = Some(now);
            self.reset_election_deadline(now);
        }
        let term = self.term();
        let reply = VoteReply { term, granted };
        self.send_durable(from, SeatMessage::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(&mut self, from: SeatId, reply: &VoteReply, now: Instant) {
        if reply.term > self.term() {
            self.enter_term(reply.term);
            return;
        }
        if reply.term < self.term() || !reply.granted {
            return;
        }
        if let RoleState::Candidate(tally) = &mut self.role {
            tally.granted.insert(from);
            self.conclude_election(now);
        }
    }

    fn has_quorum_of_votes(&self) -> bool {
        let (RoleState::PreCandidate(tally) | RoleState::Candidate(tally)) = &self.role else {
            return false;
        };
        let membership = self.membership();
        let votes = membership.voters().filter(|v| tally.granted.contains(v));
        votes.count() >= membership.quorum()
    }

    fn conclude_election(&mut self, now: Instant) {
        if self.has_quorum_of_votes() {
            self.last_election = Some(now);
            self.become_leader(now);
        }
    }

    /// Starts an election immediately, as the leader requested.
    pub(super) fn on_timeout_now(&mut self, term: TermNumber, now: Instant) {
        let follows = !matches!(self.role, RoleState::Leader(_));
        if term == self.term() && follows && self.is_voter() {
            self.reset_election_deadline(now);
            self.campaign(true, now);
        }
    }
}
