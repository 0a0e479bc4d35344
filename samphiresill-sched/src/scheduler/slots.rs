//! Slots of one target: the grants that hold them, the concurrency limit and the backoff after
//! failures.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::limit::ConcurrencyLimit;
use crate::message::{GrantId, Observed};
use crate::topology::TargetConfig;

/// Consecutive failures after which no slots of a target are granted for a backoff period.
const FAILURES_TO_BLOCK: u32 = 3;
/// First backoff period; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff period.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// `TargetSlots` is the state of one target's slots in its scheduler.
#[derive(Clone, Debug)]
pub struct TargetSlots {
    config: TargetConfig,
    limit: ConcurrencyLimit,
    grants: BTreeSet<GrantId>,
    failures: u32,
    blocked_until: Duration,
}

impl TargetSlots {
    /// Creates the slots of an idle target.
    #[must_use]
    pub fn new(config: TargetConfig) -> Self {
        Self {
            limit: ConcurrencyLimit::new(config.slots),
            config,
            grants: BTreeSet::new(),
            failures: 0,
            blocked_until: Duration::ZERO,
        }
    }

    /// Applies a changed configuration; running requests keep their slots.
    pub fn set_config(&mut self, config: TargetConfig) {
        self.config = config;
    }

    /// Stops granting slots; running requests keep theirs.
    pub fn drain(&mut self) {
        self.config.draining = true;
    }

    /// Returns the number of slots that can be granted now.
    #[must_use]
    pub fn free(&self, now: Duration) -> u32 {
        if self.config.draining || now < self.blocked_until {
            return 0;
        }
        // After repeated failures, a target is probed with a single request before it gets more.
        let limit = if self.is_suspect() {
            1
        } else {
            self.limit.current(&self.config)
        };
        limit.saturating_sub(self.grants.len() as u32)
    }

    /// Returns the expected cost of placing one more request on the target: its load times its mean
    /// time between tokens. Lower is better.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let load = (self.grants.len() + 1) as f64 / f64::from(self.limit.current(&self.config));
        load * self.limit.between_tokens_us().max(1.0)
    }

    /// Returns the number of slots that are granted or in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.grants.len()
    }

    /// Assigns a free slot to a grant.
    ///
    /// # Panics
    /// Panics when no slot is free or the grant already holds one.
    pub fn grant(&mut self, now: Duration, grant: GrantId) {
        assert!(self.free(now) > 0, "no free slot for grant {grant}");
        let is_new = self.grants.insert(grant);
        assert!(is_new, "grant {grant} already holds a slot");
        if self.free(now) == 0 {
            self.limit.record_saturation();
        }
    }

    /// Assigns a slot to a running request that was granted by an earlier scheduler, even beyond
    /// the limit.
    pub fn restore(&mut self, grant: GrantId) {
        self.grants.insert(grant);
    }

    /// Frees the slot of a grant, and applies what its request measured.
    pub fn release(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) {
        self.grants.remove(&grant);
        let Some(observed) = observed else { return };
        self.limit.observe(&self.config, observed);
        if observed.failed {
            self.failures = self.failures.saturating_add(1);
            if self.is_suspect() {
                let doublings = (self.failures - FAILURES_TO_BLOCK).min(8);
                let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
                self.blocked_until = now + backoff;
            }
        } else {
            self.failures = 0;
            self.blocked_until = Duration::ZERO;
        }
    }

    fn is_suspect(&self) -> bool {
        self.failures >= FAILURES_TO_BLOCK
    }
}
