//! The owner of a team's fleet bucket, including borrowing from reserves.
//!
//! A borrowed token counts as spent in its reserve and is added to the fleet
//! bucket only within the burst of that bucket. The bound of each bucket thus
//! holds independently, and the sum of the bounds is the bound of the team.

use super::{
    BucketOwner, OwnerAction, QuotaGrant, QuotaHolder, QuotaRequest, QuotaSession, RateLimit,
    TokenPool, TokenQuota,
};
use chicoryladder_types::prelude::*;
use std::time::Instant;

/// Owns the fleet bucket of one team and borrows tokens from the reserves.
#[derive(Clone, Debug)]
pub struct FleetBucketOwner {
    owner: BucketOwner,
    team: TeamName,
    holder: QuotaHolder,
    session: QuotaSession,
    reserves: Vec<TokenQuota>,
    reserve_burst: u64,
}

impl FleetBucketOwner {
    /// Creates an owner on `host` that borrows from the reserves of the hosts in
    /// `reserves`, each with the limit `reserve_limit`. `reserve_limit` is `None`
    /// if the team has no reserves.
    #[must_use]
    pub fn new(
        owner: BucketOwner,
        team: &TeamName,
        host: &HostName,
        reserves: &[HostName],
        reserve_limit: Option<RateLimit>,
        session: QuotaSession,
    ) -> Self {
        let mut fleet = Self {
            owner,
            team: team.clone(),
            holder: QuotaHolder::Borrower(host.clone()),
            session,
            reserves: Vec::new(),
            reserve_burst: reserve_limit.map_or(0, RateLimit::burst),
        };
        for reserve in reserves {
            fleet.add_reserve(reserve);
        }
        fleet
    }

    /// Adds the reserve of `host` to those borrowed from, if it is not known yet.
    pub fn add_reserve(&mut self, host: &HostName) {
        let pool = TokenPool::Reserve(host.clone());
        if self.reserves.iter().any(|quota| *quota.pool() == pool) {
            return;
        }
        let (team, holder) = (self.team.clone(), self.holder.clone());
        let quota = TokenQuota::new(team, pool, holder, self.session, 1);
        self.reserves.push(quota);
    }

    /// Returns the owner of the underlying bucket.
    #[must_use]
    pub const fn owner(&self) -> &BucketOwner {
        &self.owner
    }

    /// Replaces the limits of the fleet bucket and of the reserves.
    pub fn set_limit(&mut self, limit: RateLimit, reserve: Option<RateLimit>, now: Instant) {
        self.owner.set_limit(limit, now);
        self.reserve_burst = reserve.map_or(0, RateLimit::burst);
    }

    /// Handles a quota request; borrows if the bucket is low.
    pub fn handle_request(&mut self, request: &QuotaRequest, now: Instant) -> Vec<OwnerAction> {
        let mut actions = self.owner.handle_request(request, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Adds the tokens granted by a reserve to the bucket.
    pub fn handle_grant(&mut self, grant: &QuotaGrant, now: Instant) -> Vec<OwnerAction> {
        let quota = self
            .reserves
            .iter_mut()
            .find(|reserve| *reserve.pool() == grant.pool);
        let Some(quota) = quota else {
            return Vec::new();
        };
        quota.handle_grant(grant, now);
        let capacity = self.owner.free_capacity(now);
        let tokens = quota.spend(capacity, now);
        quota.return_tokens(u64::MAX, now);
        if tokens == 0 {
            return Vec::new();
        }
        let mut actions = self.owner.add_borrowed(tokens, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Serves hosts with pending demand and borrows if the bucket is low.
    pub fn poll(&mut self, now: Instant) -> Vec<OwnerAction> {
        let mut actions = self.owner.poll(now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Returns the next instant at which [`Self::poll`] can serve pending demand.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.owner.next_wakeup()
    }

    fn borrow(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        let low = self.owner.is_low() && self.owner.has_holders();
        let capacity = if low {
            self.owner.free_capacity(now)
        } else {
            0
        };
        for reserve in &mut self.reserves {
            let request = reserve.request(0, capacity.min(self.reserve_burst), now);
            actions.extend(request.map(OwnerAction::Borrow));
        }
    }
}
