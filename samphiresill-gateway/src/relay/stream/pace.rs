//! Intervals between the events of a run.

use std::time::Duration;

/// Number of events from which on their mean interval is reported.
const MIN_PACED_EVENTS: u32 = 3;

/// `Pace` measures the intervals between the events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    events: u32,
    first_at: Duration,
    last_at: Duration,
    pub(super) longest: Duration,
}

impl Pace {
    pub(super) fn observe(&mut self, events: u32, now: Duration) {
        if self.events == 0 {
            self.first_at = now;
        } else {
            self.longest = self.longest.max(now.saturating_sub(self.last_at));
        }
        self.events += events;
        self.last_at = now;
    }

    /// Returns the mean interval, when there are enough events to tell.
    pub(super) fn interval(&self) -> Option<Duration> {
        (self.events >= MIN_PACED_EVENTS)
            .then(|| self.last_at.saturating_sub(self.first_at) / (self.events - 1))
    }
}
