//! Divides the limit of a team into the fleet's part and the zones' parts.

use super::RateLimit;

/// The limit of a team divided between its buckets.
///
/// The parts never add up to more than the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitLimit {
    /// The bucket for the whole fleet.
    pub fleet: RateLimit,
    /// The bucket of each zone; `None` if the burst is too small to divide.
    pub zone: Option<RateLimit>,
}

impl SplitLimit {
    /// Gives each of `zones` zones `percent` of rate and burst, at least one
    /// request of burst, and the rest to the fleet.
    ///
    /// At least half of the burst stays with the fleet.
    #[must_use]
    pub fn new(whole: RateLimit, zones: u64, percent: u64) -> Self {
        let burst = (whole.burst() * percent / 100).max(1);
        let rate = whole.rate_millis() * percent / 100;
        let undivided = Self {
            fleet: whole,
            zone: None,
        };
        let zone_bursts = burst * zones;
        if zones == 0 || zone_bursts * 2 > whole.burst() {
            return undivided;
        }
        let fleet_rate = whole.rate_millis().saturating_sub(rate * zones);
        let fleet = RateLimit::new(fleet_rate, whole.burst() - zone_bursts);
        match (fleet, RateLimit::new(rate, burst)) {
            (Ok(fleet), Ok(zone)) => Self {
                fleet,
                zone: Some(zone),
            },
            _ => undivided,
        }
    }
}
