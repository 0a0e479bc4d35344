//! Passive health of a target, from the outcomes of its requests.
//!
//! Answers the load patterns in which a target crashes, falls silent or fails part of its
//! requests while its health check is good: requests go to other targets at once, and to it again
//! after a pause.

use std::time::Duration;

/// Pause after a connection that could not be made; doubles with each further one. A crashed
/// process is started again within seconds.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause, so that a target that is back serves again within seconds.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a share of failures above [`FAILING_SHARE`].
const FAILING_PAUSE: Duration = Duration::from_millis(1_500);
/// Share of failed requests above which a target is ejected; ordinary application errors stay
/// well below it.
const FAILING_SHARE: f64 = 0.35;
/// Weight of the newest outcome in the share of failed requests.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time without a byte, while requests wait for one, after which a target counts as stalled:
/// several times the pause between events of a loaded engine.
const STALL: Duration = Duration::from_millis(900);

/// `Health` is the passive health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing_share: f64,
    unreachable: u32,
    /// Until when it is ejected because it could not be reached or has stalled.
    ejected_until: Duration,
    /// Until when it is ejected because it failed many requests.
    failing_until: Duration,
    waiting_since: Option<Duration>,
    /// Last progress that this router or another one has seen.
    alive_at: Duration,
}

impl Health {
    /// Whether the target should get new requests.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_reachable(now) && !self.is_failing(now)
    }

    /// Whether it is neither unreachable nor stalled.
    #[must_use]
    pub fn is_reachable(&self, now: Duration) -> bool {
        now >= self.ejected_until && !self.is_stalled(now)
    }

    /// Whether it has recently failed many requests.
    #[must_use]
    pub fn is_failing(&self, now: Duration) -> bool {
        now < self.failing_until
    }

    /// Whether requests wait for a byte for longer than a working target lets them.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_sub(since) > STALL)
    }

    /// Notes a request that was sent.
    pub fn sent(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Notes bytes from the target; `is_idle` when no request is left there.
    pub fn progressed(&mut self, now: Duration, is_idle: bool) {
        self.waiting_since = (!is_idle).then_some(now);
        self.alive_at = now;
        self.unreachable = 0;
    }

    /// Notes that no request of this router is left there.
    pub fn idle(&mut self) {
        self.waiting_since = None;
    }

    /// Notes a request that the target answered as it should.
    pub fn succeeded(&mut self) {
        self.failing_share -= self.failing_share * NEWEST_WEIGHT;
        self.unreachable = 0;
    }

    /// Notes a request that the target failed after it was sent.
    pub fn failed(&mut self, now: Duration) {
        self.failing_share += (1.0 - self.failing_share) * NEWEST_WEIGHT;
        if self.failing_share > FAILING_SHARE {
            self.failing_until = self.failing_until.max(now + FAILING_PAUSE);
            // The share falls back below the threshold, so that the next failures decide anew.
            self.failing_share = FAILING_SHARE / 2.0;
        }
    }

    /// Takes in that another router found the target stalled. It is ignored while any router sees
    /// progress: the reporting one may be partitioned from the target, or have been paused.
    pub fn reported_stalled(&mut self, now: Duration) {
        if now.saturating_sub(self.alive_at) > STALL / 2 {
            self.ejected_until = self.ejected_until.max(now + STALL);
        }
    }

    /// Takes in that another router has seen progress of the target.
    pub fn reported_alive(&mut self, now: Duration) {
        self.alive_at = now;
    }

    /// Notes a connection that could not be made.
    pub fn unreachable(&mut self, now: Duration) {
        let pause = UNREACHABLE_PAUSE * (1 << self.unreachable.min(3));
        self.unreachable += 1;
        self.ejected_until = self.ejected_until.max(now + pause.min(MAX_PAUSE));
    }
}
