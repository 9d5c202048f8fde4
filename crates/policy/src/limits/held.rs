//! What a owner knows of one quota.

use super::{OwnerEpoch, QuotaCounters, QuotaRequest, QuotaSession};
use std::time::Instant;

/// A quota as its owner sees it.
///
/// Invariant: `counters.unspent()` is at least what the holder can still spend,
/// since the holder learns of grants later and reports spent tokens later.
#[derive(Clone, Debug)]
pub(super) struct HeldQuota {
    pub(super) session: QuotaSession,
    pub(super) sequence: u64,
    pub(super) counters: QuotaCounters,
    pub(super) needed: u64,
    pub(super) ahead: u64,
    pub(super) forgotten_at: Instant,
    pub(super) recalled: bool,
}

/// How a request relates to what the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOrder {
    /// The request is newer than all seen in its session.
    Newer,
    /// The request begins a session.
    Begins,
    /// The request is repeated, late, or of an ended session.
    Stale,
    /// The quota was granted by another owner.
    OtherOwner,
}

impl HeldQuota {
    pub(super) fn begin(session: QuotaSession, forgotten_at: Instant) -> Self {
        Self {
            session,
            sequence: 0,
            counters: QuotaCounters::default(),
            needed: 0,
            ahead: 0,
            forgotten_at,
            recalled: false,
        }
    }

    pub(super) fn order(
        known: Option<&Self>,
        epoch: OwnerEpoch,
        request: &QuotaRequest,
    ) -> RequestOrder {
        let untouched = request.counters.is_untouched();
        if request.epoch != epoch && !untouched {
            return RequestOrder::OtherOwner;
        }
        match known {
            Some(held) if request.session < held.session => RequestOrder::Stale,
            Some(held) if request.session == held.session => {
                if request.sequence > held.sequence {
                    RequestOrder::Newer
                } else {
                    RequestOrder::Stale
                }
            }
            _ if untouched => RequestOrder::Begins,
            _ => RequestOrder::Stale,
        }
    }

    /// Takes over the holder's report; returns the tokens given back.
    pub(super) fn apply(&mut self, request: &QuotaRequest, forgotten_at: Instant) -> u64 {
        let on_the_way = self
            .counters
            .granted
            .saturating_sub(request.counters.granted);
        let returned = request.counters.returned.max(self.counters.returned);
        let given_back = returned - self.counters.returned;
        self.sequence = request.sequence;
        self.counters.spent = request.counters.spent.max(self.counters.spent);
        self.counters.returned = returned;
        self.needed = request.needed.saturating_sub(on_the_way);
        let spare = on_the_way.saturating_sub(request.needed);
        self.ahead = request.ahead.saturating_sub(spare);
        self.forgotten_at = forgotten_at;
        self.recalled = false;
        given_back
    }

    pub(super) fn grant(&mut self, tokens: u64) {
        self.counters.granted += tokens;
        let needed = tokens.min(self.needed);
        self.needed -= needed;
        self.ahead = self.ahead.saturating_sub(tokens - needed);
    }
}
