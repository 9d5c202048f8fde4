//! The owner of a team's fleet bucket, with what it borrows.
//!
//! A borrowed token leaves the reserve as spent and enters the fleet's
//! bucket within its own burst. So the bound of each bucket holds alone, and
//! their sum is the bound of the team.

use super::{
    BucketOwner, OwnerAction, QuotaGrant, QuotaHolder, QuotaRequest, QuotaSession, RateLimit,
    TokenPool, TokenQuota,
};
use chicoryladder_types::prelude::*;
use std::time::Instant;

/// Owns the fleet bucket of one team and borrows from the reserves.
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
    /// A owner on `host` that borrows from the `reserves` of these hosts, each
    /// with the limit `reserve_limit`; none if the team has no reserves.
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

    /// Borrows from the reserve of this host too.
    pub fn add_reserve(&mut self, host: &HostName) {
        let pool = TokenPool::Reserve(host.clone());
        if self.reserves.iter().any(|quota| *quota.pool() == pool) {
            return;
        }
        let (team, holder) = (self.team.clone(), self.holder.clone());
        let quota = TokenQuota::new(team, pool, holder, self.session, 1);
        self.reserves.push(quota);
    }

    /// The bucket.
    #[must_use]
    pub const fn owner(&self) -> &BucketOwner {
        &self.owner
    }

    /// Puts another limit of the fleet bucket and of the reserves in force.
    pub fn set_limit(&mut self, limit: RateLimit, reserve: Option<RateLimit>, now: Instant) {
        self.owner.set_limit(limit, now);
        self.reserve_burst = reserve.map_or(0, RateLimit::burst);
    }

    /// Answers a host.
    pub fn handle_request(&mut self, request: &QuotaRequest, now: Instant) -> Vec<OwnerAction> {
        let mut actions = self.owner.handle_request(request, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Takes borrowed tokens into the bucket.
    pub fn handle_grant(&mut self, grant: &QuotaGrant, now: Instant) -> Vec<OwnerAction> {
        let quota = self
            .reserves
            .iter_mut()
            .find(|reserve| *reserve.pool() == grant.pool);
        let Some(quota) = quota else {
            return Vec::new();
        };
        quota.handle_grant(grant, now);
        let room = self.owner.room(now);
        let tokens = quota.take(room, now);
        quota.give_back(u64::MAX, now);
        if tokens == 0 {
            return Vec::new();
        }
        let mut actions = self.owner.add_borrowed(tokens, now);
        self.borrow(now, &mut actions);
        actions
    }

    /// Serves the hosts that wait and borrows if the bucket is short.
    pub fn poll(&mut self, now: Instant) -> Vec<OwnerAction> {
        let mut actions = self.owner.poll(now);
        self.borrow(now, &mut actions);
        actions
    }

    /// The next instant at which [`Self::poll`] can serve a waiting host.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.owner.next_wakeup()
    }

    fn borrow(&mut self, now: Instant, actions: &mut Vec<OwnerAction>) {
        let short = self.owner.is_short() && self.owner.is_used();
        let room = if short { self.owner.room(now) } else { 0 };
        for reserve in &mut self.reserves {
            let request = reserve.request(0, room.min(self.reserve_burst), now);
            actions.extend(request.map(OwnerAction::Borrow));
        }
    }
}
