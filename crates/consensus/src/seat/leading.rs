//! The leader role: proposals, replication, commitment and leadership transfer.

use super::action::{PersistStep, ProposeError, ProposedEntry};
use super::progress::PeerProgress;
use super::{RaftSeat, RoleState};
use crate::{
    AppendOutcome, AppendReply, AppendRequest, CommandBytes, EntryPayload, LogEntry,
    MembershipChange, MembershipError, SeatMessage,
};
use chicoryladder_types::{LogIndex, SeatId};
use std::collections::BTreeMap;
use std::time::Instant;

/// The number of entries by which a learner may lag when it is promoted to voter. A
/// busy group commits about this many within a round trip, so that they are already
/// in flight to the learner.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
struct LeadershipTransfer {
    target: SeatId,
    deadline: Instant,
}

/// The state that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<SeatId, PeerProgress>,
    pub(super) elected_at: Instant,
    /// Whether it is stored that the seat leads the term.
    is_stored: bool,
    pub(super) heartbeat_deadline: Instant,
    announced_last: LogIndex,
    announced_commit: LogIndex,
    transfer: Option<LeadershipTransfer>,
}

impl RaftSeat {
    pub(super) fn become_leader(&mut self, now: Instant) {
        let group = self.settings.group;
        let term = self.term();
        log::info!("replica: became leader of group {group} in term {term}.");
        let last = self.log.last_index();
        self.leader = Some(self.seat());
        self.incoming = None;
        self.role = RoleState::Leader(Box::new(LeaderState {
            peers: BTreeMap::new(),
            elected_at: now,
            is_stored: false,
            heartbeat_deadline: now,
            announced_last: last,
            announced_commit: self.commit,
            transfer: None,
        }));
        self.resumption = None;
        self.append_payload(EntryPayload::NoOp);
        self.refresh_peers();
    }

    /// Appends a command to the log.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader or is transferring its leadership; the
    /// command is then never applied.
    pub fn propose(&mut self, command: CommandBytes) -> Result<ProposedEntry, ProposeError> {
        self.check_leading()?;
        Ok(self.append_payload(EntryPayload::Command(command)))
    }

