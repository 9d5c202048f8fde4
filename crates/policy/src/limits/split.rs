//! Divides the limit of a team into the fleet's part and the reserves.

use super::RateLimit;

/// The limit of a team divided between its buckets.
///
/// The parts never add up to more than the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitLimit {
    /// The bucket for the whole fleet.
    pub fleet: RateLimit,
    /// Each reserve; `None` if the burst is too small to divide.
    pub reserve: Option<RateLimit>,
}

impl SplitLimit {
    /// Gives each of `reserves` reserves `percent` of rate and burst, at least
    /// one request of burst, and the rest to the fleet.
    ///
    /// At least half of the burst stays with the fleet.
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
