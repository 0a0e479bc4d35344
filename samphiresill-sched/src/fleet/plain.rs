//! The load of one target of a plain service.
//!
//! Answers the load pattern in which short requests with tight latency objectives share targets of
//! few slots and different speed: each goes where it is expected to finish first.

use std::collections::BTreeMap;
use std::time::Duration;

use super::work::RunId;

/// Time for one request that is assumed until one has been seen, in milliseconds.
const FIRST_LATENCY_MS: f64 = 30.0;
/// Weight of the newest sample in the mean time for one request.
const NEWEST_WEIGHT: f64 = 0.1;

/// `Plain` is the account of one target of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    slots: u32,
    /// Requests that run or wait there, and since when.
    runs: BTreeMap<RunId, Duration>,
    latency_ms: f64,
}

impl Plain {
    /// A target about which only its slots are known.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            runs: BTreeMap::new(),
            latency_ms: FIRST_LATENCY_MS,
        }
    }

    /// Requests that run or wait there.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Time after which a new request is expected to end.
    #[must_use]
    pub fn expected(&self) -> Duration {
        let ahead = (self.runs.len() + 1).saturating_sub(self.slots as usize) as f64;
        let rounds = 1.0 + ahead / f64::from(self.slots);
        // A target that is almost full is slower than an idle one.
        let crowding = 1.0 + 0.5 * self.runs.len() as f64 / f64::from(self.slots);
        Duration::from_secs_f64(self.latency_ms * rounds * crowding / 1_000.0)
    }

    /// Notes that a request was sent there.
    pub fn start(&mut self, run: RunId, now: Duration) {
        self.runs.insert(run, now);
    }

    /// Notes that a request has ended there.
    pub fn end(&mut self, run: RunId) {
        self.runs.remove(&run);
    }

    /// Takes in how long a request took from sending to its answer.
    pub fn observe(&mut self, took: Duration) {
        let sample = took.as_secs_f64() * 1_000.0;
        self.latency_ms += (sample - self.latency_ms) * NEWEST_WEIGHT;
    }

    /// Since when a run has been there.
    #[must_use]
    pub fn since(&self, run: RunId) -> Option<Duration> {
        self.runs.get(&run).copied()
    }

    /// Runs that began before a time.
    pub fn begun_before(&self, time: Duration) -> impl Iterator<Item = RunId> {
        let old = self.runs.iter().filter(move |(_, since)| **since < time);
        old.map(|(id, _)| *id)
    }

    /// Runs that an origin has there.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        self.runs.range(RunId::all_of(origin)).map(|(id, _)| *id)
    }
}
