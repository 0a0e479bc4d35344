//! Learnt number of requests that a target of a plain service takes at a time.
//!
//! Handles the load pattern in which a target turns requests away when its queue, whose length is
//! unknown, is full. Routers hold the requests that a target need not have yet, so that each goes to
//! the target that is free first, and a temporarily slow target holds few of them.

use std::time::Duration;

/// Requests that a target gets at most, in multiples of its slots. Events from other routers are
/// 25 ms old and waiting requests look for a target every few tens of milliseconds; some requests
/// beyond the slots keep these busy meanwhile.
const MAX_ROUNDS: f64 = 1.5;
/// Factor on the room after a rejection.
const DECREASE: f64 = 0.7;
/// Increase of the room after as many answers as it holds requests.
const INCREASE: f64 = 1.0;
/// Time after a rejection in which other routers may not know of it: the requests that they send
/// meanwhile say nothing new.
const VIEW_AGE: Duration = Duration::from_millis(50);
/// Time without requests after a rejection; doubles with each further one without an answer.
const TRIAL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of doublings of the interval.
const MAX_DOUBLINGS: u32 = 4;

/// `Room` is the learnt number of requests that a target takes at a time.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    max: f64,
    requests: f64,
    rejected_at: Option<Duration>,
    /// Rejections since the last answer to a request sent after one.
    rejections: u32,
    closed_until: Duration,
}

impl Room {
    /// Creates the room of a target that has turned no request away.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let max = f64::from(slots.max(1)) * MAX_ROUNDS;
        Self {
            max,
            requests: max,
            rejected_at: None,
            rejections: 0,
            closed_until: Duration::ZERO,
        }
    }

    /// Returns how many more requests the target takes when `running` are there.
    #[must_use]
    pub fn free(&self, running: usize, now: Duration) -> usize {
        if now < self.closed_until {
            return 0;
        }
        (self.requests as usize).saturating_sub(running)
    }

    /// Returns whether one more request beside `running` others would try the limit.
    #[must_use]
    pub fn is_trial(&self, running: usize) -> bool {
        running + 1 >= self.requests as usize
    }

    /// Records that the target turned a request away that was sent at `sent_at`, when `running` others
    /// were there.
    pub fn record_rejection(&mut self, sent_at: Duration, running: usize, now: Duration) {
        if self.rejected_at.is_some_and(|at| sent_at < at + VIEW_AGE) {
            return;
        }
        self.requests = (self.requests.min(running as f64) * DECREASE).max(1.0);
        self.rejected_at = Some(now);
        self.closed_until = now + TRIAL_INTERVAL * (1 << self.rejections.min(MAX_DOUBLINGS));
        self.rejections += 1;
    }

    /// Records the answer to a request that was sent at `sent_at`; `is_trial` when it tried the limit.
    pub fn record_answer(&mut self, sent_at: Duration, is_trial: bool) {
        if self.rejected_at.is_some_and(|at| sent_at <= at) {
            return;
        }
        self.rejections = 0;
        if is_trial {
            self.requests = (self.requests + INCREASE / self.requests).min(self.max);
        }
    }
}
