//! Parsers for the values of entries.

use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, ModelName, ServiceName};
use std::fmt::{self, Display};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// A type that an INI value can be parsed into.
pub(crate) trait SettingValue: Sized {
    /// The format of the value, as shown in remedies.
    const EXPECTED: &'static str;

    /// Parses the value; the error is one sentence without a full stop.
    fn parse(text: &str) -> Result<Self, String>;
}

macro_rules! name_values {
    ($($name:ident => $expected:literal,)*) => {$(
        impl SettingValue for $name {
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Result<Self, String> {
                Self::try_from(text).map_err(|error| error.to_string())
            }
        }
    )*};
}

name_values! {
    ClassName => "NAME",
    HostName => "NAME",
    ModelName => "NAME",
    ServiceName => "NAME",
    TeamName => "NAME",
    ZoneName => "NAME",
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "IP:PORT";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not an IP address with a port"))
    }
}

impl SettingValue for IpAddr {
    const EXPECTED: &'static str = "IP";

    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not an IP address"))
    }
}

impl SettingValue for PathBuf {
    const EXPECTED: &'static str = "PATH";

    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Err("the path is empty".to_owned());
        }
        Ok(Self::from(text))
    }
}

impl SettingValue for String {
    const EXPECTED: &'static str = "TEXT";

    fn parse(text: &str) -> Result<Self, String> {
        Ok(text.to_owned())
    }
}

/// The area of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ZoneArea {
    pub(crate) zone: ZoneName,
    pub(crate) area: AreaName,
}

impl Display for ZoneArea {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.zone, self.area)
    }
}

impl SettingValue for ZoneArea {
    const EXPECTED: &'static str = "ZONE:AREA";

    fn parse(text: &str) -> Result<Self, String> {
        let Some((zone, area)) = text.split_once(':') else {
            return Err(format!("`{text}` has no colon between zone and area"));
        };
        let zone = ZoneName::try_from(zone.trim()).map_err(|error| error.to_string())?;
        let area = AreaName::try_from(area.trim()).map_err(|error| error.to_string())?;
        Ok(Self { zone, area })
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "yes | no";

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("`{text}` is neither `yes` nor `no`")),
        }
    }
}

impl SettingValue for log::LevelFilter {
    const EXPECTED: &'static str = "off | error | warn | info | debug | trace";

    fn parse(text: &str) -> Result<Self, String> {
        Self::from_str(text).map_err(|_| format!("`{text}` is not a log level"))
    }
}

/// An integer within an inclusive range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WholeNumber<const MIN: u64, const MAX: u64>(pub(crate) u64);

impl<const MIN: u64, const MAX: u64> SettingValue for WholeNumber<MIN, MAX> {
    const EXPECTED: &'static str = "NUMBER";

    fn parse(text: &str) -> Result<Self, String> {
        let number: u64 = text
            .parse()
            .map_err(|_| format!("`{text}` is not a whole number"))?;
        if !(MIN..=MAX).contains(&number) {
            return Err(format!("{number} is not within {MIN} to {MAX}"));
        }
        Ok(Self(number))
    }
}

/// A positive duration in milliseconds, of at most one day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MillisValue(pub(crate) Duration);

/// The maximum duration, in milliseconds.
const MILLIS_MAX: u64 = 24 * 60 * 60 * 1000;

impl SettingValue for MillisValue {
    const EXPECTED: &'static str = "MILLISECONDS";

    fn parse(text: &str) -> Result<Self, String> {
        let WholeNumber(millis) = WholeNumber::<1, MILLIS_MAX>::parse(text)?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// A positive duration in seconds, of at most thirty days.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SecondsValue(pub(crate) Duration);

/// The maximum duration, in seconds.
const SECONDS_MAX: u64 = 30 * 24 * 60 * 60;

impl SettingValue for SecondsValue {
    const EXPECTED: &'static str = "SECONDS";

    fn parse(text: &str) -> Result<Self, String> {
        let WholeNumber(seconds) = WholeNumber::<1, SECONDS_MAX>::parse(text)?;
        Ok(Self(Duration::from_secs(seconds)))
    }
}

/// A non-empty list of distinct values, separated by commas.
#[derive(Clone, Debug)]
pub(crate) struct ValueList<T>(pub(crate) Vec<T>);

impl<T: SettingValue + PartialEq + Display> SettingValue for ValueList<T> {
    const EXPECTED: &'static str = "VALUE, VALUE, ...";

    fn parse(text: &str) -> Result<Self, String> {
        let mut values = Vec::new();
        for part in text.split(',') {
            let value = T::parse(part.trim())?;
            if values.contains(&value) {
                return Err(format!("`{value}` is listed twice"));
            }
            values.push(value);
        }
        Ok(Self(values))
    }
}

/// A decimal number from 0 to one million.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AmountValue(pub(crate) f64);

/// The maximum amount.
const AMOUNT_MAX: f64 = 1e6;

impl SettingValue for AmountValue {
    const EXPECTED: &'static str = "AMOUNT";

    fn parse(text: &str) -> Result<Self, String> {
        let amount: f64 = text
            .parse()
            .map_err(|_| format!("`{text}` is not a number"))?;
        if !(0.0..=AMOUNT_MAX).contains(&amount) {
            return Err(format!("{amount} is not within 0 to {AMOUNT_MAX}"));
        }
        Ok(Self(amount))
    }
}
