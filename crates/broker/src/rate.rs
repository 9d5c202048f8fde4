//! What teams may spend on requests.
//!
//! A team with rate R and burst B has one bucket. Entry hosts hold small reserves
//! taken from it, for the time in which they cannot reach the broker. The bucket
//! is as deep as B and a part of the tolerance less all reserves that may be out,
//! so in a window of length t no more than B + R t and the tolerance are admitted,
//! whatever the hosts do.

use chicoryladder_plan::{PlanTeam, ServicePlan};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The share of a team's depth that reserves may take.
const RESERVE_SHARE: f64 = 0.4;

/// Reserves cover this much of a team's rate, in seconds.
const RESERVE_SECONDS: f64 = 3.0;

/// The part of the tolerance by which a bucket is deeper than the burst, for
/// differences in the time that requests travel.
const DEPTH_SHARE: f64 = 0.3;

/// The part of the tolerance that a new broker starts with: it does not know what
/// the one before has admitted. Two may follow each other within a window.
const START_SHARE: f64 = 0.3;

/// By how much the admitted requests may exceed rate and burst in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTolerance {
    /// Requests, whatever the team's rate.
    pub requests: f64,
    /// The part of what rate and burst allow in a window.
    pub share: f64,
    /// The window.
    pub window: Duration,
}

impl RateTolerance {
    /// The requests of a team that may be admitted too many.
    fn of(&self, rate: f64, burst: f64) -> f64 {
        self.requests + self.share * (rate * self.window.as_secs_f64() + burst)
    }
}

#[derive(Clone, Debug)]
struct TeamBucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled_at: Instant,
}

/// The buckets of all teams.
#[derive(Clone, Debug, Default)]
pub struct RateLedger {
    tolerance: RateTolerance,
    buckets: HashMap<TeamName, TeamBucket>,
    holders: usize,
}

impl RateLedger {
    /// A ledger without teams.
    #[must_use]
    pub fn new(tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Takes over the rates of a plan; levels stay, as far as they fit.
    pub fn set_plan(&mut self, plan: &ServicePlan, now: Instant) {
        for team in &plan.raw().teams {
            let known = self.buckets.contains_key(&team.name);
            self.fill(&team.name, now);
            let start = if known {
                0.0
            } else {
                self.tolerance.of(team.rate, team.burst) * START_SHARE
            };
            let bucket = self.buckets.entry(team.name.clone()).or_insert(TeamBucket {
                rate: team.rate,
                burst: team.burst,
                level: start,
                filled_at: now,
            });
            bucket.rate = team.rate;
            bucket.burst = team.burst;
        }
        self.buckets.retain(|name, _| plan.team(name).is_some());
        self.trim();
    }

    /// Sets the number of hosts that hold reserves.
    pub fn set_holders(&mut self, holders: usize) {
        self.holders = holders;
        self.trim();
    }

    /// Fills the buckets up, for a system that starts with no request admitted.
    pub fn fill_all(&mut self) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let depth = self.depth(&name);
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.level = depth;
            }
        }
    }

    /// Pays for one request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the team can pay again.
    pub fn take(&mut self, team: &TeamName, now: Instant) -> Result<(), Duration> {
        self.fill(team, now);
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        if bucket.rate <= 0.0 {
            return Ok(());
        }
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - bucket.level) / bucket.rate))
    }

    /// Returns what was paid for a request that did not run.
    pub fn refund(&mut self, team: &TeamName) {
        let depth = self.depth(team);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + 1.0).min(depth);
        }
    }

    /// Takes what a host lacks of its reserve; returns how much to add.
    ///
    /// Half of the bucket is left to requests, which need it now.
    pub fn top_up(&mut self, team: &PlanTeam, held: u32, now: Instant) -> u32 {
        self.fill(&team.name, now);
        let wanted = self.reserve(team.rate, team.burst);
        let depth = self.depth(&team.name);
        let Some(bucket) = self.buckets.get_mut(&team.name) else {
            return 0;
        };
        let spare = (bucket.level - depth / 2.0).max(0.0);
        let lacking = f64::from(wanted.saturating_sub(held)).min(spare).floor();
        bucket.level -= lacking;
        whole(lacking)
    }

    /// The reserve of one host.
    fn reserve(&self, rate: f64, burst: f64) -> u32 {
        if self.holders == 0 || rate <= 0.0 {
            return 0;
        }
        let holders = count(self.holders);
        let affordable = burst * RESERVE_SHARE / holders;
        let useful = (rate * RESERVE_SECONDS / holders).ceil();
        whole(affordable.min(useful).floor())
    }

    fn depth(&self, team: &TeamName) -> f64 {
        let Some(bucket) = self.buckets.get(team) else {
            return 0.0;
        };
        let reserves = f64::from(self.reserve(bucket.rate, bucket.burst)) * count(self.holders);
        let tolerance = self.tolerance.of(bucket.rate, bucket.burst) * DEPTH_SHARE;
        (bucket.burst + tolerance - reserves).max(1.0)
    }

    fn fill(&mut self, team: &TeamName, now: Instant) {
        let depth = self.depth(team);
        if let Some(bucket) = self.buckets.get_mut(team) {
            let elapsed = now.saturating_duration_since(bucket.filled_at);
            bucket.level = (bucket.level + bucket.rate * elapsed.as_secs_f64()).min(depth);
            bucket.filled_at = now;
        }
    }

    /// Cuts levels down to their depth.
    fn trim(&mut self) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let depth = self.depth(&name);
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.level = bucket.level.min(depth);
            }
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of hosts is far below 2^52"
)]
fn count(hosts: usize) -> f64 {
    hosts as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a small count"
)]
fn whole(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
