//! Shortest latency objective among the recent requests of a service.
//!
//! Handles the load pattern in which requests with long and with short latency objectives share
//! engines: engines prefill in order of arrival, so a queue that the long objectives allow delays
//! the short ones beyond theirs. All requests are admitted by the shortest objective that is in
//! use, which costs no throughput, because the engines still have work queued.

use std::time::Duration;

/// Relative growth of the estimate with each request that has a longer objective: an objective that
/// one in a hundred requests has still bounds the queue.
const GROWTH: f64 = 0.003;

/// `ShortestObjective` follows the shortest objective at once, and grows slowly towards longer
/// ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortestObjective {
    objective: Duration,
}

impl ShortestObjective {
    /// Returns the estimate; `None` before the first request.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        Some(self.objective).filter(|objective| !objective.is_zero())
    }

    /// Updates the estimate with the objective of a request, and returns it.
    pub fn observe(&mut self, objective: Duration) -> Duration {
        let grown = self.objective.mul_f64(1.0 + GROWTH);
        self.objective = if self.objective.is_zero() {
            objective
        } else {
            grown.min(objective)
        };
        self.objective
    }
}
