//! Prompt parts and whole requests that crash engines: the list of those in quarantine, and the
//! evidence for it.
//!
//! Handles the load pattern in which requests that share one part of their prompts, or one request
//! that is repeated, crash each engine that begins to answer them (a query of death): what ran on the
//! engines when they crashed convicts the part or the request, and all routers refuse it. A whole
//! request is listed by its fingerprint, in the place of a part.
//!
//! Invariants: at most [`MAX_ENTRIES`] parts are listed; of two notices about a part, the one with
//! the higher revision holds, on all routers.

mod case;
pub mod evidence;
pub mod whole;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum number of listed parts.
pub const MAX_ENTRIES: usize = 64;
/// Duration of a quarantine.
const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// Time after a quarantine in which one crash renews it.
const PROBATION_TIME: Duration = Duration::from_hours(1);

/// `Notice` tells other routers, and the store, about one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The part.
    pub part: u64,
    /// Rises with each change of the part's state.
    pub revision: u32,
    /// Whether the part has been cleared: a request with it was answered after all.
    pub is_lifted: bool,
    /// Time until the quarantine ends.
    pub remaining: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    revision: u32,
    is_lifted: bool,
    until: Duration,
    /// When the first crash was seen for which the part was convicted; `None` if another router
    /// has convicted it.
    crashed_at: Option<Duration>,
}

/// `Quarantine` lists the prompt parts whose requests are refused.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<u64, Entry>,
    changes: u64,
}

impl Quarantine {
    /// Returns how long requests with one of these parts will be refused; `None` when they are not.
    #[must_use]
    pub fn remaining(
        &self,
        parts: impl IntoIterator<Item = u64>,
        now: Duration,
    ) -> Option<Duration> {
        if self.entries.is_empty() {
            return None;
        }
        let entries = parts.into_iter().filter_map(|p| self.entries.get(&p));
        let active = entries.filter(|e| !e.is_lifted && e.until > now);
        active.map(|e| e.until.saturating_sub(now)).max()
    }

    /// Whether the quarantine of a part has ended, so that one crash renews it.
    #[must_use]
    pub fn is_on_probation(&self, part: u64, now: Duration) -> bool {
        let entry = self.entries.get(&part);
        entry.is_some_and(|e| !e.is_lifted && e.until <= now)
    }

    /// Lists a part whose requests have crashed engines since `crashed_at`.
    pub fn convict(&mut self, part: u64, crashed_at: Duration, now: Duration) {
        let entry = Entry {
            revision: self.next_revision(part),
            is_lifted: false,
            until: now + QUARANTINE_TIME,
            crashed_at: Some(crashed_at),
        };
        self.insert(part, entry, now);
    }

    /// Clears a part of which a request that began at `began_at` was answered. Returns whether it
    /// was in quarantine: an answer that began before the crashes proves nothing.
    pub fn acquit(&mut self, part: u64, began_at: Duration, now: Duration) -> bool {
        let entry = self.entries.get(&part);
        let is_wrong = entry.is_some_and(|e| {
            !e.is_lifted && e.until > now && e.crashed_at.is_some_and(|at| began_at >= at)
        });
        if is_wrong {
            let entry = Entry {
                revision: self.next_revision(part),
                is_lifted: true,
                until: now + QUARANTINE_TIME,
                crashed_at: None,
            };
            self.insert(part, entry, now);
        }
        is_wrong
    }

    /// Applies a notice of another router or of the store. Returns whether it tells anything new.
    pub fn apply(&mut self, notice: Notice, now: Duration) -> bool {
        let known = self.entries.get(&notice.part);
        let is_new = known.is_none_or(|e| {
            // Routers that convict and clear a part at the same moment agree on the quarantine.
            (notice.revision, !notice.is_lifted) > (e.revision, !e.is_lifted)
        });
        if is_new {
            let entry = Entry {
                revision: notice.revision,
                is_lifted: notice.is_lifted,
                until: now + notice.remaining.min(QUARANTINE_TIME),
                crashed_at: None,
            };
            self.insert(notice.part, entry, now);
        }
        is_new && self.entries.contains_key(&notice.part)
    }

    /// Returns the notices that are in force, for other routers and for the store.
    #[must_use]
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let active = self.entries.iter().filter(|(_, e)| e.until > now);
        let notice = |(part, entry): (&u64, &Entry)| Notice {
            part: *part,
            revision: entry.revision,
            is_lifted: entry.is_lifted,
            remaining: entry.until.saturating_sub(now),
        };
        active.map(notice).collect()
    }

    /// Number of changes of the list so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of parts whose requests are refused.
    #[must_use]
    pub fn len(&self, now: Duration) -> usize {
        let entries = self.entries.values();
        entries.filter(|e| !e.is_lifted && e.until > now).count()
    }

    fn next_revision(&self, part: u64) -> u32 {
        let known = self.entries.get(&part).map_or(0, |e| e.revision);
        known.saturating_add(1)
    }

    fn insert(&mut self, part: u64, entry: Entry, now: Duration) {
        self.changes += 1;
        self.entries.insert(part, entry);
        self.entries.retain(|_, e| e.until + PROBATION_TIME > now);
        while self.entries.len() > MAX_ENTRIES {
            let first = self
                .entries
                .iter()
                .min_by_key(|(_, e)| (!e.is_lifted, e.until))
                .map(|(part, _)| *part);
            if let Some(part) = first {
                self.entries.remove(&part);
            }
        }
    }
}
