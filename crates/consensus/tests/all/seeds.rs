//! The seeds of randomized tests: a fixed range, unless environment variables set another.

use std::ops::Range;

/// Sets the number of seeds; a failing test prints its seed.
const SEED_COUNT_VARIABLE: &str = "CHICORYLADDER_SEEDS";

/// Sets the first seed.
const FIRST_SEED_VARIABLE: &str = "CHICORYLADDER_FIRST_SEED";

pub(crate) fn seeds(default_count: u64) -> Range<u64> {
    let first = number(FIRST_SEED_VARIABLE).unwrap_or(1);
    let count = number(SEED_COUNT_VARIABLE).unwrap_or(default_count);
    first..first + count
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
