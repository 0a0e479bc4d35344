//! The routing state of a router: the configuration, the directory of targets and the evacuations,
//! received from the store or from peers.
//!
//! Invariants: neither the revision in force nor the version of the directory ever decreases.

pub mod directory;
pub mod evacuations;
pub mod target_log;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use samphiresill_core::name::{DomainName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry};
use samphiresill_member::store_watch::PollTurn;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use self::directory::{Change, Directory, Update};
use self::evacuations::Evacuations;
use crate::dialect::Dialect;

/// Age up to which the store's newest answer to a peer shows that the store is available: the interval
/// between answers to the watchers, and that between heartbeats.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `Versions` are the versions of a router's routing state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the configuration; 0 while none is known.
    pub revision: u64,
    /// Version of the directory of targets.
    pub directory: u64,
}

/// `WatchState` records whether this gateway should watch the store, and when the store has last
/// answered it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WatchState {
    is_wanted: bool,
    turn: PollTurn,
    /// Monotonic time up to which the store's answers show all changes; `None` while its calls fail.
    answered_at: Option<Duration>,
}

/// `RoutingState` is read by the request path, and updated from the store and from peers.
pub struct RoutingState {
    dialect: Arc<dyn Dialect>,
    table: ArcSwapOption<RoutingTable>,
    document: Mutex<Bytes>,
    directory: Mutex<Directory>,
    evacuations: Mutex<Evacuations>,
    changed: watch::Sender<()>,
    watching: watch::Sender<WatchState>,
    /// Monotonic time in milliseconds of the store's newest known answer to a peer; 0 when there was
    /// none.
    peer_answered_at_ms: AtomicU64,
}

