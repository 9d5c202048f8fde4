//! The replication progress of each peer, as tracked by the leader.

use crate::ClockStamp;
use chicoryladder_types::LogIndex;
use std::time::{Duration, Instant};

/// The replication progress of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// The last entry known to be durable on the peer.
    pub(super) matched: LogIndex,
    /// The next entry to send.
    pub(super) next: LogIndex,
    /// When the leader wrote the newest message that the peer has acknowledged.
    pub(super) confirmed_at: Option<Instant>,
    /// The stamp of the message that set `matched`.
    pub(super) matched_stamp: ClockStamp,
    /// The last stamp received from the peer.
    pub(super) echo: Option<ClockStamp>,
    /// The transfer of a snapshot to the peer.
    pub(super) snapshot: SnapshotProgress,
    /// Whether the peer lost entries that it had acknowledged.
    pub(super) lost_log: bool,
}

/// How much of a snapshot a peer has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SnapshotProgress {
    pub(super) index: LogIndex,
    pub(super) received: u64,
    /// The offset of the last chunk that was sent, and when it was sent.
    sent: Option<(u64, Instant)>,
}

impl SnapshotProgress {
    pub(super) fn new(index: LogIndex) -> Self {
        Self {
            index,
            ..Self::default()
        }
    }

    /// Whether the next chunk has to be sent, either for the first time or again
    /// because it was not acknowledged within `resend_after`.
    pub(super) fn is_due(&self, resend_after: Duration, now: Instant) -> bool {
        self.sent.is_none_or(|(offset, at)| {
            offset != self.received || now.saturating_duration_since(at) >= resend_after
        })
    }

    pub(super) fn record_sent(&mut self, now: Instant) {
        self.sent = Some((self.received, now));
    }
}

impl PeerProgress {
    pub(super) fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex::default(),
            next,
            confirmed_at: None,
            matched_stamp: ClockStamp(0),
            echo: None,
            snapshot: SnapshotProgress::default(),
            lost_log: false,
        }
    }

    pub(super) fn confirm(&mut self, written_at: Option<Instant>) {
        self.confirmed_at = self.confirmed_at.max(written_at);
    }

    pub(super) fn record_match(&mut self, index: LogIndex, stamp: ClockStamp) {
        if index >= self.matched {
            self.matched = index;
            self.matched_stamp = self.matched_stamp.max(stamp);
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Moves `next` back to the highest entry at which the logs may match.
    pub(super) fn record_mismatch(&mut self, hint: LogIndex) {
        self.next = self.next.min(hint.next()).max(self.matched.next());
    }
}
