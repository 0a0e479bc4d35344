//! Load of one target of a plain service (a service without model engines).
//!
//! Handles the load pattern in which short requests with tight latency objectives share targets
//! with few slots and different speeds: each request goes to the target where it is expected to
//! finish first.
//!
//! Also handles the load pattern in which requests pile up and then stop: the average is of the time
//! that a request takes on an idle target, and a target with a free slot is never refused for it, so
//! that a high average is corrected by the next requests instead of refusing them all.

use std::collections::BTreeMap;
use std::time::Duration;

use super::request::RunId;

/// Latency assumed before the first sample, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 30.0;
/// Weight of the newest sample in the moving average of the latency.
const EWMA_WEIGHT: f64 = 0.1;

/// `PlainLoad` is the load of one target of a plain service.
#[derive(Clone, Debug)]
pub struct PlainLoad {
    slots: u32,
    /// Requests that run or wait on the target, with the times at which they were sent.
    runs: BTreeMap<RunId, Duration>,
    latency_ms: f64,
}

impl PlainLoad {
    /// Creates the load of an idle target.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            runs: BTreeMap::new(),
            latency_ms: INITIAL_LATENCY_MS,
        }
    }

    /// Returns the number of requests that run or wait on the target.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the expected latency of a new request.
    #[must_use]
    pub fn expected_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_ms * self.load_factor() / 1_000.0)
    }

    /// Returns whether a new request would start at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.runs.len() < self.slots as usize
    }

    /// Returns the factor on the latency by the requests that run or wait on the target.
    fn load_factor(&self) -> f64 {
        let ahead = (self.runs.len() + 1).saturating_sub(self.slots as usize) as f64;
        let queue_rounds = 1.0 + ahead / f64::from(self.slots);
        // The latency of a request grows with the utilisation of the slots.
        let contention = 1.0 + 0.5 * self.runs.len() as f64 / f64::from(self.slots);
        queue_rounds * contention
    }

    /// Records that a request was sent to the target.
    pub fn start(&mut self, run: RunId, now: Duration) {
        self.runs.insert(run, now);
    }

    /// Records the end of a request.
    pub fn end(&mut self, run: RunId) {
        self.runs.remove(&run);
    }

    /// Updates the average latency with the time from sending a request to its response, less the
    /// part that is due to the other requests on the target.
    pub fn observe(&mut self, took: Duration) {
        let sample = took.as_secs_f64() * 1_000.0 / self.load_factor();
        self.latency_ms += (sample - self.latency_ms) * EWMA_WEIGHT;
    }

    /// Returns the time at which a run was sent to the target.
    #[must_use]
    pub fn since(&self, run: RunId) -> Option<Duration> {
        self.runs.get(&run).copied()
    }

    /// Returns the runs that were sent before `time`.
    pub fn started_before(&self, time: Duration) -> impl Iterator<Item = RunId> {
        let old = self.runs.iter().filter(move |(_, since)| **since < time);
        old.map(|(id, _)| *id)
    }

    /// Returns the runs of an origin.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        self.runs.range(RunId::all_of(origin)).map(|(id, _)| *id)
    }
}
