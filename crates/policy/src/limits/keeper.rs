//! The keeper of one team's bucket.
//!
//! Invariant: `level + outstanding <= burst`, where outstanding are all tokens
//! that some holder may still spend. The refill stops at that sum, so tokens
//! that lie unused in stocks do not add to the burst.

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

    /// Serves waiting requests first, one token for each holder in turn, then
    /// wishes ahead of demand from the upper half of the bucket.
    fn distribute(&mut self, now: Instant) -> Vec<StockHolder> {
        let mut served = Vec::new();
        if now < self.refilled_at {
            return served;
        }
        let mut free = self.level.whole_tokens();
        while free > 0 && self.needed_by_all() > 0 {
            free -= self.serve_round(free, &mut served);
        }
        let reserve = self.limit.burst() / 2;
        self.serve_ahead(free.saturating_sub(reserve), &mut served);
        served
    }

    fn serve_round(&mut self, free: u64, served: &mut Vec<StockHolder>) -> u64 {
        let mut left = free;
        let needy = self.stocks.iter().filter(|(_, held)| held.needed > 0);
        let mut holders: Vec<StockHolder> = needy.map(|(holder, _)| holder.clone()).collect();
        if let Some(last) = &self.last_served {
            let turn = holders.partition_point(|holder| holder <= last);
            holders.rotate_left(turn);
        }
        for holder in holders {
            if left == 0 {
                break;
            }
            self.give(&holder, 1, served);
            self.last_served = Some(holder);
            left -= 1;
        }
        free - left
    }

    fn serve_ahead(&mut self, free: u64, served: &mut Vec<StockHolder>) {
        let mut left = free;
        let wishes = self.stocks.iter().filter(|(_, held)| held.ahead > 0);
        let wishes: Vec<(StockHolder, u64)> = wishes
            .map(|(holder, held)| (holder.clone(), held.ahead))
            .collect();
        for (holder, ahead) in wishes {
            let tokens = ahead.min(left);
            if tokens > 0 {
                self.give(&holder, tokens, served);
                left -= tokens;
            }
        }
    }

    fn give(&mut self, holder: &StockHolder, tokens: u64, served: &mut Vec<StockHolder>) {
        let Some(held) = self.stocks.get_mut(holder) else {
            return;
        };
        held.grant(tokens);
        self.level = self.level.minus(TokenAmount::whole(tokens));
        if !served.contains(holder) {
            served.push(holder.clone());
        }
    }

    fn actions(&mut self, served: &[StockHolder], now: Instant) -> Vec<KeeperAction> {
        let grants = served
            .iter()
            .filter_map(|holder| self.grant_for(holder, now));
        let mut actions: Vec<KeeperAction> = grants.collect();
        if self.needed_by_all() > 0 && now >= self.refilled_at {
            self.recall_idle(&mut actions);
        }
        actions
    }

    fn recall_idle(&mut self, actions: &mut Vec<KeeperAction>) {
        for (holder, held) in &mut self.stocks {
            let idle = held.needed == 0 && held.counters.unspent() > 0;
            if !idle || held.recalled {
                continue;
            }
            held.recalled = true;
            actions.push(KeeperAction::Recall(StockRecall {
                team: self.team.clone(),
                pool: self.pool.clone(),
                holder: holder.clone(),
                session: held.session,
                epoch: self.epoch,
            }));
        }
    }

    fn grant_for(&self, holder: &StockHolder, now: Instant) -> Option<KeeperAction> {
        let held = self.stocks.get(holder)?;
        let others = self.needed_by_all() - held.needed;
        Some(KeeperAction::Grant(StockGrant {
            team: self.team.clone(),
            pool: self.pool.clone(),
            holder: holder.clone(),
            session: held.session,
            epoch: self.epoch,
            sequence: held.sequence,
            granted: held.counters.granted,
            stock_ttl: self.times.stock_ttl,
            next_token_in: self.next_token_in(others, now),
        }))
    }

    /// Tells a holder of another keeper's stock who the keeper is now.
    fn introduce(&self, request: &StockRequest, now: Instant) -> KeeperAction {
        KeeperAction::Grant(StockGrant {
            team: self.team.clone(),
            pool: self.pool.clone(),
            holder: request.holder.clone(),
            session: request.session,
            epoch: self.epoch,
            sequence: request.sequence,
            granted: 0,
            stock_ttl: self.times.stock_ttl,
            next_token_in: self.next_token_in(self.needed_by_all(), now),
        })
    }

    fn next_token_in(&self, others: u64, now: Instant) -> Duration {
        let missing = TokenAmount::whole(others + 1).minus(self.level);
        let closed = self.refilled_at.saturating_duration_since(now);
        closed + self.limit.time_for(missing)
    }
}
