//! The thread that owns one seat and its storage.

use crate::handle::{GroupHandle, ProposeFailure};
use crate::status::{GroupStatus, MemberStatus};
use chicoryladder_consensus::{
    DroppedReason, GroupMembership, GroupReplica, LogStorage, MembershipChange, ProposalToken,
    ProposeError, ReplicaError, ReplicaOutput, SeatEnvelope, SeatRole, SeatSettings, StateMachine,
    StorageError,
};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// The maximum time between two checks of the timers.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// The maximum number of events that share one sync of the log.
const BATCH_MAX_EVENTS: usize = 256;

/// The delay before the storage is reopened after a failed write.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

type ProposalSender = oneshot::Sender<Result<Vec<u8>, ProposeFailure>>;

type LeaderQuery<M> = Box<dyn FnOnce(Option<&M>) + Send>;

type LocalQuery<M> = Box<dyn FnOnce(&M) + Send>;

/// An input to the thread.
pub(crate) enum GroupEvent<M> {
    Propose(Vec<u8>, ProposalSender),
    Change(MembershipChange, ProposalSender),
    Read(LeaderQuery<M>),
    ReadLocal(LocalQuery<M>),
    Deliver(SeatEnvelope, SocketAddr),
    TransferLeadership,
}

/// Sends messages to other seats; delivery is not guaranteed.
pub trait SeatTransport: Send {
    /// Sends a message to the host of a seat.
    fn send(&self, address: SocketAddr, envelope: SeatEnvelope);
}

/// Opens the storage of a seat.
pub type StorageOpener = Box<dyn Fn() -> Result<Box<dyn LogStorage>, StorageError> + Send>;

/// The settings of a group thread.
pub struct GroupSettings {
    /// The timing and limits.
    pub seat: SeatSettings,
    /// The members at the bootstrap of the group; empty on a seat that joins later.
    pub bootstrap_members: GroupMembership,
    /// Opens the storage of the seat.
    pub open_storage: StorageOpener,
    /// The peer address of this host.
    pub address: SocketAddr,
    /// The seed for randomized timeouts; must differ at each start.
    pub seed: u64,
}

/// Owns one seat of a group and processes its events.
pub struct GroupThread<M> {
    settings: GroupSettings,
    make_machine: Box<dyn Fn() -> M + Send>,
    transport: Box<dyn SeatTransport>,
    clock: Arc<dyn ClockSource>,
    events: Receiver<GroupEvent<M>>,
    status: Arc<Mutex<GroupStatus>>,
    changes: watch::Sender<u64>,
    /// The address from which each seat last sent a message; needed for seats that are
    /// not in the local membership yet.
    sender_addresses: HashMap<SeatId, SocketAddr>,
    pending: HashMap<ProposalToken, ProposalSender>,
    reads: Vec<LeaderQuery<M>>,
    next_token: u64,
}

