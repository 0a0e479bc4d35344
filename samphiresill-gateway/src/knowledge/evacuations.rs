//! Which failure domains operators have evacuated, as versioned rows.
//!
//! Invariants: a row is replaced only by one with a higher version; at most `MAX_DOMAINS` rows are
//! held, including those of domains that are back in service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use samphiresill_core::name::DomainName;
use serde::{Deserialize, Serialize};

/// Maximum number of failure domains that are held: many times that of the planned deployments.
const MAX_DOMAINS: usize = 64;
/// Maximum length of the name of a failure domain, so that a row fits into a datagram.
const MAX_NAME_BYTES: usize = 200;
/// Maximum encoded size of a row without its name: length, version and state.
const ROW_OVERHEAD_BYTES: usize = 13;

/// `Row` is the state of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The failure domain.
    pub domain: DomainName,
    /// Version of the change, ordered across eras of the store.
    pub version: u64,
    /// Whether the failure domain is evacuated; a row with false is a tombstone.
    pub is_evacuated: bool,
}

impl Row {
    fn max_bytes(&self) -> usize {
        self.domain.len() + ROW_OVERHEAD_BYTES
    }
}

/// Returns the maximum encoded size of rows, in bytes.
#[must_use]
pub fn max_bytes(rows: &[Row]) -> usize {
    rows.iter().map(Row::max_bytes).sum()
}

/// `State` is the version of the newest row of a failure domain.
#[derive(Clone, Copy, Debug)]
struct State {
    version: u64,
    is_evacuated: bool,
    /// Monotonic time since which the failure domain has been in this state.
    since: Duration,
}

/// `Evacuations` holds the newest row of each failure domain that has been evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    domains: BTreeMap<DomainName, State>,
    /// Highest version up to which tombstones have been dropped.
    tombstones_dropped_to: u64,
    /// Number of parts taken since the last change.
    parts_taken: usize,
    has_logged_name: bool,
    has_logged_bound: bool,
}

impl Evacuations {
    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DomainName> {
        let evacuated = self.domains.iter().filter(|(_, s)| s.is_evacuated);
        evacuated.map(|(domain, _)| domain.clone()).collect()
    }

    /// The newest row of each failure domain, including tombstones.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.domains.iter().map(|(domain, state)| Row {
            domain: domain.clone(),
            version: state.version,
            is_evacuated: state.is_evacuated,
        })
    }

    /// Highest version of a row; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        let versions = self.domains.values().map(|s| s.version);
        versions.max().unwrap_or(0)
    }

    /// Applies the rows that are newer than the known ones. Returns whether there were any.
    pub fn apply(&mut self, rows: Vec<Row>, source: &str, now: Duration) -> bool {
        self.merge(rows, self.tombstones_dropped_to, source, now)
    }

    /// Applies all rows of the store as of `version`: those that are not listed were removed.
    /// Returns whether anything changed.
    pub fn replace(&mut self, listed: Vec<Row>, version: u64, source: &str, now: Duration) -> bool {
        let names: BTreeSet<DomainName> = listed.iter().map(|r| r.domain.clone()).collect();
        let removed = self
            .rows()
            .filter(|r| r.is_evacuated && r.version <= version && !names.contains(&r.domain));
        let removed: Vec<Row> = removed
            .map(|r| Row {
                is_evacuated: false,
                // Pages of one read may reflect different versions, so that the row may have been
                // written at this version and removed later.
                version: version.max(r.version + 1),
                domain: r.domain,
            })
            .collect();
        // Removals come first because they make room.
        let is_changed = self.merge(removed, 0, source, now);
        self.merge(listed, 0, source, now) || is_changed
    }

    /// Returns the rows for the next datagram, at most `max_bytes` of them but at least one. They are
    /// all of them when these fit. Otherwise the first part after a change holds the newest ones, and
    /// the next parts alternate between these and the others.
    pub fn next_part(&mut self, max_bytes: usize) -> Vec<Row> {
        let mut rows: Vec<Row> = self.rows().collect();
        if self::max_bytes(&rows) <= max_bytes {
            return rows;
        }
        rows.sort_by_key(|r| std::cmp::Reverse(r.version));
        if self.parts_taken % 2 == 1 {
            let start = self.parts_taken / 2 % rows.len();
            rows.rotate_left(start);
        }
        self.parts_taken = self.parts_taken.wrapping_add(1);
        let mut size = 0;
        rows.into_iter()
            .take_while(|row| {
                let is_first = size == 0;
                size += row.max_bytes();
                is_first || size <= max_bytes
            })
            .collect()
    }

    fn merge(&mut self, rows: Vec<Row>, version_floor: u64, source: &str, now: Duration) -> bool {
        let mut is_changed = false;
        for row in rows {
            let known = self.domains.get(&row.domain).copied();
            let is_newer = row.version > known.map_or(version_floor, |s| s.version);
            if !is_newer || known.is_none() && !self.has_room_for(&row) {
                continue;
            }
            self.parts_taken = 0;
            is_changed = true;
            let was_evacuated = known.is_some_and(|s| s.is_evacuated);
            let since = match known {
                Some(known) if was_evacuated == row.is_evacuated => known.since,
                _ => now,
            };
            if was_evacuated != row.is_evacuated {
                let before = known.map_or(now, |s| s.since);
                log_change(&row, source, now.saturating_sub(before));
            }
            let state = State {
                version: row.version,
                is_evacuated: row.is_evacuated,
                since,
            };
            self.domains.insert(row.domain, state);
        }
        is_changed
    }

    /// Whether the row of an unknown failure domain can be held. Drops the oldest tombstone when
    /// there is no other room.
    fn has_room_for(&mut self, row: &Row) -> bool {
        if row.domain.is_empty() || row.domain.len() > MAX_NAME_BYTES {
            if !self.has_logged_name {
                self.has_logged_name = true;
                log::warn!(
                    length = row.domain.len(), max = MAX_NAME_BYTES;
                    "evacuation ignored: invalid length of the name of the failure domain"
                );
            }
            return false;
        }
        if self.domains.len() < MAX_DOMAINS {
            return true;
        }
        let tombstones = self.domains.iter().filter(|(_, s)| !s.is_evacuated);
        let oldest = tombstones.min_by_key(|(_, s)| s.version);
        let oldest = oldest.map(|(domain, s)| (domain.clone(), s.version));
        if let Some((domain, version)) = oldest.filter(|_| row.is_evacuated) {
            self.domains.remove(&domain);
            self.tombstones_dropped_to = self.tombstones_dropped_to.max(version);
            return true;
        }
        if row.is_evacuated && !self.has_logged_bound {
            self.has_logged_bound = true;
            log::warn!(
                domain:% = row.domain, max = MAX_DOMAINS;
                "evacuation ignored: too many failure domains are evacuated"
            );
        }
        false
    }
}

/// Logs that a failure domain was evacuated or is back in service; `ms` is the time since the
/// previous change.
fn log_change(row: &Row, source: &str, since_change: Duration) {
    let ms = since_change.as_millis() as u64;
    let Row {
        domain, version, ..
    } = row;
    if row.is_evacuated {
        log::warn!(domain:%, version, source, ms; "failure domain evacuated");
    } else {
        log::info!(domain:%, version, source, ms; "failure domain back in service");
    }
}
