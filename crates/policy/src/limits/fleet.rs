//! The keeper of a team's fleet bucket, with what it borrows.
//!
//! A borrowed token leaves the reserve as spent and enters the fleet's
//! bucket within its own burst. So the bound of each bucket holds alone, and
//! their sum is the bound of the team.

use super::{
    KeeperAction, RateLimit, StockGrant, StockHolder, StockRequest, StockSession, TokenKeeper,
    TokenPool, TokenStock,
};
use chicoryladder_types::prelude::*;
use std::time::Instant;

/// Owns the fleet bucket of one team and borrows from the reserves.
#[derive(Clone, Debug)]
pub struct FleetKeeper {
    keeper: TokenKeeper,
    team: TeamName,
    holder: StockHolder,
    session: StockSession,
    reserves: Vec<TokenStock>,
    reserve_burst: u64,
}

impl FleetKeeper {
    /// A keeper on `host` that borrows from the `reserves` of these hosts, each
    /// with the limit `reserve_limit`; none if the team has no reserves.
    #[must_use]
    pub fn new(
        keeper: TokenKeeper,
        team: &TeamName,
        host: &HostName,
        reserves: &[HostName],
        reserve_limit: Option<RateLimit>,
        session: StockSession,
    ) -> Self {
        let mut fleet = Self {
            keeper,
            team: team.clone(),
            holder: StockHolder::Borrower(host.clone()),
            session,
            reserves: Vec::new(),
            reserve_burst: reserve_limit.map_or(0, RateLimit::burst),
        };
        for reserve in reserves {
            fleet.add_reserve(reserve);
        }
        fleet
    }

    /// Borrows from the reserve of this host too.
    pub fn add_reserve(&mut self, host: &HostName) {
        let pool = TokenPool::Reserve(host.clone());
        if self.reserves.iter().any(|stock| *stock.pool() == pool) {
            return;
        }
        let (team, holder) = (self.team.clone(), self.holder.clone());
        let stock = TokenStock::new(team, pool, holder, self.session, 1);
        self.reserves.push(stock);
    }

    /// The bucket.
    #[must_use]
    pub const fn keeper(&self) -> &TokenKeeper {
        &self.keeper
    }

    /// Puts another limit of the fleet bucket and of the reserves in force.
    pub fn set_limit(&mut self, limit: RateLimit, reserve: Option<RateLimit>, now: Instant) {
        self.keeper.set_limit(limit, now);
        self.reserve_burst = reserve.map_or(0, RateLimit::burst);
    }

    /// Answers a host.
    pub fn handle_request(&mut self, request: &StockRequest, now: Instant) -> Vec<KeeperAction> {
        let mut actions = self.keeper.handle_request(request, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Takes borrowed tokens into the bucket.
    pub fn handle_grant(&mut self, grant: &StockGrant, now: Instant) -> Vec<KeeperAction> {
        let stock = self
            .reserves
            .iter_mut()
            .find(|reserve| *reserve.pool() == grant.pool);
        let Some(stock) = stock else {
            return Vec::new();
        };
        stock.handle_grant(grant, now);
        let room = self.keeper.room(now);
        let tokens = stock.take(room, now);
        stock.give_back(u64::MAX, now);
        if tokens == 0 {
            return Vec::new();
        }
        let mut actions = self.keeper.add_borrowed(tokens, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Serves the hosts that wait and borrows if the bucket is short.
    pub fn poll(&mut self, now: Instant) -> Vec<KeeperAction> {
        let mut actions = self.keeper.poll(now);
        self.borrow(now, &mut actions);
        actions
    }

    /// The next instant at which [`Self::poll`] can serve a waiting host.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.keeper.next_wakeup()
    }

    fn borrow(&mut self, now: Instant, actions: &mut Vec<KeeperAction>) {
        let short = self.keeper.is_short() && self.keeper.is_used();
        let room = if short { self.keeper.room(now) } else { 0 };
        for reserve in &mut self.reserves {
            let request = reserve.request(0, room.min(self.reserve_burst), now);
            actions.extend(request.map(KeeperAction::Ask));
        }
    }
}
