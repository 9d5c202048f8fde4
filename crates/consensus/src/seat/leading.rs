//! What a leader does: proposals, replication, commitment, handover.

use super::action::{ProposeError, ProposedEntry};
use super::progress::PeerProgress;
use super::{RaftSeat, RoleState};
use crate::{
    AppendOutcome, AppendReply, AppendRequest, CommandBytes, EntryPayload, LogEntry,
    MembershipChange, MembershipError, SeatMessage,
};
use chicoryladder_types::{LogIndex, SeatId};
use std::collections::BTreeMap;
use std::time::Instant;

/// The entries by which a learner may lag when it becomes a voter: what a busy group
/// commits within a round trip, which is on its way to it already.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// A handover of leadership under way.
#[derive(Clone, Copy, Debug)]
struct LeadershipTransfer {
    target: SeatId,
    deadline: Instant,
}

/// What only a leader keeps.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<SeatId, PeerProgress>,
    pub(super) elected_at: Instant,
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
            heartbeat_deadline: now,
            announced_last: last,
            announced_commit: self.commit,
            transfer: None,
        }));
        self.append_payload(EntryPayload::NoOp);
        self.refresh_peers();
    }

    /// Puts a command into the log.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead or hands over its leadership; the command
    /// then is certain not to be applied.
    pub fn propose(&mut self, command: CommandBytes) -> Result<ProposedEntry, ProposeError> {
        self.check_leading()?;
        Ok(self.append_payload(EntryPayload::Command(command)))
    }

    /// Puts a membership change into the log; it is in force from there on.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead, an earlier change is not committed, or the
    /// change breaks a rule of [`MembershipError`].
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
        now: Instant,
    ) -> Result<ProposedEntry, ProposeError> {
        self.check_leading()?;
        if !self.is_settled() {
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

    /// Whether this seat leads, and a learner lags by no more than what is on its way
    /// to it, and still answers.
    #[must_use]
    pub fn has_caught_up(&self, learner: SeatId, now: Instant) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_timeout;
        let answers = |peer: &PeerProgress| peer.confirmed_at.is_some_and(|at| now < at + timeout);
        let lag = |peer: &PeerProgress| self.commit.0.saturating_sub(peer.matched.0);
        let caught_up = |peer: &PeerProgress| lag(peer) <= PROMOTION_LAG_ENTRIES && answers(peer);
        state.peers.get(&learner).is_some_and(caught_up)
    }

    /// Hands the leadership to a voter once it has the whole log.
    ///
    /// # Errors
    ///
    /// Fails if the seat does not lead or `target` is no other voter.
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

    /// The voter that is best prepared to lead.
    #[must_use]
    pub fn transfer_target(&self) -> Option<SeatId> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let voters = self.membership().voters();
        let peers = voters.filter_map(|voter| Some((state.peers.get(&voter)?.matched, voter)));
        peers.max().map(|(_, voter)| voter)
    }

    /// Asks the target to stand for election, and gives up the lease with the role.
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

    /// Makes the progress records match the membership.
    fn refresh_peers(&mut self) {
        let peers = self.peers();
        let next = self.log.last_index();
        if let RoleState::Leader(state) = &mut self.role {
            state.peers.retain(|seat, _| peers.contains(seat));
            for seat in peers {
                let fresh = || PeerProgress::new(next);
                state.peers.entry(seat).or_insert_with(fresh);
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let timeout = self.settings.election_timeout;
        let confirmed = self.confirmed_at(now);
        if confirmed.is_none_or(|at| now >= at + timeout) {
            log::warn!("replica: steps down, as no quorum answers.");
            self.become_follower();
            self.reset_election_deadline(now);
            return;
        }
        self.continue_transfer(now);
        let interval = self.settings.heartbeat_interval;
        if let RoleState::Leader(state) = &mut self.role
            && now >= state.heartbeat_deadline
        {
            state.heartbeat_deadline = now + interval;
            self.keep_freshness(now);
            self.send_to_all(now);
        }
    }

    /// Sends what is new since the last call.
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

    /// Sends one seat the next entries, a part of a snapshot, or a heartbeat.
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
                peer.note_match(index.min(last_index), reply.echo);
                peer.next <= last_index
            }
            AppendOutcome::Mismatch { last, .. }
                if last < peer.matched && reply.echo > peer.matched_stamp =>
            {
                log::error!("replica: seat {from} lost its log and counts no longer.");
                peer.lost_log = true;
                peer.confirmed_at = None;
                peer.matched = LogIndex::default();
                false
            }
            AppendOutcome::Mismatch { hint, .. } => {
                let before = peer.next;
                peer.note_mismatch(hint);
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

    /// Commits what a quorum holds durably, if it ends in an entry of this term.
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
