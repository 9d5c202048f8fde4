//! The thread that owns one seat.

use crate::handle::{GroupHandle, ProposeFailure};
use crate::status::{GroupStatus, MemberStatus};
use chicoryladder_consensus::{
    DroppedReason, FileStorage, GroupMembership, GroupReplica, MembershipChange, ProposalToken,
    ProposeError, ReplicaError, ReplicaOutput, SeatEnvelope, SeatRole, SeatSettings, StateMachine,
    StorageError,
};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// The longest pause between two looks at the timers.
const TICK_MAX: Duration = Duration::from_millis(100);

/// The most events that share one sync of the log.
const BATCH_MAX_EVENTS: usize = 256;

/// The pause before a disk that refused a write is tried again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

type ProposalSender = oneshot::Sender<Result<Vec<u8>, ProposeFailure>>;

type LeaderQuery<M> = Box<dyn FnOnce(Option<&M>) + Send>;

type LocalQuery<M> = Box<dyn FnOnce(&M) + Send>;

/// Something that the thread acts on.
pub(crate) enum GroupEvent<M> {
    Propose(Vec<u8>, ProposalSender),
    Change(MembershipChange, ProposalSender),
    Read(LeaderQuery<M>),
    ReadLocal(LocalQuery<M>),
    Deliver(SeatEnvelope, SocketAddr),
    TransferLeadership,
}

/// Carries the messages of a seat to others; it may lose them.
pub trait SeatTransport: Send {
    /// Sends a message to the host of a seat.
    fn send(&self, address: SocketAddr, envelope: SeatEnvelope);
}

/// What a seat is made of.
pub struct GroupSettings {
    /// The timers and limits.
    pub seat: SeatSettings,
    /// The members of the group's first start; empty on a seat that joins.
    pub bootstrap_members: GroupMembership,
    /// Where the log is kept.
    pub folder: PathBuf,
    /// Where this host takes calls.
    pub address: SocketAddr,
    /// Random; differs at each start.
    pub seed: u64,
}

/// Owns one seat of a group.
pub struct GroupThread<M> {
    settings: GroupSettings,
    make_machine: Box<dyn Fn() -> M + Send>,
    transport: Box<dyn SeatTransport>,
    clock: Arc<dyn ClockSource>,
    events: Receiver<GroupEvent<M>>,
    status: Arc<Mutex<GroupStatus>>,
    changes: watch::Sender<u64>,
    /// Where seats were last heard from, for those that are not members yet.
    heard_from: HashMap<SeatId, SocketAddr>,
    waiting: HashMap<ProposalToken, ProposalSender>,
    reads: Vec<LeaderQuery<M>>,
    next_token: u64,
}

