//! The timers and limits of a seat.

use crate::tail::TAIL_MAX_ENTRIES;
use chicoryladder_types::{GroupId, SeatId};
use std::time::Duration;

const HEARTBEAT_INTERVAL_MS: u64 = 200;
const ELECTION_TIMEOUT_MS: u64 = 1_000;
const CLOCK_DRIFT_PERCENT: u32 = 5;
const APPEND_MAX_BYTES: usize = 256 * 1024;
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
const WINDOW_MAX_ENTRIES: u64 = 4_096;
const KEPT_ENTRIES: u64 = 1_024;
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;
const APPLIED_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The timers and limits of one seat.
#[derive(Clone, Debug)]
pub struct SeatSettings {
    /// The group of the seat.
    pub group: GroupId,
    /// The seat.
    pub seat: SeatId,
    /// The time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The silence after which a follower stands for election, at the least; the
    /// drawn timeout is up to twice as long. It has to be equal on all seats.
    pub election_timeout: Duration,
    /// The most by which two clocks may differ in speed, in percent.
    pub clock_drift_percent: u32,
    /// The most entry bytes in one append.
    pub append_max_bytes: usize,
    /// The bytes of one part of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// The most entries sent to a seat and not acknowledged.
    pub window_max_entries: u64,
    /// The entries kept in memory behind a snapshot, for seats that lag.
    pub retained_entries: u64,
    /// The entries applied between two snapshots.
    pub snapshot_interval_entries: u64,
    /// The bytes of applied entries that a seat keeps in memory; a seat that lags
    /// further behind gets a snapshot.
    pub applied_max_bytes: usize,
    /// The applied entries that are kept for observers.
    pub tail_max_entries: usize,
}

impl SeatSettings {
    /// The default timers and limits.
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
            retained_entries: KEPT_ENTRIES,
            snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
            applied_max_bytes: APPLIED_MAX_BYTES,
            tail_max_entries: TAIL_MAX_ENTRIES,
        }
    }

    /// How long a leader may answer reads after a quorum confirmed it.
    ///
    /// A follower that confirmed gives no vote for one election timeout on its
    /// own clock; the lease is shorter by the drift between the two clocks.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        let drift = self.clock_drift_percent.min(100);
        self.election_timeout * (100 - drift) / 100
    }
}