    /// Appends a membership change to the log; it takes effect with that entry.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader, an earlier change is not committed, or the
    /// change violates a rule of [`MembershipError`].
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
        now: Instant,
    ) -> Result<ProposedEntry, ProposeError> {
        self.check_leading()?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::NotReady);
        }
        if self.membership.is_pending(self.commit) {
            return Err(MembershipError::ChangePending.into());
        }
        let membership = self.membership().changed(change)?;
        if let MembershipChange::Promote(seat) = change
            && !self.has_caught_up(*seat, now)
        {
            return Err(MembershipError::NotCaughtUp(*seat).into());
        }
        let entry = self.append_payload(EntryPayload::Membership(membership));
        self.refresh_peers();
        Ok(entry)
    }

    fn check_leading(&self) -> Result<(), ProposeError> {
        match &self.role {
            RoleState::Leader(state) if state.transfer.is_some() => Err(ProposeError::Transferring),
            RoleState::Leader(_) => Ok(()),
            _ => Err(ProposeError::NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Whether this seat is the leader and the learner is responsive and lags by at most
    /// [`PROMOTION_LAG_ENTRIES`].
    #[must_use]
    pub fn has_caught_up(&self, learner: SeatId, now: Instant) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        let is_responsive =
            |peer: &PeerProgress| peer.confirmed_at.is_some_and(|at| now < at + timeout);
        let lag = |peer: &PeerProgress| self.commit.0.saturating_sub(peer.matched.0);
        let caught_up =
            |peer: &PeerProgress| lag(peer) <= PROMOTION_LAG_ENTRIES && is_responsive(peer);
        state.peers.get(&learner).is_some_and(caught_up)
    }

    /// Transfers the leadership to a voter once that voter has the complete log.
    ///
    /// # Errors
    ///
    /// Fails if the seat is not the leader or `target` is not another voter.
    pub fn transfer(&mut self, target: SeatId, now: Instant) -> Result<(), ProposeError> {
        self.check_leading()?;
        if target == self.seat() || !self.membership().is_voter(target) {
            return Err(MembershipError::NotMember(target).into());
        }
        let deadline = now + self.settings.election_timeout;
        if let RoleState::Leader(state) = &mut self.role {
            state.transfer = Some(LeadershipTransfer { target, deadline });
        }
        self.continue_transfer(now);
        Ok(())
    }

    /// The voter with the longest matching log, as the target of a transfer.
    #[must_use]
    pub fn transfer_target(&self) -> Option<SeatId> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let voters = self.membership().voters();
        let peers = voters.filter_map(|voter| Some((state.peers.get(&voter)?.matched, voter)));
        peers.max().map(|(_, voter)| voter)
    }

    /// Once the target has the complete log, requests it to start an election and steps
    /// down, which ends the lease.
    fn continue_transfer(&mut self, now: Instant) {
        let last = self.log.last_index();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(LeadershipTransfer { target, deadline }) = state.transfer else {
            return;
        };
        if now >= deadline {
            state.transfer = None;
            return;
        }
        if state.peers.get(&target).is_some_and(|p| p.matched >= last) {
            let term = self.term();
            self.send(target, SeatMessage::TimeoutNow { term });
            self.become_follower();
            self.reset_election_deadline(now);
        }
    }

    fn append_payload(&mut self, payload: EntryPayload) -> ProposedEntry {
        let index = self.log.last_index().next();
        let term = self.term();
        let entry = LogEntry {
            index,
            term,
            payload,
        };
        self.append_entry(entry);
        ProposedEntry { index, term }
    }

    /// Adds and removes progress records to match the membership.
    fn refresh_peers(&mut self) {
        let peers = self.peers();
        let next = self.log.last_index();
        if let RoleState::Leader(state) = &mut self.role {
            state.peers.retain(|seat, _| peers.contains(seat));
            for seat in peers {
                let new_progress = || PeerProgress::new(next);
                state.peers.entry(seat).or_insert_with(new_progress);
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let timeout = self.settings.election_timeout;
        let confirmed = self.confirmed_at(now);
        if confirmed.is_none_or(|at| now >= at + timeout) {
            log::warn!("replica: stepping down: no quorum of voters responds.");
            self.become_follower();
            self.reset_election_deadline(now);
            return;
        }
        self.continue_transfer(now);
        self.store_leadership(now);
        let interval = self.settings.heartbeat_interval;
        if let RoleState::Leader(state) = &mut self.role
            && now >= state.heartbeat_deadline
        {
            state.heartbeat_deadline = now + interval;
            self.save_freshness(now);
            self.send_to_all(now);
        }
    }

    /// Stores that the seat leads the term, so that it can resume its leadership after a restart.
    /// Not before it has led for an election timeout: a host that crashes again and again soon
    /// after its start would otherwise be elected each time.
    fn store_leadership(&mut self, now: Instant) {
        let term = self.term();
        let timeout = self.settings.election_timeout;
        if let RoleState::Leader(state) = &mut self.role
            && !state.is_stored
            && now >= state.elected_at + timeout
        {
            state.is_stored = true;
            self.durability.stage(PersistStep::Leadership(term));
        }
    }

    /// Sends new entries and a new commit position to all peers.
    pub(super) fn replicate(&mut self, now: Instant) {
        let last = self.log.last_index();
        let commit = self.commit;
        if let RoleState::Leader(state) = &mut self.role
            && (state.announced_last < last || state.announced_commit < commit)
        {
            state.announced_last = last;
            state.announced_commit = commit;
            self.send_to_all(now);
        }
    }

    fn send_to_all(&mut self, now: Instant) {
        for peer in self.peers() {
            self.send_next(peer, now);
        }
    }

    /// Sends a seat the next entries, a snapshot chunk, or a heartbeat.
    pub(super) fn send_next(&mut self, to: SeatId, now: Instant) {
        let quorum_age = self.quorum_age(now);
        let stamp = self.stamp(now);
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&to).filter(|peer| !peer.lost_log) else {
            return;
        };
        let prev_index = LogIndex(peer.next.0.saturating_sub(1));
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(to, now);
            return;
        };
        let window = self.settings.window_max_entries;
        let highest = LogIndex(peer.matched.0.saturating_add(window));
        let until = self.log.last_index().min(highest.max(prev_index));
        let max_bytes = self.settings.append_max_bytes;
        let entries = self.log.slice(peer.next, until, max_bytes);
        peer.next = LogIndex(peer.next.0 + entries.len() as u64);
        let request = AppendRequest {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            stamp,
            echo: peer.echo,
            quorum_age,
        };
        self.send(to, SeatMessage::Append(request));
    }

    pub(super) fn on_append_reply(&mut self, from: SeatId, reply: &AppendReply, now: Instant) {
        if reply.term > self.term() {
            self.enter_term(reply.term);
            return;
        }
        let written_at = self.instant_of(reply.echo, now);
        let last_index = self.log.last_index();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard_state.term || written_at.is_none() {
            return;
        }
        peer.echo = Some(reply.stamp);
        let resend = match reply.outcome {
            AppendOutcome::Matched(index) => {
                peer.record_match(index.min(last_index), reply.echo);
                peer.next <= last_index
            }
            AppendOutcome::Mismatch { last, .. }
                if last < peer.matched && reply.echo > peer.matched_stamp =>
            {
                log::error!(
                    "replica: seat {from} lost acknowledged entries and no longer counts towards quorums."
                );
                peer.lost_log = true;
                peer.confirmed_at = None;
                peer.matched = LogIndex::default();
                false
            }
            AppendOutcome::Mismatch { hint, .. } => {
                let before = peer.next;
                peer.record_mismatch(hint);
                peer.next < before
            }
        };
        if peer.lost_log {
            return;
        }
        peer.confirm(written_at);
        if resend {
            self.send_next(from, now);
        }
        self.advance_commit(now);
        self.continue_transfer(now);
    }

    /// Commits the entries that are durable on a quorum, if the last of them is of the
    /// current term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let durable = self.durability.durable_index();
        let membership = self.membership();
        let mut matched: Vec<LogIndex> = membership
            .voters()
            .map(|voter| match state.peers.get(&voter) {
                Some(peer) => peer.matched,
                None if voter == self.seat() => durable,
                None => LogIndex::default(),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(membership.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term()) {
            self.commit = index;
            self.continue_transfer(now);
        }
    }
}
