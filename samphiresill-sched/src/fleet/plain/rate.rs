//! Recent rate of an event, as an exponentially decayed count.

use std::time::Duration;

/// Time constant of the decay: a few times the latency of a plain service.
const TIME_CONSTANT_S: f64 = 0.5;

/// `RecentRate` is the recent rate of an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRate {
    count: f64,
    counted_at: Duration,
}

impl RecentRate {
    /// Counts one event.
    pub fn record(&mut self, now: Duration) {
        self.count = self.count(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the decayed count.
    #[must_use]
    pub fn count(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-age / TIME_CONSTANT_S).exp()
    }
}
