//! Evidence against prompt parts: what ran on targets when they crashed, and what was answered.
//!
//! An answered request clears its parts of all crashes before. A part is convicted when it ran in
//! several crashes, more than any other part, and in more than chance explains; less evidence is
//! needed when it ran in most crashes since its first one and was never answered. Crashes at the same
//! moment count only where the part ran in most of them, and never alone: targets of one rack or
//! failure domain fail together, whatever runs there.
//!
//! Invariants: at most [`MAX_CRASHES`] crashes with [`case::MAX_SUSPECTS`] parts each are kept, and
//! [`MAX_ANSWERED`] answered parts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use samphiresill_core::name::TargetName;
use serde::{Deserialize, Serialize};

use super::case::{self, Case, Crash, FIRM_CRASHES};
use super::whole::{self, Background};

/// Crashes without which no part is convicted.
const MIN_CRASHES: usize = 3;
/// Fraction of the crashes since its first one that a part has to explain to be convicted after more
/// than [`FIRM_CRASHES`], whatever chance explains.
const MOST: f64 = 0.75;
/// Probability below which chance does not explain that a part ran in so many crashes, for a part
/// that ran in all crashes since its first one.
const MAX_CHANCE_IN_ALL: f64 = 1e-3;
/// The same while targets also crash without the part. It is judged twice a second for as long as
/// they do.
const MAX_CHANCE_AMONG_OTHERS: f64 = 1e-5;
/// Time in which all routers report a crash.
const SETTLING_TIME: Duration = Duration::from_millis(150);
/// Time within which reports about one target are about one crash: a target takes seconds to start.
const MERGE_WINDOW: Duration = Duration::from_secs(1);
/// Time after a crash in which answers clear most of its suspects.
const CLEARING_TIME: Duration = Duration::from_secs(1);
/// Time for which a crash is kept.
pub const RETENTION: Duration = Duration::from_mins(10);
/// Offset of the times in the evidence, so that crashes from before the start of the clock have one.
const CLOCK_OFFSET: Duration = RETENTION;
/// Time constant of the rate at which runs end in crashes.
const RATE_TIME_CONSTANT_S: f64 = 30.0;
/// Number of runs, half of them crashed, that are assumed until there is experience.
const PRIOR_RUNS: f64 = 10.0;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 48;
/// Maximum number of answered parts that are remembered.
const MAX_ANSWERED: usize = 4_096;

/// `Suspect` is a part of a prompt that ran on a target when it crashed, or a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// The part, or the fingerprint of the request.
    pub part: u64,
    /// Number of parts before it in the prompt; [`whole::DEPTH`] for a whole request.
    pub depth: u8,
}

/// `Conviction` is the finding that requests with a part crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conviction {
    /// The part.
    pub part: u64,
    /// Number of crashes in which it ran.
    pub crashes: usize,
    /// Time of the first of them.
    pub crashed_at: Duration,
}

/// `CrashRecord` is what is known of one crash, for the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The target that crashed.
    pub target: TargetName,
    /// How long ago.
    pub age: Duration,
    /// Parts that ran there and were not answered since.
    pub suspects: Vec<Suspect>,
}

/// `CrashEvidence` is what one router knows about crashes of targets.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// In order of time.
    crashes: VecDeque<Crash>,
    /// Times of the latest answers, by part.
    answered: BTreeMap<u64, Duration>,
    /// Runs that ended recently, exponentially decayed as of `counted_at`.
    crashed_runs: f64,
    answered_runs: f64,
    judged_at: Duration,
    counted_at: Duration,
}

impl CrashEvidence {
    /// Records a report of a router on what it ran on a target that crashed.
    pub fn record_crash(
        &mut self,
        target: &TargetName,
        runs: u32,
        suspects: &[Suspect],
        now: Duration,
    ) {
        let now = now + CLOCK_OFFSET;
        self.decay(now);
        self.crashed_runs += f64::from(runs);
        let is_recent =
            |c: &&mut Crash| c.target == *target && now.saturating_sub(c.at) < MERGE_WINDOW;
        let known = self.crashes.iter_mut().rev().find(is_recent);
        if let Some(crash) = known {
            crash.add(suspects);
            return;
        }
        let mut crash = Crash {
            target: target.clone(),
            at: now,
            suspects: BTreeMap::new(),
        };
        crash.add(suspects);
        self.crashes.push_back(crash);
        self.crashes
            .retain(|c| now.saturating_sub(c.at) < RETENTION);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Returns the crashes whose evidence outlasts a restart: the ones after which other requests have
    /// had time to clear their parts.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<CrashRecord> {
        let now = now + CLOCK_OFFSET;
        let lasting = self
            .crashes
            .iter()
            .filter(|c| now.saturating_sub(c.at) >= CLEARING_TIME && !c.suspects.is_empty());
        let record = |c: &Crash| CrashRecord {
            target: c.target.clone(),
            age: now.saturating_sub(c.at),
            suspects: c
                .suspects
                .iter()
                .map(|(part, depth)| Suspect {
                    part: *part,
                    depth: *depth,
                })
                .collect(),
        };
        lasting.map(record).collect()
    }

