//! Limits retries to a share of first attempts.

use std::time::{Duration, Instant};

/// The price of one retry, in the unit of the balance.
const RETRY_PRICE_MILLIS: u64 = 1_000;

/// Lets a class retry a share of its first attempts, plus a small constant rate.
///
/// The constant rate keeps retries possible for a class with little traffic.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_millis: u64,
    ceiling_millis: u64,
    deposit_millis: u64,
    floor_per_second: u64,
    floor_paid_at: Option<Instant>,
}

impl RetryBudget {
    /// A budget of `percent` retries for a hundred first attempts and
    /// `floor_per_second` besides; at most `ceiling` unused retries are kept.
    #[must_use]
    pub fn new(percent: u32, floor_per_second: u32, ceiling: u32) -> Self {
        let ceiling_millis = u64::from(ceiling) * RETRY_PRICE_MILLIS;
        Self {
            balance_millis: ceiling_millis,
            ceiling_millis,
            deposit_millis: u64::from(percent) * RETRY_PRICE_MILLIS / 100,
            floor_per_second: u64::from(floor_per_second),
            floor_paid_at: None,
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.add(self.deposit_millis);
    }

    /// Takes one retry out of the budget; false if none is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.pay_floor(now);
        let Some(rest) = self.balance_millis.checked_sub(RETRY_PRICE_MILLIS) else {
            return false;
        };
        self.balance_millis = rest;
        true
    }

    fn pay_floor(&mut self, now: Instant) {
        let paid_at = *self.floor_paid_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(paid_at);
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // A balance unit is a thousandth of a retry, so a rate of one retry a
        // second pays one unit for each millisecond.
        self.add(millis.saturating_mul(self.floor_per_second));
        self.floor_paid_at = Some(paid_at + Duration::from_millis(millis));
    }

    fn add(&mut self, amount_millis: u64) {
        let sum = self.balance_millis.saturating_add(amount_millis);
        self.balance_millis = sum.min(self.ceiling_millis);
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        const PERCENT: u32 = 20;
        const FLOOR_PER_SECOND: u32 = 2;
        const CEILING: u32 = 20;
        Self::new(PERCENT, FLOOR_PER_SECOND, CEILING)
    }
}
