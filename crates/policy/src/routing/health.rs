//! Outlier ejection: failing servers are ejected and readmitted by single probes.

use std::time::{Duration, Instant};

/// Consecutive failures after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// The durations of ejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthTimes {
    /// The duration of the first ejection; it doubles with each consecutive one.
    pub first_ejection: Duration,
    /// The maximum duration of an ejection.
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

/// The health of a server, as observed by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerHealth {
    /// The server receives requests.
    Serving {
        /// Consecutive failures since the last response.
        failures: u32,
    },
    /// The server receives no requests until `until`, then a single probe.
    Ejected {
        /// The earliest instant of the probe.
        until: Instant,
        /// The duration of this ejection.
        length: Duration,
    },
    /// One request is in flight as a probe.
    Probing {
        /// The duration of the preceding ejection.
        length: Duration,
    },
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self::Serving { failures: 0 }
    }
}

impl ServerHealth {
    /// Returns whether a request may be sent to the server now.
    #[must_use]
    pub fn accepts_requests(self, now: Instant) -> bool {
        match self {
            Self::Serving { .. } => true,
            Self::Ejected { until, .. } => until <= now,
            Self::Probing { .. } => false,
        }
    }

    /// Returns the state after a request was sent to the server.
    #[must_use]
    pub fn started(self) -> Self {
        match self {
            Self::Ejected { length, .. } => Self::Probing { length },
            other => other,
        }
    }

    /// Returns the state after the server responded.
    #[must_use]
    pub fn answered(self) -> Self {
        match self {
            // The request was sent before the ejection, so its response does not show
            // that the server has recovered.
            Self::Ejected { .. } => self,
            _ => Self::default(),
        }
    }

    /// Returns the state after a request ended without showing whether the server
    /// works. A probe may then be repeated at once.
    #[must_use]
    pub fn inconclusive(self, now: Instant) -> Self {
        match self {
            Self::Probing { length } => Self::Ejected { until: now, length },
            other => other,
        }
    }

    /// Returns the state after a failure; `may_eject` is false while too many other
    /// servers are ejected.
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