impl<M: StateMachine + 'static> GroupThread<M> {
    /// Starts the thread of a seat.
    ///
    /// # Errors
    ///
    /// Fails if the operating system gives no thread.
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
            heard_from: HashMap::new(),
            waiting: HashMap::new(),
            reads: Vec::new(),
            next_token: 0,
        };
        std::thread::Builder::new()
            .name(name)
            .spawn(move || thread.run())?;
        Ok(handle)
    }

    fn run(mut self) {
        loop {
            let error = match self.open() {
                Ok(mut replica) => match self.serve(&mut replica) {
                    Ok(()) => return,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            log::error!("group: the seat stopped: {error}.");
            self.step_aside();
            if !may_reopen(&error) || !self.refuse_for(REOPEN_PAUSE) {
                self.refuse_all();
                return;
            }
        }
    }

    fn open(&self) -> Result<GroupReplica<M>, ReplicaError> {
        let storage = FileStorage::open(&self.settings.folder)?;
        let now = self.clock.now();
        let seed = self.settings.seed ^ self.next_token;
        GroupReplica::start(
            self.settings.seat.clone(),
            self.settings.bootstrap_members.clone(),
            Box::new(storage),
            (self.make_machine)(),
            seed,
            now,
        )
    }

    /// Serves until every handle is dropped.
    fn serve(&mut self, replica: &mut GroupReplica<M>) -> Result<(), ReplicaError> {
        loop {
            let now = self.clock.now();
            let pause = replica.seat().wake_at().saturating_duration_since(now);
            match self.events.recv_timeout(pause.min(TICK_MAX)) {
                Ok(event) => self.handle_batch(replica, event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.turn(replica)?;
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
                self.note_proposal(token, result, sender);
            }
            GroupEvent::Change(change, sender) => {
                let token = self.token();
                let result = replica.change_membership(token, &change, now);
                self.note_proposal(token, result, sender);
            }
            GroupEvent::Read(query) => self.reads.push(query),
            GroupEvent::ReadLocal(query) => query(replica.machine()),
            GroupEvent::Deliver(envelope, sender) => {
                self.heard_from.insert(envelope.from, sender);
                replica.receive(envelope, now);
            }
            GroupEvent::TransferLeadership => {
                if let Err(error) = replica.transfer(None, now) {
                    log::debug!("group: no leadership to hand over: {error}.");
                }
            }
        }
    }

    fn token(&mut self) -> ProposalToken {
        self.next_token += 1;
        ProposalToken(self.next_token)
    }

    fn note_proposal(
        &mut self,
        token: ProposalToken,
        result: Result<(), ProposeError>,
        sender: ProposalSender,
    ) {
        let failure = match result {
            Ok(()) => {
                self.waiting.insert(token, sender);
                return;
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::Transferring) => {
                ProposeFailure::NotLeader
            }
            Err(error) => ProposeFailure::Refused(error.to_string()),
        };
        // The proposer may have left.
        let _ = sender.send(Err(failure));
    }

    /// Acts on timers and on what the events so far ask for.
    fn turn(&mut self, replica: &mut GroupReplica<M>) -> Result<(), ReplicaError> {
        let now = self.clock.now();
        replica.tick(now);
        let outputs = replica.write(now)?;
        self.carry_out(replica, outputs);
        let outputs = replica.flush(now)?;
        self.carry_out(replica, outputs);
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

    fn carry_out(&mut self, replica: &GroupReplica<M>, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(envelope) => self.send(replica, envelope),
                ReplicaOutput::Answered { token, answer, .. } => self.settle(token, Ok(answer)),
                ReplicaOutput::Dropped { token, reason } => {
                    let failure = match reason {
                        DroppedReason::Superseded => ProposeFailure::NotLeader,
                        DroppedReason::Unknown => ProposeFailure::Unknown,
                    };
                    self.settle(token, Err(failure));
                }
            }
        }
    }

    fn settle(&mut self, token: ProposalToken, result: Result<Vec<u8>, ProposeFailure>) {
        if let Some(sender) = self.waiting.remove(&token) {
            // The proposer may have left.
            let _ = sender.send(result);
        }
    }

    fn send(&self, replica: &GroupReplica<M>, envelope: SeatEnvelope) {
        let member = replica.seat().membership().address(envelope.to);
        let heard = self.heard_from.get(&envelope.to).copied();
        if let Some(address) = member.or(heard) {
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
            known.or_else(|| self.heard_from.get(&leader).copied())
        });
        let status = GroupStatus {
            seat: self.settings.seat.seat,
            term: seat.term(),
            leads: seat.role() == SeatRole::Leader,
            leader,
            lease_until: seat.lease_until(now),
            applied: replica.applied(),
            members: seat.membership().members().map(member).collect(),
            next_seat: seat.membership().next_seat(),
            stopped: false,
        };
        self.replace_status(status);
    }

    fn replace_status(&self, status: GroupStatus) {
        let mut shown = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        let is_news = (shown.term, shown.leads, shown.leader, shown.applied)
            != (status.term, status.leads, status.leader, status.applied);
        *shown = status;
        drop(shown);
        if is_news {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn step_aside(&mut self) {
        self.replace_status(GroupStatus {
            seat: self.settings.seat.seat,
            stopped: true,
            ..GroupStatus::default()
        });
        for (_, sender) in self.waiting.drain() {
            // The proposer may have left.
            let _ = sender.send(Err(ProposeFailure::Unknown));
        }
        for query in self.reads.drain(..) {
            query(None);
        }
    }

    /// Refuses events for a time; false if every handle was dropped.
    fn refuse_for(&self, pause: Duration) -> bool {
        let until = self.clock.now() + pause;
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
            // The proposer may have left.
            let _ = sender.send(Err(ProposeFailure::NotLeader));
        }
        GroupEvent::Read(query) => query(None),
        GroupEvent::ReadLocal(_) | GroupEvent::Deliver(..) | GroupEvent::TransferLeadership => {}
    }
}

/// Whether what the disk holds is known after the failure: a refused write leaves
/// a torn end at most, whereas after a failed sync nothing is certain.
fn may_reopen(error: &ReplicaError) -> bool {
    matches!(
        error,
        ReplicaError::Storage(StorageError::DiskFull(_) | StorageError::Io { .. })
    )
}

impl<M> Drop for GroupThread<M> {
    fn drop(&mut self) {
        log::debug!(
            "group: the thread of seat {} ends.",
            self.settings.seat.seat
        );
    }
}
