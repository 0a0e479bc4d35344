//! The configuration in force: read from the table service's log of changes, never going back.
//!
//! Invariant: the revision in force only grows, and a snapshot is taken whole.

pub mod log;

use std::sync::Arc;

use arc_swap::ArcSwap;
use samphiresill_contract::change::Snapshot;

/// `Config` holds the snapshot in force, for any number of readers.
pub struct Config {
    current: ArcSwap<Snapshot>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            current: ArcSwap::from_pointee(Snapshot::default()),
        }
    }
}

impl Config {
    /// The snapshot in force; revision 0 until the first one is known.
    #[must_use]
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Puts a snapshot in force if its revision is higher; says whether it was.
    pub fn advance(&self, next: Snapshot) -> bool {
        let next = Arc::new(next);
        let mut advanced = false;
        self.current.rcu(|current| {
            advanced = next.revision > current.revision;
            if advanced {
                Arc::clone(&next)
            } else {
                Arc::clone(current)
            }
        });
        advanced
    }
}
