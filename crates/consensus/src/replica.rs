//! A seat joined with its storage and its state machine.
//!
//! Calls are collected until [`GroupReplica::write`] stores them and
//! [`GroupReplica::flush`] syncs once for all of them. What `write` returns may be
//! sent before the sync, so the leader's disk and those of its followers work at
//! the same time. After any storage failure the replica refuses every call: what
//! was promised since the last good sync is unknown.

use crate::seat::ProposedEntry;
use crate::tail::CommittedTail;
use crate::{
    CommandBytes, EntryPayload, GroupMembership, LogEntry, LogStorage, MembershipChange,
    PersistBatch, PersistStep, ProposeError, RaftSeat, RestoreError, SeatAction, SeatEnvelope,
    SeatMessage, SeatSettings, SnapshotError, SnapshotRecord, StateMachine, StorageError,
    StoredState, TailAnswer, TailRequest,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use std::collections::BTreeMap;
use std::time::Instant;

/// Names a proposal between the caller and the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalToken(pub u64);

/// What became of a proposal that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DroppedReason {
    /// Another entry took its place; it was not and will not be applied.
    Superseded,
    /// A snapshot covers its place; it may have been applied.
    Unknown,
}

/// What a replica asks its owner to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// Send a message.
    Send(SeatEnvelope),
    /// Answer a proposal: it is committed and applied.
    Answered {
        /// The proposal.
        token: ProposalToken,
        /// Its place in the log.
        index: LogIndex,
        /// The answer of the state machine; empty for a membership change.
        answer: Vec<u8>,
    },
    /// Tell the proposer that no answer will come.
    Dropped {
        /// The proposal.
        token: ProposalToken,
        /// What became of it.
        reason: DroppedReason,
    },
}

/// Why a replica stopped.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A snapshot could not be taken.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A snapshot could not be restored.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The replica stopped before.
    #[error("the replica stopped after an earlier failure")]
    Stopped,
}

#[derive(Clone, Copy, Debug)]
struct WaitingProposal {
    term: TermNumber,
    token: ProposalToken,
}

/// One replica of a group.
pub struct GroupReplica<M> {
    seat: RaftSeat,
    storage: Box<dyn LogStorage>,
    machine: M,
    waiting: BTreeMap<LogIndex, WaitingProposal>,
    tail: CommittedTail,
    compacted: LogIndex,
    written: Option<crate::BatchNumber>,
    stopped: bool,
}

impl<M: StateMachine> GroupReplica<M> {
    /// Reads the storage back and starts a replica.
    ///
    /// `initial` is the membership of the group's first start; it is empty on a
    /// seat that joins later. `seed` must differ at each start.
    ///
    /// # Errors
    ///
    /// Fails if the storage is damaged or its snapshot cannot be restored.
    pub fn start(
        settings: SeatSettings,
        initial: GroupMembership,
        mut storage: Box<dyn LogStorage>,
        mut machine: M,
        seed: u64,
        now: Instant,
    ) -> Result<Self, ReplicaError> {
        let stored = storage.load()?;
        if stored == StoredState::default() && !initial.is_empty() {
            storage.save_snapshot(&first_snapshot(&initial, &machine)?)?;
        }
        let mut tail = CommittedTail::new(settings.tail_max_entries);
        if let Some(snapshot) = &stored.snapshot {
            machine.restore(&snapshot.data)?;
            tail.reset(snapshot.index);
        }
        let compacted = tail.applied();
        let seat = RaftSeat::new(settings, initial, stored, seed, now);
        Ok(Self {
            seat,
            storage,
            machine,
            waiting: BTreeMap::new(),
            tail,
            compacted,
            written: None,
            stopped: false,
        })
    }

    /// Acts on timers that have run out.
    pub fn tick(&mut self, now: Instant) {
        self.seat.tick(now);
    }

