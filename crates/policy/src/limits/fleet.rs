//! The keeper of a team's fleet bucket, with what it borrows from the zones.
//!
//! A borrowed token leaves the zone's bucket as spent and enters the fleet's
//! bucket within its own burst. So the bound of each bucket holds alone, and
//! their sum is the bound of the team.

use super::{
    KeeperAction, RateLimit, StockGrant, StockHolder, StockRequest, StockSession, TokenKeeper,
    TokenPool, TokenStock,
};
use chicoryladder_types::prelude::*;
use std::time::Instant;

/// Owns the fleet bucket of one team and borrows from its zone buckets.
#[derive(Clone, Debug)]
pub struct FleetKeeper {
    keeper: TokenKeeper,
    zones: Vec<TokenStock>,
    zone_burst: u64,
}

impl FleetKeeper {
    /// A keeper on `host` that borrows from the buckets of `zones`, each with
    /// the limit `zone_limit`; none if the team has no zone buckets.
    #[must_use]
    pub fn new(
        keeper: TokenKeeper,
        team: &TeamName,
        host: &HostName,
        zones: &[ZoneName],
        zone_limit: Option<RateLimit>,
        session: StockSession,
    ) -> Self {
        let holder = StockHolder::Borrower(host.clone());
        let stock = |zone: &ZoneName| {
            let pool = TokenPool::Zone(zone.clone());
            TokenStock::new(team.clone(), pool, holder.clone(), session, 1)
        };
        let zones = if zone_limit.is_some() { zones } else { &[] };
        Self {
            keeper,
            zones: zones.iter().map(stock).collect(),
            zone_burst: zone_limit.map_or(0, RateLimit::burst),
        }
    }

    /// The bucket.
    #[must_use]
    pub const fn keeper(&self) -> &TokenKeeper {
        &self.keeper
    }

    /// Puts another limit of the fleet bucket in force.
    pub fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.keeper.set_limit(limit, now);
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
            .zones
            .iter_mut()
            .find(|zone| *zone.pool() == grant.pool);
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
        for zone in &mut self.zones {
            let request = zone.request(0, room.min(self.zone_burst), now);
            actions.extend(request.map(KeeperAction::Ask));
        }
    }
}
