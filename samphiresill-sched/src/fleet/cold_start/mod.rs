//! Targets that have just started and take few requests per second.
//!
//! Handles the load pattern in which many targets restart at once and get their usual load while they
//! are cold: they crash again. Each router sends to a cold target at even intervals, by its own share of
//! the target's rate. It counts only what it has placed itself, so that no message needs to arrive in
//! time for the limit to hold.
//!
//! Invariants: the intervals of all routers allow at most the rate; a target whose service names no cold
//! start is never cold; marks of targets that are not listed are kept for [`UNLISTED_RETENTION`] only.

pub mod share;
pub mod signs;
mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{DomainName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry};
use samphiresill_core::units::RequestRate;

use self::share::ColdShare;
use self::signs::Sign;
use self::target::TargetCold;

/// Time for which the state of a target that is not listed is kept: entries of live targets may lapse
/// while the store is away.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);
/// Time for which a broken connection counts as a sign. The entry of a target that has restarted arrives
/// within it.
const BROKEN_CONNECTION_TIME: Duration = Duration::from_secs(1);
/// Time before a reported crash in which the process may have restarted: the collection time and the
/// connection timeout of the crash probe.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Time for which a share holds without being renewed. A router that was suspended longer may have lost
/// its role.
const SHARE_VALIDITY: Duration = Duration::from_millis(500);
/// Maximum number of signs that are kept for targets that are not known yet.
const MAX_EARLY_SIGNS: usize = 2_000;

/// `ColdReason` is why a target counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ColdReason {
    /// Its entry says so.
    #[display("entry")]
    Entry,
    /// It may have restarted.
    #[display("sign of a restart")]
    Sign,
    /// Its failure domain is back in service.
    #[display("domain back in service")]
    Expected,
}

/// `ColdTarget` is a cold target, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTarget {
    /// Why it counts as cold.
    pub reason: ColdReason,
    /// How much longer it is cold; `None` until it has answered.
    pub remaining: Option<Duration>,
    /// Requests per second that it takes.
    pub rate: RequestRate,
}

/// `RepeatedSign` is a sign that a router repeats for others, relative to the time of sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedSign {
    /// The target.
    pub target: TargetName,
    /// When its instance started, in Unix milliseconds.
    pub started_ms: u64,
    /// Time since the earliest possible restart.
    pub first_ago: Duration,
    /// Time since the last failed attempt.
    pub last_ago: Duration,
    /// Time until the target is warm; `None` while it has not answered.
    pub warm_in: Option<Duration>,
}

/// `ColdStarts` are the starts of all targets, as far as a router knows them.
#[derive(Clone, Debug, Default)]
pub struct ColdStarts {
    /// Number of the router, so that the first requests of all routers are spread.
    origin: u64,
    targets: BTreeMap<TargetName, TargetCold>,
    /// Targets that may be cold; the others need not be examined for each request.
    marked: BTreeSet<TargetName>,
    share: ColdShare,
    share_until: Duration,
    /// Targets with signs that the clients of this router have not been told.
    news: BTreeSet<TargetName>,
    /// Repeated signs of targets that are not listed yet, with the start of their instance.
    early: BTreeMap<TargetName, (u64, Sign)>,
}

