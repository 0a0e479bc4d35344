//! The slots of one target: which grants hold them, and whether the target takes more.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::limit::Limit;
use crate::message::{GrantId, Observed};
use crate::topology::TargetPlan;

/// Failures in a row after which a target is left alone for a while.
const FAILURES_TO_BLOCK: u32 = 3;
/// First time that a failing target is left alone; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time that a failing target is left alone.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// `Slots` are the slots of one target as its scheduler sees them.
#[derive(Clone, Debug)]
pub struct Slots {
    plan: TargetPlan,
    limit: Limit,
    held_by: BTreeSet<GrantId>,
    failures: u32,
    blocked_until: Duration,
}

impl Slots {
    /// Makes the slots of a target on which nothing runs.
    #[must_use]
    pub fn new(plan: TargetPlan) -> Self {
        Self {
            limit: Limit::new(plan.slots),
            plan,
            held_by: BTreeSet::new(),
            failures: 0,
            blocked_until: Duration::ZERO,
        }
    }

    /// Takes a changed plan; grants that run stay.
    pub fn set_plan(&mut self, plan: TargetPlan) {
        self.plan = plan;
    }

    /// Grants nothing more; what runs stays.
    pub fn drain(&mut self) {
        self.plan.draining = true;
    }

    /// Slots that may be granted now.
    #[must_use]
    pub fn free(&self, now: Duration) -> u32 {
        if self.plan.draining || now < self.blocked_until {
            return 0;
        }
        // A target that has failed is probed with one request before it gets more.
        let limit = if self.is_suspect() {
            1
        } else {
            self.limit.current(&self.plan)
        };
        limit.saturating_sub(self.held_by.len() as u32)
    }

    /// Expected slowness of a further request: lower is better.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let load = (self.held_by.len() + 1) as f64 / f64::from(self.limit.current(&self.plan));
        load * self.limit.between_tokens_us().max(1.0)
    }

    /// Requests that run or are granted.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held_by.len()
    }

    /// Gives a free slot to a grant.
    ///
    /// # Panics
    /// When no slot is free or the grant holds one: "no slot is granted twice".
    pub fn grant(&mut self, now: Duration, grant: GrantId) {
        assert!(
            self.free(now) > 0,
            "no slot is granted twice: {grant} finds none free"
        );
        let is_new = self.held_by.insert(grant);
        assert!(is_new, "no slot is granted twice: {grant} holds one");
        if self.free(now) == 0 {
            self.limit.note_full();
        }
    }

    /// Takes in a request that runs by an earlier scheduler's grant, free slot or not.
    pub fn adopt(&mut self, grant: GrantId) {
        self.held_by.insert(grant);
    }

    /// Frees the slot of a grant, with what its request observed.
    pub fn release(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) {
        self.held_by.remove(&grant);
        let Some(observed) = observed else { return };
        self.limit.observe(&self.plan, observed);
        if observed.failed {
            self.failures = self.failures.saturating_add(1);
            if self.is_suspect() {
                let doublings = (self.failures - FAILURES_TO_BLOCK).min(8);
                let backoff = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
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
