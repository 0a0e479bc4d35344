//! Division of the engines of a service among the deciders.
//!
//! All deciders deal out the same engines in the same order, so they agree without messages. While
//! they know of different deciders or engines, an engine may have two owners or none: an owner is
//! only a preference.

use std::collections::BTreeSet;

use samphiresill_core::name::TargetName;

/// `Owners` is the division of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// All engines, ordered by a hash, because names may follow speeds or failure domains.
    engines: Vec<TargetName>,
    own: BTreeSet<TargetName>,
}

impl Owners {
    /// Creates the division of these engines, none of which is owned yet.
    #[must_use]
    pub fn new(mut engines: Vec<TargetName>) -> Self {
        engines.sort_by_cached_key(|name| (hash(name), name.clone()));
        Self {
            engines,
            own: BTreeSet::new(),
        }
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether this decider owns an engine.
    #[must_use]
    pub fn is_own(&self, engine: &TargetName) -> bool {
        self.own.contains(engine)
    }

    /// Deals the engines out to `deciders`, of which this one is number `rank`.
    pub fn assign(&mut self, rank: usize, deciders: usize) {
        let own = self.engines.iter().skip(rank).step_by(deciders.max(1));
        self.own = own.cloned().collect();
    }
}

fn hash(name: &TargetName) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
