//! Access to a group from asynchronous tasks.

use crate::status::GroupStatus;
use crate::thread::GroupEvent;
use chicoryladder_consensus::{MembershipChange, SeatEnvelope};
use chicoryladder_types::TermNumber;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{oneshot, watch};

/// Why a proposal has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeFailure {
    /// The seat is not the leader; the command will not be applied.
    #[error("the seat does not lead its group")]
    NotLeader,
    /// The leadership was lost in the meantime; the command may still be applied.
    #[error("the leadership was lost before the command was applied")]
    Unknown,
    /// The proposal is rejected, for instance because a membership change is not allowed
    /// now.
    #[error("{0}")]
    Refused(String),
}

/// Why the state cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the seat does not hold the lease of its group")]
pub struct ReadFailure;

/// A handle to the thread of a seat; clones refer to the same thread.
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
    /// The current status of the group.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.clone()
    }

    /// The term in which the local seat is the leader, if it holds the lease now.
    #[must_use]
    pub fn leading_term(&self) -> Option<TermNumber> {
        let now = self.clock.now();
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.holds_lease(now).then_some(status.term)
    }

    /// A counter that increases when the term, the role, the leader or the applied entry
    /// changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader, or loses the leadership in the meantime.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeFailure> {
        let (sender, receiver) = oneshot::channel();
        self.submit(GroupEvent::Propose(command, sender), receiver)
            .await
    }

    /// Proposes a command without waiting for its result.
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

    /// Changes the membership and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader or the change is not allowed.
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

    /// Reads the state of the leader, which includes every acknowledged change.
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
            // The receiver may have been dropped.
            let _ = sender.send(machine.map(query).ok_or(ReadFailure));
        };
        if self.events.send(GroupEvent::Read(Box::new(read))).is_err() {
            return Err(ReadFailure);
        }
        receiver.await.unwrap_or(Err(ReadFailure))
    }

    /// Reads the applied state of the local seat, which may lag behind the leader.
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
            // The receiver may have been dropped.
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

    /// Delivers a message of another seat.
    pub fn deliver(&self, envelope: SeatEnvelope, sender: SocketAddr) {
        // A seat whose thread has ended drops messages.
        let _ = self.events.send(GroupEvent::Deliver(envelope, sender));
    }

    /// Transfers the leadership to another voter, if the local seat is the leader.
    pub fn transfer_leadership(&self) {
        // A seat whose thread has ended is not the leader.
        let _ = self.events.send(GroupEvent::TransferLeadership);
    }
}