    /// Adds a crash from before this process started, or that it has missed. Returns false when it is
    /// known or too old.
    pub fn restore(&mut self, record: &CrashRecord, now: Duration) -> bool {
        let at = (now + CLOCK_OFFSET).saturating_sub(record.age);
        let is_known = |c: &Crash| c.target == record.target && c.at.abs_diff(at) < MERGE_WINDOW;
        if record.age >= RETENTION || self.crashes.iter().any(is_known) {
            return false;
        }
        let mut crash = Crash {
            target: record.target.clone(),
            at,
            suspects: BTreeMap::new(),
        };
        crash.add(&record.suspects);
        crash
            .suspects
            .retain(|part, _| self.answered.get(part).is_none_or(|t| *t < at));
        let index = self.crashes.partition_point(|c| c.at <= at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        true
    }

    /// Records that a request with these parts was answered completely.
    pub fn record_answer(&mut self, parts: &[u64], now: Duration) {
        let now = now + CLOCK_OFFSET;
        self.decay(now);
        self.answered_runs += 1.0;
        for part in parts {
            self.answered.insert(*part, now);
            for crash in &mut self.crashes {
                crash.suspects.remove(part);
            }
        }
        if self.answered.len() > MAX_ANSWERED {
            let mut times: Vec<Duration> = self.answered.values().copied().collect();
            times.sort_unstable();
            // Half is dropped at once to amortise the scan.
            let oldest_kept = times[times.len() / 2];
            self.answered.retain(|_, at| *at >= oldest_kept);
        }
    }

    /// Records that a whole request was answered completely. Answers are remembered only of those that
    /// ran in a crash, because most requests are never repeated.
    pub fn record_whole_answer(&mut self, fingerprint: u64, now: Duration) {
        let crashes = self.crashes.iter_mut();
        let cleared = crashes.filter_map(|c| c.suspects.remove(&fingerprint));
        if cleared.count() > 0 {
            self.answered.insert(fingerprint, now + CLOCK_OFFSET);
        }
    }

    /// Removes the crashes that a part explains, so that they count against no other part.
    pub fn explain(&mut self, part: u64) {
        self.crashes.retain(|c| !c.suspects.contains_key(&part));
    }

    /// Whether a crash has settled since the evidence was last judged.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        let now = now + CLOCK_OFFSET;
        let mut settled_at = self.crashes.iter().map(|c| c.at + SETTLING_TIME);
        settled_at.any(|at| self.judged_at < at && at <= now)
    }

    /// Returns the part or the whole request that the evidence convicts, if any, and removes the
    /// crashes that it explains. One on probation is convicted by one crash. The fewer `engines` there
    /// are, the more crashes of a whole request does chance explain.
    pub fn convict(
        &mut self,
        is_on_probation: impl Fn(u64) -> bool,
        engines: usize,
        now: Duration,
    ) -> Option<Conviction> {
        let now = now + CLOCK_OFFSET;
        self.judged_at = now;
        self.decay(now);
        let cases = self.cases(now);
        let case = cases
            .iter()
            .find(|c| is_on_probation(c.part))
            .or_else(|| self.proven_whole(&cases, engines, now))
            .or_else(|| self.proven_part(&cases))?;
        let conviction = Conviction {
            part: case.part,
            crashes: case.crashes,
            crashed_at: case.crashed_at.saturating_sub(CLOCK_OFFSET),
        };
        self.explain(conviction.part);
        Some(conviction)
    }

