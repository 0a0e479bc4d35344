//! Time source that is injected wherever the current time is needed.

use std::time::{Duration, Instant, SystemTime};

/// `Clock` provides monotonic time for measuring intervals and wall-clock time for records.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since the clock was created. Leases and timeouts are based on it.
    fn monotonic(&self) -> Duration;
    /// Returns the wall-clock time, for records that people and other processes read.
    fn wall(&self) -> SystemTime;
}

/// `SystemClock` reads the clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
