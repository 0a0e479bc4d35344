//! Detection of stalled targets, with a timeout that adapts to the measured rate of progress.

use std::time::Duration;

/// Timeout for the first piece of a response.
const FIRST_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum timeout after a response has begun.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum timeout after a response has begun.
const MAX_TIMEOUT: Duration = Duration::from_secs(10);
/// Factor between the mean gap and the timeout.
const GAP_FACTOR: f64 = 16.0;
/// Weight of the latest gap in the moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// `SilenceTimeout` derives the timeout for the next piece of a response from a moving average of
/// the gaps between its pieces.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeout {
    last_at: Duration,
    mean_gap_s: Option<f64>,
    has_begun: bool,
}

impl SilenceTimeout {
    /// Starts the timeout for the first piece at monotonic time `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_at: now,
            mean_gap_s: None,
            has_begun: false,
        }
    }

    /// Records the arrival of a piece.
    pub fn progress(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_at).as_secs_f64();
        self.last_at = now;
        if self.has_begun {
            let mean = self.mean_gap_s.unwrap_or(gap);
            self.mean_gap_s = Some(mean + (gap - mean) * EWMA_WEIGHT);
        }
        self.has_begun = true;
    }

    /// Returns the timeout for the next piece.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match (self.has_begun, self.mean_gap_s) {
            (false, _) => FIRST_TIMEOUT,
            (true, None) => MAX_TIMEOUT,
            (true, Some(mean)) => {
                Duration::from_secs_f64(mean * GAP_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
            }
        }
    }
}
