//! Roles of routers, as a function of the view of the members.
//!
//! Routers with the same view derive the same roles; with different views, a role is filled more
//! than once for a while, which is harmless.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{DomainName, VmName};

use crate::member::Member;

/// `Sizes` are how many routers have a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Routers up to which all are schedulers.
    pub small_fleet: usize,
    /// Schedulers of a larger fleet; one for each failure domain if these are more.
    pub schedulers: usize,
    /// Routers that watch the store.
    pub watchers: usize,
}

/// `Roles` are the roles of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// Routers that maintain the account of the fleet's load and place requests, in order of rank.
    pub schedulers: Vec<Member>,
    /// Routers that watch the store for all others; the first of the schedulers.
    pub watchers: Vec<Member>,
}

impl Roles {
    /// Assigns roles to the routers with the most processing power, spread evenly over the failure
    /// domains.
    #[must_use]
    pub fn new<'a>(members: impl Iterator<Item = &'a Member>, sizes: Sizes) -> Self {
        let mut domains: BTreeMap<&DomainName, Vec<&Member>> = BTreeMap::new();
        for member in members.filter(|m| m.is_usable()) {
            domains.entry(&member.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            // Strongest last, so that it is taken first.
            members.sort_by_key(|m| (m.strength, std::cmp::Reverse(m.address)));
        }
        let routers = domains.values().map(Vec::len).sum();
        let max_schedulers = if routers <= sizes.small_fleet {
            routers
        } else {
            sizes.schedulers.max(domains.len())
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
        let watchers = schedulers.iter().take(sizes.watchers).cloned().collect();
        Self {
            schedulers,
            watchers,
        }
    }

    /// Whether a router is a scheduler.
    #[must_use]
    pub fn is_scheduler(&self, vm: &VmName) -> bool {
        self.schedulers.iter().any(|m| m.vm == *vm)
    }

    /// Whether a router is a watcher.
    #[must_use]
    pub fn is_watcher(&self, vm: &VmName) -> bool {
        self.watchers.iter().any(|m| m.vm == *vm)
    }

    /// The schedulers in the order in which a router should contact them: those of its failure
    /// domain first, with routers spread evenly among them.
    #[must_use]
    pub fn order_for(&self, own: &Member) -> Vec<Member> {
        let weight = |m: &Member| {
            let text = format!("{} {}", own.vm, m.vm);
            samphiresill_core::name::KeyHash::of_key(&text)
        };
        let mut order = self.schedulers.clone();
        order.sort_by_cached_key(|m| (m.domain != own.domain, weight(m)));
        order
    }

    /// Addresses of the schedulers other than `own`.
    #[must_use]
    pub fn other_schedulers(&self, own: &VmName) -> BTreeSet<std::net::SocketAddr> {
        let others = self.schedulers.iter().filter(|m| m.vm != *own);
        others.map(|m| m.address).collect()
    }
}