impl<M: StateMachine + 'static> GroupThread<M> {
    /// Starts the thread of a seat.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be spawned.
    pub fn start(
        settings: GroupSettings,
        make_machine: impl Fn() -> M + Send + 'static,
        transport: impl SeatTransport + 'static,
        clock: Arc<dyn ClockSource>,
    ) -> std::io::Result<GroupHandle<M>> {
        let (sender, events) = channel();
        let status = Arc::new(Mutex::new(GroupStatus {
            seat: settings.seat.seat,
            ..GroupStatus::default()
        }));
        let (changes, receiver) = watch::channel(0);
        let handle = GroupHandle {
            events: sender,
            status: status.clone(),
            changes: receiver,
            clock: clock.clone(),
        };
        let name = format!("group-{}", settings.seat.group);
        let thread = Self {
            settings,
            make_machine: Box::new(make_machine),
            transport: Box::new(transport),
            clock,
            events,
            status,
            changes,
            sender_addresses: HashMap::new(),
            pending: HashMap::new(),
            reads: Vec::new(),
            next_token: 0,
        };
        std::thread::Builder::new()
            .name(name)
            .spawn(move || thread.run())?;
        Ok(handle)
    }

    fn run(mut self) {
        let mut storage = None;
        loop {
            let error = match self.open(&mut storage) {
                Ok(mut replica) => match self.serve(&mut replica) {
                    Ok(()) => return,
                    Err(error) => {
                        storage = Some(replica.into_storage());
                        error
                    }
                },
                Err(error) => error,
            };
            log::error!("group: the seat stopped: {error}.");
            self.stop_serving();
            if !error.is_transient() || !self.refuse_for(REOPEN_DELAY) {
                self.refuse_all();
                return;
            }
        }
    }

    /// Opens the seat, on the storage that it had before if there is one: only that knows which
    /// changes are durable after a failure. A storage that cannot be recovered yet is left there.
    fn open(
        &self,
        stopped: &mut Option<Box<dyn LogStorage>>,
    ) -> Result<GroupReplica<M>, ReplicaError> {
        let mut storage = match stopped.take() {
            Some(storage) => storage,
            None => (self.settings.open_storage)()?,
        };
        if let Err(error) = storage.recover() {
            *stopped = Some(storage);
            return Err(error.into());
        }
        let now = self.clock.now();
        let seed = self.settings.seed ^ self.next_token;
        GroupReplica::start(
            self.settings.seat.clone(),
            self.settings.bootstrap_members.clone(),
            storage,
            (self.make_machine)(),
            seed,
            now,
        )
    }

    /// Processes events until every handle is dropped.
    fn serve(&mut self, replica: &mut GroupReplica<M>) -> Result<(), ReplicaError> {
        loop {
            let now = self.clock.now();
            let delay = replica.seat().wake_at().saturating_duration_since(now);
            match self.events.recv_timeout(delay.min(TICK_INTERVAL_MAX)) {
                Ok(event) => self.handle_batch(replica, event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.process(replica)?;
        }
    }

    fn handle_batch(&mut self, replica: &mut GroupReplica<M>, first: GroupEvent<M>) {
        self.handle(replica, first);
        for _ in 1..BATCH_MAX_EVENTS {
            match self.events.try_recv() {
                Ok(event) => self.handle(replica, event),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, replica: &mut GroupReplica<M>, event: GroupEvent<M>) {
        let now = self.clock.now();
        match event {
            GroupEvent::Propose(command, sender) => {
                let token = self.token();
                let result = replica.propose(token, command.into());
                self.track_proposal(token, result, sender);
            }
            GroupEvent::Change(change, sender) => {
                let token = self.token();
                let result = replica.change_membership(token, &change, now);
                self.track_proposal(token, result, sender);
            }
            GroupEvent::Read(query) => self.reads.push(query),
            GroupEvent::ReadLocal(query) => query(replica.machine()),
            GroupEvent::Deliver(envelope, sender) => {
                self.sender_addresses.insert(envelope.from, sender);
                replica.receive(envelope, now);
            }
            GroupEvent::TransferLeadership => {
                if let Err(error) = replica.transfer(None, now) {
                    log::debug!("group: cannot transfer the leadership: {error}.");
                }
            }
        }
    }

    fn token(&mut self) -> ProposalToken {
        self.next_token += 1;
        ProposalToken(self.next_token)
    }

    fn track_proposal(
        &mut self,
        token: ProposalToken,
        result: Result<(), ProposeError>,
        sender: ProposalSender,
    ) {
        let failure = match result {
            Ok(()) => {
                self.pending.insert(token, sender);
                return;
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::Transferring) => {
                ProposeFailure::NotLeader
            }
            Err(error) => ProposeFailure::Refused(error.to_string()),
        };
        // The receiver may have been dropped.
        let _ = sender.send(Err(failure));
    }

    /// Handles timers, persists the pending changes, sends messages, answers reads and
    /// publishes the status.
    fn process(&mut self, replica: &mut GroupReplica<M>) -> Result<(), ReplicaError> {
        let now = self.clock.now();
        replica.tick(now);
        let outputs = replica.write(now)?;
        self.handle_outputs(replica, outputs);
        let outputs = replica.flush(now)?;
        self.handle_outputs(replica, outputs);
        let now = self.clock.now();
        self.answer_reads(replica, now);
        self.publish(replica, now);
        Ok(())
    }

    fn answer_reads(&mut self, replica: &GroupReplica<M>, now: Instant) {
        let may_read = replica.can_read(now);
        for query in self.reads.drain(..) {
            query(may_read.then(|| replica.machine()));
        }
    }

    fn handle_outputs(&mut self, replica: &GroupReplica<M>, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(envelope) => self.send(replica, envelope),
                ReplicaOutput::Answered { token, answer, .. } => self.complete(token, Ok(answer)),
                ReplicaOutput::Dropped { token, reason } => {
                    let failure = match reason {
                        DroppedReason::Superseded => ProposeFailure::NotLeader,
                        DroppedReason::Unknown => ProposeFailure::Unknown,
                    };
                    self.complete(token, Err(failure));
                }
            }
        }
    }

    fn complete(&mut self, token: ProposalToken, result: Result<Vec<u8>, ProposeFailure>) {
        if let Some(sender) = self.pending.remove(&token) {
            // The receiver may have been dropped.
            let _ = sender.send(result);
        }
    }

    fn send(&self, replica: &GroupReplica<M>, envelope: SeatEnvelope) {
        let member = replica.seat().membership().address(envelope.to);
        let sender_address = self.sender_addresses.get(&envelope.to).copied();
        if let Some(address) = member.or(sender_address) {
            self.transport.send(address, envelope);
        }
    }

    fn publish(&mut self, replica: &GroupReplica<M>, now: Instant) {
        let seat = replica.seat();
        let member =
            |(id, record): (SeatId, &chicoryladder_consensus::MemberRecord)| MemberStatus {
                seat: id,
                address: record.address,
                role: record.role,
                last_contact_at: seat.last_contact_with(id),
                caught_up: seat.has_caught_up(id, now),
            };
        let leader = seat.leader().and_then(|leader| {
            let known = seat.membership().address(leader);
            known.or_else(|| self.sender_addresses.get(&leader).copied())
        });
        let status = GroupStatus {
            seat: self.settings.seat.seat,
            term: seat.term(),
            leads: seat.role() == SeatRole::Leader,
            leader,
            lease_until: seat.lease_until(now),
            applied: replica.applied(),
            log_usage: replica.log_usage(),
            members: seat.membership().members().map(member).collect(),
            membership_committed: seat.is_membership_committed(),
            next_seat: seat.membership().next_seat(),
            stopped: false,
        };
        self.replace_status(status);
    }

    fn replace_status(&self, status: GroupStatus) {
        let mut current = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = (current.term, current.leads, current.leader, current.applied)
            != (status.term, status.leads, status.leader, status.applied);
        *current = status;
        drop(current);
        if is_changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn stop_serving(&mut self) {
        self.replace_status(GroupStatus {
            seat: self.settings.seat.seat,
            stopped: true,
            ..GroupStatus::default()
        });
        for (_, sender) in self.pending.drain() {
            // The receiver may have been dropped.
            let _ = sender.send(Err(ProposeFailure::Unknown));
        }
        for query in self.reads.drain(..) {
            query(None);
        }
    }

    /// Refuses events for the given time; returns false if every handle was dropped.
    fn refuse_for(&self, delay: Duration) -> bool {
        let until = self.clock.now() + delay;
        loop {
            let left = until.saturating_duration_since(self.clock.now());
            match self.events.recv_timeout(left) {
                Ok(event) => refuse(event),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn refuse_all(&self) {
        while let Ok(event) = self.events.recv() {
            refuse(event);
        }
    }
}

fn refuse<M>(event: GroupEvent<M>) {
    match event {
        GroupEvent::Propose(_, sender) | GroupEvent::Change(_, sender) => {
            // The receiver may have been dropped.
            let _ = sender.send(Err(ProposeFailure::NotLeader));
        }
        GroupEvent::Read(query) => query(None),
        GroupEvent::ReadLocal(_) | GroupEvent::Deliver(..) | GroupEvent::TransferLeadership => {}
    }
}

impl<M> Drop for GroupThread<M> {
    fn drop(&mut self) {
        log::debug!(
            "group: the thread of seat {} is ending.",
            self.settings.seat.seat
        );
    }
}
