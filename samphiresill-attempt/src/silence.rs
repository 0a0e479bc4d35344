//! Detection of a silent target by its progress: the limit follows the rate seen.

use std::time::Duration;

/// Longest silence before the first piece of an answer.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// Shortest silence that counts once an answer has begun.
const MIN_LIMIT: Duration = Duration::from_millis(500);
/// Longest silence that is borne once an answer has begun.
const MAX_LIMIT: Duration = Duration::from_secs(10);
/// A silence counts when it exceeds the mean gap by this factor.
const GAPS: f64 = 16.0;
/// Weight of the newest gap in the running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// `Silence` keeps the running mean of the gaps between pieces of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    last_at: Duration,
    mean_gap_s: Option<f64>,
    has_begun: bool,
}

impl Silence {
    /// Begins to watch an answer at monotonic time `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_at: now,
            mean_gap_s: None,
            has_begun: false,
        }
    }

    /// A piece has arrived.
    pub fn progress(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_at).as_secs_f64();
        self.last_at = now;
        if self.has_begun {
            let mean = self.mean_gap_s.unwrap_or(gap);
            self.mean_gap_s = Some(mean + (gap - mean) * NEWEST_WEIGHT);
        }
        self.has_begun = true;
    }

    /// How long the next piece may take.
    #[must_use]
    pub fn limit(&self) -> Duration {
        match (self.has_begun, self.mean_gap_s) {
            (false, _) => FIRST_LIMIT,
            (true, None) => MAX_LIMIT,
            (true, Some(mean)) => Duration::from_secs_f64(mean * GAPS).clamp(MIN_LIMIT, MAX_LIMIT),
        }
    }
}
