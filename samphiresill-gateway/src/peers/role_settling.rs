//! Whether a gateway that takes itself for a scheduler will stay one.
//!
//! Handles the load pattern in which a large fleet starts at once: each gateway first knows only itself,
//! then a few others, and takes itself for one of the schedulers of a small fleet.

use std::time::Duration;

use super::driver::ROLE_COUNTS;

/// Time without a change after which a small fleet is taken for complete: longer than between two
/// rounds of the membership protocol.
const SMALL_FLEET_STABLE_TIME: Duration = Duration::from_millis(300);
/// Time within which gateways that start together learn that they are many.
const CONVERGENCE_TIME: Duration = Duration::from_secs(1);

/// `RoleSettling` observes how the membership grows while this gateway is a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleSettling {
    scheduler_since: Option<Duration>,
    routers: usize,
    changed_at: Duration,
}

impl RoleSettling {
    /// Records the role and the number of usable routers, at each change of the membership.
    pub fn observe(&mut self, is_scheduler: bool, routers: usize, now: Duration) {
        let since = self.scheduler_since.unwrap_or(now);
        self.scheduler_since = is_scheduler.then_some(since);
        if routers != self.routers {
            self.routers = routers;
            self.changed_at = now;
        }
    }

    /// Whether this gateway is a scheduler and the others that started with it are known.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        let Some(since) = self.scheduler_since else {
            return false;
        };
        let is_small = self.routers <= ROLE_COUNTS.small_fleet;
        let is_stable = now.saturating_sub(self.changed_at) >= SMALL_FLEET_STABLE_TIME;
        is_small && is_stable || now.saturating_sub(since) >= CONVERGENCE_TIME
    }
}
