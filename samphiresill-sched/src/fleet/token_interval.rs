//! The interval between tokens that streams need to finish in time, learnt from the requests.
//!
//! Answers the load pattern in which long answers are started but not finished in time: when nine
//! in ten of the recent requests need a token every 12 ms, engines are not loaded so far that their
//! streams become slower.

use super::work::PlacementRequest;

/// Part of the requests that need a shorter interval than the target.
const UNMET: f64 = 0.08;
/// Step of the estimate, as a part of itself, for each request.
const STEP: f64 = 0.1;
/// Target before any request was seen, in milliseconds for each token.
const FIRST_TARGET_MS: f64 = 15.0;
/// Bounds of the target, in milliseconds for each token.
const BOUNDS: (f64, f64) = (4.0, 60.0);
/// Part of its time in which a stream should finish, as the estimate of its length is rough.
const TIME_PART: f64 = 0.8;

/// `TokenIntervalTarget` is a running low quantile of the intervals that requests need.
#[derive(Clone, Copy, Debug)]
pub struct TokenIntervalTarget {
    ms: f64,
}

impl Default for TokenIntervalTarget {
    fn default() -> Self {
        Self {
            ms: FIRST_TARGET_MS,
        }
    }
}

impl TokenIntervalTarget {
    /// The target, in milliseconds for each token.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms
    }

    /// Takes in a request.
    pub fn observe(&mut self, req: &PlacementRequest<'_>) {
        let Some(generation) = req.generation.filter(|g| g.output_tokens > 0) else {
            return;
        };
        let left_ms = req.time_left.as_secs_f64() * 1_000.0;
        let need = left_ms * TIME_PART / f64::from(generation.output_tokens);
        let step = if need < self.ms { UNMET - 1.0 } else { UNMET };
        self.ms = (self.ms * (step * STEP).exp()).clamp(BOUNDS.0, BOUNDS.1);
    }
}
