//! Who has stalled: a target that does not read or write, or the caller that the target waits for.
//!
//! Handles the load pattern in which callers read slowly: their targets cannot make progress, and would
//! seem to have stalled.

use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::{FleetLoad, Placement};
use crate::fleet::event::Event;

impl FleetLoad {
    /// Records that this router does not read the response of its run until [`Self::resume_run`],
    /// because its caller does not take it.
    pub fn hold_run(&mut self, placement: &Placement) {
        let Some(target) = self.targets.get_mut(&placement.target) else {
            return;
        };
        if target.own_runs.contains(&placement.run) {
            target.held_runs.insert(placement.run);
        }
        if !target.is_awaited() {
            target.health.record_idle();
        }
    }

    /// Records that this router waits again for bytes of its run.
    pub fn resume_run(&mut self, placement: &Placement, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target)
            && target.held_runs.remove(&placement.run)
        {
            target.health.record_sent(now);
        }
    }

    /// Records that a target has stalled in reading a request of this router, and publishes it.
    pub fn record_stall(&mut self, target: &TargetName, now: Duration) {
        let event = Event::Stalled {
            target: target.clone(),
        };
        self.publish(event, now);
    }
}
