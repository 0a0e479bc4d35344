//! The part of a cold target's rate that one router uses.
//!
//! Invariant: the shares of all routers add up to at most the rate, also while routers are partitioned.
//! Only one partition can see more than half of the fleet, and its schedulers divide the larger part.

use std::time::Duration;

use samphiresill_core::name::{TargetName, VmName};
use samphiresill_core::units::RequestRate;

/// Part of the rate that the schedulers of the larger partition divide.
const SCHEDULERS_PART: f64 = 0.8;
/// Part of the rate that all other routers divide.
const OTHERS_PART: f64 = 0.2;
/// Smallest number of routers by which the others divide their part, because a router that has just
/// started knows only some of them.
const MIN_ROUTERS: usize = 100;
/// Upper bound on the schedulers that use a target, relative to its rate. Each scheduler may send one
/// request more than its share in a window of one second.
const USERS_PER_RATE: f64 = 0.7;

/// `ColdShare` is the part of the rate of each cold target that one router uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ColdShare {
    /// The router places alone, and is one of so many.
    Alone {
        /// Number of known routers, including dead ones.
        routers: usize,
    },
    /// The router is a scheduler in a partition with more than half of the fleet.
    Scheduler {
        /// The router.
        own: VmName,
        /// The other schedulers.
        others: Vec<VmName>,
        /// Number of schedulers by which their part is divided; larger than their number while others
        /// may still use their shares.
        divisor: usize,
        /// Number of known routers, including dead ones.
        routers: usize,
    },
}

impl Default for ColdShare {
    fn default() -> Self {
        Self::Alone {
            routers: MIN_ROUTERS,
        }
    }
}

impl ColdShare {
    /// Returns the share of a router whose role is not known to be in force.
    #[must_use]
    pub fn alone(&self) -> Self {
        match self {
            Self::Alone { routers } | Self::Scheduler { routers, .. } => {
                Self::Alone { routers: *routers }
            }
        }
    }

    /// Returns the interval between the requests of this router to a target; `None` when it sends none.
    #[must_use]
    pub fn interval(&self, target: &TargetName, rate: RequestRate) -> Option<Duration> {
        let per_second = rate.per_second();
        let (part, divisor) = match self {
            Self::Alone { routers } => (OTHERS_PART, (*routers).max(MIN_ROUTERS)),
            Self::Scheduler {
                own,
                others,
                divisor,
                ..
            } => {
                let divisor = (*divisor).max(others.len() + 1);
                let users = ((per_second * USERS_PER_RATE) as usize).clamp(1, divisor);
                let weight = |vm: &VmName| (weight(target, vm), vm.clone());
                let own = weight(own);
                // No hash is needed while all schedulers use the target.
                if users <= others.len()
                    && others.iter().filter(|vm| weight(vm) > own).count() >= users
                {
                    return None;
                }
                (SCHEDULERS_PART, users)
            }
        };
        Duration::try_from_secs_f64(divisor as f64 / (part * per_second)).ok()
    }
}

fn weight(target: &TargetName, vm: &VmName) -> [u8; 32] {
    let mut hash = blake3::Hasher::new();
    for part in [target.as_bytes(), vm.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    *hash.finalize().as_bytes()
}
