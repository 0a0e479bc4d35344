//! Prefill rate of one model engine, learnt from the times of first events.
//!
//! Handles the load pattern in which rate and latency are confused: on a lightly loaded engine, most
//! of the time to the first event passes after the prefill, while the tokens of that event are
//! generated. If that time counts as prefill, the engine seems several times slower than it is, and
//! requests are refused although it is nearly idle.
//!
//! The rate is the ratio of sums over the recent prompts, because the prefill of several short ones
//! can end in one step of the engine.

use std::time::Duration;

/// Prefill rate assumed until one is learnt, in prompt tokens per millisecond.
const INITIAL_RATE: f64 = 48.0;
/// Bounds of the learnt rate, in prompt tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// Weight of the initial rate, in milliseconds of prefill time.
const INITIAL_WEIGHT_MS: f64 = 60.0;
/// Time constant of the average, in milliseconds of prefill time: about ten prompts.
const TIME_CONSTANT_MS: f64 = 1_500.0;

/// `PrefillModel` holds the decayed sums of prompt tokens and prefill time of one engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    tokens: f64,
    ms: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            tokens: INITIAL_RATE * INITIAL_WEIGHT_MS,
            ms: INITIAL_WEIGHT_MS,
        }
    }
}

impl PrefillModel {
    /// Returns the prefill rate, in prompt tokens per millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        (self.tokens / self.ms).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
    }

    /// Returns the prefill time of `tokens` prompt tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate() / 1_000.0)
    }

    /// Learns from a prompt of `tokens` tokens whose first event came `took` after its prefill
    /// began, of which `latency` passed after the prefill.
    pub fn observe(&mut self, tokens: u32, took: Duration, latency: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        // The latency enters as the tokens that the engine prefills in that time, so that a sample
        // that is shorter than the expected latency cannot make the sums negative.
        let latency_tokens = latency.min(took).as_secs_f64() * 1_000.0 * self.rate();
        let decay = (-ms / TIME_CONSTANT_MS).exp();
        self.ms = self.ms * decay + ms;
        self.tokens = self.tokens * decay + f64::from(tokens) + latency_tokens;
    }
}
