//! Admission control for the requests of one team on one host.
//!
//! A request spends a token from the quota of the fleet bucket or, if that is
//! empty, from the quota of the reserve in its availability zone. A request
//! without a token waits while a token is expected before its time limit, and is
//! refused as soon as none is.

use super::{
    DemandMeter, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, QuotaSession, RateLimit,
    TokenAmount, TokenPool, TokenQuota,
};
use chicoryladder_types::prelude::*;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The wait for the fleet bucket after which tokens of the reserve are requested too.
const RESERVE_DELAY: Duration = Duration::from_millis(5);

/// The retry delay of refused requests if no owner replied recently, so that no wait
/// can be estimated.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The part of the queue capacity of one host that depends on the rate: the requests
/// that the rate admits in this many seconds. The burst is added to it.
const WAITERS_MAX_SECONDS: u64 = 4;

/// Identifies a waiting request of a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterKey(u64);

/// The admission decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAdmission {
    /// The request has spent a token.
    Admitted,
    /// The request waits; [`TeamLimiter::poll`] returns the final decision.
    Waiting(WaiterKey),
    /// The request cannot be admitted in time.
    Refused {
        /// The time after which a new attempt can succeed.
        retry_after: Duration,
    },
}

/// An action for the task that drives a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimiterAction {
    /// Admit the waiting request.
    Admit(WaiterKey),
    /// Refuse the waiting request.
    Refuse {
        /// The request.
        waiter: WaiterKey,
        /// The time after which a new attempt can succeed.
        retry_after: Duration,
    },
    /// Send the quota request to the owner of its bucket.
    Send(QuotaRequest),
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    key: WaiterKey,
    give_up_at: Instant,
}

/// Admits the requests of one team on one host.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    limit: RateLimit,
    fleet: TokenQuota,
    reserve: Option<TokenQuota>,
    demand: DemandMeter,
    waiters: VecDeque<WaitingRequest>,
    last_key: u64,
    /// When the first request began to wait since the queue was last empty.
    waiting_since: Option<Instant>,
}

impl TeamLimiter {
    /// Creates a limiter without tokens.
    ///
    /// `limit` is the limit of the team over the whole fleet. `reserve` is the host that owns the
    /// reserve to use in addition to the fleet bucket. `session` must be greater than
    /// every session used by an earlier process of the host.
    #[must_use]
    pub fn new(
        team: &TeamName,
        host: &HostName,
        reserve: Option<HostName>,
        limit: RateLimit,
        session: QuotaSession,
    ) -> Self {
        let report_batch = limit.burst() / 32;
        let holder = QuotaHolder::Admission(host.clone());
        let quota =
            |pool| TokenQuota::new(team.clone(), pool, holder.clone(), session, report_batch);
        Self {
            limit,
            fleet: quota(TokenPool::Fleet),
            reserve: reserve.map(|reserve| quota(TokenPool::Reserve(reserve))),
            demand: DemandMeter::default(),
            waiters: VecDeque::new(),
            last_key: 0,
            waiting_since: None,
        }
    }

    /// Adds the reserve that `host` owns, unless the limiter already has a reserve.
    pub fn add_reserve(&mut self, host: &HostName) {
        let pool = TokenPool::Reserve(host.clone());
        self.reserve.get_or_insert_with(|| self.fleet.sibling(pool));
    }

    /// Replaces the limit, which a limiter uses only to estimate waits and to bound
    /// its queue.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// Decides on an arriving request that must be admitted before `give_up_at`.
    pub fn admit(&mut self, give_up_at: Instant, now: Instant) -> LimitAdmission {
        self.demand.record(now);
        if self.waiters.is_empty() && self.spend_token(now) {
            return LimitAdmission::Admitted;
        }
        let expected_at = self.expected_at(self.waiters.len(), now);
        let queue_full = self.waiters.len() as u64 >= self.waiters_max();
        if give_up_at <= now || queue_full || expected_at.is_some_and(|at| at > give_up_at) {
            let retry_after = self.retry_after(self.waiters.len(), now);
            return LimitAdmission::Refused { retry_after };
        }
        self.last_key += 1;
        let key = WaiterKey(self.last_key);
        self.waiters.push_back(WaitingRequest { key, give_up_at });
        self.waiting_since.get_or_insert(now);
        LimitAdmission::Waiting(key)
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, key: WaiterKey) {
        self.waiters.retain(|waiter| waiter.key != key);
    }

    /// Applies a grant of the fleet bucket or of the reserve.
    pub fn handle_grant(&mut self, grant: &QuotaGrant, now: Instant) {
        if let Some(quota) = self.quota_mut(&grant.pool) {
            quota.handle_grant(grant, now);
        }
    }

    /// Returns the unspent tokens of the recalled quota to its owner, unless requests
    /// are waiting.
    pub fn handle_recall(&mut self, recall: &QuotaRecall, now: Instant) {
        if !self.waiters.is_empty() {
            return;
        }
        if let Some(quota) = self.quota_mut(&recall.pool) {
            quota.handle_recall(recall, now);
        }
    }

