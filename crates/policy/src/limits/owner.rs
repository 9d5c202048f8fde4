//! The owner of one token bucket.
//!
//! Invariant: `level + outstanding <= burst`, where `outstanding` counts all tokens
//! that some holder may still spend. The refill is capped so that the sum stays
//! within the burst; unused tokens in quotas therefore do not add to the burst.

mod service;

use super::quota_record::{QuotaRecord, RequestOrder};
use super::{
    OwnerEpoch, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, RateLimit, TokenAmount,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Lifetimes of quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTimes {
    /// The lifetime of a quota at its holder, counted from the sending of the request.
    pub quota_ttl: Duration,
    /// The additional lifetime at the owner, as a margin for clock drift.
    pub drift_margin: Duration,
}

impl Default for QuotaTimes {
    fn default() -> Self {
        Self {
            quota_ttl: Duration::from_millis(400),
            drift_margin: Duration::from_millis(25),
        }
    }
}

impl QuotaTimes {
    /// Returns the lifetime of a quota at the owner of its bucket.
    #[must_use]
    pub fn owner_ttl(self) -> Duration {
        self.quota_ttl + self.drift_margin
    }
}

/// A message that the owner sends to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Sends a grant to its holder.
    Grant(QuotaGrant),
    /// Requests the return of a holder's idle tokens.
    Recall(QuotaRecall),
    /// Requests tokens from the owner of a reserve.
    Borrow(QuotaRequest),
}

/// Owns one bucket of one team during one epoch.
#[derive(Clone, Debug)]
pub struct BucketOwner {
    team: TeamName,
    pool: TokenPool,
    epoch: OwnerEpoch,
    limit: RateLimit,
    times: QuotaTimes,
    level: TokenAmount,
    refilled_at: Instant,
    quotas: BTreeMap<QuotaHolder, QuotaRecord>,
    last_served: Option<QuotaHolder>,
}

impl BucketOwner {
    /// Creates an owner that acquired the bucket at `since`.
    ///
    /// It grants nothing until every quota of an earlier owner has expired. The
    /// bucket is empty at that point.
    #[must_use]
    pub fn new(
        team: TeamName,
        pool: TokenPool,
        epoch: OwnerEpoch,
        limit: RateLimit,
        times: QuotaTimes,
        since: Instant,
    ) -> Self {
        Self {
            team,
            pool,
            epoch,
            limit,
            times,
            level: TokenAmount::ZERO,
            refilled_at: since + times.owner_ttl(),
            quotas: BTreeMap::new(),
            last_served: None,
        }
    }

    /// Returns the epoch of the owner.
    #[must_use]
    pub const fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns the current limit.
    #[must_use]
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns the tokens in the bucket and in all quotas; never above the burst.
    #[must_use]
    pub fn committed(&self) -> TokenAmount {
        self.level.plus(self.outstanding())
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.ceiling());
    }

    /// Applies a holder's report and replies; the actions can include grants to
    /// other holders.
    pub fn handle_request(&mut self, request: &QuotaRequest, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        let known = self.quotas.get(&request.holder);
        match QuotaRecord::classify(known, self.epoch, request) {
            RequestOrder::Stale => return Vec::new(),
            RequestOrder::OtherOwner => return vec![self.announce_epoch(request, now)],
            RequestOrder::NewSession | RequestOrder::Newer => {}
        }
        let expires_at = now + self.times.owner_ttl();
        let record = self
            .quotas
            .entry(request.holder.clone())
            .or_insert_with(|| QuotaRecord::new(request.session, expires_at));
        if record.session != request.session {
            // The holder dropped its previous quota before it started this session.
            *record = QuotaRecord::new(request.session, expires_at);
        }
        let returned = record.apply(request, expires_at);
        self.add(TokenAmount::whole(returned));
        let mut served = self.distribute(now);
        if !served.contains(&request.holder) {
            served.push(request.holder.clone());
        }
        self.actions(&served, now)
    }

    /// Refills the bucket, drops expired quotas and serves pending demand.
    pub fn poll(&mut self, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        if self.quotas.is_empty() {
            return Vec::new();
        }
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// Returns the next instant at which [`Self::poll`] can serve pending demand.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let needed = self.needed_by_all();
        if needed == 0 && self.quotas.values().all(|record| record.prefetch == 0) {
            return None;
        }
        let missing = TokenAmount::whole(1).minus(self.level);
        Some(self.refilled_at + self.limit.time_for(missing))
    }

    /// Returns the whole tokens that can be added to the bucket without exceeding
    /// the burst, taking outstanding tokens into account.
    pub fn free_capacity(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.ceiling().minus(self.level).whole_tokens()
    }

    /// Returns whether the level is at most half of the burst, so that the owner
    /// should borrow from the reserves.
    #[must_use]
    pub fn is_low(&self) -> bool {
        let half = TokenAmount::whole(self.limit.burst() / 2);
        self.level <= half
    }

    /// Returns whether any holder has a quota that has not expired.
    #[must_use]
    pub fn has_holders(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Adds tokens borrowed from a reserve; tokens beyond the capacity are lost.
    pub fn add_borrowed(&mut self, tokens: u64, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        self.add(TokenAmount::whole(tokens));
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// Adds the refill before dropping expired quotas, so that the refill never uses
    /// capacity that was not available during the elapsed time.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed > Duration::ZERO {
            self.add(self.limit.refill(elapsed));
            self.refilled_at = now;
        }
        self.quotas.retain(|_, record| record.expires_at > now);
    }

    fn add(&mut self, amount: TokenAmount) {
        let sum = self.level.plus(amount);
        let ceiling = self.ceiling();
        self.level = sum.min(ceiling.max(self.level));
    }

    fn ceiling(&self) -> TokenAmount {
        TokenAmount::whole(self.limit.burst()).minus(self.outstanding())
    }

    fn outstanding(&self) -> TokenAmount {
        let tokens = self.quotas.values().map(|record| record.counters.unspent());
        TokenAmount::whole(tokens.sum())
    }

    fn needed_by_all(&self) -> u64 {
        self.quotas.values().map(|record| record.needed).sum()
    }
}
