//! The keeper of one team's bucket.
//!
//! Invariant: `level + outstanding <= burst`, where outstanding are all tokens
//! that some holder may still spend. The refill stops at that sum, so tokens
//! that lie unused in stocks do not add to the burst.

mod service;

use super::held::{HeldStock, RequestOrder};
use super::{
    KeeperEpoch, RateLimit, StockGrant, StockHolder, StockRecall, StockRequest, TokenAmount,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long stocks last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperTimes {
    /// The life of a stock at its holder, from the sending of the request.
    pub stock_ttl: Duration,
    /// How much later the keeper forgets the stock, for clocks that drift.
    pub drift_margin: Duration,
}

impl Default for KeeperTimes {
    fn default() -> Self {
        Self {
            stock_ttl: Duration::from_millis(400),
            drift_margin: Duration::from_millis(25),
        }
    }
}

impl KeeperTimes {
    /// The life of a stock at its keeper.
    #[must_use]
    pub fn forget_after(self) -> Duration {
        self.stock_ttl + self.drift_margin
    }
}

/// A message for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Send a grant to its holder.
    Grant(StockGrant),
    /// Ask a holder for its idle tokens.
    Recall(StockRecall),
    /// Ask the keeper of a reserve for tokens to borrow.
    Ask(StockRequest),
}

/// Owns the bucket of one team during one epoch.
#[derive(Clone, Debug)]
pub struct TokenKeeper {
    team: TeamName,
    pool: TokenPool,
    epoch: KeeperEpoch,
    limit: RateLimit,
    times: KeeperTimes,
    level: TokenAmount,
    refilled_at: Instant,
    stocks: BTreeMap<StockHolder, HeldStock>,
    last_served: Option<StockHolder>,
}

impl TokenKeeper {
    /// A keeper whose authority began at `since`.
    ///
    /// It grants nothing until each stock of an earlier keeper has ended, and
    /// starts empty then.
    #[must_use]
    pub fn new(
        team: TeamName,
        pool: TokenPool,
        epoch: KeeperEpoch,
        limit: RateLimit,
        times: KeeperTimes,
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
            stocks: BTreeMap::new(),
            last_served: None,
        }
    }

    /// The epoch of the keeper.
    #[must_use]
    pub const fn epoch(&self) -> KeeperEpoch {
        self.epoch
    }

    /// The limit in force.
    #[must_use]
    pub const fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Tokens in the bucket and in all stocks; never above the burst.
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
    pub fn handle_request(&mut self, request: &StockRequest, now: Instant) -> Vec<KeeperAction> {
        self.refill(now);
        let known = self.stocks.get(&request.holder);
        match HeldStock::order(known, self.epoch, request) {
            RequestOrder::Stale => return Vec::new(),
            RequestOrder::OtherKeeper => return vec![self.introduce(request, now)],
            RequestOrder::Begins | RequestOrder::Newer => {}
        }
        let forgotten_at = now + self.times.forget_after();
        let held = self
            .stocks
            .entry(request.holder.clone())
            .or_insert_with(|| HeldStock::begin(request.session, forgotten_at));
        if held.session != request.session {
            // The holder dropped its earlier stock before this session began.
            *held = HeldStock::begin(request.session, forgotten_at);
        }
        let given_back = held.apply(request, forgotten_at);
        self.add(TokenAmount::whole(given_back));
        let mut served = self.distribute(now);
        if !served.contains(&request.holder) {
            served.push(request.holder.clone());
        }
        self.actions(&served, now)
    }

    /// Refills, forgets ended stocks and serves the hosts that wait.
    pub fn poll(&mut self, now: Instant) -> Vec<KeeperAction> {
        self.refill(now);
        if self.stocks.is_empty() {
            return Vec::new();
        }
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// The next instant at which [`Self::poll`] can serve a waiting host.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let needed = self.needed_by_all();
        if needed == 0 && self.stocks.values().all(|held| held.ahead == 0) {
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
        !self.stocks.is_empty()
    }

    /// Adds tokens borrowed from a reserve; what the bucket cannot take is lost.
    pub fn add_borrowed(&mut self, tokens: u64, now: Instant) -> Vec<KeeperAction> {
        self.refill(now);
        self.add(TokenAmount::whole(tokens));
        let served = self.distribute(now);
        self.actions(&served, now)
    }

    /// Refills before ended stocks are forgotten, so the refill never counts on
    /// room that was not there during the elapsed time.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed > Duration::ZERO {
            self.add(self.limit.refill(elapsed));
            self.refilled_at = now;
        }
        self.stocks.retain(|_, held| held.forgotten_at > now);
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
        let tokens = self.stocks.values().map(|held| held.counters.unspent());
        TokenAmount::whole(tokens.sum())
    }

    fn needed_by_all(&self) -> u64 {
        self.stocks.values().map(|held| held.needed).sum()
    }
}