    /// Handles one message; those for other seats are ignored.
    pub fn receive(&mut self, envelope: SeatEnvelope, now: Instant) {
        let settings = self.seat.settings();
        if envelope.group == settings.group && envelope.to == settings.seat {
            self.seat.receive(envelope.from, envelope.message, now);
        }
    }

    /// Proposes a command; its answer comes with the token.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not take proposals; the command is not applied then.
    pub fn propose(
        &mut self,
        token: ProposalToken,
        command: CommandBytes,
    ) -> Result<(), ProposeError> {
        let entry = self.seat.propose(command)?;
        self.wait_for(entry, token);
        Ok(())
    }

    /// Proposes a membership change; its answer comes with the token.
    ///
    /// # Errors
    ///
    /// Fails if the change is not taken.
    pub fn change_membership(
        &mut self,
        token: ProposalToken,
        change: &MembershipChange,
        now: Instant,
    ) -> Result<(), ProposeError> {
        let entry = self.seat.change_membership(change, now)?;
        self.wait_for(entry, token);
        Ok(())
    }

    fn wait_for(&mut self, entry: ProposedEntry, token: ProposalToken) {
        let term = entry.term;
        let waiting = WaitingProposal { term, token };
        self.waiting.insert(entry.index, waiting);
    }

    /// Hands the leadership to a voter, by default the best prepared one.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead or there is no such voter.
    pub fn transfer(&mut self, target: Option<SeatId>, now: Instant) -> Result<(), ProposeError> {
        let leader = self.seat.leader();
        let target = target.or_else(|| self.seat.transfer_target());
        let target = target.ok_or(ProposeError::NotLeader { leader })?;
        self.seat.transfer(target, now)
    }

