//! The limit that a target names on the requests per second from all routers together.

use std::collections::VecDeque;
use std::time::Duration;

use samphiresill_core::units::RequestRate;

/// Length of the window in which the requests to a limited target are counted for the log.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests that are counted in the window.
const MAX_COUNTED: usize = 4_096;

/// `RateLimit` is the limit of one target, and the recent requests to it.
#[derive(Clone, Debug)]
pub struct RateLimit {
    rate: RequestRate,
    /// When a response last named the limit.
    named_at: Duration,
    /// Times of recent requests of all routers.
    starts: VecDeque<Duration>,
}

impl RateLimit {
    /// Creates a limit that a response has just named.
    #[must_use]
    pub fn new(rate: RequestRate, now: Duration) -> Self {
        Self {
            rate,
            named_at: now,
            starts: VecDeque::new(),
        }
    }

    /// Returns the requests per second that the target takes.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Returns when a response last named the limit.
    #[must_use]
    pub fn named_at(&self) -> Duration {
        self.named_at
    }

    /// Records that a response has named the limit again.
    pub fn name(&mut self, rate: RequestRate, now: Duration) {
        self.rate = rate;
        self.named_at = now;
    }

    /// Counts a request that was sent to the target.
    pub fn record_start(&mut self, now: Duration) {
        let is_old = |at: &Duration| now.saturating_sub(*at) > WINDOW;
        while self.starts.front().is_some_and(is_old) || self.starts.len() >= MAX_COUNTED {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns the number of requests in the last four seconds, by all routers.
    #[must_use]
    pub fn recent_starts(&self, now: Duration) -> usize {
        let recent = self.starts.iter();
        recent
            .filter(|at| now.saturating_sub(**at) <= WINDOW)
            .count()
    }
}
