//! A retry budget: limits retries to a share of first attempts.

use std::time::{Duration, Instant};

/// The cost of one retry, in thousandths of a retry, the unit of the balance.
const RETRY_COST_MILLIS: u64 = 1_000;

/// Permits a class to retry a share of its first attempts, plus a small constant rate,
/// the floor.
///
/// The floor keeps retries possible for a class with little traffic.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The available retries, in thousandths.
    balance_millis: u64,
    /// The maximum balance.
    ceiling_millis: u64,
    /// The amount that each first attempt adds to the balance.
    deposit_millis: u64,
    floor_per_second: u64,
    /// The time up to which the floor was added to the balance.
    floor_credited_at: Option<Instant>,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred first attempts plus
    /// `floor_per_second` retries per second. At most `ceiling` unused retries
    /// accumulate; a new budget starts with that many.
    #[must_use]
    pub fn new(percent: u32, floor_per_second: u32, ceiling: u32) -> Self {
        let ceiling_millis = u64::from(ceiling) * RETRY_COST_MILLIS;
        Self {
            balance_millis: ceiling_millis,
            ceiling_millis,
            deposit_millis: u64::from(percent) * RETRY_COST_MILLIS / 100,
            floor_per_second: u64::from(floor_per_second),
            floor_credited_at: None,
        }
    }

    /// Records a first attempt, which adds a share of a retry to the budget.
    pub fn record_first_attempt(&mut self) {
        self.add(self.deposit_millis);
    }

    /// Spends one retry; returns `false` if less than one is available.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.credit_floor(now);
        let Some(remaining) = self.balance_millis.checked_sub(RETRY_COST_MILLIS) else {
            return false;
        };
        self.balance_millis = remaining;
        true
    }

    /// Adds the floor for the time since the last call.
    fn credit_floor(&mut self, now: Instant) {
        let credited_at = *self.floor_credited_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(credited_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        // A unit of the balance is a thousandth of a retry, so a rate of one retry
        // per second adds one unit per millisecond.
        self.add(elapsed_ms.saturating_mul(self.floor_per_second));
        self.floor_credited_at = Some(credited_at + Duration::from_millis(elapsed_ms));
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
