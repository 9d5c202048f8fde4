//! Spacing of the requests to a server that limits them.

use crate::request::WorkKind;
use crate::server_limits::ServerLimit;
use std::time::{Duration, Instant};

/// The time for which unused requests accumulate, so that a burst need not wait. The average
/// over any longer span stays near the limit.
const BURST_TIME: Duration = Duration::from_secs(1);

/// The fewest requests that accumulate: one for an online request while an item takes the
/// other one.
const BURST_MIN: u32 = 2;

/// The share of the accumulated requests that batch items leave to online requests.
const BATCH_HEADROOM: f64 = 0.5;

/// Admits requests at the pace of a limit, by the generic cell rate algorithm.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestPacer {
    limit: ServerLimit,
    /// When all requests of a burst may be sent, unless others are sent before.
    full_at: Instant,
}

impl RequestPacer {
    /// Creates a pacer that has no requests accumulated: a server that names a limit has
    /// had too many.
    pub(crate) fn new(limit: ServerLimit, now: Instant) -> Self {
        Self {
            limit,
            full_at: now + burst_time(limit),
        }
    }

    pub(crate) fn limit(&self) -> ServerLimit {
        self.limit
    }

    /// Changes the limit; what has accumulated stays within the new burst.
    pub(crate) fn set_limit(&mut self, limit: ServerLimit, now: Instant) {
        self.limit = limit;
        self.full_at = self.full_at.min(now + burst_time(limit));
    }

    /// Whether a request may be sent.
    pub(crate) fn admits(&self, kind: WorkKind, now: Instant) -> bool {
        let burst = burst_time(self.limit);
        let usable = match kind {
            WorkKind::Online => burst,
            WorkKind::Batch => burst.mul_f64(1.0 - BATCH_HEADROOM),
        };
        self.full_at + self.limit.interval() <= now + usable
    }

    /// The share of a burst that was sent and has not accumulated again.
    pub(crate) fn used_share(&self, now: Instant) -> f64 {
        let missing = self.full_at.saturating_duration_since(now);
        missing.as_secs_f64() / burst_time(self.limit).as_secs_f64()
    }

    /// Charges a request that is sent.
    pub(crate) fn charge(&mut self, now: Instant) {
        let full_at = self.full_at.max(now) + self.limit.interval();
        self.full_at = full_at.min(now + burst_time(self.limit));
    }
}

fn burst_time(limit: ServerLimit) -> Duration {
    BURST_TIME.max(limit.interval() * BURST_MIN)
}
