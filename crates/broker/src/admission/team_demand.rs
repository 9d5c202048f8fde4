//! The recent demand of teams, and the rate at which each is served under equal shares.

use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time constant of the demand, in seconds: short enough to follow a wave.
const DEMAND_SECONDS: f64 = 1.0;

/// The demand below which a team is forgotten, in requests a second.
const DEMAND_MIN: f64 = 0.01;

/// The interval at which teams without demand are forgotten.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// The least part of the service rate that a rank is assumed to get.
const RANK_SHARE_MIN: f64 = 0.05;

/// Exponentially decaying arrivals.
#[derive(Clone, Copy, Debug)]
struct RecentArrivals {
    count: f64,
    at: Instant,
}

impl RecentArrivals {
    fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age / DEMAND_SECONDS).exp() / DEMAND_SECONDS
    }
}

/// The arrivals of each team in each rank.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamDemand {
    arrivals: HashMap<(u32, Option<TeamName>), RecentArrivals>,
    cleaned_up_at: Option<Instant>,
}

impl TeamDemand {
    pub(super) fn record(&mut self, rank: u32, team: Option<&TeamName>, now: Instant) {
        let none = RecentArrivals {
            count: 0.0,
            at: now,
        };
        let arrivals = self.arrivals.entry((rank, team.cloned())).or_insert(none);
        arrivals.count = arrivals.per_second(now) * DEMAND_SECONDS + 1.0;
        arrivals.at = now;
        let cleaned_up_at = *self.cleaned_up_at.get_or_insert(now);
        if now.saturating_duration_since(cleaned_up_at) >= CLEAN_UP_INTERVAL {
            self.cleaned_up_at = Some(now);
            let is_recent = |recent: &RecentArrivals| recent.per_second(now) >= DEMAND_MIN;
            self.arrivals.retain(|_, recent| is_recent(recent));
        }
    }

    /// The rate at which a rank is served: what higher ranks leave.
    pub(super) fn rank_rate(&self, rank: u32, service_rate: f64, now: Instant) -> f64 {
        let higher = self.arrivals.iter().filter(|((other, _), _)| *other < rank);
        let demand: f64 = higher.map(|(_, arrivals)| arrivals.per_second(now)).sum();
        (service_rate - demand).max(service_rate * RANK_SHARE_MIN)
    }

    /// The rate at which a team that always has requests queued is served: what higher ranks
    /// leave, in equal shares, plus what other teams leave of theirs.
    pub(super) fn team_rate(
        &self,
        rank: u32,
        team: Option<&TeamName>,
        service_rate: f64,
        now: Instant,
    ) -> f64 {
        let mut others = Vec::new();
        for ((other_rank, other), arrivals) in &self.arrivals {
            if *other_rank == rank && other.as_ref() != team {
                others.push(arrivals.per_second(now));
            }
        }
        let mut left = self.rank_rate(rank, service_rate, now);
        others.sort_unstable_by(f64::total_cmp);
        let mut sharing = f64::from(u32::try_from(others.len()).unwrap_or(u32::MAX)) + 1.0;
        for demand in others {
            if demand > left / sharing {
                break;
            }
            left -= demand;
            sharing -= 1.0;
        }
        left / sharing
    }
}
