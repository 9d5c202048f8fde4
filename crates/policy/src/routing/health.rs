//! Ejects servers that fail and lets them back through single probes.

use std::time::{Duration, Instant};

/// Failures in a row that eject a server.
const EJECT_AFTER_FAILURES: u32 = 3;

/// How long ejections last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthTimes {
    /// The first ejection; each one in a row doubles it.
    pub first_ejection: Duration,
    /// The longest ejection.
    pub longest_ejection: Duration,
}

impl Default for HealthTimes {
    fn default() -> Self {
        Self {
            first_ejection: Duration::from_secs(1),
            longest_ejection: Duration::from_secs(30),
        }
    }
}

/// Whether a server gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerHealth {
    /// It gets requests; the number of failures in a row is kept.
    Serving {
        /// Failures since the last answer.
        failures: u32,
    },
    /// It gets none until the instant, then one probe.
    Ejected {
        /// The earliest probe.
        until: Instant,
        /// The length of this ejection.
        length: Duration,
    },
    /// One request is under way to find out whether it serves again.
    Probing {
        /// The length of the ejection before.
        length: Duration,
    },
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self::Serving { failures: 0 }
    }
}

impl ServerHealth {
    /// Whether the server may get a request now.
    #[must_use]
    pub fn accepts_requests(self, now: Instant) -> bool {
        match self {
            Self::Serving { .. } => true,
            Self::Ejected { until, .. } => until <= now,
            Self::Probing { .. } => false,
        }
    }

    /// Notes that a request goes to the server.
    #[must_use]
    pub fn started(self) -> Self {
        match self {
            Self::Ejected { length, .. } => Self::Probing { length },
            other => other,
        }
    }

    /// Notes that the server answered.
    #[must_use]
    pub fn answered(self) -> Self {
        match self {
            // An answer to a request sent before the ejection proves nothing.
            Self::Ejected { .. } => self,
            _ => Self::default(),
        }
    }

    /// Notes that a probe ended without telling anything.
    #[must_use]
    pub fn undecided(self, now: Instant) -> Self {
        match self {
            Self::Probing { length } => Self::Ejected { until: now, length },
            other => other,
        }
    }

    /// Notes that the server failed; `may_eject` is false while too many
    /// others are ejected.
    #[must_use]
    pub fn failed(self, times: HealthTimes, may_eject: bool, now: Instant) -> Self {
        match self {
            Self::Serving { failures } => {
                let failures = failures.saturating_add(1);
                if failures < EJECT_AFTER_FAILURES || !may_eject {
                    return Self::Serving { failures };
                }
                Self::eject(times.first_ejection, now)
            }
            Self::Probing { length } => Self::eject((length * 2).min(times.longest_ejection), now),
            Self::Ejected { .. } => self,
        }
    }

    fn eject(length: Duration, now: Instant) -> Self {
        Self::Ejected {
            until: now + length,
            length,
        }
    }
}