impl RoutingState {
    /// Creates a state without a configuration or targets.
    #[must_use]
    pub fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            table: ArcSwapOption::empty(),
            document: Mutex::default(),
            directory: Mutex::default(),
            evacuations: Mutex::default(),
            changed: watch::channel(()).0,
            watching: watch::channel(WatchState::default()).0,
            peer_answered_at_ms: AtomicU64::new(0),
        }
    }

    /// Sets whether this gateway should watch the store.
    pub fn set_watching(&self, is_wanted: bool) {
        self.watching.send_if_modified(|w| {
            let is_new = w.is_wanted != is_wanted;
            w.is_wanted = is_wanted;
            w.answered_at = w.answered_at.filter(|_| is_wanted);
            is_new
        });
    }

    /// Sets in which turn this gateway polls the store while it watches it.
    pub fn set_poll_turn(&self, turn: PollTurn) {
        self.watching.send_if_modified(|w| {
            w.turn = turn;
            false
        });
    }

    /// Turn in which this gateway polls the store.
    #[must_use]
    pub fn poll_turn(&self) -> PollTurn {
        self.watching.borrow().turn
    }

    /// Sets up to which time the store's answers to this gateway show all changes; `None` when one of
    /// its calls has failed.
    pub fn set_store_answered(&self, answered_at: Option<Duration>) {
        self.watching.send_if_modified(|w| {
            let answered_at = answered_at.filter(|_| w.is_wanted);
            let is_new = w.answered_at != answered_at;
            w.answered_at = answered_at;
            is_new
        });
    }

    /// Records that the store has answered a peer at `at`.
    pub fn record_peer_answer(&self, at: Duration) {
        self.peer_answered_at_ms
            .fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since the store's newest known answer to a peer; `None` when there was none.
    #[must_use]
    pub fn peer_answer_age(&self, now: Duration) -> Option<Duration> {
        let at = Duration::from_millis(self.peer_answered_at_ms.load(Ordering::Relaxed));
        (!at.is_zero()).then(|| now.saturating_sub(at))
    }

    /// Whether the store answers a peer, so that a failed call here is not an outage of the store.
    #[must_use]
    pub fn is_peer_watching(&self, now: Duration) -> bool {
        let age = self.peer_answer_age(now);
        age.is_some_and(|age| age < PEER_ANSWER_TIMEOUT)
    }

    /// Whether this gateway watches the store and none of its calls has failed since the last answers.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching.borrow().answered_at.is_some()
    }

    /// Time since the store has last answered this gateway, for all tables; `None` while it does not
    /// watch the store or its calls fail.
    #[must_use]
    pub fn answer_age(&self, now: Duration) -> Option<Duration> {
        let answered_at = self.watching.borrow().answered_at;
        answered_at.map(|at| now.saturating_sub(at))
    }

    /// Waits until the store has answered this gateway later than `after`.
    pub async fn answered_after(&self, after: Duration) -> Duration {
        let mut watching = self.watching.subscribe();
        let is_later = |w: &WatchState| w.answered_at.is_some_and(|at| at > after);
        // The sender is not dropped before `self`.
        let state = watching.wait_for(is_later).await;
        state.ok().and_then(|w| w.answered_at).unwrap_or(after)
    }

    /// Waits until this gateway should watch the store, or until it should not.
    pub async fn wait_for_watching(&self, is_wanted: bool) {
        let mut watching = self.watching.subscribe();
        // The sender is not dropped before `self`.
        let _ = watching.wait_for(|w| w.is_wanted == is_wanted).await;
    }

    /// The configuration in force; `None` while none is known.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Versions of the current state.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            revision: self.table.load().as_ref().map_or(0, |t| t.revision),
            directory: lock(&self.directory).version(),
        }
    }

    /// Returns a receiver that is notified of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Puts a configuration in force if its revision is higher than the current one.
    pub fn offer_configuration(&self, document: &Bytes, source: &str) {
        let table = match self.dialect.routing_table(document) {
            Ok(table) => table,
            Err(e) => {
                log::error!(source, error:% = e; "invalid configuration rejected, keeping the current one");
                return;
            }
        };
        let mut current_document = lock(&self.document);
        let current = self.table.load().as_ref().map_or(0, |t| t.revision);
        if table.revision <= current {
            return;
        }
        log::info!(source, from = current, to = table.revision; "configuration in force");
        current_document.clone_from(document);
        self.table.store(Some(Arc::new(table)));
        drop(current_document);
        self.changed.send_replace(());
    }

    /// Applies changes of the directory from the store. All changes up to `complete_to` are known
    /// afterwards.
    pub fn apply_changes(&self, changes: Vec<Change>, complete_to: u64) {
        lock(&self.directory).apply(changes, complete_to);
        self.changed.send_replace(());
    }

    /// Applies the full directory as of `version`; targets that it does not list are removed.
    pub fn replace_directory(&self, changes: Vec<Change>, version: u64) {
        lock(&self.directory).replace(changes, version);
        self.changed.send_replace(());
    }

    /// Applies an update from a peer. It is ignored when it contains nothing new, or when changes
    /// that precede it are missing.
    pub fn apply_update(&self, update: Update) {
        if lock(&self.directory).update(update) {
            self.changed.send_replace(());
        }
    }

    /// Whether a change lists a target again that had left or begun to drain.
    #[must_use]
    pub fn is_return(&self, change: &Change) -> bool {
        lock(&self.directory).is_return(change)
    }

    /// Returns the changes of the directory that a router at version `after` is missing.
    #[must_use]
    pub fn directory_since(&self, after: u64) -> Update {
        lock(&self.directory).since(after)
    }

    /// Returns the usable entries of the directory.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetEntry> {
        let directory = lock(&self.directory);
        directory.rows().filter_map(|c| c.entry.clone()).collect()
    }

    /// Returns the other targets in the failure domain of a target, of all services.
    #[must_use]
    pub fn neighbours(&self, target: &TargetName) -> Vec<(TargetName, SocketAddr)> {
        let directory = lock(&self.directory);
        let entries = || directory.rows().filter_map(|c| c.entry.as_ref());
        let own = entries().find(|e| e.name == *target);
        let others =
            entries().filter(|e| own.is_some_and(|o| e.domain == o.domain && e.name != o.name));
        others.map(|e| (e.name.clone(), e.address)).collect()
    }

    /// Applies rows about evacuations from the store or a peer; older ones than the known are ignored.
    pub fn apply_evacuations(&self, rows: Vec<evacuations::Row>, source: &str, now: Duration) {
        if !rows.is_empty() && lock(&self.evacuations).apply(rows, source, now) {
            self.changed.send_replace(());
        }
    }

    /// Applies all evacuations in the store as of `version`; failure domains that are not listed are
    /// back in service.
    pub fn replace_evacuations(&self, listed: Vec<evacuations::Row>, version: u64, now: Duration) {
        if lock(&self.evacuations).replace(listed, version, "store", now) {
            self.changed.send_replace(());
        }
    }

    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DomainName> {
        lock(&self.evacuations).evacuated()
    }

    /// All rows about evacuations, including those of failure domains that are back in service.
    #[must_use]
    pub fn evacuations(&self) -> Vec<evacuations::Row> {
        lock(&self.evacuations).rows().collect()
    }

    /// Highest version of an evacuation or its end; 0 when none is known.
    #[must_use]
    pub fn evacuations_version(&self) -> u64 {
        lock(&self.evacuations).version()
    }

    /// Returns the rows about evacuations for the next datagram to peers.
    #[must_use]
    pub fn next_evacuations(&self, max_bytes: usize) -> Vec<evacuations::Row> {
        lock(&self.evacuations).next_part(max_bytes)
    }

    /// Returns the encoded configuration as it was received.
    #[must_use]
    pub fn document(&self) -> Bytes {
        lock(&self.document).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
