//! Load of one target of a plain service (a service without model engines).
//!
//! Handles the load pattern in which short requests with tight latency objectives share targets
//! with few slots and different speeds: each request goes to the target where it is expected to
//! finish first.
//!
//! Also handles the load pattern in which requests pile up and then stop: the average is of the time
//! that a request takes on an idle target, and a target with a free slot is never refused for it, so
//! that a high average is corrected by the next requests instead of refusing them all.

pub mod rate;
pub mod room;
pub mod waiting;

use std::collections::BTreeMap;
use std::time::Duration;

use self::rate::RecentRate;
use self::room::Room;
use super::request::RunId;

/// Latency assumed before the first sample, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 30.0;
/// Weight of the newest sample in the moving average of the latency.
const EWMA_WEIGHT: f64 = 0.1;

/// `Run` is a request on the target.
#[derive(Clone, Copy, Debug)]
struct Run {
    sent_at: Duration,
    /// Factor on its latency by the requests that were there when it was sent.
    load_factor: f64,
    /// Whether it tries the room of the target.
    is_trial: bool,
}

/// `PlainLoad` is the load of one target of a plain service.
#[derive(Clone, Debug)]
pub struct PlainLoad {
    slots: u32,
    /// Requests that run or wait on the target.
    runs: BTreeMap<RunId, Run>,
    latency_ms: f64,
    room: Room,
    started: RecentRate,
}

impl PlainLoad {
    /// Creates the load of an idle target.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            runs: BTreeMap::new(),
            latency_ms: INITIAL_LATENCY_MS,
            room: Room::new(slots),
            started: RecentRate::default(),
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
        Duration::from_secs_f64(self.latency_ms * self.load_factor(self.runs.len()) / 1_000.0)
    }

    /// Returns the number of requests that the target ends in a second while all of its slots are in
    /// use.
    #[must_use]
    pub fn max_per_s(&self) -> f64 {
        f64::from(self.slots) * 1_000.0 / self.latency_ms.max(1.0)
    }

    /// Returns the decayed count of requests that all routers have sent to the target.
    #[must_use]
    pub fn started(&self, now: Duration) -> f64 {
        self.started.count(now)
    }

    /// Returns how many more requests the target takes.
    #[must_use]
    pub fn free(&self, now: Duration) -> usize {
        self.room.free(self.runs.len(), now)
    }

    /// Returns whether a new request would start at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.runs.len() < self.slots as usize
    }

    /// Returns the factor on the latency of a new request by `runs` requests that run or wait on the
    /// target.
    fn load_factor(&self, runs: usize) -> f64 {
        let ahead = (runs + 1).saturating_sub(self.slots as usize) as f64;
        let queue_rounds = 1.0 + ahead / f64::from(self.slots);
        // The latency of a request grows with the utilisation of the slots.
        let contention = 1.0 + 0.5 * runs as f64 / f64::from(self.slots);
        queue_rounds * contention
    }

    /// Records that a request was sent to the target.
    pub fn start(&mut self, run: RunId, now: Duration) {
        let running = self.runs.len();
        let started = Run {
            sent_at: now,
            load_factor: self.load_factor(running),
            is_trial: self.room.is_trial(running),
        };
        self.runs.insert(run, started);
        self.started.record(now);
    }

    /// Records the end of a request.
    pub fn end(&mut self, run: RunId) {
        self.runs.remove(&run);
    }

    /// Updates the average latency and the room with the time from sending a request to its response.
    /// The part of the time that is due to the other requests on the target does not count. Called
    /// before [`Self::end`].
    pub fn observe(&mut self, run: RunId, took: Duration) {
        let Some(run) = self.runs.get(&run) else {
            return;
        };
        let sample = took.as_secs_f64() * 1_000.0 / run.load_factor;
        self.latency_ms += (sample - self.latency_ms) * EWMA_WEIGHT;
        self.room.record_answer(run.sent_at, run.is_trial);
    }

    /// Lowers the room, because the target has turned a request away. Called before [`Self::end`].
    pub fn reject(&mut self, run: RunId, now: Duration) {
        let running = self.runs.len().saturating_sub(1);
        let sent_at = self.since(run).unwrap_or(now);
        self.room.record_rejection(sent_at, running, now);
    }

    /// Returns the time at which a run was sent to the target.
    #[must_use]
    pub fn since(&self, run: RunId) -> Option<Duration> {
        self.runs.get(&run).map(|run| run.sent_at)
    }

    /// Returns the runs that were sent before `time`.
    pub fn started_before(&self, time: Duration) -> impl Iterator<Item = RunId> {
        let old = self.runs.iter().filter(move |(_, run)| run.sent_at < time);
        old.map(|(id, _)| *id)
    }

    /// Returns the runs of an origin.
    pub fn runs_of(&self, origin: u64) -> impl Iterator<Item = RunId> {
        self.runs.range(RunId::all_of(origin)).map(|(id, _)| *id)
    }
}
