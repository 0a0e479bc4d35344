//! Limit on the time that a request is queued in its router before it is placed or refused.
//!
//! Handles the load pattern in which requests arrive in bursts: capacity is free again within a
//! fraction of their latency objective, so a queued request is served in time, whereas the retry
//! after a refusal would be late. Each queued request that is refused in the end lowers the limit,
//! so that under sustained overload requests are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the queueing limit, as a fraction of the latency objective.
const MAX_FRACTION: f64 = 0.35;
/// Increase of the fraction after a queued request is placed, and decrease after it is refused.
const STEP: (f64, f64) = (0.01, 0.03);
/// Minimum and maximum interval between placement attempts of a queued request. Events from other
/// routers arrive every 25 ms.
const RECHECK_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(60));

/// Time after a missed placement attempt from which on a queued request counts as abandoned by its
/// caller.
const ABANDONED_AFTER: Duration = Duration::from_millis(100);
/// Fraction of the prefill rate that is available while streams run.
const PREFILL_FRACTION: f64 = 0.7;

/// `QueueLimit` is the learnt limit on the queueing time, as a fraction of the latency objective.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimit {
    fraction: f64,
}

impl Default for QueueLimit {
    fn default() -> Self {
        Self {
            fraction: MAX_FRACTION,
        }
    }
}

impl QueueLimit {
    /// Returns the delay until the next placement attempt of a request that has been queued for
    /// `waited`, when capacity is expected in `capacity_in`; `None` when the request should be
    /// refused. `jitter` is uniform over 0 to 1.
    #[must_use]
    pub fn recheck_in(
        &self,
        latency_objective: Duration,
        waited: Duration,
        capacity_in: Duration,
        jitter: f64,
    ) -> Option<Duration> {
        let limit = latency_objective.mul_f64(self.fraction);
        (waited + capacity_in < limit).then(|| {
            let interval = capacity_in.clamp(RECHECK_INTERVAL.0, RECHECK_INTERVAL.1);
            interval.mul_f64(0.6 + 0.8 * jitter)
        })
    }

    /// Updates the limit after a queued request was placed or refused.
    pub fn observe(&mut self, is_placed: bool) {
        let step = if is_placed { STEP.0 } else { -STEP.1 };
        self.fraction = (self.fraction + step).clamp(0.0, MAX_FRACTION);
    }

    /// Raises the limit by one step; called periodically.
    pub fn recover(&mut self) {
        self.fraction = (self.fraction + STEP.0).min(MAX_FRACTION);
    }
}

/// `Queue` holds the requests that wait for capacity.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Tokens to prefill and time of the next placement attempt, by fingerprint.
    requests: BTreeMap<u64, (u32, Duration)>,
    tokens: u64,
}

impl Queue {
    /// Adds a request with `tokens` to prefill and its next placement attempt at `recheck_at`.
    pub fn insert(&mut self, fingerprint: u64, tokens: u32, recheck_at: Duration) {
        self.remove(fingerprint);
        self.tokens += u64::from(tokens);
        self.requests.insert(fingerprint, (tokens, recheck_at));
    }

    /// Removes a request.
    pub fn remove(&mut self, fingerprint: u64) {
        if let Some((tokens, _)) = self.requests.remove(&fingerprint) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Returns the prefill time of the queued requests, at `rate` tokens per millisecond. Drops
    /// abandoned requests first.
    pub fn delay(&mut self, rate: f64, now: Duration) -> Duration {
        let is_abandoned =
            |(_, (_, recheck_at)): &(&u64, &(u32, Duration))| *recheck_at + ABANDONED_AFTER < now;
        let abandoned: Vec<u64> = self
            .requests
            .iter()
            .filter(is_abandoned)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in abandoned {
            self.remove(fingerprint);
        }
        if self.tokens == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.tokens as f64 / (rate * PREFILL_FRACTION).max(1.0) / 1_000.0)
    }
}
