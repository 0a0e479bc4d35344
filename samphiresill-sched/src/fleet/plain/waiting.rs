//! Requests to a plain service that wait in their routers for room at a target.
//!
//! Handles the load pattern in which a burst exceeds the room of all targets: requests wait in the
//! order of arrival. One whose turn cannot come in time is refused at once, so that a long overload does
//! not make all requests late.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rate::RecentRate;

/// Maximum number of recorded waiting requests of a service.
const MAX_WAITING: usize = 2_048;
/// Maximum difference between the arrival times that two attempts of one request state, due to the
/// network between its router and the scheduler.
const ARRIVAL_TOLERANCE: Duration = Duration::from_millis(20);
/// Time after a missed placement attempt from which on a request counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_millis(60);
/// Minimum and maximum delay until the next placement attempt.
const RECHECK_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(150));
/// Fraction of the expected delay after which the next placement attempt follows.
const RECHECK_FRACTION: f64 = 0.7;

/// `Waiting` holds the waiting requests of one plain service.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    /// Times of the next placement attempts, by time of arrival.
    requests: BTreeMap<Duration, Duration>,
    /// Placements by this router.
    placed: RecentRate,
}

impl Waiting {
    /// Returns the recorded time of arrival of a request that has arrived at about `arrived_at`, and
    /// removes it; `None` when it does not wait.
    pub fn take(&mut self, arrived_at: Duration) -> Option<Duration> {
        let from = arrived_at.saturating_sub(ARRIVAL_TOLERANCE);
        let near = self.requests.range(from..=arrived_at + ARRIVAL_TOLERANCE);
        let nearest = near.min_by_key(|(at, _)| at.abs_diff(arrived_at));
        let found = nearest.map(|(at, _)| *at)?;
        self.requests.remove(&found);
        Some(found)
    }

    /// Returns the number of waiting requests that arrived before `arrived_at`. Drops abandoned ones
    /// first.
    pub fn ahead(&mut self, arrived_at: Duration, now: Duration) -> usize {
        self.requests
            .retain(|_, recheck_at| *recheck_at + ABANDONED_AFTER >= now);
        self.requests.range(..arrived_at).count()
    }

    /// Records a waiting request that expects its turn in `turn_in`, and returns the delay until its
    /// next placement attempt; `None` when too many wait. `jitter` is uniform over 0 to 1.
    pub fn insert(
        &mut self,
        arrived_at: Duration,
        turn_in: Duration,
        jitter: f64,
        now: Duration,
    ) -> Option<Duration> {
        if self.requests.len() >= MAX_WAITING {
            return None;
        }
        let interval = turn_in
            .mul_f64(RECHECK_FRACTION)
            .clamp(RECHECK_INTERVAL.0, RECHECK_INTERVAL.1);
        let recheck_in = interval.mul_f64(0.6 + 0.8 * jitter);
        let mut key = arrived_at;
        while self.requests.contains_key(&key) {
            key += Duration::from_nanos(1);
        }
        self.requests.insert(key, now + recheck_in);
        Some(recheck_in)
    }

    /// Records a placement by this router.
    pub fn record_placed(&mut self, now: Duration) {
        self.placed.record(now);
    }

    /// Returns the part of the requests to the service that this router places, when the recent count
    /// of those of all routers is `started`.
    #[must_use]
    pub fn own_fraction(&self, started: f64, now: Duration) -> f64 {
        ((self.placed.count(now) + 1.0) / (started + 1.0)).min(1.0)
    }
}
