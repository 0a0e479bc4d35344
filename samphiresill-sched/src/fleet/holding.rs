//! How long a request may wait for room in its router before it is sent or refused.
//!
//! Answers the load pattern in which requests arrive in clumps: there is room again within a part
//! of their aim, so that waiting serves them in time where a refusal would bring them back late.
//! Waits that ended in a refusal shorten the next ones, so that under lasting overload work is
//! refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of its aim that a request may wait, at most.
const MAX_PART: f64 = 0.35;
/// Growth and shrinking of the part after a wait that ended well or in a refusal.
const STEP: (f64, f64) = (0.01, 0.03);
/// Pause between two looks at whether there is room, at least and at most: events of other
/// routers come every 25 ms.
const LOOK: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(60));

/// `Holding` is the learnt part of its aim that a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    part: f64,
}

impl Default for Holding {
    fn default() -> Self {
        Self { part: MAX_PART }
    }
}

impl Holding {
    /// When to look again for a request that has waited, if there is room in `room_in`; nothing
    /// when it should be refused. `draw` is uniform over 0 to 1.
    #[must_use]
    pub fn look_again(
        &self,
        aim: Duration,
        waited: Duration,
        room_in: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let limit = aim.mul_f64(self.part);
        (waited + room_in < limit).then(|| {
            let pause = room_in.clamp(LOOK.0, LOOK.1);
            pause.mul_f64(0.6 + 0.8 * draw)
        })
    }

    /// Takes in how a wait has ended.
    pub fn observe(&mut self, is_placed: bool) {
        let step = if is_placed { STEP.0 } else { -STEP.1 };
        self.part = (self.part + step).clamp(0.0, MAX_PART);
    }

    /// Lets waits be tried again after a time without any.
    pub fn recover(&mut self) {
        self.part = (self.part + STEP.0).min(MAX_PART);
    }
}

/// Time after which a request that was to look again counts as gone with its caller.
const GONE: Duration = Duration::from_millis(100);
/// Part of the reading rate that is left for requests that wait, beside the streams.
const READING_PART: f64 = 0.7;

/// `Held` are the requests that wait for room.
#[derive(Clone, Debug, Default)]
pub struct Held {
    requests: BTreeMap<u64, (u32, Duration)>,
    tokens: u64,
}

impl Held {
    /// Counts a request with so many prompt tokens to read, which looks again at `looks_at`.
    pub fn insert(&mut self, request: u64, tokens: u32, looks_at: Duration) {
        self.remove(request);
        self.tokens += u64::from(tokens);
        self.requests.insert(request, (tokens, looks_at));
    }

    /// Ends the count of a request.
    pub fn remove(&mut self, request: u64) {
        if let Some((tokens, _)) = self.requests.remove(&request) {
            self.tokens -= u64::from(tokens);
        }
    }

    /// Time that engines need for the requests that wait, at `rate` tokens a millisecond.
    pub fn queue(&mut self, rate: f64, now: Duration) -> Duration {
        let is_gone = |(_, (_, looks_at)): &(&u64, &(u32, Duration))| *looks_at + GONE < now;
        let gone: Vec<u64> = self
            .requests
            .iter()
            .filter(is_gone)
            .map(|(r, _)| *r)
            .collect();
        for request in gone {
            self.remove(request);
        }
        if self.tokens == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.tokens as f64 / (rate * READING_PART).max(1.0) / 1_000.0)
    }
}
