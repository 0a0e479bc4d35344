//! A router's replica of the directory of targets, as versioned rows.
//!
//! When many targets of a large fleet change at once, a router that is behind receives only the
//! rows that changed since its version, not the full directory.
//!
//! Invariants: the version of the directory never decreases, and all changes up to it are known; a
//! row is replaced only by one with a higher version; at most `MAX_TOMBSTONES` tombstones are
//! kept.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{SoftwareVersion, TargetName};
use samphiresill_core::routing::{ColdTime, TargetEntry, TargetState};
use serde::{Deserialize, Serialize};

/// Maximum number of tombstones kept for routers that are behind: enough for several days at the
/// planned 320 restarts a day.
const MAX_TOMBSTONES: usize = 2_000;
/// Encoded size of a change without its names: version, address, slots, state and start time.
const CHANGE_OVERHEAD_BYTES: usize = 40;

/// Encoded size of the cold time of an entry.
const COLD_TIME_BYTES: usize = 8;

/// `EntryColdTime` is how much longer the target of an entry in an update is cold. It is sent apart from
/// the entry, so that routers that do not know it can decode the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryColdTime {
    /// Index of the change in the update.
    pub index: u32,
    /// How much longer the target is cold, in milliseconds.
    pub remaining_ms: u32,
}

/// Encoded size of the software version of an entry without its text.
const SOFTWARE_VERSION_BYTES: usize = 6;

/// `EntryVersion` is the software version of the target of an entry in an update. It is sent apart from
/// the entry, so that routers that do not know it can decode the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVersion {
    /// Index of the change in the update.
    pub index: u32,
    /// Version of the target's software.
    pub version: SoftwareVersion,
}

/// `Change` is a change of one row of the directory of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the target.
    pub name: TargetName,
    /// The new entry; `None` is a tombstone, for a target that was removed or whose entry is not
    /// usable.
    pub entry: Option<TargetEntry>,
    /// Version of the change.
    pub version: u64,
}

impl Change {
    fn estimated_size(&self) -> usize {
        let names = |e: &TargetEntry| e.name.len() + e.service.len() + e.domain.len();
        let is_cold = self.entry.as_ref().is_some_and(|e| e.cold.is_some());
        let cold = if is_cold { COLD_TIME_BYTES } else { 0 };
        let version = self.entry.as_ref().and_then(|e| e.version.as_ref());
        let version = version.map_or(0, |v| v.len() + SOFTWARE_VERSION_BYTES);
        let names = self.name.len() + self.entry.as_ref().map_or(0, names);
        names + cold + version + CHANGE_OVERHEAD_BYTES
    }
}

/// `Update` holds the changes from one version of the directory to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the receiver must have reached; `None` when `changes` is the full directory.
    pub base: Option<u64>,
    /// Version of the directory after the changes.
    pub version: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// `Directory` holds the rows of the directory, with tombstones for removed targets.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: u64,
    rows: BTreeMap<TargetName, Change>,
    /// Highest version up to which tombstones have been dropped.
    tombstones_dropped_to: u64,
}

impl Directory {
    /// Version up to which all changes are known; individual rows can be newer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All rows, including tombstones.
    pub fn rows(&self) -> impl Iterator<Item = &Change> {
        self.rows.values()
    }

    /// Applies each change that is newer than the known row of its target. The caller asserts that
    /// all changes up to version `complete_to` are known afterwards.
    pub fn apply(&mut self, changes: Vec<Change>, complete_to: u64) {
        // The tombstone of an unknown row may have been dropped; older changes must not restore it.
        self.merge(changes, self.tombstones_dropped_to);
        self.version = self.version.max(complete_to);
    }

    /// Applies the full directory as of `version`: rows that it does not list were removed.
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
                // A higher version, so that later updates include the removal.
                version: version.max(c.version + 1),
            })
            .collect();
        // The version of the store also rises without a change of the directory.
        let newest = listed.iter().chain(&removed).map(|c| c.version).max();
        self.merge(listed, 0);
        self.merge(removed, 0);
        self.version = self.version.max(newest.unwrap_or(0));
    }

    /// Whether a change lists a target as ready that had left, or whose same instance had begun to
    /// drain.
    #[must_use]
    pub fn is_return(&self, change: &Change) -> bool {
        let Some(entry) = change.entry.as_ref() else {
            return false;
        };
        if entry.state != TargetState::Ready {
            return false;
        }
        self.rows
            .get(&change.name)
            .is_some_and(|known| match &known.entry {
                None => true,
                Some(known) => {
                    known.state == TargetState::Draining && known.started_ms == entry.started_ms
                }
            })
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

    /// Applies an update from another router. Returns false when it contains nothing new, or when
    /// changes that precede it are missing here.
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

    /// Returns the changes after version `after`; the full directory when `after` is 0 or when
    /// tombstones of later versions have been dropped.
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
        // Half of the tombstones are dropped at once to amortise the scan.
        let newest_dropped = versions[versions.len() - MAX_TOMBSTONES / 2];
        self.tombstones_dropped_to = self.tombstones_dropped_to.max(newest_dropped);
        let dropped_to = self.tombstones_dropped_to;
        self.rows
            .retain(|_, c| c.entry.is_some() || c.version > dropped_to);
    }
}

impl Update {
    /// Returns the cold times of the entries that still say that their targets are cold.
    #[must_use]
    pub fn cold_times(&self, now: Duration) -> Vec<EntryColdTime> {
        let changes = self.changes.iter().enumerate();
        let cold_times = changes.filter_map(|(index, change)| {
            let remaining = change.entry.as_ref()?.cold?.remaining(now)?;
            Some(EntryColdTime {
                index: u32::try_from(index).ok()?,
                remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            })
        });
        cold_times.collect()
    }

    /// Sets the cold times that were received with the update at `now`.
    pub fn set_cold_times(&mut self, cold_times: &[EntryColdTime], now: Duration) {
        for cold_time in cold_times {
            let change = self.changes.get_mut(cold_time.index as usize);
            if let Some(entry) = change.and_then(|c| c.entry.as_mut()) {
                entry.cold = Some(ColdTime {
                    read_at: now,
                    remaining: Duration::from_millis(u64::from(cold_time.remaining_ms)),
                });
            }
        }
    }

    /// Returns the software versions that the entries state.
    #[must_use]
    pub fn software_versions(&self) -> Vec<EntryVersion> {
        let changes = self.changes.iter().enumerate();
        let versions = changes.filter_map(|(index, change)| {
            Some(EntryVersion {
                index: u32::try_from(index).ok()?,
                version: change.entry.as_ref()?.version.clone()?,
            })
        });
        versions.collect()
    }

    /// Sets the software versions that were received with the update.
    pub fn set_software_versions(&mut self, versions: &[EntryVersion]) {
        for entry_version in versions {
            let change = self.changes.get_mut(entry_version.index as usize);
            if let Some(entry) = change.and_then(|c| c.entry.as_mut()) {
                entry.version = Some(entry_version.version.clone());
            }
        }
    }

    /// Splits the update into consecutive parts of at most `max_bytes` each. Changes of the same
    /// version stay in one part.
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
                // Individual rows can be newer than the version of the update.
                part.version = change.version.min(self.version);
                part.changes.push(change);
            }
        }
        parts
    }
}
