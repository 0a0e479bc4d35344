//! The directory of targets as known to a router, by rows with versions.
//!
//! Answers the load pattern in which many targets change at once in a large fleet: a router that is
//! behind receives the rows that have changed since its version, not the whole directory.
//!
//! Invariants: the directory's version never falls, and all changes up to it are known; a row is
//! replaced only by one of a higher version; at most [`MAX_TOMBSTONES`] tombstones are kept.

use std::collections::BTreeMap;

use samphiresill_core::name::TargetName;
use samphiresill_core::routing::TargetEntry;
use serde::{Deserialize, Serialize};

/// Tombstones that are kept for routers that are behind: several days of the planned 320 restarts
/// a day.
const MAX_TOMBSTONES: usize = 2_000;
/// Bytes of a change beside its names: version, address, slots, state and start, as encoded.
const CHANGE_OVERHEAD_BYTES: usize = 40;

/// `Change` is one change of the directory of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the target.
    pub name: TargetName,
    /// Its entry; nothing when it was removed or names no usable target.
    pub entry: Option<TargetEntry>,
    /// Version of the change.
    pub version: u64,
}

impl Change {
    fn estimated_size(&self) -> usize {
        let names = |e: &TargetEntry| e.name.len() + e.service.len() + e.domain.len();
        self.name.len() + self.entry.as_ref().map_or(0, names) + CHANGE_OVERHEAD_BYTES
    }
}

/// `Update` are changes that lead from one version of the directory to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the receiver must have reached; nothing when `changes` are the whole directory.
    pub base: Option<u64>,
    /// Version with the changes.
    pub version: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// `Directory` holds the rows of the directory, with tombstones for removed ones.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: u64,
    rows: BTreeMap<TargetName, Change>,
    /// Tombstones of this version or a lower one have been dropped.
    tombstones_dropped_to: u64,
}

impl Directory {
    /// Version up to which all changes are known; single rows can be newer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Rows, tombstones included.
    pub fn rows(&self) -> impl Iterator<Item = &Change> {
        self.rows.values()
    }

    /// Takes changes, each unless a newer one is known for its target. All changes up to the version
    /// `complete_to` are known then.
    pub fn apply(&mut self, changes: Vec<Change>, complete_to: u64) {
        // The tombstone of an unknown row may have been dropped.
        self.merge(changes, self.tombstones_dropped_to);
        self.version = self.version.max(complete_to);
    }

    /// Takes the whole directory as of `version`: what it does not list was removed.
    pub fn replace(&mut self, listed: Vec<Change>, version: u64) {
        let is_listed = |name: &TargetName| listed.iter().any(|c| c.name == *name);
        let removed = self
            .rows
            .values()
            .filter(|c| c.entry.is_some() && c.version <= version && !is_listed(&c.name));
        let removed: Vec<Change> = removed
            .map(|c| Change {
                name: c.name.clone(),
                entry: None,
                // A new version, so that the removal is part of later updates.
                version: version.max(c.version + 1),
            })
            .collect();
        // The store's own version also rises without a change of the directory.
        let newest = listed.iter().chain(&removed).map(|c| c.version).max();
        self.merge(listed, 0);
        self.merge(removed, 0);
        self.version = self.version.max(newest.unwrap_or(0));
    }

    fn merge(&mut self, changes: Vec<Change>, version_floor: u64) {
        for change in changes {
            let known = self
                .rows
                .get(&change.name)
                .map_or(version_floor, |c| c.version);
            if change.version > known {
                self.rows.insert(change.name.clone(), change);
            }
        }
        self.drop_tombstones();
    }

    /// Takes an update of another router; false when it brings nothing new, or changes before it are
    /// missing here.
    pub fn update(&mut self, update: Update) -> bool {
        let is_new = |c: &Change| self.rows.get(&c.name).is_none_or(|k| c.version > k.version);
        if update.version <= self.version && !update.changes.iter().any(is_new) {
            return false;
        }
        match update.base {
            None if update.version < self.version => return false,
            None => self.replace(update.changes, update.version),
            Some(base) if base <= self.version => self.apply(update.changes, update.version),
            Some(_) => return false,
        }
        self.version = self.version.max(update.version);
        true
    }

    /// The changes that a router at version `after` is missing.
    #[must_use]
    pub fn since(&self, after: u64) -> Update {
        let is_full = after < self.tombstones_dropped_to || after == 0;
        let is_included = |c: &&Change| {
            if is_full {
                c.entry.is_some()
            } else {
                c.version > after
            }
        };
        Update {
            base: (!is_full).then_some(after),
            version: self.version,
            changes: self.rows.values().filter(is_included).cloned().collect(),
        }
    }

    fn drop_tombstones(&mut self) {
        let removed = self.rows.values().filter(|c| c.entry.is_none());
        let mut versions: Vec<u64> = removed.map(|c| c.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        // Half of them are dropped at once, to amortise the scan.
        let newest_dropped = versions[versions.len() - MAX_TOMBSTONES / 2];
        self.tombstones_dropped_to = self.tombstones_dropped_to.max(newest_dropped);
        let dropped_to = self.tombstones_dropped_to;
        self.rows
            .retain(|_, c| c.entry.is_some() || c.version > dropped_to);
    }
}

impl Update {
    /// Cuts the update into parts of at most `bytes` each that follow each other; changes of one
    /// version stay together.
    #[must_use]
    pub fn into_parts(mut self, max_bytes: usize) -> Vec<Self> {
        self.changes.sort_by_key(|c| c.version);
        let mut parts: Vec<Self> = Vec::new();
        let mut size = 0;
        for change in self.changes {
            let last = parts.last().map(|p| p.version);
            size += change.estimated_size();
            let is_next = last.is_some_and(|v| v < change.version);
            if size > max_bytes && is_next || last.is_none() {
                size = change.estimated_size();
                parts.push(Self {
                    base: last.or(self.base),
                    version: 0,
                    changes: Vec::new(),
                });
            }
            if let Some(part) = parts.last_mut() {
                // Single rows can be newer than the version of the update.
                part.version = change.version.min(self.version);
                part.changes.push(change);
            }
        }
        parts
    }
}
