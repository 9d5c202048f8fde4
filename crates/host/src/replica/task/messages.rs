//! Handling of messages from the replicas of other hosts.

use super::{ReplicaMessage, ReplicaRole, ReplicaTask};
use crate::replica::proposals::ProposalNumber;
use chicoryladder_consensus::{SeatEnvelope, TailAnswer, TailRequest};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest time for which a tail request is held (long polling).
const TAIL_HOLD_TIMEOUT: Duration = Duration::from_millis(300);

/// A tail request that waits for new entries.
pub(super) struct HeldRequest {
    peer: SocketAddr,
    request: TailRequest,
    until: Instant,
}

impl ReplicaTask {
    pub(super) fn receive(&mut self, peer: SocketAddr, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Seat(envelope) => self.receive_seat(peer, envelope),
            ReplicaMessage::Propose { proposal, content } => {
                self.append_for_peer(peer, proposal, &content);
            }
            ReplicaMessage::Committed {
                proposal,
                index,
                outcome,
            } => {
                let number = ProposalNumber(proposal);
                self.proposals.mark_committed(number, index, outcome);
            }
            ReplicaMessage::NotCommitted { proposal, leader } => {
                self.reported_leader = leader.filter(|leader| *leader != peer);
                self.proposals.mark_not_committed(ProposalNumber(proposal));
            }
            ReplicaMessage::TailRequest(request) => self.receive_tail_request(peer, request),
            ReplicaMessage::Tail { answer, leader } => self.handle_tail(answer, leader),
        }
    }

    fn receive_seat(&mut self, peer: SocketAddr, envelope: SeatEnvelope) {
        self.seat_addresses.insert(envelope.from, peer);
        let now = self.clock.now();
        if let ReplicaRole::Seat(replica) = &mut self.role {
            replica.receive(envelope, now);
        }
    }

    pub(super) fn send_seat(&self, envelope: SeatEnvelope) {
        if let Some(address) = self.seat_address(envelope.to) {
            self.send(address, ReplicaMessage::Seat(envelope));
        }
    }

    /// Replies at once if there are new entries; otherwise holds the request, so
    /// that entries propagate without delay and with few messages.
    fn receive_tail_request(&mut self, peer: SocketAddr, request: TailRequest) {
        self.held.retain(|held| held.peer != peer);
        if request.after < self.role.applied() {
            self.answer_tail(peer, &request);
        } else {
            let until = self.clock.now() + TAIL_HOLD_TIMEOUT;
            self.held.push(HeldRequest {
                peer,
                request,
                until,
            });
        }
    }

    /// Replies to held requests that have new entries or whose hold time is over.
    pub(super) fn answer_held(&mut self) {
        let now = self.clock.now();
        let applied = self.role.applied();
        let is_due = |held: &mut HeldRequest| held.request.after < applied || now >= held.until;
        let due: Vec<HeldRequest> = self.held.extract_if(.., is_due).collect();
        for held in due {
            self.answer_tail(held.peer, &held.request);
        }
    }

    fn answer_tail(&mut self, peer: SocketAddr, request: &TailRequest) {
        let now = self.clock.now();
        match self.role.answer(request, now) {
            Ok(answer) => {
                let leader = self.leader_address();
                self.send(peer, ReplicaMessage::Tail { answer, leader });
            }
            Err(error) => log::error!("replica: cannot serve an observer: {error}."),
        }
    }

    fn handle_tail(&mut self, answer: TailAnswer, leader: Option<SocketAddr>) {
        let now = self.clock.now();
        if leader.is_some() {
            self.reported_leader = leader;
        }
        if let ReplicaRole::Observer(observer) = &mut self.role
            && let Err(error) = observer.receive(answer, now)
        {
            log::error!("replica: cannot install a snapshot: {error}.");
        }
    }
}
