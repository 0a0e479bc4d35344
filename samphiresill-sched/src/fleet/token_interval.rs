//! Target for the interval between tokens (inter-token latency) with which streams finish in time,
//! learnt from recent requests.
//!
//! Handles the load pattern in which long streams are started but do not finish in time: if nine in
//! ten of the recent output tokens are needed within 12 ms of the one before, engines are not loaded
//! so far that their streams become slower than that. Requests count by their output, because an
//! engine is occupied by long streams, however many short ones pass through it.

use super::event::RunResult;
use super::request::PlacementRequest;

/// Fraction of the output tokens that are needed at a shorter interval than the target.
const UNMET_FRACTION: f64 = 0.08;
/// Relative step size of the quantile estimate for a request of mean output.
const STEP: f64 = 0.05;
/// Target before the first request, in milliseconds per token.
const INITIAL_TARGET_MS: f64 = 15.0;
/// Bounds of the target, in milliseconds per token.
const BOUNDS_MS: (f64, f64) = (4.0, 60.0);
/// Fraction of the remaining time in which a stream should finish; the rest is a margin, because
/// the estimate of its length is rough.
const TIME_FRACTION: f64 = 0.7;

/// Weight of a new request in the mean output.
const MEAN_WEIGHT: f64 = 0.02;
/// Largest weight of one request, relative to one of mean output.
const MAX_WEIGHT: f64 = 4.0;

/// Fraction of the streams that may run out of time.
const MAX_TIME_UP_FRACTION: f64 = 0.02;
/// Relative step size of the margin for each stream that ran out of time.
const MARGIN_STEP: f64 = 0.05;
/// Bounds of the margin.
const MARGIN_BOUNDS: (f64, f64) = (0.4, 1.0);

/// `TokenIntervalTarget` is a running low quantile of the token intervals that requests need.
#[derive(Clone, Copy, Debug)]
pub struct TokenIntervalTarget {
    ms: f64,
    mean_output_tokens: f64,
    /// Factor on the quantile. It falls while streams run out of time, because their length or the
    /// load of the engines was underestimated, and recovers while they end in time.
    margin: f64,
}

impl Default for TokenIntervalTarget {
    fn default() -> Self {
        Self {
            ms: INITIAL_TARGET_MS,
            mean_output_tokens: 0.0,
            margin: MARGIN_BOUNDS.1,
        }
    }
}

impl TokenIntervalTarget {
    /// Returns the target, in milliseconds per token.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms * self.margin
    }

    /// Updates the margin with the result of a run on an engine.
    pub fn record_result(&mut self, result: RunResult) {
        let step = match result {
            RunResult::Answered { .. } => MAX_TIME_UP_FRACTION,
            RunResult::TimeUp => MAX_TIME_UP_FRACTION - 1.0,
            _ => return,
        };
        let margin = self.margin * (step * MARGIN_STEP).exp();
        self.margin = margin.clamp(MARGIN_BOUNDS.0, MARGIN_BOUNDS.1);
    }

    /// Updates the target with the interval that a request needs.
    pub fn observe(&mut self, req: &PlacementRequest<'_>) {
        let Some(generation) = req.generation.filter(|g| g.output_tokens > 0) else {
            return;
        };
        let remaining_ms = req.time_left.as_secs_f64() * 1_000.0;
        let output_tokens = f64::from(generation.output_tokens);
        if self.mean_output_tokens == 0.0 {
            self.mean_output_tokens = output_tokens;
        }
        self.mean_output_tokens += MEAN_WEIGHT * (output_tokens - self.mean_output_tokens);
        let weight = (output_tokens / self.mean_output_tokens).min(MAX_WEIGHT);
        let needed_ms = remaining_ms * TIME_FRACTION / output_tokens;
        let step = if needed_ms < self.ms {
            UNMET_FRACTION - 1.0
        } else {
            UNMET_FRACTION
        };
        self.ms = (self.ms * (step * STEP * weight).exp()).clamp(BOUNDS_MS.0, BOUNDS_MS.1);
    }
}
