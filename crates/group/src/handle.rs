//! Reaching a group from asynchronous tasks.

use crate::status::GroupStatus;
use crate::thread::GroupEvent;
use chicoryladder_consensus::{MembershipChange, SeatEnvelope};
use chicoryladder_types::TermNumber;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{oneshot, watch};

/// Why a proposal has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeFailure {
    /// The seat does not lead; the command will not be applied.
    #[error("the seat does not lead its group")]
    NotLeader,
    /// The leadership was lost meanwhile; the command may be applied.
    #[error("the leadership was lost before the command was applied")]
    Unknown,
    /// The change of the membership is not allowed now.
    #[error("{0}")]
    Refused(String),
}

/// Why the state cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the seat does not hold the lease of its group")]
pub struct ReadFailure;

/// Reaches a group; clones reach the same one.
pub struct GroupHandle<M> {
    pub(crate) events: Sender<GroupEvent<M>>,
    pub(crate) status: Arc<Mutex<GroupStatus>>,
    pub(crate) changes: watch::Receiver<u64>,
    pub(crate) clock: Arc<dyn ClockSource>,
}

impl<M> Clone for GroupHandle<M> {
    fn clone(&self) -> Self {
        Self {
            events: self.events.clone(),
            status: self.status.clone(),
            changes: self.changes.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<M: Send + 'static> GroupHandle<M> {
    /// What is known of the group.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.clone()
    }

    /// The term in which the local seat leads, if it may answer as the leader now.
    #[must_use]
    pub fn leading_term(&self) -> Option<TermNumber> {
        let now = self.clock.now();
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.holds_lease(now).then_some(status.term)
    }

    /// Changes whenever the role, the leader or the applied entry did.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead, or loses the leadership meanwhile.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeFailure> {
        let (sender, receiver) = oneshot::channel();
        self.submit(GroupEvent::Propose(command, sender), receiver)
            .await
    }

    /// Proposes a command whose answer nobody needs.
    ///
    /// # Errors
    ///
    /// Fails if the thread of the seat has ended.
    pub fn propose_detached(&self, command: Vec<u8>) -> Result<(), ProposeFailure> {
        let (sender, _) = oneshot::channel();
        let event = GroupEvent::Propose(command, sender);
        self.events
            .send(event)
            .map_err(|_| ProposeFailure::NotLeader)
    }

    /// Changes the membership and waits until that is committed.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead or the change is not allowed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeFailure> {
        let (sender, receiver) = oneshot::channel();
        let answer = self.submit(GroupEvent::Change(change, sender), receiver);
        answer.await.map(|_| ())
    }

    async fn submit(
        &self,
        event: GroupEvent<M>,
        receiver: oneshot::Receiver<Result<Vec<u8>, ProposeFailure>>,
    ) -> Result<Vec<u8>, ProposeFailure> {
        if self.events.send(event).is_err() {
            return Err(ProposeFailure::NotLeader);
        }
        receiver.await.unwrap_or(Err(ProposeFailure::Unknown))
    }

    /// Reads the state of the leader; every acknowledged change is in it.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not hold the lease.
    pub async fn read<R: Send + 'static>(
        &self,
        query: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Result<R, ReadFailure> {
        let (sender, receiver) = oneshot::channel();
        let read = move |machine: Option<&M>| {
            // The requester may have left.
            let _ = sender.send(machine.map(query).ok_or(ReadFailure));
        };
        if self.events.send(GroupEvent::Read(Box::new(read))).is_err() {
            return Err(ReadFailure);
        }
        receiver.await.unwrap_or(Err(ReadFailure))
    }

    /// Reads the applied state of the local seat, which may lag.
    ///
    /// # Errors
    ///
    /// Fails if the seat has stopped.
    pub async fn read_local<R: Send + 'static>(
        &self,
        query: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Result<R, ReadFailure> {
        let (sender, receiver) = oneshot::channel();
        let read = move |machine: &M| {
            // The requester may have left.
            let _ = sender.send(query(machine));
        };
        if self
            .events
            .send(GroupEvent::ReadLocal(Box::new(read)))
            .is_err()
        {
            return Err(ReadFailure);
        }
        receiver.await.map_err(|_| ReadFailure)
    }

    /// Hands in a message of another seat.
    pub fn deliver(&self, envelope: SeatEnvelope, sender: SocketAddr) {
        // A stopped seat takes no messages.
        let _ = self.events.send(GroupEvent::Deliver(envelope, sender));
    }

    /// Gives the leadership to another voter, if the local seat leads.
    pub fn transfer_leadership(&self) {
        // A stopped seat does not lead.
        let _ = self.events.send(GroupEvent::TransferLeadership);
    }
}
