//! How many streams one router relays at a time, and when it leaves the balancer's rotation.
//!
//! Answers the load pattern in which the balancer gives one router far more callers than its
//! processor can serve, while others idle: the router notices that its own timers are late, and
//! refuses at once what it cannot relay. As long as it refuses much, it tells the balancer that it
//! is not ready, because callers return to the router that the balancer gives them.
//!
//! Invariant: the limit is never below [`MIN_LIMIT`], so that a router whose timers were late for
//! another reason recovers.

use std::time::Duration;

/// Lateness of a timer above which the processor counts as overloaded. An idle one is a
/// millisecond or two late; a token's event may take some tens of milliseconds through a router.
const MAX_LAG: Duration = Duration::from_millis(15);
/// Streams that are relayed in any case.
pub const MIN_LIMIT: f64 = 6.0;
/// Part of the streams that is kept after a late timer.
const DECREASE: f64 = 0.9;
/// Growth of the limit after a timer in time, as a part of itself and in streams.
const INCREASE: (f64, f64) = (0.02, 0.5);
/// Part of the limit that must be in use before it grows.
const IN_USE: f64 = 0.7;
/// Pause that is asked for: the balancer takes about two seconds to move callers elsewhere.
const RETRY: Duration = Duration::from_millis(900);
/// Time over which refusals are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Refusals in a window from which on a router leaves the rotation.
const MANY_REFUSED: u32 = 10;
/// Time out of the rotation at first, and at most; it doubles while refusals recur.
const AWAY: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(40));
/// Time in the rotation without refusals after which the next absence is short again.
const FORGIVEN: Duration = Duration::from_secs(20);

/// `Overload` is what one router has learnt of its processor.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    limit: f64,
    window_began: Duration,
    refused: u32,
    away_until: Duration,
    away_for: Duration,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            window_began: Duration::ZERO,
            refused: 0,
            away_until: Duration::ZERO,
            away_for: AWAY.0,
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
        if self.refused >= MANY_REFUSED && now >= self.away_until {
            self.leave(now);
        }
        false
    }

    /// Whether the balancer should send callers elsewhere.
    #[must_use]
    pub fn is_away(&self, now: Duration) -> bool {
        now < self.away_until
    }

    /// When a refused caller should return; `draw` is uniform over 0 to 1.
    #[must_use]
    pub fn retry_after(draw: f64) -> Duration {
        RETRY.mul_f64(0.5 + draw)
    }

    fn leave(&mut self, now: Duration) {
        let is_first = self.away_until.is_zero();
        let is_recurring = !is_first && now.saturating_sub(self.away_until) < FORGIVEN;
        self.away_for = if is_recurring {
            (self.away_for * 2).min(AWAY.1)
        } else {
            AWAY.0
        };
        self.away_until = now + self.away_for;
    }
}
