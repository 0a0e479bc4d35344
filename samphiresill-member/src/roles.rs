//! Assignment of roles to routers, as a pure function of the membership view.
//!
//! Routers with the same view derive the same roles. While views differ, a role may be held by more
//! routers than intended, which is harmless.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use samphiresill_core::name::{DomainName, VmName};

use crate::member::Member;
use crate::store_watch::Position;

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
    /// Routers that are no schedulers, by a hash of their addresses.
    others: BTreeSet<(u64, SocketAddr)>,
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
        // Those that have no role are left.
        let others = domains.values().flatten();
        let others = others
            .map(|m| (address_hash(m.address), m.address))
            .collect();
        Self {
            schedulers,
            watchers,
            others,
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

    /// Returns the place of a router in the order in which routers watch the store.
    #[must_use]
    pub fn position(&self, vm: &VmName, address: SocketAddr) -> Position {
        let watchers = self.watchers.len();
        match self.schedulers.iter().position(|m| m.vm == *vm) {
            Some(rank) if rank < watchers => Position::Watcher { rank },
            Some(rank) => Position::Scheduler {
                rank: rank - watchers,
            },
            None => {
                let own = (address_hash(address), address);
                let rank = self.others.range(..own).count();
                Position::Other { rank }
            }
        }
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
    pub fn other_schedulers(&self, own: &VmName) -> BTreeSet<SocketAddr> {
        let others = self.schedulers.iter().filter(|m| m.vm != *own);
        others.map(|m| m.address).collect()
    }
}

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Orders routers independently of how addresses were assigned to domains and racks.
fn address_hash(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() ^ (ip.to_bits() >> 64)) as u64,
    };
    let mixed = (ip << 16 ^ u64::from(address.port())).wrapping_mul(FIBONACCI_MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(FIBONACCI_MULTIPLIER)
}
