//! Crashes of targets, grouped by moment, and the cases against what ran in them.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;

use super::evidence::Suspect;
use super::whole;

/// Crashes after which a part is convicted although the evidence is ambiguous: others ran in all of
/// them too, it had been answered before, a single target crashed again and again, or most runs end
/// in crashes.
pub(super) const FIRM_CRASHES: usize = 5;
/// Time within which crashes count as simultaneous: their reports take tens of milliseconds.
const SIMULTANEOUS_TIME: Duration = Duration::from_millis(60);
/// Maximum number of parts that are kept of a crash.
pub(super) const MAX_SUSPECTS: usize = 512;

/// `Crash` is one crash of a target, by the reports of all routers.
#[derive(Debug)]
pub(super) struct Crash {
    pub target: TargetName,
    pub at: Duration,
    /// Depths in the prompt, by part.
    pub suspects: BTreeMap<u64, u8>,
}

/// `Case` is the evidence against one part, or one whole request.
#[derive(Debug)]
pub(super) struct Case {
    pub part: u64,
    pub depth: u8,
    pub crashes: usize,
    pub targets: usize,
    pub crashed_at: Duration,
    /// Groups of simultaneous crashes since its first one, and those that it explains.
    pub groups: usize,
    pub explained_groups: usize,
    pub was_answered: bool,
}

impl Case {
    pub fn is_whole(&self) -> bool {
        self.depth == whole::DEPTH
    }
}

impl Crash {
    pub fn add(&mut self, suspects: &[Suspect]) {
        for suspect in suspects {
            if self.suspects.len() >= MAX_SUSPECTS {
                return;
            }
            self.suspects.insert(suspect.part, suspect.depth);
        }
    }
}

/// Returns the part that ran in more crashes than any other; among several, the one that was never
/// answered. `None` while the evidence does not tell them apart.
pub(super) fn leader<'a>(cases: &[&'a Case]) -> Option<&'a Case> {
    let most = cases.iter().map(|c| c.crashes).max()?;
    let is_firm = most >= FIRM_CRASHES;
    let leaders = || cases.iter().copied().filter(|c| c.crashes == most);
    let unanswered = || leaders().filter(|c| !c.was_answered);
    match (unanswered().count(), leaders().count()) {
        (1, _) => unanswered().next(),
        (0, 1) if is_firm => leaders().next(),
        // Among parts that always come together, the deepest one is in the fewest prompts.
        (2.., _) if is_firm => unanswered().max_by_key(|c| c.depth),
        _ => None,
    }
}

/// Groups crashes by the time since the first one of the group. A group does not grow with further
/// crashes, so that a storm without pauses has many.
pub(super) fn simultaneous<'a, 'b>(crashes: &'b [&'a Crash]) -> Vec<&'b [&'a Crash]> {
    let mut groups = Vec::new();
    let mut rest = crashes;
    while let Some(first) = rest.first() {
        let is_in_group = |c: &&Crash| c.at.saturating_sub(first.at) <= SIMULTANEOUS_TIME;
        let count = rest.iter().take_while(|c| is_in_group(c)).count();
        let (group, others) = rest.split_at(count);
        groups.push(group);
        rest = others;
    }
    groups
}

/// Returns the parts that ran in a group of crashes, with their depths and these crashes.
pub(super) fn parts_of<'a>(group: &[&'a Crash]) -> BTreeMap<u64, (u8, Vec<&'a Crash>)> {
    let mut parts: BTreeMap<u64, (u8, Vec<&Crash>)> = BTreeMap::new();
    for crash in group {
        for (part, depth) in &crash.suspects {
            let (_, crashes) = parts.entry(*part).or_insert((*depth, Vec::new()));
            crashes.push(crash);
        }
    }
    parts
}
