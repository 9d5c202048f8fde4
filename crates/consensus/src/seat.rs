//! The consensus state machine of one seat: elections, replication and commitment.
//!
//! The protocol is a variant of Raft. A seat reads no clock and performs no I/O: each
//! call carries the current instant, and [`RaftSeat::take_actions`] returns what to
//! store, send and apply. Calls between two calls to `take_actions` share one batch,
//! so that several proposals share one sync.
//!
//! Invariants:
//! - a vote or an acknowledgement is sent only after the batch that contains it is
//!   durable ([`durability`]);
//! - a leader counts its own entries only once they are durable;
//! - a leader serves reads only within its lease, and steps down if no quorum
//!   confirmed it for an election timeout ([`leading`]);
//! - a seat that heard from a leader grants no vote for an election timeout, also
//!   after a restart, unless that leader requested the election ([`election`]) or
//!   restarted itself ([`resumption`]).

mod action;
mod durability;
mod election;
mod following;
mod leading;
mod lease;
mod progress;
mod resumption;
mod snapshots;

pub use action::{
    BatchNumber, PersistBatch, PersistStep, ProposeError, ProposedEntry, SeatAction, SeatEvent,
};

use crate::entry_log::EntryLog;
use crate::membership::MembershipHistory;
use crate::storage::StoredState;
use crate::{
    ClockStamp, EntryPayload, GroupMembership, HardState, LogEntry, SeatEnvelope, SeatMessage,
    SeatSettings, SnapshotHead,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use durability::DurabilityQueue;
use election::VoteTally;
use following::IncomingSnapshot;
use leading::LeaderState;
use lease::FreshnessRecord;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use resumption::LeaderResumption;
use std::time::{Duration, Instant};

/// The number of random bits in the origin of the stamps.
const STAMP_ORIGIN_BITS: u32 = 56;

/// The role of a seat in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeatRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Checks by a pre-vote whether an election would succeed.
    PreCandidate,
    /// Is a candidate in an election.
    Candidate,
    /// Leads the group.
    Leader,
}

#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// One seat of a replicated group.
#[derive(Debug)]
pub struct RaftSeat {
    settings: SeatSettings,
    rng: ChaCha8Rng,
    clock_origin: Instant,
    stamp_origin: u64,
    log: EntryLog,
    hard_state: HardState,
    snapshot: Option<SnapshotHead>,
    membership: MembershipHistory,
    role: RoleState,
    leader: Option<SeatId>,
    commit: LogIndex,
    /// The last entry that was emitted for the state machine.
    delivered: LogIndex,
    election_deadline: Instant,
    /// When the seat last accepted a message of a leader.
    last_contact: Option<Instant>,
    /// When the seat last learned of an election, voted, or was elected.
    last_election: Option<Instant>,
    /// The attempt of a restarted leader to resume its leadership.
    resumption: Option<LeaderResumption>,
    freshness: FreshnessRecord,
    incoming: Option<IncomingSnapshot>,
    /// The received snapshot that the state machine has to be restored from.
    installed: Option<SnapshotHead>,
    durability: DurabilityQueue,
    actions: Vec<SeatAction>,
    /// Whether a lagging seat needs entries that are no longer in memory and that the stored
    /// snapshot does not cover.
    snapshot_requested: bool,
}

