//! Passive health checking of a target, based on the outcomes of its requests.
//!
//! Handles the load patterns in which a target crashes, stalls or fails part of its requests while
//! its active health check passes: the target is ejected at once and gets requests again after the
//! ejection time.

use std::time::Duration;

/// Ejection time after a failed connection attempt; doubles with each consecutive failure. A
/// crashed process is restarted within seconds.
const BASE_UNREACHABLE_EJECTION: Duration = Duration::from_millis(400);
/// Longest ejection for failed connections, so that a restarted target serves again within seconds.
const MAX_UNREACHABLE_EJECTION: Duration = Duration::from_secs(3);
/// Ejection time after the failure rate exceeds [`MAX_FAILURE_RATE`].
const FAILING_EJECTION: Duration = Duration::from_millis(1_500);
/// Failure rate above which a target is ejected. The rate of ordinary application errors is well
/// below it.
const MAX_FAILURE_RATE: f64 = 0.35;
/// Weight of the newest outcome in the moving average of the failure rate.
const EWMA_WEIGHT: f64 = 0.15;
/// Time without a received byte, while requests are pending, after which a target counts as
/// stalled: several times the interval between events of a loaded engine.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// `Health` is the passive health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    consecutive_unreachable: u32,
    /// End of the ejection for failed connections or a stall.
    ejected_until: Duration,
    /// End of the ejection for a high failure rate.
    failing_until: Duration,
    /// Time since which requests of this router have been waiting for a byte.
    waiting_since: Option<Duration>,
    /// Time of the last progress observed by this router or another one.
    last_progress_at: Duration,
}

impl Health {
    /// Returns whether the target may get new requests.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_reachable(now) && !self.is_failing(now)
    }

    /// Returns whether the target is neither ejected for failed connections or a reported stall,
    /// nor stalled as observed by this router.
    #[must_use]
    pub fn is_reachable(&self, now: Duration) -> bool {
        now >= self.ejected_until && !self.is_stalled(now)
    }

    /// Returns whether the target is ejected for a high failure rate.
    #[must_use]
    pub fn is_failing(&self, now: Duration) -> bool {
        now < self.failing_until
    }

    /// Returns whether pending requests have received no byte within the stall timeout.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_sub(since) > STALL_TIMEOUT)
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records bytes received from the target; `is_idle` when no request of this router is pending
    /// there.
    pub fn record_progress(&mut self, now: Duration, is_idle: bool) {
        self.waiting_since = (!is_idle).then_some(now);
        self.last_progress_at = now;
        self.consecutive_unreachable = 0;
    }

    /// Records that no request of this router is pending there.
    pub fn record_idle(&mut self) {
        self.waiting_since = None;
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate * EWMA_WEIGHT;
        self.consecutive_unreachable = 0;
    }

    /// Records a request that failed after it was sent.
    pub fn record_failure(&mut self, now: Duration) {
        self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
        if self.failure_rate > MAX_FAILURE_RATE {
            self.failing_until = self.failing_until.max(now + FAILING_EJECTION);
            // Resets the rate to half the threshold, so that only further failures extend the
            // ejection.
            self.failure_rate = MAX_FAILURE_RATE / 2.0;
        }
    }

    /// Handles a report by another router that the target has stalled. The report is ignored while
    /// any router observes progress: the reporting router may be partitioned from the target, or
    /// may have been paused.
    pub fn reported_stalled(&mut self, now: Duration) {
        if now.saturating_sub(self.last_progress_at) > STALL_TIMEOUT / 2 {
            self.ejected_until = self.ejected_until.max(now + STALL_TIMEOUT);
        }
    }

    /// Handles a report by another router that the target makes progress.
    pub fn reported_alive(&mut self, now: Duration) {
        self.last_progress_at = now;
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&mut self, now: Duration) {
        let ejection = BASE_UNREACHABLE_EJECTION * (1 << self.consecutive_unreachable.min(3));
        self.consecutive_unreachable += 1;
        self.ejected_until = self
            .ejected_until
            .max(now + ejection.min(MAX_UNREACHABLE_EJECTION));
    }
}
