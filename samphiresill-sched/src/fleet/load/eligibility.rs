//! Which targets may get a request at all.

use std::time::Duration;

use samphiresill_core::routing::TargetState;

use super::FleetLoad;
use super::continuation;
use super::target::Target;
use crate::fleet::request::PlacementRequest;

/// Targets of a service for each one that may be ejected for a high failure rate.
const TARGETS_PER_EJECTION: usize = 3;

impl FleetLoad {
    /// Returns the targets that may get the request: the usable ones, or all eligible ones when
    /// none is usable.
    pub(super) fn candidates<'a>(
        &'a self,
        req: &'a PlacementRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = &'a Target> {
        let is_eligible = move |target: &&Target| {
            target.entry.service == *req.service
                && target.entry.state == TargetState::Ready
                && !req.tried.contains(&target.entry.name)
                && !req.avoided.contains(&target.entry.name)
                && !self.directives.leaving().contains(&target.entry)
                && !self.evacuated.contains(&target.entry.domain)
                && continuation::allows(req.origin, &target.entry)
        };
        let eligible = || self.targets.values().filter(is_eligible);
        let failing = eligible().filter(|t| t.health.is_failing(now)).count();
        // When many targets fail, the requests are the cause, or no other target would do better.
        let ignores_failures = failing * TARGETS_PER_EJECTION > eligible().count();
        let is_usable = move |target: &Target| {
            let health = target.health;
            health.is_reachable(now) && (ignores_failures || !health.is_failing(now))
        };
        let is_any_usable = eligible().any(is_usable);
        self.targets
            .values()
            .filter(is_eligible)
            .filter(move |t| !is_any_usable || is_usable(t))
    }
}
