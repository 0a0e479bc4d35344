//! What the capacity decisions need to know of the configuration and the membership.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_contract::document::Document;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Share;

use crate::message::PoolKey;
use crate::rendezvous;

/// `TargetPlan` is one target as a pool sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Requests that it may run at once.
    pub slots: u32,
    /// Whether it receives nothing new.
    pub draining: bool,
    /// Objective for the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Objective for the time between tokens, in milliseconds; 0 where it does not apply.
    pub between_tokens_ms: u32,
}

/// `Topology` is the fleet as one router knows it: one configuration, one view of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The targets of each pool.
    pub pools: BTreeMap<PoolKey, BTreeMap<TargetName, TargetPlan>>,
    /// Every work that is declared.
    pub works: BTreeSet<ServiceName>,
    /// The share of each customer.
    pub shares: BTreeMap<CustomerName, Share>,
    /// Requests that each customer may have waiting at one router.
    pub max_waiting: BTreeMap<CustomerName, u32>,
    /// The routers that are believed to live, with their failure domains.
    pub members: BTreeMap<VmName, DomainName>,
    schedulers: BTreeMap<PoolKey, VmName>,
}

impl Topology {
    /// Derives the pools from a configuration document.
    #[must_use]
    pub fn new(document: &Document, members: BTreeMap<VmName, DomainName>) -> Self {
        let mut pools: BTreeMap<PoolKey, BTreeMap<TargetName, TargetPlan>> = BTreeMap::new();
        for (name, target) in &document.targets {
            for work in &target.serves {
                let model = document.models.get(work);
                let plan = TargetPlan {
                    slots: target.slots,
                    draining: target.draining,
                    first_token_ms: model.map_or(0, |m| m.first_token_ms),
                    between_tokens_ms: model.map_or(0, |m| m.between_tokens_ms),
                };
                let key = PoolKey {
                    domain: target.domain.clone(),
                    work: work.clone(),
                };
                pools.entry(key).or_default().insert(name.clone(), plan);
            }
        }
        let customers = &document.customers;
        let mut topology = Self {
            pools,
            works: document
                .models
                .keys()
                .chain(document.services.keys())
                .cloned()
                .collect(),
            shares: customers
                .iter()
                .map(|(n, c)| (n.clone(), c.share))
                .collect(),
            max_waiting: customers
                .iter()
                .map(|(n, c)| (n.clone(), c.max_waiting))
                .collect(),
            members,
            schedulers: BTreeMap::new(),
        };
        topology.schedulers = topology.choose_schedulers();
        topology
    }

    /// The VM that schedules a pool in this view; a domain without routers is looked after by
    /// the rest of the fleet.
    #[must_use]
    pub fn scheduler_of(&self, pool: &PoolKey) -> Option<&VmName> {
        self.schedulers.get(pool)
    }

    /// The pools with targets that a VM schedules in this view.
    pub fn pools_of<'a>(&'a self, vm: &'a VmName) -> impl Iterator<Item = &'a PoolKey> {
        self.pools
            .keys()
            .filter(move |pool| self.scheduler_of(pool) == Some(vm))
    }

    fn choose_schedulers(&self) -> BTreeMap<PoolKey, VmName> {
        let mut schedulers = BTreeMap::new();
        for domain in self.domains() {
            for work in &self.works {
                let pool = PoolKey {
                    domain: domain.clone(),
                    work: work.clone(),
                };
                if let Some(vm) = self.choose_scheduler(&pool) {
                    schedulers.insert(pool, vm);
                }
            }
        }
        schedulers
    }

    fn choose_scheduler(&self, pool: &PoolKey) -> Option<VmName> {
        let own = self
            .members
            .iter()
            .filter(|(_, d)| **d == pool.domain)
            .map(|(vm, _)| vm);
        rendezvous::choose(pool, own).or_else(|| rendezvous::choose(pool, self.members.keys()))
    }

    /// The failure domains that have targets or routers.
    #[must_use]
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let of_pools = self.pools.keys().map(|p| p.domain.clone());
        of_pools.chain(self.members.values().cloned()).collect()
    }

    /// Whether some target of any domain serves a work and takes new requests.
    #[must_use]
    pub fn is_served(&self, work: &ServiceName) -> bool {
        let mut pools = self.pools.iter().filter(|(key, _)| key.work == *work);
        pools.any(|(_, targets)| targets.values().any(|t| !t.draining))
    }

    /// A customer's share, 1 for one that is no longer in the configuration.
    #[must_use]
    pub fn share(&self, customer: &CustomerName) -> Share {
        self.shares.get(customer).copied().unwrap_or(Share(1))
    }
}