impl RaftSeat {
    /// Creates a seat from its stored state.
    ///
    /// `initial` is the membership at the bootstrap of the group; it is empty on a
    /// seat that joins later. `seed` must differ at each start.
    #[must_use]
    pub fn new(
        settings: SeatSettings,
        initial: GroupMembership,
        stored: StoredState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let stamp_origin = rng.random::<u64>() >> (u64::BITS - STAMP_ORIGIN_BITS);
        let StoredState {
            hard_state,
            snapshot,
            entries,
            led_term,
        } = stored;
        let is_new = hard_state == HardState::default() && snapshot.is_none() && entries.is_empty();
        let (base_index, base_term, base) = match &snapshot {
            Some(SnapshotHead { point, .. }) => (point.index, point.term, point.membership.clone()),
            None => (LogIndex::default(), TermNumber::default(), initial),
        };
        let mut membership = MembershipHistory::new(base);
        for entry in &entries {
            membership.record(entry);
        }
        let log = EntryLog::new(base_index, base_term, entries);
        let durability = DurabilityQueue::new(log.last_index());
        let mut seat = Self {
            settings,
            rng,
            clock_origin: now,
            stamp_origin,
            log,
            hard_state,
            snapshot,
            membership,
            role: RoleState::Follower,
            leader: None,
            commit: base_index,
            delivered: base_index,
            election_deadline: now,
            // The seat may have confirmed a leader's lease just before it stopped.
            last_contact: (!is_new).then_some(now),
            last_election: None,
            resumption: None,
            freshness: FreshnessRecord::default(),
            incoming: None,
            installed: None,
            durability,
            actions: Vec::new(),
            snapshot_requested: false,
        };
        seat.reset_election_deadline(now);
        if seat.is_only_voter() {
            seat.election_deadline = now;
        } else {
            seat.prepare_resumption(led_term, now);
        }
        seat
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, event: SeatEvent, now: Instant) -> Vec<SeatAction> {
        match event {
            SeatEvent::Tick => self.tick(now),
            SeatEvent::Receive { from, message } => self.receive(from, message, now),
            SeatEvent::Persisted(number) => self.persisted(number, now),
        }
        self.take_actions(now)
    }

    /// Handles one message.
    pub fn receive(&mut self, from: SeatId, message: SeatMessage, now: Instant) {
        match message {
            SeatMessage::PreVote(request) => self.on_pre_vote(from, &request, now),
            SeatMessage::PreVoteReply(reply) => self.on_pre_vote_reply(from, &reply, now),
            SeatMessage::Vote(request) => self.on_vote(from, &request, now),
            SeatMessage::VoteReply(reply) => self.on_vote_reply(from, &reply, now),
            SeatMessage::Append(request) => self.on_append(from, request, now),
            SeatMessage::AppendReply(reply) => self.on_append_reply(from, &reply, now),
            SeatMessage::Snapshot(chunk) => self.on_snapshot(from, &chunk, now),
            SeatMessage::SnapshotReply(reply) => self.on_snapshot_reply(from, &reply, now),
            SeatMessage::TimeoutNow { term } => self.on_timeout_now(term, now),
        }
    }

    /// Handles expired timers.
    pub fn tick(&mut self, now: Instant) {
        if let RoleState::Leader(_) = self.role {
            self.tick_leader(now);
        } else {
            self.tick_resumption(now);
            self.tick_election(now);
        }
    }

    /// Returns the actions that result from the calls since the previous call.
    ///
    /// A [`SeatAction::Persist`] precedes every action that depends on it; its
    /// completion is reported by [`RaftSeat::persisted`].
    pub fn take_actions(&mut self, now: Instant) -> Vec<SeatAction> {
        self.replicate(now);
        if let Some(batch) = self.durability.seal(self.log.last_index()) {
            self.record_self_vote(batch.number);
            self.actions.push(SeatAction::Persist(batch));
        }
        let installed = self.installed.take();
        self.actions.extend(installed.map(SeatAction::Restore));
        self.deliver();
        let ready = self.durability.take_ready();
        self.actions.extend(ready.into_iter().map(SeatAction::Send));
        std::mem::take(&mut self.actions)
    }

    /// Reports that a batch and all batches before it are durable.
    pub fn persisted(&mut self, number: BatchNumber, now: Instant) {
        self.durability.persisted(number);
        self.count_self_vote(number, now);
        self.advance_commit(now);
    }

    /// The settings of the seat.
    #[must_use]
    pub fn settings(&self) -> &SeatSettings {
        &self.settings
    }

