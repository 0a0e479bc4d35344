//! Adaptive concurrency limit of a target, derived from the latencies that requests measure.
//!
//! Invariant: 1 <= limit <= configured slots.

use crate::message::Observed;
use crate::topology::TargetConfig;

/// Number of requests after which the limit is adjusted.
const WINDOW_REQUESTS: u32 = 20;
/// Factor applied to the limit when the latency objectives are missed.
const DECREASE_FACTOR: f64 = 0.85;
/// Requests of a window that may miss an objective: 5 in 100.
const MAX_MISSES: u32 = WINDOW_REQUESTS / 20;
/// Weight of the latest sample in the moving average of the time between tokens.
const EWMA_WEIGHT: f64 = 0.1;

/// `ConcurrencyLimit` is the limit of one target, with additive increase and multiplicative
/// decrease (AIMD).
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    current: u32,
    samples: u32,
    misses: u32,
    was_saturated: bool,
    between_tokens_us: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the configured number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            current: slots.max(1),
            samples: 0,
            misses: 0,
            was_saturated: false,
            between_tokens_us: 0.0,
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn current(&self, config: &TargetConfig) -> u32 {
        self.current.clamp(1, config.slots.max(1))
    }

    /// Returns the mean time between tokens in microseconds, or 0 if unknown.
    #[must_use]
    pub fn between_tokens_us(&self) -> f64 {
        self.between_tokens_us
    }

    /// Records that all slots were in use. The limit is only increased after this, since below
    /// saturation the latencies do not show whether the target can take more.
    pub fn record_saturation(&mut self) {
        self.was_saturated = true;
    }

    /// Records the latencies of one finished request.
    pub fn observe(&mut self, config: &TargetConfig, observed: &Observed) {
        let between = f64::from(observed.between_tokens_us);
        if between > 0.0 {
            let old = if self.between_tokens_us > 0.0 {
                self.between_tokens_us
            } else {
                between
            };
            self.between_tokens_us = old + (between - old) * EWMA_WEIGHT;
        }
        if config.between_tokens_ms == 0 || observed.failed {
            return;
        }
        let slow_start = observed.first_token_ms > config.first_token_ms;
        let slow_tokens = observed.between_tokens_us > config.between_tokens_ms * 1_000;
        self.samples += 1;
        self.misses += u32::from(slow_start || slow_tokens);
        if self.samples >= WINDOW_REQUESTS {
            self.adjust(config);
        }
    }

    fn adjust(&mut self, config: &TargetConfig) {
        let current = self.current(config);
        self.current = if self.misses > MAX_MISSES {
            ((f64::from(current) * DECREASE_FACTOR) as u32).max(1)
        } else if self.was_saturated {
            (current + 1).min(config.slots.max(1))
        } else {
            current
        };
        (self.samples, self.misses, self.was_saturated) = (0, 0, false);
    }
}
