//! Combines a seat with its storage and its state machine.
//!
//! Changes are batched until [`GroupReplica::write`] writes them and
//! [`GroupReplica::flush`] makes all of them durable with one sync. The messages that
//! `write` returns may be sent before the sync, so that the leader and its followers
//! write to disk in parallel. After a storage failure the replica rejects every call,
//! since it is unknown which changes after the last successful sync are durable.

use crate::seat::ProposedEntry;
use crate::tail::CommittedTail;
use crate::{
    CommandBytes, EntryPayload, GroupMembership, LogEntry, LogStorage, MembershipChange,
    PersistBatch, PersistStep, ProposeError, RaftSeat, RestoreError, SeatAction, SeatEnvelope,
    SeatMessage, SeatSettings, SnapshotError, SnapshotHead, SnapshotPoint, SnapshotReader,
    StateMachine, StorageError, StoredState, TailAnswer, TailRequest,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::time::Instant;

/// The bytes of a snapshot that are read from storage at once.
const RESTORE_READ_BYTES: usize = 256 * 1024;

/// Identifies a proposal between the caller and the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalToken(pub u64);

/// Why a proposal has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DroppedReason {
    /// Another entry was committed at its index; the proposal will never be applied.
    Superseded,
    /// A received snapshot covers its index; the proposal may have been applied.
    Unknown,
}

/// An action for the owner of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// Send a message.
    Send(SeatEnvelope),
    /// Report the result of a proposal that is committed and applied.
    Answered {
        /// The proposal.
        token: ProposalToken,
        /// Its index in the log.
        index: LogIndex,
        /// The result from the state machine; empty for a membership change.
        answer: Vec<u8>,
    },
    /// Report that a proposal will have no result.
    Dropped {
        /// The proposal.
        token: ProposalToken,
        /// The reason.
        reason: DroppedReason,
    },
}

/// Why a replica stopped.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A snapshot could not be restored.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The replica stopped after an earlier failure.
    #[error("the replica stopped after an earlier failure")]
    Stopped,
}

impl ReplicaError {
    /// Whether the replica may be started again on its storage once the disk is sound. A failed
    /// write leaves at most a torn frame at the end, and after a failed sync
    /// [`LogStorage::recover`] discards what may not be durable.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Storage(
                StorageError::DiskFull(_) | StorageError::SyncFailed(_) | StorageError::Io { .. }
            )
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingProposal {
    term: TermNumber,
    token: ProposalToken,
}

/// The size of what a start of the replica would read, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogUsage {
    /// The entries that were applied since the snapshot.
    pub entries: u64,
    /// The snapshot.
    pub snapshot: u64,
}

/// One replica of a group.
pub struct GroupReplica<M> {
    seat: RaftSeat,
    storage: Box<dyn LogStorage>,
    machine: M,
    pending: BTreeMap<LogIndex, PendingProposal>,
    tail: CommittedTail,
    snapshot_index: LogIndex,
    log_usage: LogUsage,
    written: Option<crate::BatchNumber>,
    stopped: bool,
}