impl ColdStarts {
    /// Creates the state of the router `origin`.
    #[must_use]
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            ..Self::default()
        }
    }

    /// Sets the share of this router, which holds for half a second.
    pub fn set_share(&mut self, share: ColdShare, now: Duration) {
        self.share = share;
        self.share_until = now + SHARE_VALIDITY;
    }

    /// Takes over the entries of all targets and the configuration of their services.
    pub fn set_targets(&mut self, entries: &[TargetEntry], table: &RoutingTable) {
        for entry in entries {
            let service = table.services.get(&entry.service);
            let Some(spec) = service.and_then(|s| s.cold_start) else {
                self.targets.remove(&entry.name);
                self.marked.remove(&entry.name);
                continue;
            };
            let target = self
                .targets
                .entry(entry.name.clone())
                .or_insert_with(|| TargetCold::new(entry, spec));
            target.update(entry, spec);
            let early = self.early.remove(&entry.name);
            if let Some((_, sign)) = early.filter(|(ms, _)| *ms == entry.started_ms) {
                target.begin(sign.last_at);
                target.signs.merge(sign, sign.last_at);
                self.marked.insert(entry.name.clone());
            }
            if entry.cold.is_some() {
                self.marked.insert(entry.name.clone());
            }
        }
    }

    /// Whether a broken connection to a target tells anything new: its service names a cold start, and
    /// no sign of the same restart is known.
    #[must_use]
    pub fn is_break_news(&self, name: &TargetName, now: Duration) -> bool {
        let target = self.targets.get(name);
        target.is_some_and(|t| !t.signs.iter(now).any(|s| s.is_recent(now)))
    }

    /// Whether all routers know by now whether a target to which a request has been sent may have
    /// restarted. Targets whose services name no cold start are always settled.
    #[must_use]
    pub fn is_settled(&self, name: &TargetName, time: Duration, now: Duration) -> bool {
        let target = self.targets.get(name);
        target.is_none_or(|t| t.signs.iter(now).any(|s| s.first_at + time <= now))
    }

    /// Whether any target may be cold.
    #[must_use]
    pub fn has_marks(&self) -> bool {
        !self.marked.is_empty()
    }

    /// Returns the time until this router may send a request to a target; zero when it may do so now.
    #[must_use]
    pub fn wait(&self, name: &TargetName, now: Duration) -> Duration {
        if !self.marked.contains(name) {
            return Duration::ZERO;
        }
        let Some(target) = self.targets.get(name) else {
            return Duration::ZERO;
        };
        let Some((_, remaining)) = target.state(now) else {
            return Duration::ZERO;
        };
        let remaining = remaining.unwrap_or(target.spec.duration);
        let Some(interval) = self.interval(name, target.spec.rate, now) else {
            return remaining;
        };
        let first_at = target.cold_since + interval.mul_f64(self.phase(name, target.cold_since));
        let next_at = first_at.max(target.sent_at.map_or(Duration::ZERO, |at| at + interval));
        // A target that is warm before its next turn takes requests again then.
        next_at.saturating_sub(now).min(remaining)
    }

    /// Whether the limit of any of the cold targets that `is_candidate` selects delays a request.
    #[must_use]
    pub fn is_any_limited(
        &self,
        is_candidate: impl Fn(&TargetName) -> bool,
        now: Duration,
    ) -> bool {
        let mut candidates = self.marked.iter().filter(|name| is_candidate(name));
        candidates.any(|name| !self.wait(name, now).is_zero())
    }

    fn interval(&self, name: &TargetName, rate: RequestRate, now: Duration) -> Option<Duration> {
        if now < self.share_until {
            self.share.interval(name, rate)
        } else {
            self.share.alone().interval(name, rate)
        }
    }

    /// Position of this router's first request within its interval, from 0 to 1.
    fn phase(&self, name: &TargetName, cold_since: Duration) -> f64 {
        let mut hash = blake3::Hasher::new();
        hash.update(&self.origin.to_le_bytes());
        hash.update(&cold_since.as_nanos().to_le_bytes());
        let hash = hash.update(name.as_bytes()).finalize();
        let bytes = hash.as_bytes();
        f64::from(u16::from_le_bytes([bytes[0], bytes[1]])) / 65_536.0
    }

    /// Counts a request that this router has placed on a target, also while it is warm.
    pub fn record_start(&mut self, name: &TargetName, now: Duration) {
        if let Some(target) = self.targets.get_mut(name) {
            target.sent_at = Some(now);
        }
    }

    /// Records that a connection attempt that began at `began_at` was refused or not answered.
    pub fn record_unreachable(&mut self, name: &TargetName, began_at: Duration, now: Duration) {
        self.record_sign(name, began_at, false, now);
    }

    /// Records that a target has crashed.
    pub fn record_crash(&mut self, name: &TargetName, now: Duration) {
        let first_at = now.saturating_sub(CRASH_DETECTION_TIME);
        self.record_sign(name, first_at, false, now);
    }

    /// Records that the connection of a run broke, which a restart or the network may have caused.
    pub fn record_broken_connection(&mut self, name: &TargetName, now: Duration) {
        self.record_sign(name, now, true, now);
    }

    fn record_sign(&mut self, name: &TargetName, first_at: Duration, is_weak: bool, now: Duration) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.begin(now);
        let sign = Sign {
            first_at,
            last_at: now,
            warm_at: is_weak.then_some(now + BROKEN_CONNECTION_TIME),
            is_weak,
        };
        target.signs.record(sign, now);
        self.marked.insert(name.clone());
        self.news.insert(name.clone());
    }

    /// Records that a target has answered a run that began at `began_at`.
    pub fn record_answer(&mut self, name: &TargetName, began_at: Duration, now: Duration) {
        if let Some(target) = self.targets.get_mut(name) {
            target
                .signs
                .record_answer(began_at, target.spec.duration, now);
        }
    }

    /// Treats the targets of a failure domain as cold from now on.
    pub fn expect(&mut self, domain: &DomainName, now: Duration) {
        let targets = self.targets.iter_mut();
        for (name, target) in targets.filter(|(_, t)| t.domain == *domain) {
            target.begin(now);
            target.expected_until = now + target.spec.duration;
            self.marked.insert(name.clone());
        }
    }

    /// Returns the signs to repeat for other routers that may have missed them; none while this router
    /// is not a scheduler.
    #[must_use]
    pub fn signs_to_repeat(&self, now: Duration) -> Vec<RepeatedSign> {
        let is_scheduler = matches!(self.share, ColdShare::Scheduler { .. });
        if is_scheduler && now < self.share_until {
            self.repeated_signs(now)
        } else {
            Vec::new()
        }
    }

    /// Returns all signs in force, for a router that has just started.
    #[must_use]
    pub fn repeated_signs(&self, now: Duration) -> Vec<RepeatedSign> {
        self.signs_of(&self.marked, false, now)
    }

    /// Returns the signs since the last call, for clients of this router, which may have to place alone.
    pub fn take_news(&mut self, now: Duration) -> Vec<RepeatedSign> {
        let news = std::mem::take(&mut self.news);
        self.signs_of(&news, true, now)
    }

    fn signs_of(
        &self,
        names: &BTreeSet<TargetName>,
        with_weak: bool,
        now: Duration,
    ) -> Vec<RepeatedSign> {
        let marked = names.iter();
        let marked = marked.filter_map(|name| Some((name, self.targets.get(name)?)));
        let signs = marked.filter_map(|(name, target)| {
            let expected = Sign {
                first_at: now,
                last_at: now,
                warm_at: Some(target.expected_until),
                is_weak: false,
            };
            let expected = (now < target.expected_until).then_some(expected);
            let signs = target.signs.iter(now);
            let signs = signs.filter(|s| with_weak || !s.is_weak).copied();
            let sign = signs
                .chain(expected)
                .max_by_key(|s| s.warm_at.unwrap_or(Duration::MAX))?;
            Some(RepeatedSign {
                target: name.clone(),
                started_ms: target.started_ms,
                first_ago: now.saturating_sub(sign.first_at),
                last_ago: now.saturating_sub(sign.last_at),
                warm_in: sign.warm_at.map(|at| at.saturating_sub(now)),
            })
        });
        signs.collect()
    }

    /// Takes over a sign that another router has repeated.
    pub fn merge(&mut self, repeated: &RepeatedSign, now: Duration) {
        let sign = Sign {
            first_at: now.saturating_sub(repeated.first_ago),
            last_at: now.saturating_sub(repeated.last_ago),
            warm_at: repeated.warm_in.map(|time| now + time),
            is_weak: false,
        };
        let Some(target) = self.targets.get_mut(&repeated.target) else {
            if self.early.len() < MAX_EARLY_SIGNS {
                let early = (repeated.started_ms, sign);
                self.early.insert(repeated.target.clone(), early);
            }
            return;
        };
        if target.started_ms != repeated.started_ms {
            return;
        }
        target.begin(now);
        let longest = now + target.spec.duration;
        let warm_at = sign.warm_at.map(|at| at.min(longest));
        if target.signs.merge(Sign { warm_at, ..sign }, now) {
            self.marked.insert(repeated.target.clone());
            self.news.insert(repeated.target.clone());
        }
    }

    /// Returns the cold targets.
    #[must_use]
    pub fn cold_targets(&self, now: Duration) -> BTreeMap<TargetName, ColdTarget> {
        let marked = self.marked.iter();
        let cold = marked.filter_map(|name| {
            let target = self.targets.get(name)?;
            let (reason, remaining) = target.state(now)?;
            let rate = target.spec.rate;
            Some((
                name.clone(),
                ColdTarget {
                    reason,
                    remaining,
                    rate,
                },
            ))
        });
        cold.collect()
    }

    /// Drops what no longer matters. `is_listed` tells which targets are listed.
    pub fn sweep(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Duration) {
        self.targets.retain(|name, target| {
            let listed_at = *target.listed_at.get_or_insert(now);
            if is_listed(name) {
                target.listed_at = Some(now);
            }
            now.saturating_sub(listed_at) < UNLISTED_RETENTION
        });
        let targets = &self.targets;
        let is_cold = |name: &TargetName| targets.get(name).is_some_and(|t| t.state(now).is_some());
        self.marked.retain(is_cold);
        self.news.retain(is_cold);
        self.early
            .retain(|_, (_, sign)| now.saturating_sub(sign.last_at) < UNLISTED_RETENTION);
    }
}