    /// Returns the whole request that explains most crashes, if the evidence against it is enough and
    /// no part that was never answered explains more.
    fn proven_whole<'a>(
        &self,
        cases: &'a [Case],
        engines: usize,
        now: Duration,
    ) -> Option<&'a Case> {
        let unanswered = || cases.iter().filter(|c| !c.was_answered);
        let case = unanswered()
            .filter(|c| c.is_whole())
            .max_by_key(|c| c.crashes)?;
        if unanswered().any(|c| c.crashes > case.crashes) {
            return None;
        }
        let settled = self.settled(now);
        let is_recent = |c: &&&Crash| now.saturating_sub(c.at) <= whole::OBSERVATION_TIME;
        let recent: Vec<&Crash> = settled.iter().filter(is_recent).copied().collect();
        let groups = case::simultaneous(&recent).into_iter();
        let others = groups.filter(|g| g.iter().all(|c| !c.suspects.contains_key(&case.part)));
        let background = Background {
            crashes: others.count(),
            observed: now
                .saturating_sub(CLOCK_OFFSET)
                .min(whole::OBSERVATION_TIME),
            engines,
            requests: cases.iter().filter(|c| c.is_whole()).count(),
        };
        whole::is_proven(case, background).then_some(case)
    }

    /// Returns the part that explains most crashes, if the evidence against it is enough. A part of a
    /// request that explains as many is not convicted for what that request does.
    fn proven_part<'a>(&self, cases: &'a [Case]) -> Option<&'a Case> {
        let (wholes, parts): (Vec<&Case>, Vec<&Case>) = cases.iter().partition(|c| c.is_whole());
        let unanswered = wholes.iter().filter(|c| !c.was_answered);
        let by_whole = unanswered.map(|c| c.crashes).max().unwrap_or(0);
        let case = case::leader(&parts)?;
        let is_firm = case.crashes >= FIRM_CRASHES;
        let is_proven = (is_firm || case.crashes > by_whole) && self.is_proven(case, by_whole);
        is_proven.then_some(case)
    }

    /// Whether the evidence against the leading part is enough. A request that ran in `by_whole` crashes,
    /// because it was repeated, may be the only one with the part in them.
    fn is_proven(&self, case: &Case, by_whole: usize) -> bool {
        let firm_crashes = FIRM_CRASHES + by_whole.saturating_sub(1);
        let is_firm = case.crashes >= firm_crashes;
        let is_varied = case.explained_groups > 1 && (case.targets > 1 || is_firm);
        if case.crashes < MIN_CRASHES || !is_varied {
            return false;
        }
        let chance = self.chance(case);
        if chance < MAX_CHANCE_AMONG_OTHERS {
            return true;
        }
        let explains_all = case.explained_groups == case.groups;
        let explains_most = case.explained_groups as f64 >= case.groups as f64 * MOST;
        let explains_crashes = explains_all && (is_firm || chance < MAX_CHANCE_IN_ALL)
            || explains_most && case.crashes > firm_crashes;
        explains_crashes && !case.was_answered
    }

    /// Probability that any of the suspects runs in so many crashes, and is never answered, though
    /// it causes none.
    fn chance(&self, case: &Case) -> f64 {
        let suspects = self.crashes.iter().flat_map(|c| &c.suspects);
        let parts = suspects.filter(|(_, depth)| **depth != whole::DEPTH);
        let parts = parts.map(|(part, _)| part).collect::<BTreeSet<_>>().len();
        let ended_runs = self.crashed_runs + self.answered_runs;
        let rate = (self.crashed_runs + PRIOR_RUNS / 2.0) / (ended_runs + PRIOR_RUNS);
        rate.powf(case.crashes as f64) * parts as f64
    }

    /// Returns the crashes that all routers have reported.
    fn settled(&self, now: Duration) -> Vec<&Crash> {
        let is_settled = |c: &&Crash| c.at + SETTLING_TIME <= now;
        self.crashes.iter().filter(is_settled).collect()
    }

    /// Returns the evidence against each part, from the crashes that all routers have reported.
    fn cases(&self, now: Duration) -> Vec<Case> {
        let settled = self.settled(now);
        let groups = case::simultaneous(&settled);
        let mut cases: BTreeMap<u64, Case> = BTreeMap::new();
        let mut targets: BTreeMap<u64, BTreeSet<&TargetName>> = BTreeMap::new();
        for (index, group) in groups.iter().enumerate() {
            for (part, (depth, crashes)) in case::parts_of(group) {
                if crashes.len() * 2 < group.len() {
                    continue;
                }
                let case = cases.entry(part).or_insert_with(|| Case {
                    part,
                    depth,
                    crashes: 0,
                    targets: 0,
                    crashed_at: crashes[0].at,
                    groups: groups.len() - index,
                    explained_groups: 0,
                    was_answered: self.answered.contains_key(&part),
                });
                case.crashes += crashes.len();
                case.explained_groups += 1;
                let targets = targets.entry(part).or_default();
                targets.extend(crashes.iter().map(|c| &c.target));
                case.targets = targets.len();
            }
        }
        cases.into_values().collect()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        let factor = (-elapsed / RATE_TIME_CONSTANT_S).exp();
        self.crashed_runs *= factor;
        self.answered_runs *= factor;
        self.counted_at = now;
    }
}
