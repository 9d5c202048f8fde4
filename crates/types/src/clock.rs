//! An abstraction over the system clock.
//!
//! Decision logic never reads the system clock. It receives the current instant or a
//! [`ClockSource`] from the task that drives it, so that tests can control time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Supplies the current time.
pub trait ClockSource: Send + Sync {
    /// The monotonic time, for deadlines and leases.
    fn now(&self) -> Instant;

    /// The wall-clock time, for values that are shown to people or leave the process.
    fn wall(&self) -> SystemTime;

    /// The wall-clock time since the Unix epoch; zero if the clock is set before it.
    fn since_epoch(&self) -> Duration {
        let elapsed = self.wall().duration_since(SystemTime::UNIX_EPOCH);
        elapsed.unwrap_or_default()
    }
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A monotonic clock that includes the time for which the machine was suspended.
///
/// A lease must not outlive a suspension of its holder. The monotonic clock of Linux
/// (`CLOCK_MONOTONIC`) does not advance during a suspension, so that a lease measured by
/// it would appear valid afterwards.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Instant,
    boot_origin: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the current instant.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            boot_origin: since_boot(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.boot_origin)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The time since boot is never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// A clock that is advanced explicitly, for tests and simulations.
///
/// Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock at its origin.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            elapsed: Arc::default(),
        }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
