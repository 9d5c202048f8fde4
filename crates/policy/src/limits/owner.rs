//! The owner of one team's bucket.
//!
//! Invariant: `level + outstanding <= burst`, where outstanding are all tokens
//! that some holder may still spend. The refill stops at that sum, so tokens
//! that lie unused in quotas do not add to the burst.

mod service;

use super::held::{HeldQuota, RequestOrder};
use super::{
    OwnerEpoch, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, RateLimit, TokenAmount,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long quotas last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTimes {
    /// The life of a quota at its holder, from the sending of the request.
    pub quota_ttl: Duration,
    /// How much later the owner forgets the quota, for clocks that drift.
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
    /// The life of a quota at its owner.
    #[must_use]
    pub fn forget_after(self) -> Duration {
        self.quota_ttl + self.drift_margin
    }
}

/// A message for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send a grant to its holder.
    Grant(QuotaGrant),
    /// Ask a holder for its idle tokens.
    Recall(QuotaRecall),
    /// Ask the owner of a reserve for tokens to borrow.
    Borrow(QuotaRequest),
}

/// Owns the bucket of one team during one epoch.
#[derive(Clone, Debug)]
pub struct BucketOwner {
    team: TeamName,
    pool: TokenPool,
    epoch: OwnerEpoch,
    limit: RateLimit,
    times: QuotaTimes,
    level: TokenAmount,
    refilled_at: Instant,
    quotas: BTreeMap<QuotaHolder, HeldQuota>,
    last_served: Option<QuotaHolder>,
}

impl BucketOwner {
    /// A owner whose authority began at `since`.
    ///
    /// It grants nothing until each quota of an earlier owner has ended, and
    /// starts empty then.
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
            refilled_at: since + times.forget_after(),
            quotas: BTreeMap::new(),
            last_served: None,
        }
    }

    /// The epoch of the owner.
    #[must_use]
    pub const fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// The limit in force.
    #[must_use]
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Tokens in the bucket and in all quotas; never above the burst.
    #[must_use]
    pub fn committed(&self) -> TokenAmount {
        self.level.plus(self.outstanding())
    }

    /// Puts another limit in force.
    pub fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.ceiling());
    }

    /// Takes over a report and answers it; grants to other hosts may follow.
    pub fn handle_request(&mut self, request: &QuotaRequest, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        let known = self.quotas.get(&request.holder);
        match HeldQuota::order(known, self.epoch, request) {
            RequestOrder::Stale => return Vec::new(),
            RequestOrder::OtherOwner => return vec![self.introduce(request, now)],
            RequestOrder::Begins | RequestOrder::Newer => {}
        }
        let forgotten_at = now + self.times.forget_after();
        let held = self
            .quotas
            .entry(request.holder.clone())
            .or_insert_with(|| HeldQuota::begin(request.session, forgotten_at));
        if held.session != request.session {
            // The holder dropped its earlier quota before this session began.
            *held = HeldQuota::begin(request.session, forgotten_at);
        }
        let given_back = held.apply(request, forgotten_at);
        self.add(TokenAmount::whole(given_back));
        let mut served = self.distribute(now);
        if !served.contains(&request.holder) {
            served.push(request.holder.clone());
        }
        self.actions(&served, now)
    }

    /// Refills, forgets ended quotas and serves the hosts that wait.
    pub fn poll(&mut self, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        if self.quotas.is_empty() {
            return Vec::new();
        }
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// The next instant at which [`Self::poll`] can serve a waiting host.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let needed = self.needed_by_all();
        if needed == 0 && self.quotas.values().all(|held| held.ahead == 0) {
            return None;
        }
        let missing = TokenAmount::whole(1).minus(self.level);
        Some(self.refilled_at + self.limit.time_for(missing))
    }

    /// Whole tokens that the bucket could take beside those it has given out.
    pub fn room(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.ceiling().minus(self.level).whole_tokens()
    }

    /// Whether the bucket is short enough to borrow from the reserves.
    #[must_use]
    pub fn is_short(&self) -> bool {
        let half = TokenAmount::whole(self.limit.burst() / 2);
        self.level <= half
    }

    /// Whether any holder was heard of lately.
    #[must_use]
    pub fn is_used(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Adds tokens borrowed from a reserve; what the bucket cannot take is lost.
    pub fn add_borrowed(&mut self, tokens: u64, now: Instant) -> Vec<OwnerAction> {
        self.refill(now);
        self.add(TokenAmount::whole(tokens));
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// Refills before ended quotas are forgotten, so the refill never counts on
    /// room that was not there during the elapsed time.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed > Duration::ZERO {
            self.add(self.limit.refill(elapsed));
            self.refilled_at = now;
        }
        self.quotas.retain(|_, held| held.forgotten_at > now);
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
        let tokens = self.quotas.values().map(|held| held.counters.unspent());
        TokenAmount::whole(tokens.sum())
    }

    fn needed_by_all(&self) -> u64 {
        self.quotas.values().map(|held| held.needed).sum()
    }
}
