//! Forwarding of proposals to the leader and delivery of their outcomes.

use super::{
    GroupCommand, LogIndex, MembershipOutcome, OutcomeSender, ProposalContent, ProposeError,
    ReplicaMessage, ReplicaRole, ReplicaTask,
};
use crate::replica::command::GroupOutcome;
use crate::replica::proposals::{ProposalNumber, ProposalOrigin};
use chicoryladder_consensus::{DroppedReason, ProposalToken, ProposeError as SeatRefusal};
use std::net::SocketAddr;

/// The maximum size of a command, in bytes; an append message that carries it must
/// fit into one message of the link.
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

    /// Submits a proposal to the leader, if one is known.
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
        let own_address = self.peers.own_address();
        if let Some(leader) = self
            .leader_address()
            .filter(|leader| *leader != own_address)
        {
            let proposal = number.0;
            self.send(leader, ReplicaMessage::Propose { proposal, content });
            self.proposals.mark_sent(number, self.clock.now());
        }
    }

    /// Appends a proposal to this host's log.
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

    /// Appends a proposal of another host.
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

    /// Delivers the outcome of an entry of this host's log to its proposer.
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
                    log::error!("replica: cannot decode the outcome of entry {index}: {error}.");
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
            // The proposer handles this case by its own timeout.
            (ProposalOrigin::Peer { .. }, DroppedReason::Unknown) => {}
        }
    }
}

/// The result of an attempt to append a proposal to this host's log.
enum AppendAttempt {
    /// The proposal is in the log; its outcome will follow.
    Appended,
    /// The proposal is not in the log; another leader may accept it.
    NotAppended,
    /// The proposal violates a membership rule.
    Refused(GroupOutcome),
}
