//! Adaptive limit on the concurrent streams of one router, and its removal from the load balancer's
//! rotation.
//!
//! Handles the load pattern in which the load balancer sends one router far more callers than its
//! processor can serve, while others are idle. The router detects overload by late timers and
//! refuses streams above a learnt limit. A burst of new connections makes timers late, too, so the
//! limit rises quickly as soon as the processor is idle. While it refuses many streams, it reports
//! itself as not ready, because the load balancer sends retries to the same router.
//!
//! Invariant: the limit is at least [`MIN_LIMIT`], so that a router whose timers were late for
//! another reason recovers.

use std::time::Duration;

/// Timer lag above which the processor counts as overloaded. On an idle processor, timers are one
/// or two milliseconds late.
const MAX_TIMER_LAG: Duration = Duration::from_millis(15);
/// Lower bound of the limit, in streams.
pub const MIN_LIMIT: f64 = 6.0;
/// Factor on the limit after a late timer.
const DECREASE_FACTOR: f64 = 0.9;
/// Number of late timers after which the limit is lowered again although more streams than the limit
/// are in flight: refusals keep the processor busy, too, and streams take a while to end.
const DECREASE_INTERVAL: u32 = 5;
/// Timer lag up to which the processor counts as idle.
const IDLE_TIMER_LAG: Duration = Duration::from_millis(4);
/// Increase of the limit after a timer on time: a fraction of the limit, plus a number of streams.
const INCREASE: (f64, f64) = (0.02, 0.5);
/// Increase of the limit while the processor is idle, as a fraction of the limit: it doubles within
/// half a second, before callers that were refused return.
const IDLE_INCREASE: f64 = 0.1;
/// Fraction of the limit that must be in use for it to grow.
const MIN_USE_FRACTION: f64 = 0.7;
/// `Retry-After` before jitter. The load balancer takes about two seconds to react.
const RETRY_AFTER: Duration = Duration::from_millis(900);
/// Window in which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_millis(500);
/// Number of refusals in a window at which the router leaves the rotation.
const REFUSAL_THRESHOLD: u32 = 10;
/// Initial and maximum time out of the rotation. The time doubles while overload recurs.
const ROTATION_BACKOFF: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(40));
/// Time in the rotation after which the backoff is reset.
const BACKOFF_RESET: Duration = Duration::from_secs(20);

/// `StreamLimiter` is the learnt stream limit of one router.
#[derive(Clone, Copy, Debug)]
pub struct StreamLimiter {
    limit: f64,
    /// Late timers since the limit was lowered.
    late_timers: u32,
    window_started_at: Duration,
    refused: u32,
    out_until: Duration,
    backoff: Duration,
}

impl Default for StreamLimiter {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            late_timers: 0,
            window_started_at: Duration::ZERO,
            refused: 0,
            out_until: Duration::ZERO,
            backoff: ROTATION_BACKOFF.0,
        }
    }
}

impl StreamLimiter {
    /// Returns the limit on concurrent streams.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Updates the limit with the lag of a timer while `streams` streams were relayed.
    pub fn observe(&mut self, lag: Duration, streams: usize) {
        let streams = streams as f64;
        if lag > MAX_TIMER_LAG {
            self.late_timers += 1;
            if streams <= self.limit || self.late_timers >= DECREASE_INTERVAL {
                self.limit = (self.limit.min(streams) * DECREASE_FACTOR).max(MIN_LIMIT);
                self.late_timers = 0;
            }
        } else if streams > self.limit * MIN_USE_FRACTION {
            let is_idle = lag <= IDLE_TIMER_LAG;
            let fraction = if is_idle { IDLE_INCREASE } else { INCREASE.0 };
            self.limit += self.limit * fraction + INCREASE.1;
        }
    }

    /// Returns whether a new stream is admitted in addition to `streams`, and counts a refusal.
    pub fn admits(&mut self, streams: usize, now: Duration) -> bool {
        if (streams as f64) < self.limit {
            return true;
        }
        if now.saturating_sub(self.window_started_at) > REFUSAL_WINDOW {
            self.window_started_at = now;
            self.refused = 0;
        }
        self.refused += 1;
        if self.refused >= REFUSAL_THRESHOLD && now >= self.out_until {
            self.leave_rotation(now);
        }
        false
    }

    /// Returns whether the router should be out of the load balancer's rotation.
    #[must_use]
    pub fn is_out_of_rotation(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Returns the time after which a refused caller should retry; `jitter` is uniform over 0 to 1.
    #[must_use]
    pub fn retry_after(jitter: f64) -> Duration {
        RETRY_AFTER.mul_f64(0.5 + jitter)
    }

    fn leave_rotation(&mut self, now: Duration) {
        let is_first = self.out_until.is_zero();
        let is_recurring = !is_first && now.saturating_sub(self.out_until) < BACKOFF_RESET;
        self.backoff = if is_recurring {
            (self.backoff * 2).min(ROTATION_BACKOFF.1)
        } else {
            ROTATION_BACKOFF.0
        };
        self.out_until = now + self.backoff;
    }
}
