//! Log compaction, and the transfer of snapshots to seats that need compacted entries.

use super::action::{PersistStep, SeatAction};
use super::progress::SnapshotProgress;
use super::{RaftSeat, RoleState};
use crate::entry_log::EntryLog;
use crate::membership::MembershipHistory;
use crate::{CommandBytes, SeatMessage, SnapshotChunk, SnapshotHead, SnapshotPoint, SnapshotReply};
use chicoryladder_types::{LogIndex, SeatId};
use std::time::Instant;

impl RaftSeat {
    /// What a snapshot of the current state covers: the log up to the last delivered entry.
    #[must_use]
    pub fn snapshot_point(&self) -> Option<SnapshotPoint> {
        let index = self.delivered;
        Some(SnapshotPoint {
            index,
            term: self.log.term_at(index)?,
            membership: self.membership.at(index).clone(),
        })
    }

    /// Compacts the log after a snapshot was stored at [`RaftSeat::snapshot_point`]. The last
    /// [`SeatSettings::retained_entries`](crate::SeatSettings) entries are kept for seats that
    /// lag.
    pub fn compact(&mut self, snapshot: SnapshotHead) {
        let index = snapshot.point.index;
        self.membership.compact_to(index);
        let retained = self.settings.retained_entries;
        self.log
            .compact_to(LogIndex(index.0.saturating_sub(retained)));
        // The storage deletes the files of the entries that the snapshot covers.
        self.log.drop_stored(index);
        self.snapshot = Some(snapshot);
    }

    /// Replaces the log and the state with a snapshot that was received.
    pub(super) fn install(&mut self, snapshot: SnapshotHead) {
        let point = &snapshot.point;
        log::info!(
            "replica: installed the leader's snapshot up to entry {}.",
            point.index
        );
        self.truncate_from(LogIndex::default());
        self.log = EntryLog::new(point.index, point.term, Vec::new());
        self.membership = MembershipHistory::new(point.membership.clone());
        self.commit = point.index;
        self.delivered = point.index;
        self.durability
            .stage(PersistStep::InstallSnapshot(snapshot.clone()));
        self.installed = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Whether the owner has to call [`RaftSeat::compact`] on behalf of a lagging seat.
    /// Resets the request.
    pub fn take_snapshot_request(&mut self) -> bool {
        std::mem::take(&mut self.snapshot_requested)
    }

    /// Sends the next chunk of the snapshot, or an empty chunk as a heartbeat while the
    /// last one is unacknowledged.
    pub(super) fn send_snapshot(&mut self, to: SeatId, now: Instant) {
        let covered = self.snapshot.as_ref().map(|snapshot| snapshot.point.index);
        if covered.is_none_or(|index| index < self.log.base_index()) {
            self.snapshot_requested = true;
            return;
        }
        let Some(SnapshotHead { point, size }) = &self.snapshot else {
            return;
        };
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&to) else {
            return;
        };
        if peer.snapshot.index != point.index {
            peer.snapshot = SnapshotProgress::new(point.index);
        }
        let offset = peer.snapshot.received;
        // A chunk without data is a heartbeat: it prevents the seat from starting an
        // election.
        let is_due = peer.snapshot.is_due(self.settings.election_timeout, now);
        if is_due {
            peer.snapshot.record_sent(now);
        }
        let remaining = usize::try_from(size.saturating_sub(offset)).unwrap_or(usize::MAX);
        let length = if is_due {
            remaining.min(self.settings.snapshot_chunk_bytes)
        } else {
            0
        };
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            index: point.index,
            index_term: point.term,
            membership: point.membership.clone(),
            offset,
            total: *size,
            data: CommandBytes::default(),
            stamp: self.stamp(now),
        };
        if length == 0 {
            self.send(to, SeatMessage::Snapshot(chunk));
            return;
        }
        let envelope = self.envelope(to, SeatMessage::Snapshot(chunk));
        self.actions
            .push(SeatAction::SendSnapshot { envelope, length });
    }

    pub(super) fn on_snapshot_reply(&mut self, from: SeatId, reply: &SnapshotReply, now: Instant) {
        if reply.term > self.term() {
            self.enter_term(reply.term);
            return;
        }
        let written_at = self.instant_of(reply.echo, now);
        let total = self.snapshot.as_ref().map(|s| (s.point.index, s.size));
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard_state.term || peer.snapshot.index != reply.index {
            return;
        }
        peer.confirm(written_at);
        let advanced = reply.received > peer.snapshot.received;
        peer.snapshot.received = reply.received;
        let is_complete =
            total.is_some_and(|(index, size)| index == reply.index && reply.received >= size);
        if is_complete {
            peer.record_match(reply.index, reply.echo);
        }
        if advanced || is_complete {
            self.send_next(from, now);
        }
        self.advance_commit(now);
    }
}
