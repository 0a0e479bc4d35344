//! The pace at which streams have to run, learnt from what callers ask for.
//!
//! Answers the load pattern in which long answers are begun but not ended in time: when nine in
//! ten of the requests of late need a token every 12 ms to end in time, engines are not loaded
//! beyond that pace.

use super::work::Ask;

/// Part of the requests whose need the target may leave unmet.
const UNMET: f64 = 0.08;
/// Step of the estimate, as a part of itself, for each request.
const STEP: f64 = 0.1;
/// Target before any request was seen, in milliseconds for each token.
const FIRST_TARGET_MS: f64 = 15.0;
/// Bounds of the target, in milliseconds for each token.
const BOUNDS: (f64, f64) = (4.0, 60.0);
/// Part of its time in which a stream should end, as the estimate of its length is rough.
const TIME_PART: f64 = 0.8;

/// `PaceTarget` is a running low quantile of the paces that requests need.
#[derive(Clone, Copy, Debug)]
pub struct PaceTarget {
    ms: f64,
}

impl Default for PaceTarget {
    fn default() -> Self {
        Self {
            ms: FIRST_TARGET_MS,
        }
    }
}

impl PaceTarget {
    /// The target, in milliseconds for each token.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms
    }

    /// Takes in a request.
    pub fn observe(&mut self, ask: &Ask<'_>) {
        let Some(generation) = ask.generation.filter(|g| g.output_tokens > 0) else {
            return;
        };
        let left_ms = ask.time_left.as_secs_f64() * 1_000.0;
        let need = left_ms * TIME_PART / f64::from(generation.output_tokens);
        let step = if need < self.ms { UNMET - 1.0 } else { UNMET };
        self.ms = (self.ms * (step * STEP).exp()).clamp(BOUNDS.0, BOUNDS.1);
    }
}
