//! How long a request may be queued in its router before it is sent or refused.
//!
//! Answers the load pattern in which requests arrive in bursts: capacity is free again within a
//! part of their latency objective, so that queueing serves them in time where a refusal would
//! bring them back late. Queueing that ended in a refusal shortens the limit, so that under
//! sustained overload requests are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of its latency objective that a request may be queued, at most.
const MAX_PART: f64 = 0.35;
/// Increase of the part after a queued request was placed, and decrease after a refusal.
const STEP: (f64, f64) = (0.01, 0.03);
/// Pause between two placement attempts of a queued request, at least and at most: events of
/// other routers arrive every 25 ms.
const RECHECK: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(60));

/// Time after which a request that was to be tried again counts as abandoned by its caller.
const ABANDONED: Duration = Duration::from_millis(100);
/// Part of the prefill rate that is available beside the streams.
const PREFILL_PART: f64 = 0.7;

/// `QueueLimit` is the learnt part of its latency objective that a request may be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimit {
    part: f64,
}

impl Default for QueueLimit {
    fn default() -> Self {
        Self { part: MAX_PART }
    }
}

impl QueueLimit {
    /// When to try again to place a request that has waited, if capacity is expected in `room_in`;
    /// nothing when it should be refused. `jitter` is uniform over 0 to 1.
    #[must_use]
    pub fn recheck_in(
        &self,
        latency_objective: Duration,
        waited: Duration,
        room_in: Duration,
        jitter: f64,
    ) -> Option<Duration> {
        let limit = latency_objective.mul_f64(self.part);
        (waited + room_in < limit).then(|| {
            let pause = room_in.clamp(RECHECK.0, RECHECK.1);
            pause.mul_f64(0.6 + 0.8 * jitter)
        })
    }

    /// Takes in how the queueing of a request has ended.
    pub fn observe(&mut self, is_placed: bool) {
        let step = if is_placed { STEP.0 } else { -STEP.1 };
        self.part = (self.part + step).clamp(0.0, MAX_PART);
    }

    /// Raises the limit again over time.
    pub fn recover(&mut self) {
        self.part = (self.part + STEP.0).min(MAX_PART);
    }
}

/// `Queue` are the requests that wait for capacity.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    requests: BTreeMap<u64, (u32, Duration)>,
    tokens: u64,
}

impl Queue {
    /// Adds a request with its tokens to prefill, which is tried again at `recheck_at`.
    pub fn insert(&mut self, request: u64, tokens: u32, recheck_at: Duration) {
        self.remove(request);
        self.tokens += u64::from(tokens);
        self.requests.insert(request, (tokens, recheck_at));
    }

    /// Removes a request.
    pub fn remove(&mut self, request: u64) {
        if let Some((tokens, _)) = self.requests.remove(&request) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Prefill time of the queued requests, at `rate` tokens a millisecond.
    pub fn delay(&mut self, rate: f64, now: Duration) -> Duration {
        let is_abandoned =
            |(_, (_, recheck_at)): &(&u64, &(u32, Duration))| *recheck_at + ABANDONED < now;
        let abandoned: Vec<u64> = self
            .requests
            .iter()
            .filter(is_abandoned)
            .map(|(r, _)| *r)
            .collect();
        for request in abandoned {
            self.remove(request);
        }
        if self.tokens == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.tokens as f64 / (rate * PREFILL_PART).max(1.0) / 1_000.0)
    }
}
