//! Crashes of targets, and the quarantine of prompt parts and requests that cause them.

use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::FleetLoad;
use super::target::{Target, TargetLoad};
use crate::fleet::event::Event;
use crate::fleet::quarantine::evidence::{Conviction, CrashRecord, Suspect};
use crate::fleet::quarantine::{Notice, Quarantine};
use crate::fleet::request::Generation;

/// Maximum number of suspects in one event, so that it fits into a datagram.
const MAX_SUSPECTS: usize = 100;

impl FleetLoad {
    /// Records that a target has crashed while it ran `runs` requests of this router, and publishes
    /// the shared parts of their prompts and the fingerprints of these requests.
    pub fn record_crash(
        &mut self,
        target: &TargetName,
        runs: u32,
        suspects: &[Suspect],
        now: Duration,
    ) {
        let mut first = runs;
        for suspects in suspects.chunks(MAX_SUSPECTS) {
            let event = Event::Crashed {
                target: target.clone(),
                runs: std::mem::take(&mut first),
                suspects: suspects.to_vec(),
            };
            self.publish(event, now);
        }
    }

    /// Returns how long requests with this prompt will be refused; `None` when they are not.
    #[must_use]
    pub fn quarantine_remaining(&self, generation: &Generation, now: Duration) -> Option<Duration> {
        self.quarantine.remaining(generation.listed_as(), now)
    }

    /// Returns the crashes whose evidence outlasts a restart.
    #[must_use]
    pub fn crash_records(&self, now: Duration) -> Vec<CrashRecord> {
        self.crash_evidence.records(now)
    }

    /// Adds a crash that the store tells of, unless a quarantined part explains it. Returns whether
    /// it was unknown.
    pub fn restore_crash(&mut self, record: &CrashRecord, now: Duration) -> bool {
        let parts = record.suspects.iter().map(|s| s.part);
        let is_explained = self.quarantine.remaining(parts, now).is_some();
        !is_explained && self.crash_evidence.restore(record, now)
    }

    /// Whether there are crashes to judge.
    #[must_use]
    pub fn has_unjudged_crashes(&self, now: Duration) -> bool {
        self.crash_evidence.is_due(now)
    }

    /// Lists the prompt parts that the crashes so far convict, and returns what is new.
    pub fn judge_crashes(&mut self, now: Duration) -> Vec<Conviction> {
        let mut convictions = Vec::new();
        let is_engine = |t: &&Target| matches!(t.load, TargetLoad::Engine(_));
        let engines = self.targets.values().filter(is_engine).count();
        loop {
            let quarantine = &self.quarantine;
            let is_on_probation = |part| quarantine.is_on_probation(part, now);
            let Some(conviction) = self.crash_evidence.convict(is_on_probation, engines, now)
            else {
                return convictions;
            };
            let Conviction {
                part, crashed_at, ..
            } = conviction;
            self.quarantine.convict(part, crashed_at, now);
            convictions.push(conviction);
        }
    }

    /// Returns the list of quarantined prompt parts.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Applies a notice of another router or of the store on a quarantined prompt part. Returns
    /// whether it tells anything new.
    pub fn apply_notice(&mut self, notice: Notice, now: Duration) -> bool {
        let is_new = self.quarantine.apply(notice, now);
        if is_new && !notice.is_lifted {
            self.crash_evidence.explain(notice.part);
        }
        is_new
    }
}
