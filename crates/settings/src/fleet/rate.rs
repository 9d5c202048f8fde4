//! Request rates with an exact decimal representation.

use crate::value::SettingValue;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of thousandths in one unit.
const MILLI_PER_UNIT: u64 = 1000;

/// The maximum rate, in requests per second.
const RATE_MAX: u64 = 1_000_000;

/// A rate in requests per second, exact to a thousandth.
///
/// It is stored as an integer so that hosts cannot differ by rounding errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// The rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.0
    }

    /// The rate in requests per second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLI_PER_UNIT as f64
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / MILLI_PER_UNIT;
        let milli = self.0 % MILLI_PER_UNIT;
        if milli == 0 {
            return write!(f, "{whole}");
        }
        let digits = format!("{milli:03}");
        write!(f, "{whole}.{}", digits.trim_end_matches('0'))
    }
}

impl SettingValue for RequestRate {
    const EXPECTED: &'static str = "REQUESTS_PER_SECOND";

    fn parse(text: &str) -> Result<Self, String> {
        let malformed = || format!("`{text}` is not a number with at most three decimals");
        let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(decimals) || decimals.len() > 3 {
            return Err(malformed());
        }
        let whole: u64 = whole.parse().map_err(|_| malformed())?;
        let milli: u64 = format!("{decimals:0<3}").parse().map_err(|_| malformed())?;
        if whole > RATE_MAX || whole + milli == 0 {
            return Err(format!(
                "{text} is not above 0 and at most {RATE_MAX} a second"
            ));
        }
        Ok(Self(whole * MILLI_PER_UNIT + milli))
    }
}
