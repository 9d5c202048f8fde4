//! The timing and limits of a seat.

use crate::tail::TAIL_MAX_ENTRIES;
use chicoryladder_types::{GroupId, SeatId};
use std::time::Duration;

const HEARTBEAT_INTERVAL_MS: u64 = 200;
const ELECTION_TIMEOUT_MS: u64 = 1_000;
const CLOCK_DRIFT_PERCENT: u32 = 5;
const APPEND_MAX_BYTES: usize = 256 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
const WINDOW_MAX_ENTRIES: u64 = 4_096;
const RETAINED_ENTRIES: u64 = 1_024;
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;
const SNAPSHOT_INTERVAL_BYTES: u64 = 16 * 1024 * 1024;
const APPLIED_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The timing and limits of one seat.
#[derive(Clone, Debug)]
pub struct SeatSettings {
    /// The group of the seat.
    pub group: GroupId,
    /// The seat.
    pub seat: SeatId,
    /// The interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The minimum time without contact to a leader before a follower starts an
    /// election. The actual timeout is randomized between this value and twice this
    /// value; a pre-vote without a quorum is repeated sooner. The value must be the same on
    /// all seats.
    pub election_timeout: Duration,
    /// The maximum difference in rate between two clocks, in percent.
    pub clock_drift_percent: u32,
    /// The maximum size of the entries in one append, in bytes.
    pub append_max_bytes: usize,
    /// The size of a snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// The maximum number of unacknowledged entries in flight to a seat.
    pub window_max_entries: u64,
    /// The number of entries covered by a snapshot that stay in memory for seats that
    /// lag.
    pub retained_entries: u64,
    /// The number of applied entries between two snapshots.
    pub snapshot_interval_entries: u64,
    /// The size of the entries applied between two snapshots, in bytes: what the log may take on
    /// the disk, and what a start reads. Half the size of the last snapshot counts instead if it
    /// is larger, so that a large state is not written more often than its entries.
    pub snapshot_interval_bytes: u64,
    /// The size of the in-memory log, in bytes, above which applied entries are removed
    /// from it. A seat that needs older entries receives a snapshot.
    pub applied_max_bytes: usize,
    /// The number of applied entries kept for observers.
    pub tail_max_entries: usize,
}

impl SeatSettings {
    /// Creates settings with the default timing and limits.
    #[must_use]
    pub fn new(group: GroupId, seat: SeatId) -> Self {
        Self {
            group,
            seat,
            heartbeat_interval: Duration::from_millis(HEARTBEAT_INTERVAL_MS),
            election_timeout: Duration::from_millis(ELECTION_TIMEOUT_MS),
            clock_drift_percent: CLOCK_DRIFT_PERCENT,
            append_max_bytes: APPEND_MAX_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            window_max_entries: WINDOW_MAX_ENTRIES,
            retained_entries: RETAINED_ENTRIES,
            snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
            snapshot_interval_bytes: SNAPSHOT_INTERVAL_BYTES,
            applied_max_bytes: APPLIED_MAX_BYTES,
            tail_max_entries: TAIL_MAX_ENTRIES,
        }
    }

    /// How long a leader may serve reads after a quorum confirmed it.
    ///
    /// A follower that confirmed the leader grants no vote for one election timeout on
    /// its own clock, unless the leader gave up its lease. The lease is shorter than that by the maximum clock drift.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        let drift = self.clock_drift_percent.min(100);
        self.election_timeout * (100 - drift) / 100
    }
}
