//! Assignment of roles to routers, as a pure function of the membership view.
//!
//! Routers with the same view derive the same roles. While views differ, a role may be held by more
//! routers than intended, which is harmless.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{DomainName, VmName};

use crate::member::Member;

/// `RoleCounts` defines how many routers hold each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleCounts {
    /// Fleet size up to which every router is a scheduler.
    pub small_fleet: usize,
    /// Number of schedulers in a larger fleet; raised to one per failure domain if there are more
    /// domains.
    pub schedulers: usize,
    /// Number of routers that watch the store.
    pub watchers: usize,
}

/// `Roles` is the assignment of roles to members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// Routers that track the load of the fleet and place requests, in order of rank.
    pub schedulers: Vec<Member>,
    /// Routers that watch the store on behalf of all others; the first of the schedulers.
    pub watchers: Vec<Member>,
}

impl Roles {
    /// Assigns roles to the routers with the most processing power, distributed evenly over the
    /// failure domains.
    #[must_use]
    pub fn new<'a>(members: impl Iterator<Item = &'a Member>, counts: RoleCounts) -> Self {
        let mut domains: BTreeMap<&DomainName, Vec<&Member>> = BTreeMap::new();
        for member in members.filter(|m| m.is_usable()) {
            domains.entry(&member.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            // Sorted in ascending order, so that `pop` returns the strongest member.
            members.sort_by_key(|m| (m.strength, std::cmp::Reverse(m.address)));
        }
        let routers = domains.values().map(Vec::len).sum();
        let max_schedulers = if routers <= counts.small_fleet {
            routers
        } else {
            counts.schedulers.max(domains.len())
        };
        let mut schedulers = Vec::new();
        while schedulers.len() < max_schedulers {
            let before = schedulers.len();
            for members in domains.values_mut() {
                schedulers.extend(members.pop().cloned());
            }
            if schedulers.len() == before {
                break;
            }
        }
        schedulers.truncate(max_schedulers);
        let watchers = schedulers.iter().take(counts.watchers).cloned().collect();
        Self {
            schedulers,
            watchers,
        }
    }

    /// Returns whether a router is a scheduler.
    #[must_use]
    pub fn is_scheduler(&self, vm: &VmName) -> bool {
        self.schedulers.iter().any(|m| m.vm == *vm)
    }

    /// Returns whether a router is a watcher.
    #[must_use]
    pub fn is_watcher(&self, vm: &VmName) -> bool {
        self.watchers.iter().any(|m| m.vm == *vm)
    }

    /// Returns the schedulers in the order in which a router should contact them. Schedulers in its
    /// own failure domain come first; within a domain, rendezvous hashing distributes the routers
    /// evenly.
    #[must_use]
    pub fn order_for(&self, own: &Member) -> Vec<Member> {
        let hash = |m: &Member| {
            let text = format!("{} {}", own.vm, m.vm);
            samphiresill_core::name::KeyHash::of_key(&text)
        };
        let mut order = self.schedulers.clone();
        order.sort_by_cached_key(|m| (m.domain != own.domain, hash(m)));
        order
    }

    /// Returns the addresses of the schedulers other than `own`.
    #[must_use]
    pub fn other_schedulers(&self, own: &VmName) -> BTreeSet<std::net::SocketAddr> {
        let others = self.schedulers.iter().filter(|m| m.vm != *own);
        others.map(|m| m.address).collect()
    }
}
