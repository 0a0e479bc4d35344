//! What targets have told routers about the load that they accept.
//!
//! Handles the load patterns in which a target takes fewer requests than its slots suggest: it names a
//! limit in its responses, which binds all routers together, says that it is about to stop, or turns a
//! router away for a while.
//!
//! Invariants: a directive holds for one instance of a target, and survives gaps in the directory; of
//! targets that are not listed, directives are kept for [`UNLISTED_RETENTION`] only.

pub mod leaving;
pub mod pause;
pub mod rate_limit;

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;
use samphiresill_core::routing::TargetEntry;
use samphiresill_core::units::RequestRate;

use self::leaving::LeavingTargets;
use self::pause::Pauses;
use self::rate_limit::{Claim, LimitShare, RateLimit};

/// Time for which the directives of a target that is not listed are kept: entries of live targets
/// may lapse while the store is away.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);
/// Time after which a limit that is named again is published again, in case the event was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// `TargetDirectives` are the directives of one instance of a target.
#[derive(Clone, Debug)]
struct TargetDirectives {
    /// Start of the instance; `None` while the target is not listed.
    started_ms: Option<u64>,
    /// When the target was last known to be listed, or first heard of.
    listed_at: Duration,
    limit: Option<RateLimit>,
}

/// `Directives` are the directives of all targets, as far as a router knows them.
#[derive(Clone, Debug, Default)]
pub struct Directives {
    targets: BTreeMap<TargetName, TargetDirectives>,
    limit_share: LimitShare,
    leaving: LeavingTargets,
    pauses: Pauses,
}

impl Directives {
    /// Whether a response that names `rate` tells more than what was published recently.
    #[must_use]
    pub fn is_limit_news(&self, target: &TargetName, rate: RequestRate, now: Duration) -> bool {
        self.limit(target).is_none_or(|limit| {
            limit.rate() != rate || now.saturating_sub(limit.named_at()) >= REPEAT_INTERVAL
        })
    }

    /// Whether a response without a limit, to a request that was sent at `sent_at`, shows that the
    /// limit has ended. A response to an earlier request may have overtaken one that names it.
    #[must_use]
    pub fn is_limit_over(&self, target: &TargetName, sent_at: Duration) -> bool {
        self.limit(target)
            .is_some_and(|limit| sent_at > limit.named_at())
    }

    /// Records that a target, of which `listed` is the entry, has named a limit. `tokens` of it may
    /// be used at once when it is new.
    pub fn record_limit(
        &mut self,
        target: &TargetName,
        listed: Option<&TargetEntry>,
        (rate, tokens): (RequestRate, f64),
        now: Duration,
    ) {
        let share = self.limit_share;
        let directives = self.entry(target, listed, now);
        match &mut directives.limit {
            Some(limit) => limit.name(rate, share, now),
            None => directives.limit = Some(RateLimit::new(rate, tokens, now)),
        }
    }

    /// Sets the part of each limit that this router may use.
    pub fn set_limit_share(&mut self, share: LimitShare) {
        self.limit_share = share;
    }

    /// Returns the time until the limit of a target allows a request; zero when it does so now.
    #[must_use]
    pub fn limit_wait(&self, target: &TargetName, claim: Claim, now: Duration) -> Duration {
        let limit = self.limit(target);
        limit.map_or(Duration::ZERO, |limit| {
            limit.wait(claim, self.limit_share, now)
        })
    }

    /// Records that the response to a request that was sent at `sent_at` named no limit any more.
    pub fn end_limit(&mut self, target: &TargetName, sent_at: Duration) {
        if self.is_limit_over(target, sent_at)
            && let Some(directives) = self.targets.get_mut(target)
        {
            directives.limit = None;
        }
    }

    /// Counts a request that was sent to a target.
    pub fn record_start(&mut self, target: &TargetName, now: Duration) {
        let directives = self.targets.get_mut(target);
        if let Some(limit) = directives.and_then(|d| d.limit.as_mut()) {
            limit.record_start(self.limit_share, now);
        }
    }

    /// Returns the limit of a target.
    #[must_use]
    pub fn limit(&self, target: &TargetName) -> Option<&RateLimit> {
        self.targets.get(target)?.limit.as_ref()
    }

    /// Returns all limits, by target.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetName, &RateLimit)> {
        let limits = self.targets.iter();
        limits.filter_map(|(name, d)| Some((name, d.limit.as_ref()?)))
    }

    /// Drops the directives of earlier instances of the listed targets.
    pub fn set_targets(&mut self, entries: &[TargetEntry]) {
        for entry in entries {
            let Some(directives) = self.targets.get_mut(&entry.name) else {
                continue;
            };
            let known = directives.started_ms.replace(entry.started_ms);
            if known.is_some_and(|known| known != entry.started_ms) {
                self.targets.remove(&entry.name);
            }
        }
    }

    /// Returns the targets that leave.
    #[must_use]
    pub fn leaving(&self) -> &LeavingTargets {
        &self.leaving
    }

    /// Records that an instance of a target leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, target: &TargetName, started_ms: u64, now: Duration) -> bool {
        self.leaving.record(target, started_ms, now)
    }

    /// Returns the pauses of this router's requests to targets.
    #[must_use]
    pub fn pauses(&self) -> &Pauses {
        &self.pauses
    }

    /// Records that an instance of a target wants no requests of this router for `time`.
    pub fn record_pause(
        &mut self,
        target: &TargetName,
        started_ms: u64,
        time: Duration,
        now: Duration,
    ) {
        self.pauses.record(target, started_ms, time, now);
    }

    /// Drops directives that no longer matter. `is_listed` tells which targets are listed.
    pub fn sweep(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Duration) {
        self.leaving.sweep(&is_listed, now);
        self.pauses.sweep(now);
        self.targets.retain(|name, directives| {
            if is_listed(name) {
                directives.listed_at = now;
            }
            let is_recent = now.saturating_sub(directives.listed_at) < UNLISTED_RETENTION;
            is_recent && directives.limit.is_some()
        });
    }

    fn entry(
        &mut self,
        target: &TargetName,
        listed: Option<&TargetEntry>,
        now: Duration,
    ) -> &mut TargetDirectives {
        let directives = self.targets.entry(target.clone());
        directives.or_insert_with(|| TargetDirectives {
            started_ms: listed.map(|entry| entry.started_ms),
            listed_at: now,
            limit: None,
        })
    }
}
