//! The wall-clock timestamps carried in commands.

use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// Milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// The time `delay` later, saturating at the largest representable time.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// The duration since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> Self {
        let elapsed = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self::default().after(elapsed)
    }
}
