//! Logs which targets are cold, and records their number.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;
use samphiresill_sched::fleet::cold_start::ColdTarget;

use crate::gateway::Gateway;

/// `ColdLog` records which cold targets have been logged.
#[derive(Debug, Default)]
pub(super) struct ColdLog {
    known: BTreeMap<TargetName, ColdTarget>,
    diversions: u64,
}

impl ColdLog {
    /// Logs the targets that have become cold or warm, and updates the metrics.
    pub(super) fn update(&mut self, gateway: &Gateway, now: Duration) {
        let (cold, diversions) = {
            let fleet_load = gateway.fleet_load();
            (fleet_load.cold_targets(now), fleet_load.cold_diversions())
        };
        for (target, state) in &cold {
            if !self.known.contains_key(target) {
                let ColdTarget {
                    reason,
                    remaining,
                    rate,
                } = state;
                log::info!(
                    target:%, reason:%, remaining_ms = remaining.map(|r| r.as_millis() as u64),
                    per_second = rate.per_second();
                    "target is cold"
                );
            }
        }
        for target in self.known.keys().filter(|t| !cold.contains_key(*t)) {
            log::info!(target:%; "target is warm");
        }
        gateway.metrics.record_cold_targets(cold.len());
        gateway
            .metrics
            .record_cold_diversions(diversions.saturating_sub(self.diversions));
        self.diversions = diversions;
        self.known = cold;
    }
}