    /// Returns all actions that are due: admissions, refusals, then messages.
    pub fn poll(&mut self, now: Instant) -> Vec<LimiterAction> {
        let mut actions = Vec::new();
        self.admit_waiters(now, &mut actions);
        self.refuse_late(now, &mut actions);
        if self.waiters.is_empty() {
            self.waiting_since = None;
        }
        self.return_idle(now);
        self.request_from_fleet(now, &mut actions);
        self.request_from_reserve(now, &mut actions);
        actions
    }

    /// Returns the next instant at which a waiting request times out.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.give_up_at).min()
    }

    /// Returns whether no request waits and no token is held.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        let reserve = self
            .reserve
            .as_mut()
            .map_or(0, |quota| quota.available(now));
        self.waiters.is_empty() && reserve + self.fleet.available(now) == 0
    }

    fn quota_mut(&mut self, pool: &TokenPool) -> Option<&mut TokenQuota> {
        match pool {
            TokenPool::Fleet => Some(&mut self.fleet),
            TokenPool::Reserve(_) => self.reserve.as_mut().filter(|quota| quota.pool() == pool),
        }
    }

    fn spend_token(&mut self, now: Instant) -> bool {
        if self.fleet.spend(1, now) == 1 {
            return true;
        }
        let reserve = self.reserve.as_mut();
        reserve.is_some_and(|quota| quota.spend(1, now) == 1)
    }

    fn admit_waiters(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        self.refuse_expired(now, actions);
        while let Some(waiter) = self.waiters.front().copied() {
            if !self.spend_token(now) {
                return;
            }
            self.waiters.pop_front();
            actions.push(LimiterAction::Admit(waiter.key));
        }
    }

    fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        let expired = |waiter: &WaitingRequest| waiter.give_up_at <= now;
        self.refuse_where(now, actions, |_, waiter| expired(waiter));
    }

    /// Refuses requests whose token is expected after their time limit.
    fn refuse_late(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        let Some(first_at) = self.expected_at(0, now) else {
            return;
        };
        let limit = self.limit;
        self.refuse_where(now, actions, |position, waiter| {
            let expected_at = first_at + limit.time_for(TokenAmount::whole(position));
            expected_at > waiter.give_up_at
        });
    }

    fn refuse_where(
        &mut self,
        now: Instant,
        actions: &mut Vec<LimiterAction>,
        is_refused: impl Fn(u64, &WaitingRequest) -> bool,
    ) {
        let waiters = std::mem::take(&mut self.waiters);
        let mut position = 0;
        let mut refused = Vec::new();
        for waiter in waiters {
            if is_refused(position, &waiter) {
                refused.push(waiter.key);
            } else {
                position += 1;
                self.waiters.push_back(waiter);
            }
        }
        for waiter in refused {
            let retry_after = self.retry_after(self.waiters.len(), now);
            actions.push(LimiterAction::Refuse {
                waiter,
                retry_after,
            });
        }
    }

    /// Returns the instant at which a token is expected for the request at `position`
    /// of the queue; `None` without a recent reply of an owner.
    fn expected_at(&self, position: usize, now: Instant) -> Option<Instant> {
        let reserve = self
            .reserve
            .as_ref()
            .and_then(|quota| quota.next_token_at(now));
        let fleet = self.fleet.next_token_at(now);
        let first_at = match (fleet, reserve) {
            (Some(fleet), Some(reserve)) => fleet.min(reserve),
            (fleet, reserve) => fleet.or(reserve)?,
        };
        let ahead = TokenAmount::whole(position as u64);
        Some(first_at.max(now) + self.limit.time_for(ahead))
    }

    fn retry_after(&self, position: usize, now: Instant) -> Duration {
        let expected_at = self.expected_at(position, now);
        expected_at.map_or(NO_OWNER_RETRY_AFTER, |at| at.saturating_duration_since(now))
    }

    /// Returns the maximum number of waiting requests. It bounds the queue while no
    /// owner replies and no wait can be estimated.
    fn waiters_max(&self) -> u64 {
        let rate = self.limit.rate_millis() / 1_000;
        self.limit.burst() + rate * WAITERS_MAX_SECONDS
    }

    fn return_idle(&mut self, now: Instant) {
        let expected = self.demand.expected(now);
        let quotas = [Some(&mut self.fleet), self.reserve.as_mut()];
        for quota in quotas.into_iter().flatten() {
            let available = quota.available(now);
            if available > expected * 2 {
                quota.return_tokens(available - expected, now);
            }
        }
    }

    fn request_from_fleet(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        let needed = self.waiters.len() as u64;
        let expected = self.demand.expected(now);
        let available = self.fleet.available(now);
        let prefetch = if available * 2 < expected {
            expected - available
        } else {
            0
        };
        let request = self.fleet.request(needed, prefetch, now);
        actions.extend(request.map(LimiterAction::Send));
    }

    fn request_from_reserve(&mut self, now: Instant, actions: &mut Vec<LimiterAction>) {
        let reserve_due = self
            .waiting_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RESERVE_DELAY);
        let needed = if reserve_due {
            self.waiters.len() as u64
        } else {
            0
        };
        let Some(reserve) = self.reserve.as_mut() else {
            return;
        };
        let request = reserve.request(needed, 0, now);
        actions.extend(request.map(LimiterAction::Send));
    }
}
