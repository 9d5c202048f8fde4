//! The follower role: handling appends and snapshots from the leader.

use super::action::PersistStep;
use super::{RaftSeat, RoleState};
use crate::{
    AppendOutcome, AppendReply, AppendRequest, HardState, SeatMessage, SnapshotChunk, SnapshotHead,
    SnapshotPoint, SnapshotReply,
};
use chicoryladder_types::{LogIndex, SeatId, TermNumber};
use std::time::Instant;

/// A snapshot that is received in chunks, each of which is stored as it arrives.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    head: SnapshotHead,
    /// The number of bytes received so far.
    received: u64,
}

impl RaftSeat {
    /// Accepts the sender as the leader, unless its term is outdated.
    fn accept_leader(&mut self, from: SeatId, term: TermNumber, now: Instant) -> bool {
        if term < self.term() {
            return false;
        }
        if term > self.term() {
            self.enter_term(term);
        }
        if matches!(self.role, RoleState::Leader(_)) {
            log::error!("replica: seat {from} claims to be a second leader in term {term}.");
            return false;
        }
        self.become_follower();
        if self.leader != Some(from) {
            self.leader = Some(from);
            let group = self.settings.group;
            log::info!("replica: following seat {from} as leader of group {group} in term {term}.");
        }
        // Following a leader uses up the vote of the term, so that the seat cannot vote
        // for another candidate.
        if self.hard_state.vote.is_none() {
            let vote = Some(from);
            self.set_hard_state(HardState { term, vote });
        }
        self.last_contact = Some(now);
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn on_append(&mut self, from: SeatId, request: AppendRequest, now: Instant) {
        let echo = request.stamp;
        let outcome = if self.accept_leader(from, request.term, now) {
            self.append_entries(request, now)
        } else {
            self.mismatch(LogIndex::default())
        };
        let reply = AppendReply {
            term: self.term(),
            outcome,
            echo,
            stamp: self.stamp(now),
        };
        self.send_durable(from, SeatMessage::AppendReply(reply));
    }

    fn mismatch(&self, hint: LogIndex) -> AppendOutcome {
        let last = self.log.last_index();
        AppendOutcome::Mismatch { hint, last }
    }

    /// Appends the entries if the log matches the leader's at `prev_index`.
    fn append_entries(&mut self, mut request: AppendRequest, now: Instant) -> AppendOutcome {
        let base = self.log.base_index();
        let known = request.prev_index < base
            || self.log.term_at(request.prev_index) == Some(request.prev_term);
        if !known {
            return self.mismatch(self.agreement_hint(request.prev_index));
        }
        let entries = std::mem::take(&mut request.entries);
        let last = LogIndex(request.prev_index.0 + entries.len() as u64);
        for entry in entries {
            if entry.index <= base || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.commit {
                log::error!(
                    "replica: entry {} conflicts with a committed entry.",
                    entry.index
                );
                return self.mismatch(self.commit);
            }
            if entry.index <= self.log.last_index() {
                self.truncate_from(entry.index);
            }
            self.append_entry(entry);
        }
        let matched = last.max(base);
        self.commit = self.commit.max(request.commit.min(matched));
        self.update_freshness(&request, now);
        AppendOutcome::Matched(matched)
    }

    /// The highest entry at which the logs may match, given that they differ at `prev`.
    fn agreement_hint(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev > last {
            return last;
        }
        let term = self.log.term_at(prev);
        let mut hint = prev;
        while hint > self.commit && self.log.term_at(hint) == term {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }

    pub(super) fn on_snapshot(&mut self, from: SeatId, chunk: &SnapshotChunk, now: Instant) {
        let echo = chunk.stamp;
        let index = chunk.index;
        let received = if self.accept_leader(from, chunk.term, now) {
            self.receive_chunk(chunk)
        } else {
            0
        };
        let reply = SnapshotReply {
            term: self.term(),
            index,
            received,
            echo,
        };
        self.send_durable(from, SeatMessage::SnapshotReply(reply));
    }

    /// Adds one chunk of a snapshot and returns the number of bytes received so far.
    fn receive_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        if chunk.index <= self.commit {
            return chunk.total;
        }
        let head = SnapshotHead {
            point: SnapshotPoint {
                index: chunk.index,
                term: chunk.index_term,
                membership: chunk.membership.clone(),
            },
            size: chunk.total,
        };
        let is_same = |incoming: &IncomingSnapshot| incoming.head == head;
        let incoming = self.incoming.take().filter(is_same);
        let mut received = incoming.map_or(0, |incoming| incoming.received);
        // A chunk without data is a heartbeat, unless the whole snapshot is empty.
        if received == chunk.offset && (chunk.total == 0 || !chunk.data.is_empty()) {
            received += chunk.data.len() as u64;
            self.durability.stage(PersistStep::SnapshotPart {
                head: head.clone(),
                offset: chunk.offset,
                data: chunk.data.clone(),
            });
        }
        if received < chunk.total {
            self.incoming = Some(IncomingSnapshot { head, received });
        } else {
            self.install(head);
        }
        received
    }
}
