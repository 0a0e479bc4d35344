//! Runs whose end was missed, and those of this router.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::{FleetLoad, Placement};
use crate::fleet::event::{Event, RunResult};
use crate::fleet::request::RunId;

/// Age up to which a run may be missing from the list of its origin, because its placement may
/// still be in flight.
const RUN_LIST_GRACE: Duration = Duration::from_millis(600);

impl FleetLoad {
    /// Returns the numbers of the active runs of this router, so that other routers can reconcile
    /// runs whose end they missed.
    #[must_use]
    pub fn own_runs(&self) -> Vec<u32> {
        let own_runs = self.targets.values().flat_map(|t| &t.own_runs);
        own_runs.map(|run| run.number).collect()
    }

    /// Ends the runs of another router that are not in `active`; all of its runs when `active` is
    /// `None`, because the router is dead. With `is_relayed`, also publishes the ends.
    pub fn retain_runs(
        &mut self,
        origin: u64,
        active: Option<&BTreeSet<u32>>,
        is_relayed: bool,
        now: Duration,
    ) {
        let has_ended = |run: RunId, since: Duration| {
            active.is_none_or(|active| {
                !active.contains(&run.number) && now.saturating_sub(since) > RUN_LIST_GRACE
            })
        };
        let mut ended = Vec::new();
        if active.is_none() {
            self.balance.remove_view(origin);
        }
        for (name, target) in &self.targets {
            let runs = target.load.runs_of(origin).into_iter();
            ended.extend(
                runs.filter(|(run, since)| has_ended(*run, *since))
                    .map(|(run, _)| (name.clone(), run)),
            );
        }
        self.end_all(ended, is_relayed, now);
    }

    pub(super) fn end_all(
        &mut self,
        runs: Vec<(TargetName, RunId)>,
        is_relayed: bool,
        now: Duration,
    ) {
        let events = runs.into_iter().map(|(target, run)| Event::Ended {
            run,
            target,
            result: RunResult::Unknown,
        });
        self.apply(events.collect(), is_relayed, now);
    }

    pub(super) fn track_own_run(&mut self, placement: &Placement, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.own_runs.insert(placement.run);
            target.health.record_sent(now);
        }
    }
}
