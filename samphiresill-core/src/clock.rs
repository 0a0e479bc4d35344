//! The clock that is passed to whatever needs the time.

use std::time::{Duration, Instant, SystemTime};

/// `Clock` tells monotonic time since the start of the process, and wall time for records.
pub trait Clock: Send + Sync {
    /// Monotonic time since the clock was made; leases and timeouts use this one.
    fn monotonic(&self) -> Duration;
    /// Wall time, for records that people and other processes read.
    fn wall(&self) -> SystemTime;
}

/// `SystemClock` reads the clocks of the machine.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Makes a clock whose monotonic time starts now.
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
