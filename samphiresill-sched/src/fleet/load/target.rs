//! State of one target: its directory entry, load and health.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::routing::{EngineSpec, TargetEntry};

use crate::fleet::engine::EngineLoad;
use crate::fleet::event::RunResult;
use crate::fleet::health::Health;
use crate::fleet::plain::PlainLoad;
use crate::fleet::request::{Generation, RunId};

/// `TargetLoad` is the load of a target.
#[derive(Clone, Debug)]
pub(super) enum TargetLoad {
    Engine(EngineLoad),
    Plain(PlainLoad),
}

/// `Target` is the state of one target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) entry: TargetEntry,
    pub(super) load: TargetLoad,
    pub(super) health: Health,
    /// Runs of this router on the target.
    pub(super) own_runs: BTreeSet<RunId>,
    /// Those of them that this router does not read at the moment. At most `own_runs`.
    pub(super) held_runs: BTreeSet<RunId>,
}

impl Target {
    pub(super) fn new(entry: TargetEntry, engine: Option<EngineSpec>) -> Self {
        let load = match engine {
            Some(spec) => TargetLoad::Engine(EngineLoad::new(spec)),
            None => TargetLoad::Plain(PlainLoad::new(entry.slots)),
        };
        Self {
            entry,
            load,
            health: Health::default(),
            own_runs: BTreeSet::new(),
            held_runs: BTreeSet::new(),
        }
    }

    /// Returns whether this router waits for bytes of a run on the target.
    pub(super) fn is_awaited(&self) -> bool {
        self.own_runs.len() > self.held_runs.len()
    }

    /// Returns whether `entry` describes the same instance: one start of the target for one
    /// service.
    pub(super) fn is_same_instance(&self, entry: &TargetEntry) -> bool {
        self.entry.started_ms == entry.started_ms && self.entry.service == entry.service
    }

    pub(super) fn update(&mut self, entry: TargetEntry, engine: Option<EngineSpec>) {
        if let (TargetLoad::Engine(load), Some(spec)) = (&mut self.load, engine) {
            load.set_spec(spec);
        }
        self.entry = entry;
    }

    /// Updates the health, and the latency and room of a plain service, with the outcome of a run that
    /// is still counted.
    pub(super) fn record_result(&mut self, run: RunId, result: RunResult, now: Duration) {
        match result {
            RunResult::Unknown | RunResult::TimeUp => {}
            RunResult::Answered { ms } => {
                self.health.record_success();
                self.health.reported_alive(now);
                if let TargetLoad::Plain(load) = &mut self.load {
                    load.observe(run, Duration::from_millis(u64::from(ms)));
                }
            }
            RunResult::Failed => self.health.record_failure(now),
            RunResult::Rejected => match &mut self.load {
                // A full target works; its room keeps further requests off it.
                TargetLoad::Plain(load) => {
                    self.health.reported_alive(now);
                    load.reject(run, now);
                }
                TargetLoad::Engine(_) => self.health.record_failure(now),
            },
            RunResult::Unreachable => self.health.record_unreachable(now),
        }
    }
}

impl TargetLoad {
    /// Records that a run was sent to the target; for an engine, with the generation and the number
    /// of prompt tokens to prefill.
    pub(super) fn start(
        &mut self,
        run: RunId,
        generation: Option<(&Generation, u32)>,
        now: Duration,
    ) {
        match (self, generation) {
            (Self::Engine(load), Some((generation, prefill_tokens))) => {
                load.start(run, generation, prefill_tokens, now);
            }
            (Self::Engine(load), None) => load.start(run, &Generation::default(), 0, now),
            (Self::Plain(load), _) => load.start(run, now),
        }
    }

    pub(super) fn end(&mut self, run: RunId) {
        match self {
            Self::Engine(load) => load.end(run),
            Self::Plain(load) => load.end(run),
        }
    }

    pub(super) fn is_prefilling(&self, run: RunId) -> bool {
        match self {
            Self::Engine(load) => load.is_prefilling(run),
            Self::Plain(_) => false,
        }
    }

    /// Returns when a run was sent.
    pub(super) fn since(&self, run: RunId) -> Option<Duration> {
        match self {
            Self::Engine(load) => load.since(run),
            Self::Plain(load) => load.since(run),
        }
    }

    /// Returns the runs of an origin, with the times at which they were sent.
    pub(super) fn runs_of(&self, origin: u64) -> Vec<(RunId, Duration)> {
        match self {
            Self::Engine(load) => with_start_times(load.runs_of(origin), |r| load.since(r)),
            Self::Plain(load) => with_start_times(load.runs_of(origin), |r| load.since(r)),
        }
    }

    /// Returns the runs that were sent before `time`.
    pub(super) fn started_before(&self, time: Duration) -> Vec<RunId> {
        match self {
            Self::Engine(load) => load.started_before(time).collect(),
            Self::Plain(load) => load.started_before(time).collect(),
        }
    }
}

fn with_start_times(
    runs: impl Iterator<Item = RunId>,
    since: impl Fn(RunId) -> Option<Duration>,
) -> Vec<(RunId, Duration)> {
    runs.filter_map(|run| Some((run, since(run)?))).collect()
}
