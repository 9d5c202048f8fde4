//! Rate limits of teams.
//!
//! A team with rate R and burst B has one token bucket. In each zone, one entry host holds
//! a small reserve drawn from it, for times at which the zone cannot reach the broker. The
//! capacity of the bucket is B plus a share of the tolerance, minus all reserves that
//! hosts may hold. Within a window of length t, at most B + R t requests plus the
//! tolerance are therefore admitted, regardless of how hosts spend their reserves. A
//! holder out of touch with the broker also admits its zone's share of R, by which the
//! bucket fills more slowly meanwhile.

use chicoryladder_plan::{PlanTeam, ServicePlan};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The share of the tolerance that the reserves of all zones hold together: the share by
/// which the bucket capacity exceeds the burst.
const RESERVE_SHARE: f64 = CAPACITY_SHARE;

/// The share that the reserves of all zones hold of the burst beyond what random arrivals
/// need. A small team needs all of its burst while the broker can be reached.
const RESERVE_BURST_SHARE: f64 = 0.4;

/// What random arrivals need of a burst, in standard deviations of the arrivals of one
/// second.
const ARRIVAL_DEVIATIONS: f64 = 4.0;

/// The time for which the reserves of all zones together sustain a team's rate at most, in
/// seconds.
const RESERVE_SECONDS: f64 = 3.0;

/// The share of the tolerance by which the bucket capacity exceeds the burst, to
/// absorb variation in network delay.
const CAPACITY_SHARE: f64 = 0.3;

/// The initial level of the buckets of a new broker, as a share of the tolerance. The
/// broker does not know what its predecessor admitted, and the broker may be replaced
/// twice within one window.
const INITIAL_SHARE: f64 = 0.3;

/// The excess over rate and burst that may be admitted within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTolerance {
    /// A fixed number of requests, independent of the team's rate.
    pub requests: f64,
    /// A share of what rate and burst allow in a window.
    pub share: f64,
    /// The length of the window.
    pub window: Duration,
}

impl RateTolerance {
    /// The number of requests of a team that may be admitted in excess of its limit.
    fn excess_of(&self, rate: f64, burst: f64) -> f64 {
        self.requests + self.share * (rate * self.window.as_secs_f64() + burst)
    }
}

#[derive(Clone, Debug)]
struct TeamBucket {
    rate: f64,
    burst: f64,
    /// The share of the rate that detached holders may admit on their own.
    detached_share: f64,
    level: f64,
    refilled_at: Instant,
}

impl TeamBucket {
    /// The part of the rate that no detached holder may admit.
    fn refill_rate(&self) -> f64 {
        self.rate * (1.0 - self.detached_share).max(0.0)
    }

    /// The level at a time, if nothing is taken until then.
    fn level_at(&self, capacity: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.level + self.refill_rate() * elapsed.as_secs_f64();
        refilled.min(capacity)
    }

    /// The time until a level allows the next request; `None` if it does already.
    fn wait_at(&self, level: f64) -> Option<Duration> {
        if self.rate <= 0.0 || level >= 1.0 {
            return None;
        }
        let refill_rate = self.refill_rate();
        if refill_rate <= 0.0 {
            return Some(Duration::MAX);
        }
        Some(Duration::from_secs_f64((1.0 - level) / refill_rate))
    }
}

/// What the rate of a team allows at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateStanding {
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    /// The requests that may be admitted at once.
    pub(crate) level: f64,
    /// The time until the next request may be admitted; `None` if one may be at once.
    pub(crate) wait: Option<Duration>,
}

/// The token buckets of all teams.
#[derive(Clone, Debug, Default)]
pub struct RateLedger {
    tolerance: RateTolerance,
    buckets: HashMap<TeamName, TeamBucket>,
    holders: usize,
}

