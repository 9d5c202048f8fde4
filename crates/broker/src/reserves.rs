//! The reserves that one entry host holds for the teams of its zone.
//!
//! While the holder is in touch with the broker, a reserve is only filled by the broker.
//! Once the holder has been out of touch for [`SELF_REFILL_AFTER`], it also earns the
//! zone's share of the team's rate, which the broker then withholds from its own bucket.

use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The age of a holder's view from which a reserve earns the zone's share of the rate. The
/// broker counts a holder as detached sooner than that.
pub const SELF_REFILL_AFTER: Duration = Duration::from_millis(700);

/// The longest time for which an unused share of the rate is kept.
const SHARE_KEPT: Duration = Duration::from_secs(1);

/// The rate of a team, of which a holder may admit a share on its own.
#[derive(Clone, Copy, Debug)]
pub struct ReserveTerms {
    /// The rate of the team, in requests per second.
    pub rate: f64,
    /// The share of the holder's zone.
    pub share: f64,
    /// The time after the last sync at which the holder stops to admit requests.
    pub lease: Duration,
}

#[derive(Clone, Debug, Default)]
struct TeamReserve {
    /// Requests that the broker moved here from the team's bucket.
    granted: u32,
    /// The unused part of the zone's share of the rate, in requests.
    earned: f64,
    /// Up to when the share has been earned.
    earned_until: Option<Instant>,
    /// When the caller that was refused last was told to return.
    last_return_at: Option<Instant>,
}

/// The reserves that one host holds.
#[derive(Clone, Debug, Default)]
pub struct HeldReserves {
    teams: HashMap<TeamName, TeamReserve>,
}

impl HeldReserves {
    /// Adds requests that the broker moved into the reserve of a team.
    pub fn add(&mut self, team: TeamName, requests: u32) {
        self.teams.entry(team).or_default().granted += requests;
    }

    /// Discards what the reserves earned, since the broker admits the whole rate again.
    pub fn end_self_refill(&mut self) {
        for reserve in self.teams.values_mut() {
            reserve.earned = 0.0;
            reserve.earned_until = None;
            reserve.last_return_at = None;
        }
    }

    /// Discards what the broker granted under an earlier plan to teams whose limit a newer one
    /// lowers. The broker grants anew what the limit in force allows.
    pub fn discard_lowered(&mut self, mut is_lowered: impl FnMut(&TeamName) -> bool) {
        for (team, reserve) in &mut self.teams {
            if is_lowered(team) {
                reserve.granted = 0;
            }
        }
    }

    /// Discards the reserves of teams that another host holds now.
    pub fn retain(&mut self, mut is_held: impl FnMut(&TeamName) -> bool) {
        self.teams.retain(|team, _| is_held(team));
    }

    /// The requests that the broker granted and that are left, by team.
    #[must_use]
    pub fn granted(&self) -> Vec<(TeamName, u32)> {
        let granted = self.teams.iter().filter(|(_, reserve)| reserve.granted > 0);
        granted
            .map(|(team, reserve)| (team.clone(), reserve.granted))
            .collect()
    }

    /// Takes one request from the reserve of a team.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request is earned that no caller was told to return
    /// for yet, or `None` if the holder's lease ends before.
    pub fn take(
        &mut self,
        team: &TeamName,
        terms: ReserveTerms,
        fresh_at: Instant,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let lease_end = fresh_at + terms.lease;
        if now >= lease_end {
            return Err(None);
        }
        let reserve = self.teams.entry(team.clone()).or_default();
        if reserve.granted > 0 {
            reserve.granted -= 1;
            return Ok(());
        }
        let rate = terms.rate * terms.share;
        reserve.earn(rate, fresh_at + SELF_REFILL_AFTER, now);
        if reserve.earned >= 1.0 {
            reserve.earned -= 1.0;
            return Ok(());
        }
        if rate <= 0.0 {
            return Err(None);
        }
        let earning = |requests: f64| {
            let seconds = (requests / rate).min(terms.lease.as_secs_f64());
            Duration::from_secs_f64(seconds)
        };
        let starts_at = now.max(fresh_at + SELF_REFILL_AFTER);
        let earned_at = starts_at + earning(1.0 - reserve.earned);
        let after_last = reserve.last_return_at.map(|at| at + earning(1.0));
        let return_at = earned_at.max(after_last.unwrap_or(earned_at));
        if return_at >= lease_end {
            return Err(None);
        }
        reserve.last_return_at = Some(return_at);
        Err(Some(return_at.saturating_duration_since(now)))
    }
}

impl TeamReserve {
    /// Earns `rate` since `start`, or since the last call.
    fn earn(&mut self, rate: f64, start: Instant, now: Instant) {
        let since = self.earned_until.unwrap_or(start).max(start);
        if now <= since {
            return;
        }
        let elapsed = now.saturating_duration_since(since);
        // Teams with a low rate must be able to save up one request.
        let most = (rate * SHARE_KEPT.as_secs_f64()).max(1.0);
        self.earned = (self.earned + rate * elapsed.as_secs_f64()).min(most);
        self.earned_until = Some(now);
    }
}
