//! Adaptive concurrency limit of a target, derived from the latencies that requests measure.
//!
//! Invariant: 1 <= limit <= configured slots.

use crate::message::Observed;
use crate::topology::TargetPlan;

/// Number of requests after which the limit is adjusted.
const WINDOW: u32 = 20;
/// Factor applied to the limit when the latency objectives are missed.
const DECREASE: f64 = 0.85;
/// Requests of a window that may miss an objective: 5 in 100.
const MISSES_ALLOWED: u32 = WINDOW / 20;
/// Weight of the latest sample in the moving average of the time between tokens.
const NEWEST_WEIGHT: f64 = 0.1;

/// `ConcurrencyLimit` is the limit of one target, with additive increase and multiplicative
/// decrease (AIMD).
#[derive(Clone, Debug)]
pub struct Limit {
    current: u32,
    seen: u32,
    misses: u32,
    was_full: bool,
    between_tokens_us: f64,
}

impl Limit {
    /// Creates a limit that starts at the configured number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            current: slots.max(1),
            seen: 0,
            misses: 0,
            was_full: false,
            between_tokens_us: 0.0,
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn current(&self, plan: &TargetPlan) -> u32 {
        self.current.clamp(1, plan.slots.max(1))
    }

    /// Returns the mean time between tokens in microseconds, or 0 if unknown.
    #[must_use]
    pub fn between_tokens_us(&self) -> f64 {
        self.between_tokens_us
    }

    /// Records that all slots were in use. The limit is only increased after this, since below
    /// saturation the latencies do not show whether the target can take more.
    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    /// Records the latencies of one finished request.
    pub fn observe(&mut self, plan: &TargetPlan, observed: &Observed) {
        let between = f64::from(observed.between_tokens_us);
        if between > 0.0 {
            let old = if self.between_tokens_us > 0.0 {
                self.between_tokens_us
            } else {
                between
            };
            self.between_tokens_us = old + (between - old) * NEWEST_WEIGHT;
        }
        if plan.between_tokens_ms == 0 || observed.failed {
            return;
        }
        let slow_start = observed.first_token_ms > plan.first_token_ms;
        let slow_tokens = observed.between_tokens_us > plan.between_tokens_ms * 1_000;
        self.seen += 1;
        self.misses += u32::from(slow_start || slow_tokens);
        if self.seen >= WINDOW {
            self.reconsider(plan);
        }
    }

    fn reconsider(&mut self, plan: &TargetPlan) {
        let current = self.current(plan);
        self.current = if self.misses > MISSES_ALLOWED {
            ((f64::from(current) * DECREASE) as u32).max(1)
        } else if self.was_full {
            (current + 1).min(plan.slots.max(1))
        } else {
            current
        };
        (self.seen, self.misses, self.was_full) = (0, 0, false);
    }
}
