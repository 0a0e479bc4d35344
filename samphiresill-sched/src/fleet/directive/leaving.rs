//! Targets that have said that they are about to stop.
//!
//! An instance that leaves does not come back: it is not used again even while the directory lists it as
//! ready, as it may when the store is away or has come back from an earlier copy.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;
use samphiresill_core::routing::TargetEntry;

/// Time for which a target that is not listed is remembered.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of remembered targets.
const MAX_TARGETS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Instance {
    started_ms: u64,
    /// When the target was last known to be listed, or said that it leaves.
    seen_at: Duration,
}

/// `LeavingTargets` are the instances of targets that have said that they leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets(BTreeMap<TargetName, Instance>);

impl LeavingTargets {
    /// Records that an instance leaves. Returns whether that is new.
    pub fn record(&mut self, target: &TargetName, started_ms: u64, now: Duration) -> bool {
        if self.0.len() >= MAX_TARGETS && !self.0.contains_key(target) {
            let oldest = self.0.iter().min_by_key(|(_, i)| i.seen_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.0.remove(&name);
            }
        }
        let instance = Instance {
            started_ms,
            seen_at: now,
        };
        let known = self.0.insert(target.clone(), instance);
        known.is_none_or(|known| known.started_ms != started_ms)
    }

    /// Whether the listed instance of a target leaves.
    #[must_use]
    pub fn contains(&self, entry: &TargetEntry) -> bool {
        let instance = self.0.get(&entry.name);
        instance.is_some_and(|i| i.started_ms == entry.started_ms)
    }

    /// Returns the names and start times of all instances.
    pub fn instances(&self) -> impl Iterator<Item = (&TargetName, u64)> {
        self.0.iter().map(|(name, i)| (name, i.started_ms))
    }

    /// Forgets targets that have not been listed for a while.
    pub fn sweep(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Duration) {
        self.0.retain(|name, instance| {
            if is_listed(name) {
                instance.seen_at = now;
            }
            now.saturating_sub(instance.seen_at) < RETENTION
        });
    }
}
