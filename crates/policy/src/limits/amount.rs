//! Fixed-point token amounts and the rate limit of a bucket.
//!
//! Amounts are integers in units of 10^-12 token (picotokens). A rate in
//! thousandths of a token per second multiplied by a time in nanoseconds is then
//! exact, so no rounding errors accumulate.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Picotokens in one token.
const PICOS_PER_TOKEN: u128 = 1_000_000_000_000;

/// Why a rate and burst are not a valid [`RateLimit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// The rate is zero.
    #[error("the rate of a team must be above zero")]
    ZeroRate,
    /// The burst is zero, so no request could ever be admitted.
    #[error("the burst of a team must be at least one request")]
    ZeroBurst,
}

/// An amount of tokens; one token admits one request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct TokenAmount(u128);

impl TokenAmount {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);

    /// Creates an amount of whole tokens.
    #[must_use]
    pub fn whole(tokens: u64) -> Self {
        Self(u128::from(tokens) * PICOS_PER_TOKEN)
    }

    /// Returns the number of whole tokens, rounded down.
    #[must_use]
    pub fn whole_tokens(self) -> u64 {
        u64::try_from(self.0 / PICOS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }

    /// Returns the difference of two amounts, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    rate_millis: u64,
    burst: u64,
}

impl RateLimit {
    /// Creates a limit of `rate_millis` thousandths of a request per second and
    /// a burst of `burst` requests.
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

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn rate_millis(self) -> u64 {
        self.rate_millis
    }

    /// Returns the burst in requests.
    #[must_use]
    pub const fn burst(self) -> u64 {
        self.burst
    }

    /// Returns the tokens added during `elapsed`, without the cap of the burst.
    #[must_use]
    pub fn refill(self, elapsed: Duration) -> TokenAmount {
        TokenAmount(u128::from(self.rate_millis) * elapsed.as_nanos())
    }

    /// Returns the shortest time in which the refill reaches `amount`.
    #[must_use]
    pub fn time_for(self, amount: TokenAmount) -> Duration {
        let nanos = amount.0.div_ceil(u128::from(self.rate_millis));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