impl RateLedger {
    /// Creates a ledger without teams.
    #[must_use]
    pub fn new(tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Applies the rates of a plan. Existing buckets retain their levels, up to the new
    /// capacities.
    pub fn set_plan(&mut self, plan: &ServicePlan, now: Instant) {
        for team in &plan.raw().teams {
            let known = self.buckets.contains_key(&team.name);
            self.refill(&team.name, now);
            let initial = if known {
                0.0
            } else {
                self.tolerance.excess_of(team.rate, team.burst) * INITIAL_SHARE
            };
            let bucket = self.buckets.entry(team.name.clone()).or_insert(TeamBucket {
                rate: team.rate,
                burst: team.burst,
                detached_share: 0.0,
                level: initial,
                refilled_at: now,
            });
            bucket.rate = team.rate;
            bucket.burst = team.burst;
        }
        self.buckets.retain(|name, _| plan.team(name).is_some());
        self.clamp_levels();
    }

    /// Sets the number of hosts that hold a reserve of each team: one a zone.
    pub fn set_holders(&mut self, holders: usize) {
        if holders != self.holders {
            self.holders = holders;
            self.clamp_levels();
        }
    }

    /// Sets the share of each team's rate that detached holders may admit on their own;
    /// zero for teams that are not listed.
    pub fn set_detached_shares(&mut self, shares: &HashMap<TeamName, f64>, now: Instant) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let share = shares.get(&name).copied().unwrap_or_default();
            let is_same = |bucket: &TeamBucket| bucket.detached_share.total_cmp(&share).is_eq();
            if self.buckets.get(&name).is_some_and(is_same) {
                continue;
            }
            self.refill(&name, now);
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.detached_share = share;
            }
        }
    }

    /// Fills all buckets, for a fleet that has not admitted any request yet.
    pub fn fill_all(&mut self) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let capacity = self.capacity(&name);
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.level = capacity;
            }
        }
    }

    /// Takes one token for a request of a team.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next token of the team is available.
    pub fn take(&mut self, team: &TeamName, now: Instant) -> Result<(), Duration> {
        self.refill(team, now);
        let Some(bucket) = self.buckets.get_mut(team).filter(|b| b.rate > 0.0) else {
            return Ok(());
        };
        if let Some(wait) = bucket.wait_at(bucket.level) {
            return Err(wait);
        }
        bucket.level -= 1.0;
        Ok(())
    }

    /// What the rate of a team allows now; `None` if it has no limit. Nothing is taken.
    pub(crate) fn standing(&self, team: &TeamName, now: Instant) -> Option<RateStanding> {
        let bucket = self.buckets.get(team).filter(|b| b.rate > 0.0)?;
        let level = bucket.level_at(self.capacity(team), now);
        Some(RateStanding {
            rate: bucket.rate,
            burst: bucket.burst,
            level,
            wait: bucket.wait_at(level),
        })
    }

    /// Puts the token of a request that did not run back into the bucket.
    pub fn refund(&mut self, team: &TeamName) {
        let capacity = self.capacity(team);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + 1.0).min(capacity);
        }
    }

    /// Moves tokens from the bucket of a team into the reserve of a zone, up to the target
    /// reserve, and returns their number. `held` is the number that its holder has left.
    ///
    /// Half of the capacity stays in the bucket for current requests.
    pub fn top_up(&mut self, team: &PlanTeam, held: u32, now: Instant) -> u32 {
        self.refill(&team.name, now);
        let target = self.target_reserve(team.rate, team.burst);
        let capacity = self.capacity(&team.name);
        let Some(bucket) = self.buckets.get_mut(&team.name) else {
            return 0;
        };
        let available = (bucket.level - capacity / 2.0).max(0.0);
        let granted = f64::from(target.saturating_sub(held))
            .min(available)
            .floor();
        bucket.level -= granted;
        to_count(granted)
    }

    /// The target reserve of one zone, in tokens.
    fn target_reserve(&self, rate: f64, burst: f64) -> u32 {
        if self.holders == 0 || rate <= 0.0 {
            return 0;
        }
        let holders = host_count(self.holders);
        let spare_burst = (burst - ARRIVAL_DEVIATIONS * rate.sqrt()).max(0.0);
        let tolerated = self.tolerance.excess_of(rate, burst) * RESERVE_SHARE;
        let affordable = (tolerated + spare_burst * RESERVE_BURST_SHARE) / holders;
        let needed = (rate * RESERVE_SECONDS / holders).ceil();
        to_count(affordable.min(needed).floor())
    }

    fn capacity(&self, team: &TeamName) -> f64 {
        let Some(bucket) = self.buckets.get(team) else {
            return 0.0;
        };
        let reserves =
            f64::from(self.target_reserve(bucket.rate, bucket.burst)) * host_count(self.holders);
        let tolerance = self.tolerance.excess_of(bucket.rate, bucket.burst) * CAPACITY_SHARE;
        (bucket.burst + tolerance - reserves).max(1.0)
    }

    fn refill(&mut self, team: &TeamName, now: Instant) {
        let capacity = self.capacity(team);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = bucket.level_at(capacity, now);
            bucket.refilled_at = now;
        }
    }

    /// Reduces levels to the bucket capacities.
    fn clamp_levels(&mut self) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let capacity = self.capacity(&name);
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.level = bucket.level.min(capacity);
            }
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of hosts is far below 2^52"
)]
fn host_count(hosts: usize) -> f64 {
    hosts as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a small count"
)]
fn to_count(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
