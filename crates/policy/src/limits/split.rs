//! Splits the limit of a team between the fleet bucket and the reserves.

use super::RateLimit;

/// The limit of a team, split between its buckets.
///
/// The sum of the parts never exceeds the limit of the team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitLimit {
    /// The limit of the fleet bucket.
    pub fleet: RateLimit,
    /// The limit of each reserve; `None` if the burst is too small to split.
    pub reserve: Option<RateLimit>,
}

impl SplitLimit {
    /// Assigns `percent` of the rate and burst to each of `reserves` reserves,
    /// with a burst of at least one request, and the remainder to the fleet.
    ///
    /// If the fleet would be left with less than half of the burst, the whole
    /// limit is assigned to the fleet.
    #[must_use]
    pub fn new(whole: RateLimit, reserves: u64, percent: u64) -> Self {
        let burst = (whole.burst() * percent / 100).max(1);
        let rate = whole.rate_millis() * percent / 100;
        let undivided = Self {
            fleet: whole,
            reserve: None,
        };
        let reserved_burst = burst * reserves;
        if reserves == 0 || reserved_burst * 2 > whole.burst() {
            return undivided;
        }
        let fleet_rate = whole.rate_millis().saturating_sub(rate * reserves);
        let fleet = RateLimit::new(fleet_rate, whole.burst() - reserved_burst);
        match (fleet, RateLimit::new(rate, burst)) {
            (Ok(fleet), Ok(reserve)) => Self {
                fleet,
                reserve: Some(reserve),
            },
            _ => undivided,
        }
    }
}
