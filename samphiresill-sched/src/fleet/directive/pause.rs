//! Targets that have turned a request of this router away, and told for how long they want no more.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;
use samphiresill_core::routing::TargetEntry;

/// Longest pause that is kept to.
const MAX_PAUSE: Duration = Duration::from_hours(1);

#[derive(Clone, Copy, Debug)]
struct Pause {
    started_ms: u64,
    until: Duration,
}

/// `Pauses` are the pauses of this router's requests to targets, by target. They bind no other router:
/// a target may turn away only some.
#[derive(Clone, Debug, Default)]
pub struct Pauses(BTreeMap<TargetName, Pause>);

impl Pauses {
    /// Records that an instance of a target wants no requests for `time` from now on.
    pub fn record(&mut self, target: &TargetName, started_ms: u64, time: Duration, now: Duration) {
        let until = now + time.min(MAX_PAUSE);
        let pause = Pause { started_ms, until };
        let known = self.0.entry(target.clone()).or_insert(pause);
        if known.started_ms != started_ms || known.until < until {
            *known = pause;
        }
    }

    /// Returns the remaining pause of the listed instance of a target; `None` when there is none.
    #[must_use]
    pub fn remaining(&self, entry: &TargetEntry, now: Duration) -> Option<Duration> {
        let pause = self.0.get(&entry.name)?;
        let is_active = pause.started_ms == entry.started_ms && pause.until > now;
        is_active.then(|| pause.until.saturating_sub(now))
    }

    /// Returns the names of all targets with a pause.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.0.keys()
    }

    /// Drops pauses that have ended.
    pub fn sweep(&mut self, now: Duration) {
        self.0.retain(|_, pause| pause.until > now);
    }
}
