//! What a router knows of the configuration and the targets, from the store or from peers.
//!
//! Invariants: the revision in force never falls; the directory's version never falls.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use samphiresill_core::routing::{RoutingTable, TargetEntry};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::dialect::Dialect;

/// `Versions` tell how new a router's knowledge is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the configuration; 0 while none is known.
    pub revision: u64,
    /// Version of the newest entry seen in the directory of targets.
    pub directory: u64,
}

/// `Change` is one change of the directory of targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Name of the target.
    pub name: String,
    /// Its entry as written; nothing when it was removed.
    pub document: Option<Bytes>,
    /// Version of the change.
    pub version: u64,
}

#[derive(Debug, Default)]
struct Directory {
    version: u64,
    rows: BTreeMap<String, Change>,
}

/// `Knowledge` is shared by the request path and whatever feeds it.
pub struct Knowledge {
    dialect: Arc<dyn Dialect>,
    table: ArcSwapOption<RoutingTable>,
    document: Mutex<Bytes>,
    directory: Mutex<Directory>,
    changed: watch::Sender<()>,
}

impl Knowledge {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            table: ArcSwapOption::empty(),
            document: Mutex::default(),
            directory: Mutex::default(),
            changed: watch::channel(()).0,
        }
    }

    /// The configuration in force; nothing while none is known.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// How new the knowledge is.
    #[must_use]
    pub fn versions(&self) -> Versions {
        Versions {
            revision: self.table.load().as_ref().map_or(0, |t| t.revision),
            directory: lock(&self.directory).version,
        }
    }

    /// Told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub fn offer_configuration(&self, document: &Bytes, source: &str) {
        let table = match self.dialect.routing_table(document) {
            Ok(table) => table,
            Err(e) => {
                log::error!(source, error:% = e; "configuration not understood, the former one stays");
                return;
            }
        };
        let mut kept = lock(&self.document);
        let present = self.table.load().as_ref().map_or(0, |t| t.revision);
        if table.revision <= present {
            return;
        }
        log::info!(source, from = present, to = table.revision; "configuration in force");
        kept.clone_from(document);
        self.table.store(Some(Arc::new(table)));
        drop(kept);
        self.changed.send_replace(());
    }

    /// Takes changes of the directory, each unless a newer one is known for its target.
    pub fn apply_changes(&self, changes: Vec<Change>, version: u64) {
        let mut directory = lock(&self.directory);
        for change in changes {
            let known = directory.rows.get(&change.name).map_or(0, |c| c.version);
            if change.version > known {
                directory.rows.insert(change.name.clone(), change);
            }
        }
        directory.version = directory.version.max(version);
        drop(directory);
        self.changed.send_replace(());
    }

    /// Takes the whole directory as it stood at `version`; what is not in it is gone.
    pub fn replace_directory(&self, changes: Vec<Change>, version: u64) {
        let mut directory = lock(&self.directory);
        if version < directory.version {
            return;
        }
        let listed = changes.into_iter().map(|c| (c.name.clone(), c));
        let newer = std::mem::take(&mut directory.rows)
            .into_iter()
            .filter(|(_, c)| c.version > version);
        directory.rows = listed.chain(newer).collect();
        directory.version = version;
        drop(directory);
        self.changed.send_replace(());
    }

    /// The usable entries of the directory.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetEntry> {
        let directory = lock(&self.directory);
        let decode = |c: &Change| {
            let document = c.document.as_ref()?;
            match self.dialect.target_entry(&c.name, document) {
                Ok(entry) => Some(entry),
                Err(e) => {
                    log::warn!(target = c.name.as_str(), error:% = e; "entry of a target not understood, not used");
                    None
                }
            }
        };
        directory.rows.values().filter_map(decode).collect()
    }

    /// The configuration as written.
    #[must_use]
    pub fn document(&self) -> Bytes {
        lock(&self.document).clone()
    }

    /// The directory as written, with its version.
    #[must_use]
    pub fn directory(&self) -> (Vec<Change>, u64) {
        let directory = lock(&self.directory);
        (
            directory.rows.values().cloned().collect(),
            directory.version,
        )
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
