//! Time as an interface.
//!
//! Decisions never read the system clock. They receive the current instant, or
//! a [`ClockSource`], from the task that drives them, so tests can choose every
//! schedule.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Supplies the current time.
pub trait ClockSource: Send + Sync {
    /// The monotonic time, for deadlines and leases.
    fn now(&self) -> Instant;

    /// The calendar time, for values that people read or that leave the process.
    fn wall(&self) -> SystemTime;

    /// The calendar time since the Unix epoch; zero for a clock set before it.
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

/// A monotonic clock that also counts the time for which the machine was suspended.
///
/// A lease that is held over a suspension must have run out afterwards; the plain
/// monotonic clock of Linux stands still meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Instant,
    boot_origin: Duration,
}

impl BootClock {
    /// A clock that starts at the present instant.
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
    // The kernel's time since boot is never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// A clock that moves only when told to, for tests and simulations.
///
/// Clones share one time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// A clock standing at its origin.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            elapsed: Arc::default(),
        }
    }

    /// Moves the clock forward by `step`.
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
