//! The way of a proposal to the leader and back.

use super::{
    GroupCommand, LogIndex, MembershipOutcome, OutcomeSender, ProposalContent, ProposeError,
    ReplicaMessage, ReplicaRole, ReplicaTask,
};
use crate::replica::command::GroupOutcome;
use crate::replica::proposals::{ProposalNumber, ProposalOrigin};
use chicoryladder_consensus::{DroppedReason, ProposalToken, ProposeError as SeatRefusal};
use std::net::SocketAddr;

/// The longest command, in bytes; an append of it has to fit a message of the link.
const COMMAND_MAX_BYTES: usize = 8 * 1024 * 1024;

impl ReplicaTask {
    pub(super) fn open_proposal(&mut self, command: &GroupCommand, sender: OutcomeSender) {
        let bytes = postcard::to_stdvec(command).ok();
        let Some(bytes) = bytes.filter(|bytes| bytes.len() <= COMMAND_MAX_BYTES) else {
            let _ = sender.send(Err(ProposeError::TooLarge));
            return;
        };
        let content = ProposalContent::Command(bytes.into());
        let idempotent = command.is_idempotent();
        let number = self.proposals.open(content, idempotent, sender);
        self.submit(number);
    }

    /// Hands a proposal to the leader, if one is known.
    pub(super) fn submit(&mut self, number: ProposalNumber) {
        let Some(content) = self.proposals.content(number) else {
            return;
        };
        if self.leads() {
            match self.append(&content, ProposalOrigin::Local(number)) {
                AppendAttempt::Appended => self.proposals.mark_in_log(number),
                AppendAttempt::NotAppended => {}
                AppendAttempt::Refused(outcome) => self.proposals.finish(number, Ok(outcome)),
            }
            return;
        }
        let own = self.peers.own_address();
        if let Some(leader) = self.leader_address().filter(|leader| *leader != own) {
            let proposal = number.0;
            self.send(leader, ReplicaMessage::Propose { proposal, content });
            self.proposals.mark_sent(number, self.clock.now());
        }
    }

    /// Puts a proposal into the log of this host.
    fn append(&mut self, content: &ProposalContent, origin: ProposalOrigin) -> AppendAttempt {
        let now = self.clock.now();
        let token = self.proposals.token(origin);
        let ReplicaRole::Seat(replica) = &mut self.role else {
            return AppendAttempt::NotAppended;
        };
        let attempt = match content {
            ProposalContent::Command(command) => replica.propose(token, command.clone()),
            ProposalContent::Membership(change) => replica.change_membership(token, change, now),
        };
        let Err(refusal) = attempt else {
            return AppendAttempt::Appended;
        };
        let _ = self.proposals.take_origin(token);
        match refusal {
            SeatRefusal::Membership(error) => {
                let detail = error.to_string();
                let outcome = MembershipOutcome::Refused { detail };
                AppendAttempt::Refused(GroupOutcome::Membership(outcome))
            }
            SeatRefusal::NotLeader { .. } | SeatRefusal::Transferring | SeatRefusal::NotReady => {
                AppendAttempt::NotAppended
            }
        }
    }

    /// Orders a proposal of another host.
    pub(super) fn append_for_peer(
        &mut self,
        peer: SocketAddr,
        proposal: u64,
        content: &ProposalContent,
    ) {
        let origin = ProposalOrigin::Peer {
            address: peer,
            proposal,
        };
        match self.append(content, origin) {
            AppendAttempt::Appended => {}
            AppendAttempt::NotAppended => self.send_not_committed(peer, proposal),
            AppendAttempt::Refused(outcome) => {
                let index = LogIndex::default();
                let answer = ReplicaMessage::Committed {
                    proposal,
                    index,
                    outcome,
                };
                self.send(peer, answer);
            }
        }
    }

    fn send_not_committed(&self, peer: SocketAddr, proposal: u64) {
        let leader = self.leader_address();
        self.send(peer, ReplicaMessage::NotCommitted { proposal, leader });
    }

    /// Passes on the outcome of an entry that this host put into its log.
    pub(super) fn deliver_outcome(&mut self, token: ProposalToken, index: LogIndex, answer: &[u8]) {
        let Some(origin) = self.proposals.take_origin(token) else {
            return;
        };
        let outcome = if answer.is_empty() {
            GroupOutcome::Membership(MembershipOutcome::Changed)
        } else {
            match postcard::from_bytes(answer) {
                Ok(outcome) => outcome,
                Err(error) => {
                    log::error!("replica: the outcome of entry {index} is unreadable: {error}.");
                    return;
                }
            }
        };
        match origin {
            ProposalOrigin::Local(number) => self.proposals.mark_committed(number, index, outcome),
            ProposalOrigin::Peer { address, proposal } => {
                let answer = ReplicaMessage::Committed {
                    proposal,
                    index,
                    outcome,
                };
                self.send(address, answer);
            }
        }
    }

    pub(super) fn handle_dropped(&mut self, token: ProposalToken, reason: DroppedReason) {
        let Some(origin) = self.proposals.take_origin(token) else {
            return;
        };
        match (origin, reason) {
            (ProposalOrigin::Local(number), DroppedReason::Superseded) => {
                self.proposals.mark_not_committed(number);
            }
            (ProposalOrigin::Local(number), DroppedReason::Unknown) => {
                self.proposals.mark_unknown(number);
            }
            (ProposalOrigin::Peer { address, proposal }, DroppedReason::Superseded) => {
                self.send_not_committed(address, proposal);
            }
            // The proposer's own timeout decides.
            (ProposalOrigin::Peer { .. }, DroppedReason::Unknown) => {}
        }
    }
}

/// What came of putting a proposal into the log of this host.
enum AppendAttempt {
    /// It is in the log and its outcome will follow.
    Appended,
    /// It is not in the log; another leader may take it.
    NotAppended,
    /// It breaks a rule.
    Refused(GroupOutcome),
}
