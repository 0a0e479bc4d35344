//! Target for the interval between tokens (inter-token latency) with which streams finish in time,
//! learnt from recent requests.
//!
//! Handles the load pattern in which long streams are started but do not finish in time: if nine in
//! ten of the recent requests need a token every 12 ms, engines are not loaded so far that their
//! streams become slower than that.

use super::request::PlacementRequest;

/// Fraction of the requests that need a shorter interval than the target.
const UNMET_FRACTION: f64 = 0.08;
/// Relative step size of the quantile estimate for each request.
const STEP: f64 = 0.1;
/// Target before the first request, in milliseconds per token.
const INITIAL_TARGET_MS: f64 = 15.0;
/// Bounds of the target, in milliseconds per token.
const BOUNDS_MS: (f64, f64) = (4.0, 60.0);
/// Fraction of the remaining time in which a stream should finish; the rest is a margin, because
/// the estimate of its length is rough.
const TIME_FRACTION: f64 = 0.8;

/// `TokenIntervalTarget` is a running low quantile of the token intervals that requests need.
#[derive(Clone, Copy, Debug)]
pub struct TokenIntervalTarget {
    ms: f64,
}

impl Default for TokenIntervalTarget {
    fn default() -> Self {
        Self {
            ms: INITIAL_TARGET_MS,
        }
    }
}

impl TokenIntervalTarget {
    /// Returns the target, in milliseconds per token.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms
    }

    /// Updates the target with the interval that a request needs.
    pub fn observe(&mut self, req: &PlacementRequest<'_>) {
        let Some(generation) = req.generation.filter(|g| g.output_tokens > 0) else {
            return;
        };
        let remaining_ms = req.time_left.as_secs_f64() * 1_000.0;
        let needed_ms = remaining_ms * TIME_FRACTION / f64::from(generation.output_tokens);
        let step = if needed_ms < self.ms {
            UNMET_FRACTION - 1.0
        } else {
            UNMET_FRACTION
        };
        self.ms = (self.ms * (step * STEP).exp()).clamp(BOUNDS_MS.0, BOUNDS_MS.1);
    }
}
