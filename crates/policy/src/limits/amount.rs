//! Exact amounts of tokens.
//!
//! An amount is a whole number of trillionths of a token: the refill of a rate
//! in thousandths of a token per second over a number of nanoseconds is then
//! exact, and no rounding adds up over time.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Trillionths in one token.
const PICOS_PER_TOKEN: u128 = 1_000_000_000_000;

/// Why a rate and burst cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// The rate is zero.
    #[error("the rate of a team must be above zero")]
    ZeroRate,
    /// The burst is zero, which would admit nothing.
    #[error("the burst of a team must be at least one request")]
    ZeroBurst,
}

/// An amount of tokens; one token admits one request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct TokenAmount(u128);

impl TokenAmount {
    /// No token.
    pub const ZERO: Self = Self(0);

    /// A whole number of tokens.
    #[must_use]
    pub fn whole(tokens: u64) -> Self {
        Self(u128::from(tokens) * PICOS_PER_TOKEN)
    }

    /// The whole tokens in the amount, rounded down.
    #[must_use]
    pub fn whole_tokens(self) -> u64 {
        u64::try_from(self.0 / PICOS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    /// The sum of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }

    /// The difference of two amounts, zero if `other` is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The rate and burst of a team, or of a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    rate_millis: u64,
    burst: u64,
}

impl RateLimit {
    /// A limit of `rate_millis` thousandths of a request per second and a
    /// burst of `burst` requests.
    ///
    /// # Errors
    ///
    /// Fails if either is zero.
    pub fn new(rate_millis: u64, burst: u64) -> Result<Self, LimitError> {
        if rate_millis == 0 {
            return Err(LimitError::ZeroRate);
        }
        if burst == 0 {
            return Err(LimitError::ZeroBurst);
        }
        Ok(Self { rate_millis, burst })
    }

    /// The rate in thousandths of a request per second.
    #[must_use]
    pub const fn rate_millis(self) -> u64 {
        self.rate_millis
    }

    /// The burst in requests.
    #[must_use]
    pub const fn burst(self) -> u64 {
        self.burst
    }

    /// The refill over a time.
    #[must_use]
    pub fn refill(self, elapsed: Duration) -> TokenAmount {
        TokenAmount(u128::from(self.rate_millis) * elapsed.as_nanos())
    }

    /// The shortest time whose refill reaches `amount`.
    #[must_use]
    pub fn time_for(self, amount: TokenAmount) -> Duration {
        let nanos = amount.0.div_ceil(u128::from(self.rate_millis));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
