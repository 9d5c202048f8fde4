//! How far a leader has brought each other seat.

use crate::ClockStamp;
use chicoryladder_types::LogIndex;
use std::time::Instant;

/// What a leader knows about one other seat.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// The last entry known to be durable there.
    pub(super) matched: LogIndex,
    /// The next entry to send.
    pub(super) next: LogIndex,
    /// When the newest acknowledged message was written.
    pub(super) confirmed_at: Option<Instant>,
    /// The stamp of the message that set `matched`.
    pub(super) matched_stamp: ClockStamp,
    /// The last stamp received from the seat.
    pub(super) echo: Option<ClockStamp>,
    /// The snapshot being sent and the bytes received of it.
    pub(super) snapshot: SnapshotProgress,
    /// Whether the seat lost entries that it had acknowledged.
    pub(super) lost_log: bool,
}

/// How much of a snapshot a seat has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SnapshotProgress {
    pub(super) index: LogIndex,
    pub(super) received: u64,
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

    pub(super) fn note_match(&mut self, index: LogIndex, stamp: ClockStamp) {
        if index >= self.matched {
            self.matched = index;
            self.matched_stamp = self.matched_stamp.max(stamp);
        }
        self.next = self.next.max(self.matched.next());
    }

    /// Goes back to where the logs may agree.
    pub(super) fn note_mismatch(&mut self, hint: LogIndex) {
        self.next = self.next.min(hint.next()).max(self.matched.next());
    }
}
