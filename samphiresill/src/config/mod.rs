//! The configuration in force, which is read from the change log in the table service.
//!
//! Invariant: the revision in force never decreases, and a snapshot is replaced atomically.

pub mod log;

use std::sync::Arc;

use arc_swap::ArcSwap;
use samphiresill_contract::change::Snapshot;

/// `Config` holds the snapshot in force for concurrent readers.
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
    /// Returns the snapshot in force. Its revision is 0 until a configuration has been read.
    #[must_use]
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Puts a snapshot in force if its revision is higher than the current one. Returns whether it
    /// was.
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
