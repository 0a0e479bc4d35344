//! What a router knows of the starts of one target.

use std::time::Duration;

use samphiresill_core::name::DomainName;
use samphiresill_core::routing::{ColdStart, TargetEntry};

use super::ColdReason;
use super::signs::Signs;

/// `TargetCold` is what a router knows of the starts of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetCold {
    pub(super) spec: ColdStart,
    pub(super) started_ms: u64,
    pub(super) domain: DomainName,
    pub(super) listed_at: Option<Duration>,
    /// When an entry of the instance first said that it is cold.
    pub(super) first_read_at: Option<Duration>,
    /// Until when the entry says that the target is cold.
    pub(super) entry_until: Duration,
    /// Until when the target is cold because its failure domain was evacuated.
    pub(super) expected_until: Duration,
    pub(super) signs: Signs,
    /// When the target became cold, from which the first request of this router is delayed.
    pub(super) cold_since: Duration,
    /// When this router last placed a request there.
    pub(super) sent_at: Option<Duration>,
}

impl TargetCold {
    pub(super) fn new(entry: &TargetEntry, spec: ColdStart) -> Self {
        Self {
            spec,
            started_ms: entry.started_ms,
            domain: entry.domain.clone(),
            listed_at: None,
            first_read_at: None,
            entry_until: Duration::ZERO,
            expected_until: Duration::ZERO,
            signs: Signs::default(),
            cold_since: Duration::ZERO,
            sent_at: None,
        }
    }

    pub(super) fn update(&mut self, entry: &TargetEntry, spec: ColdStart) {
        if self.started_ms != entry.started_ms {
            // Only its own entry tells whether another instance is cold.
            *self = Self {
                sent_at: self.sent_at,
                ..Self::new(entry, spec)
            };
        }
        self.spec = spec;
        self.domain.clone_from(&entry.domain);
        let Some(cold) = entry.cold else {
            self.entry_until = Duration::ZERO;
            // The instance may become cold again.
            self.first_read_at = None;
            return;
        };
        self.begin(cold.read_at);
        // A target whose time never decreases is cold only once.
        let first_read_at = *self.first_read_at.get_or_insert(cold.read_at);
        self.entry_until =
            (cold.read_at + cold.remaining.min(spec.duration)).min(first_read_at + spec.duration);
    }

    /// Delays the first request from `now` on, unless the target is cold already.
    pub(super) fn begin(&mut self, now: Duration) {
        if self.state(now).is_none() {
            self.cold_since = now;
        }
    }

    /// Returns why the target is cold and how much longer, if that is known.
    pub(super) fn state(&self, now: Duration) -> Option<(ColdReason, Option<Duration>)> {
        let warm_at = |until: Duration| (now < until).then_some(Some(until));
        let sign = self.signs.iter(now).map(|sign| sign.warm_at);
        let sign = sign.max_by_key(|at| at.unwrap_or(Duration::MAX));
        let marks = [
            (ColdReason::Sign, sign),
            (ColdReason::Entry, warm_at(self.entry_until)),
            (ColdReason::Expected, warm_at(self.expected_until)),
        ];
        let marks = marks.into_iter().filter_map(|(r, at)| Some((r, at?)));
        let (reason, at) = marks.max_by_key(|(_, at)| at.unwrap_or(Duration::MAX))?;
        Some((reason, at.map(|at| at.saturating_sub(now))))
    }
}