impl<M: StateMachine> GroupReplica<M> {
    /// Loads the stored state and starts a replica.
    ///
    /// `initial` is the membership at the bootstrap of the group; it is empty on a
    /// seat that joins later. `seed` must differ at each start.
    ///
    /// # Errors
    ///
    /// Fails if the storage is corrupt or its snapshot cannot be restored.
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
            let mut write_state = |output: &mut dyn Write| machine.snapshot(output);
            storage.save_snapshot(&first_point(&initial), &mut write_state)?;
        }
        let mut tail = CommittedTail::new(settings.tail_max_entries);
        let mut log_usage = LogUsage::default();
        if let Some(snapshot) = &stored.snapshot {
            restore_machine(&mut machine, &*storage, snapshot)?;
            tail.reset(snapshot.point.index);
            log_usage.snapshot = snapshot.size;
        }
        let snapshot_index = tail.applied();
        log_start(&stored, log_usage.snapshot);
        let seat = RaftSeat::new(settings, initial, stored, seed, now);
        Ok(Self {
            seat,
            storage,
            machine,
            pending: BTreeMap::new(),
            tail,
            snapshot_index,
            log_usage,
            written: None,
            stopped: false,
        })
    }

    /// Returns the storage of a replica that has stopped.
    #[must_use]
    pub fn into_storage(self) -> Box<dyn LogStorage> {
        self.storage
    }

    /// Handles expired timers.
    pub fn tick(&mut self, now: Instant) {
        self.seat.tick(now);
    }

    /// Handles one message; messages for other groups or seats are ignored.
    pub fn receive(&mut self, envelope: SeatEnvelope, now: Instant) {
        let settings = self.seat.settings();
        if envelope.group == settings.group && envelope.to == settings.seat {
            self.seat.receive(envelope.from, envelope.message, now);
        }
    }

    /// Proposes a command; its result is reported under the token.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not accept proposals; the command is then never applied.
    pub fn propose(
        &mut self,
        token: ProposalToken,
        command: CommandBytes,
    ) -> Result<(), ProposeError> {
        let entry = self.seat.propose(command)?;
        self.track_proposal(entry, token);
        Ok(())
    }

    /// Proposes a membership change; its result is reported under the token.
    ///
    /// # Errors
    ///
    /// Fails if the change is rejected.
    pub fn change_membership(
        &mut self,
        token: ProposalToken,
        change: &MembershipChange,
        now: Instant,
    ) -> Result<(), ProposeError> {
        let entry = self.seat.change_membership(change, now)?;
        self.track_proposal(entry, token);
        Ok(())
    }

    fn track_proposal(&mut self, entry: ProposedEntry, token: ProposalToken) {
        let term = entry.term;
        let pending = PendingProposal { term, token };
        self.pending.insert(entry.index, pending);
    }

    /// Transfers the leadership to a voter, by default the one with the longest log.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader or there is no such voter.
    pub fn transfer(&mut self, target: Option<SeatId>, now: Instant) -> Result<(), ProposeError> {
        let leader = self.seat.leader();
        let target = target.or_else(|| self.seat.transfer_target());
        let target = target.ok_or(ProposeError::NotLeader { leader })?;
        self.seat.transfer(target, now)
    }

    /// Writes the pending changes without syncing them, but for snapshots and the term that the
    /// seat leads, which have files of their own.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the replica is then stopped permanently.
    pub fn write(&mut self, now: Instant) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        self.guarded(|replica| replica.run_actions(now))
    }

    /// Writes and syncs the pending changes.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the replica is then stopped permanently.
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
            log::error!("replica: stopped after an error: {error}.");
        }
        outcome
    }

    fn run_actions(&mut self, now: Instant) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        let mut outputs = Vec::new();
        let mut chunks = Vec::new();
        for action in self.seat.take_actions(now) {
            match action {
                SeatAction::Persist(batch) => self.store(batch)?,
                SeatAction::Send(mut envelope) => {
                    self.load_commands(&mut envelope)?;
                    outputs.push(ReplicaOutput::Send(envelope));
                }
                SeatAction::SendSnapshot { envelope, length } => chunks.push((envelope, length)),
                SeatAction::Commit(entries) => {
                    for mut entry in entries {
                        self.storage.load_command(&mut entry)?;
                        outputs.extend(self.apply(entry));
                    }
                }
                SeatAction::Restore(snapshot) => outputs.extend(self.restore(&snapshot)?),
            }
        }
        for (envelope, length) in chunks {
            let filled = self.read_chunk(envelope, length)?;
            outputs.extend(filled.map(ReplicaOutput::Send));
        }
        Ok(outputs)
    }

    /// Loads the commands of an append that are in storage only.
    fn load_commands(&self, envelope: &mut SeatEnvelope) -> Result<(), StorageError> {
        if let SeatMessage::Append(request) = &mut envelope.message {
            for entry in &mut request.entries {
                self.storage.load_command(entry)?;
            }
        }
        Ok(())
    }

    /// Reads the snapshot chunk of a message from storage. Returns `None` if the
    /// snapshot was replaced in the meantime.
    fn read_chunk(
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
                PersistStep::Leadership(term) => {
                    // Without it, the seat only waits for an election after a restart.
                    if let Err(error) = self.storage.set_leadership(term) {
                        log::warn!("replica: cannot store the leadership of term {term}: {error}.");
                    }
                }
                PersistStep::SnapshotPart { head, offset, data } => {
                    self.storage.write_snapshot_part(&head, offset, &data)?;
                }
                PersistStep::InstallSnapshot(head) => self.storage.install_snapshot(&head)?,
            }
        }
        self.written = Some(batch.number);
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) -> Option<ReplicaOutput> {
        let index = entry.index;
        let term = entry.term;
        self.log_usage.entries += entry.payload.approximate_bytes() as u64;
        let answer = match &entry.payload {
            EntryPayload::Command(command) => self.machine.apply(index, command),
            EntryPayload::NoOp | EntryPayload::Membership(_) | EntryPayload::Stored(_) => {
                Vec::new()
            }
        };
        self.tail.push(entry);
        let pending = self.pending.remove(&index)?;
        let token = pending.token;
        if pending.term == term {
            return Some(ReplicaOutput::Answered {
                token,
                index,
                answer,
            });
        }
        let reason = DroppedReason::Superseded;
        Some(ReplicaOutput::Dropped { token, reason })
    }

    fn restore(&mut self, snapshot: &SnapshotHead) -> Result<Vec<ReplicaOutput>, ReplicaError> {
        restore_machine(&mut self.machine, &*self.storage, snapshot)?;
        let index = snapshot.point.index;
        self.tail.reset(index);
        self.snapshot_index = index;
        self.log_usage = LogUsage {
            entries: 0,
            snapshot: snapshot.size,
        };
        let later = self.pending.split_off(&index.next());
        let covered = std::mem::replace(&mut self.pending, later);
        let reason = DroppedReason::Unknown;
        let dropped = |pending: PendingProposal| ReplicaOutput::Dropped {
            token: pending.token,
            reason,
        };
        Ok(covered.into_values().map(dropped).collect())
    }

    fn compact_if_due(&mut self) -> Result<(), StorageError> {
        let is_requested = self.seat.take_snapshot_request();
        if is_requested || self.is_compaction_due() {
            self.compact()?;
        }
        Ok(())
    }

    fn is_compaction_due(&self) -> bool {
        let settings = self.seat.settings();
        let entries = self.tail.applied().0 - self.snapshot_index.0;
        let interval_bytes = settings
            .snapshot_interval_bytes
            .max(self.log_usage.snapshot / 2);
        entries >= settings.snapshot_interval_entries || self.log_usage.entries >= interval_bytes
    }

    fn compact(&mut self) -> Result<(), StorageError> {
        let Some(point) = self.seat.snapshot_point() else {
            return Ok(());
        };
        let machine = &self.machine;
        let mut write_state = |output: &mut dyn Write| machine.snapshot(output);
        let snapshot = self.storage.save_snapshot(&point, &mut write_state)?;
        self.snapshot_index = point.index;
        self.log_usage = LogUsage {
            entries: 0,
            snapshot: snapshot.size,
        };
        self.seat.compact(snapshot);
        Ok(())
    }

    /// Replies to a request of an observer.
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

    /// Whether the state machine may serve linearizable reads now.
    #[must_use]
    pub fn can_read(&self, now: Instant) -> bool {
        !self.stopped && self.seat.holds_lease(now) && self.tail.applied() >= self.seat.commit()
    }

    /// The instant up to which the state includes every acknowledged change.
    #[must_use]
    pub fn fresh_at(&self, now: Instant) -> Option<Instant> {
        self.seat.fresh_at(now)
    }

    /// The last applied entry.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.tail.applied()
    }

    /// The size of what a start would read now.
    #[must_use]
    pub fn log_usage(&self) -> LogUsage {
        self.log_usage
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Mutable access to the state machine, for state that is not replicated.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// The seat.
    #[must_use]
    pub fn seat(&self) -> &RaftSeat {
        &self.seat
    }
}

/// Logs what a start has read.
fn log_start(stored: &StoredState, snapshot_bytes: u64) {
    let entries = &stored.entries;
    let sizes = entries
        .iter()
        .map(|entry| entry.payload.approximate_bytes());
    log::info!(
        "replica: read a snapshot of {snapshot_bytes} bytes and {} entries of {} bytes after it.",
        entries.len(),
        sizes.sum::<usize>(),
    );
}

/// Restores a state machine from a stored snapshot, of which a part is in memory at a time.
fn restore_machine(
    machine: &mut impl StateMachine,
    storage: &dyn LogStorage,
    head: &SnapshotHead,
) -> Result<(), RestoreError> {
    let reader = SnapshotReader::new(storage, head);
    machine.restore(&mut BufReader::with_capacity(RESTORE_READ_BYTES, reader))
}

/// What the snapshot before the first entry covers. It persists the membership of the bootstrap,
/// so that later changes of the settings have no effect on it.
fn first_point(initial: &GroupMembership) -> SnapshotPoint {
    SnapshotPoint {
        index: LogIndex::default(),
        term: TermNumber::default(),
        membership: initial.clone(),
    }
}
