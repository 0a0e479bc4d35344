//! How many streams one router relays at a time, and when it leaves the balancer's rotation.
//!
//! Answers the load pattern in which the balancer gives one router far more callers than its
//! processor can serve, while others are idle: the router detects that its own timers are late and
//! refuses the streams beyond a learnt limit. While it refuses many, it reports itself as not ready,
//! because the balancer sends retries to the same router.
//!
//! Invariant: the limit is never below [`MIN_LIMIT`], so that a router whose timers were late for
//! another reason recovers.

use std::time::Duration;

/// Lateness of a timer above which the processor counts as overloaded. Timers of
/// an idle one are one or two milliseconds late.
const MAX_LAG: Duration = Duration::from_millis(15);
/// Streams that are relayed in any case.
pub const MIN_LIMIT: f64 = 6.0;
/// Multiplicative decrease of the limit after a late timer.
const DECREASE: f64 = 0.9;
/// Growth of the limit after a timer in time, as a part of itself and in streams.
const INCREASE: (f64, f64) = (0.02, 0.5);
/// Part of the limit that must be in use before it grows.
const IN_USE: f64 = 0.7;
/// `Retry-After` before jitter: the balancer takes about two seconds to react.
const RETRY: Duration = Duration::from_millis(900);
/// Time over which refusals are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Refusals in a window from which on a router leaves the rotation.
const MANY_REFUSED: u32 = 10;
/// Time out of the rotation at first, and at most; it doubles while refusals recur.
const OUT_OF_ROTATION: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(40));
/// Time in the rotation without refusals that resets the backoff.
const BACKOFF_RESET: Duration = Duration::from_secs(20);

/// `Overload` is the learnt limit of one router.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    limit: f64,
    window_began: Duration,
    refused: u32,
    out_until: Duration,
    out_for: Duration,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            window_began: Duration::ZERO,
            refused: 0,
            out_until: Duration::ZERO,
            out_for: OUT_OF_ROTATION.0,
        }
    }
}

impl Overload {
    /// Streams that may be relayed at once.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Takes in how late a timer was while `streams` were relayed.
    pub fn observe(&mut self, lag: Duration, streams: usize) {
        let streams = streams as f64;
        if lag > MAX_LAG {
            self.limit = (self.limit.min(streams) * DECREASE).max(MIN_LIMIT);
        } else if streams > self.limit * IN_USE {
            self.limit += self.limit * INCREASE.0 + INCREASE.1;
        }
    }

    /// Whether one more stream is taken beside `streams`; a refusal is counted.
    pub fn admits(&mut self, streams: usize, now: Duration) -> bool {
        if (streams as f64) < self.limit {
            return true;
        }
        if now.saturating_sub(self.window_began) > WINDOW {
            self.window_began = now;
            self.refused = 0;
        }
        self.refused += 1;
        if self.refused >= MANY_REFUSED && now >= self.out_until {
            self.leave_rotation(now);
        }
        false
    }

    /// Whether the balancer should send callers elsewhere.
    #[must_use]
    pub fn is_out_of_rotation(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// When a refused caller should retry; `jitter` is uniform over 0 to 1.
    #[must_use]
    pub fn retry_after(jitter: f64) -> Duration {
        RETRY.mul_f64(0.5 + jitter)
    }

    fn leave_rotation(&mut self, now: Duration) {
        let is_first = self.out_until.is_zero();
        let is_recurring = !is_first && now.saturating_sub(self.out_until) < BACKOFF_RESET;
        self.out_for = if is_recurring {
            (self.out_for * 2).min(OUT_OF_ROTATION.1)
        } else {
            OUT_OF_ROTATION.0
        };
        self.out_until = now + self.out_for;
    }
}
