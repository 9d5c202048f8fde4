//! The bucket owner's record of one quota.

use super::{OwnerEpoch, QuotaCounters, QuotaRequest, QuotaSession};
use std::time::Instant;

/// A quota as seen by the owner of its bucket.
///
/// Invariant: `counters.unspent()` is an upper bound of the tokens that the
/// holder can still spend, because grants reach the holder later than they are
/// recorded here, and spent tokens are recorded here later than they are spent.
#[derive(Clone, Debug)]
pub(super) struct QuotaRecord {
    pub(super) session: QuotaSession,
    pub(super) sequence: u64,
    pub(super) counters: QuotaCounters,
    pub(super) needed: u64,
    pub(super) prefetch: u64,
    pub(super) expires_at: Instant,
    pub(super) recalled: bool,
}

/// How a quota request relates to the latest recorded state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOrder {
    /// The request is newer than every request seen in its session.
    Newer,
    /// The request starts a new session.
    NewSession,
    /// The request is a duplicate, out of order, or belongs to an ended session.
    Stale,
    /// The quota was granted in another owner epoch.
    OtherOwner,
}

impl QuotaRecord {
    pub(super) fn new(session: QuotaSession, expires_at: Instant) -> Self {
        Self {
            session,
            sequence: 0,
            counters: QuotaCounters::default(),
            needed: 0,
            prefetch: 0,
            expires_at,
            recalled: false,
        }
    }

    pub(super) fn classify(
        known: Option<&Self>,
        epoch: OwnerEpoch,
        request: &QuotaRequest,
    ) -> RequestOrder {
        let untouched = request.counters.is_untouched();
        if request.epoch != epoch && !untouched {
            return RequestOrder::OtherOwner;
        }
        match known {
            Some(record) if request.session < record.session => RequestOrder::Stale,
            Some(record) if request.session == record.session => {
                if request.sequence > record.sequence {
                    RequestOrder::Newer
                } else {
                    RequestOrder::Stale
                }
            }
            _ if untouched => RequestOrder::NewSession,
            _ => RequestOrder::Stale,
        }
    }

    /// Applies the holder's report and returns the number of returned tokens.
    ///
    /// Tokens granted but not yet received by the holder are deducted from the
    /// reported demand.
    pub(super) fn apply(&mut self, request: &QuotaRequest, expires_at: Instant) -> u64 {
        let undelivered = self
            .counters
            .granted
            .saturating_sub(request.counters.granted);
        let returned = request.counters.returned.max(self.counters.returned);
        let newly_returned = returned - self.counters.returned;
        self.sequence = request.sequence;
        self.counters.spent = request.counters.spent.max(self.counters.spent);
        self.counters.returned = returned;
        self.needed = request.needed.saturating_sub(undelivered);
        let spare = undelivered.saturating_sub(request.needed);
        self.prefetch = request.prefetch.saturating_sub(spare);
        self.expires_at = expires_at;
        self.recalled = false;
        newly_returned
    }

    pub(super) fn grant(&mut self, tokens: u64) {
        self.counters.granted += tokens;
        let needed = tokens.min(self.needed);
        self.needed -= needed;
        self.prefetch = self.prefetch.saturating_sub(tokens - needed);
    }
}