    /// The role of the seat.
    #[must_use]
    pub fn role(&self) -> SeatRole {
        match self.role {
            RoleState::Follower => SeatRole::Follower,
            RoleState::PreCandidate(_) => SeatRole::PreCandidate,
            RoleState::Candidate(_) => SeatRole::Candidate,
            RoleState::Leader(_) => SeatRole::Leader,
        }
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<SeatId> {
        self.leader
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> TermNumber {
        self.hard_state.term
    }

    /// The last entry known to be committed.
    #[must_use]
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// The last entry in the log.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The membership as of the last entry in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &GroupMembership {
        self.membership.current()
    }

    /// Whether the last membership change in the log is committed.
    #[must_use]
    pub fn is_membership_committed(&self) -> bool {
        !self.membership.is_pending(self.commit)
    }

    /// The time of the next call to [`RaftSeat::tick`] that has an effect.
    #[must_use]
    pub fn wake_at(&self) -> Instant {
        if let RoleState::Leader(state) = &self.role {
            return state.heartbeat_deadline;
        }
        // No pre-vote is sent while another election may be in progress.
        let others_end = self
            .last_election
            .map(|at| at + self.recent_election_period());
        let deadline = self.election_deadline;
        let deadline = others_end.map_or(deadline, |at| at.max(deadline));
        let resumption = self.resumption.as_ref();
        resumption.map_or(deadline, |resumption| resumption.due_at.min(deadline))
    }

    fn seat(&self) -> SeatId {
        self.settings.seat
    }

    fn is_voter(&self) -> bool {
        self.membership().is_voter(self.seat())
    }

    fn is_only_voter(&self) -> bool {
        self.membership().voters().eq([self.seat()])
    }

    fn peers(&self) -> Vec<SeatId> {
        let members = self.membership().members().map(|(seat, _)| seat);
        members.filter(|seat| *seat != self.seat()).collect()
    }

    fn stamp(&self, now: Instant) -> ClockStamp {
        let elapsed = now.saturating_duration_since(self.clock_origin);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        ClockStamp(self.stamp_origin.saturating_add(micros))
    }

    /// Converts an echoed stamp back to its instant; `None` if the stamp is from an
    /// earlier start of the seat.
    fn instant_of(&self, stamp: ClockStamp, now: Instant) -> Option<Instant> {
        let micros = stamp.0.checked_sub(self.stamp_origin)?;
        let instant = self
            .clock_origin
            .checked_add(Duration::from_micros(micros))?;
        (instant <= now).then_some(instant)
    }

    fn send(&mut self, to: SeatId, message: SeatMessage) {
        let envelope = self.envelope(to, message);
        self.durability.send_now(envelope);
    }

    /// Sends a message once all changes made before this call are durable.
    fn send_durable(&mut self, to: SeatId, message: SeatMessage) {
        let envelope = self.envelope(to, message);
        self.durability.send_after_sync(envelope);
    }

    fn envelope(&self, to: SeatId, message: SeatMessage) -> SeatEnvelope {
        SeatEnvelope {
            group: self.settings.group,
            from: self.seat(),
            to,
            message,
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.durability.stage(PersistStep::HardState(hard_state));
        }
    }

    fn append_entry(&mut self, entry: LogEntry) {
        self.membership.record(&entry);
        self.durability.stage_entry(entry.clone());
        self.log.push(entry);
    }

    fn truncate_from(&mut self, from: LogIndex) {
        self.log.truncate_from(from);
        self.membership.truncate_from(from);
        self.durability.truncate_from(from);
    }

    /// Emits newly committed entries for the state machine.
    fn deliver(&mut self) {
        if self.delivered >= self.commit {
            return;
        }
        let from = self.delivered.next();
        let entries = self.log.slice(from, self.commit, usize::MAX);
        let last = entries.last().map_or(self.delivered, |entry| entry.index);
        self.delivered = last;
        // After a restart, entries from before this seat was added are delivered again; only the
        // newest membership tells whether it was removed.
        let newest = entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership),
            _ => None,
        });
        let removed = newest.is_some_and(|m| m.role(self.settings.seat).is_none());
        self.actions.push(SeatAction::Commit(entries));
        // Entries that are not durable on this seat yet are not removed from memory.
        let durable = self.durability.durable_index().min(last);
        self.log.trim(durable, self.settings.applied_max_bytes);
        if removed && matches!(self.role, RoleState::Leader(_)) {
            self.become_follower();
        }
    }
}