    /// Stores what the calls so far ask for, without syncing it.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails, for good.
    pub fn write(&mut self, now: Instant) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        self.guarded(|replica| replica.run_actions(now))
    }

    /// Stores and syncs what the calls so far ask for.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails, for good.
    pub fn flush(&mut self, now: Instant) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        self.guarded(|replica| {
            let mut outputs = replica.run_actions(now)?;
            if replica.seat.take_snapshot_request() {
                replica.compact()?;
                outputs.extend(replica.run_actions(now)?);
            }
            while let Some(number) = replica.written.take() {
                replica.storage.sync()?;
                replica.seat.persisted(number, now);
                outputs.extend(replica.run_actions(now)?);
                replica.compact_if_due()?;
                outputs.extend(replica.run_actions(now)?);
            }
            Ok(outputs)
        })
    }

    fn guarded(
        &mut self,
        step: impl FnOnce(&mut Self) -> Result<Vec<ReplicaOutput>, ReplicaError>,
    ) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        if self.stopped {
            return Err(ReplicaError::Stopped);
        }
        let outcome = step(self);
        if let Err(error) = &outcome {
            self.stopped = true;
            log::error!("replica: stopped, since {error}.");
        }
        outcome
    }

    fn run_actions(&mut self, now: Instant) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        let mut outputs = Vec::new();
        let mut parts = Vec::new();
        for action in self.seat.take_actions(now) {
            match action {
                SeatAction::Persist(batch) => self.store(batch)?,
                SeatAction::Send(envelope) => outputs.push(ReplicaOutput::Send(envelope)),
                SeatAction::SendSnapshot { envelope, length } => parts.push((envelope, length)),
                SeatAction::Commit(entries) => {
                    outputs.extend(entries.into_iter().filter_map(|entry| self.apply(entry)));
                }
                SeatAction::Restore(snapshot) => outputs.extend(self.restore(&snapshot)?),
            }
        }
        for (envelope, length) in parts {
            let filled = self.fill_part(envelope, length)?;
            outputs.extend(filled.map(ReplicaOutput::Send));
        }
        Ok(outputs)
    }

    /// Reads the part of the snapshot that a message is to carry. A snapshot that was
    /// replaced meanwhile is not sent on.
    fn fill_part(
        &self,
        mut envelope: SeatEnvelope,
        length: usize,
    ) -> Result<Option<SeatEnvelope>, StorageError> {
        if let SeatMessage::Snapshot(chunk) = &mut envelope.message {
            match self
                .storage
                .read_snapshot(chunk.index, chunk.offset, length)?
            {
                Some(data) => chunk.data = data.into(),
                None => return Ok(None),
            }
        }
        Ok(Some(envelope))
    }

    fn store(&mut self, batch: PersistBatch) -> Result<(), StorageError> {
        for step in batch.steps {
            match step {
                PersistStep::HardState(state) => self.storage.set_hard_state(state)?,
                PersistStep::Truncate(from) => self.storage.truncate_suffix(from)?,
                PersistStep::Append(entries) => self.storage.append(&entries)?,
                PersistStep::Snapshot(snapshot) => self.storage.save_snapshot(&snapshot)?,
            }
        }
        self.written = Some(batch.number);
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) -> Option<ReplicaOutput> {
        let index = entry.index;
        let term = entry.term;
        let answer = match &entry.payload {
            EntryPayload::Command(command) => self.machine.apply(index, command),
            EntryPayload::NoOp | EntryPayload::Membership(_) => Vec::new(),
        };
        self.tail.push(entry);
        let waiting = self.waiting.remove(&index)?;
        let token = waiting.token;
        if waiting.term == term {
            return Some(ReplicaOutput::Answered {
                token,
                index,
                answer,
            });
        }
        let reason = DroppedReason::Superseded;
        Some(ReplicaOutput::Dropped { token, reason })
    }

    fn restore(&mut self, snapshot: &SnapshotRecord) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        self.machine.restore(&snapshot.data)?;
        self.tail.reset(snapshot.index);
        self.compacted = snapshot.index;
        let later = self.waiting.split_off(&snapshot.index.next());
        let covered = std::mem::replace(&mut self.waiting, later);
        let reason = DroppedReason::Unknown;
        let drop = |waiting: WaitingProposal| ReplicaOutput::Dropped {
            token: waiting.token,
            reason,
        };
        Ok(covered.into_values().map(drop).collect())
    }

    fn compact_if_due(&mut self) -> Result<(), SnapshotError> {
        let interval = self.seat.settings().snapshot_interval_entries;
        let applied = self.tail.applied();
        let is_wanted = self.seat.take_snapshot_request();
        if is_wanted || applied.0 - self.compacted.0 >= interval {
            self.compact()?;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), SnapshotError> {
        self.compacted = self.tail.applied();
        self.seat.compact(self.machine.snapshot()?.into());
        Ok(())
    }

    /// Answers an observer.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot is needed and cannot be taken.
    pub fn answer(
        &mut self,
        request: &TailRequest,
        now: Instant,
    ) -> Result<TailAnswer, SnapshotError> {
        let fresh_at = self.seat.fresh_at(now);
        let age = fresh_at.map(|at| now.saturating_duration_since(at));
        self.tail.answer(request, age, &self.machine)
    }

    /// Whether the state machine may answer reads now.
    #[must_use]
    pub fn can_read(&self, now: Instant) -> bool {
        !self.stopped && self.seat.holds_lease(now) && self.tail.applied() >= self.seat.commit()
    }

    /// The instant up to which the state holds every acknowledged change.
    #[must_use]
    pub fn fresh_at(&self, now: Instant) -> Option<Instant> {
        self.seat.fresh_at(now)
    }

    /// The last applied entry.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.tail.applied()
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The state machine, for changes to state that is not replicated.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// The seat.
    #[must_use]
    pub fn seat(&self) -> &RaftSeat {
        &self.seat
    }
}

/// The state before the first entry. It keeps the membership of the first start,
/// so that later changes of the settings can't replace it.
fn first_snapshot(
    initial: &GroupMembership,
    machine: &impl StateMachine,
) -> Result<SnapshotRecord, SnapshotError> {
    Ok(SnapshotRecord {
        index: LogIndex::default(),
        term: TermNumber::default(),
        membership: initial.clone(),
        data: machine.snapshot()?.into(),
    })
}
