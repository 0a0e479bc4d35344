//! The parts of the configuration and the membership that capacity scheduling depends on.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_contract::document::Document;
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Share;

use crate::message::PoolKey;
use crate::rendezvous;

/// `TargetConfig` is the configuration of one target for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetConfig {
    /// Maximum number of requests that the target may run at once.
    pub slots: u32,
    /// Whether the target receives no new requests.
    pub draining: bool,
    /// Objective for the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Objective for the time between tokens, in milliseconds; 0 where it does not apply.
    pub between_tokens_ms: u32,
}

/// `Topology` is the fleet as seen by one router: one configuration and one membership view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The targets of each pool.
    pub pools: BTreeMap<PoolKey, BTreeMap<TargetName, TargetConfig>>,
    /// All configured models and services.
    pub services: BTreeSet<ServiceName>,
    /// The share of each customer.
    pub shares: BTreeMap<CustomerName, Share>,
    /// Maximum number of requests that each customer may have queued at one router.
    pub max_waiting: BTreeMap<CustomerName, u32>,
    /// The routers that are considered alive, with their failure domains.
    pub members: BTreeMap<VmName, DomainName>,
    schedulers: BTreeMap<PoolKey, VmName>,
}

impl Topology {
    /// Creates the topology for a configuration document and a membership view.
    #[must_use]
    pub fn new(document: &Document, members: BTreeMap<VmName, DomainName>) -> Self {
        let mut pools: BTreeMap<PoolKey, BTreeMap<TargetName, TargetConfig>> = BTreeMap::new();
        for (name, target) in &document.targets {
            for service in &target.serves {
                let model = document.models.get(service);
                let config = TargetConfig {
                    slots: target.slots,
                    draining: document.is_draining(target),
                    first_token_ms: model.map_or(0, |m| m.first_token_ms),
                    between_tokens_ms: model.map_or(0, |m| m.between_tokens_ms),
                };
                let key = PoolKey {
                    domain: target.domain.clone(),
                    work: service.clone(),
                };
                pools.entry(key).or_default().insert(name.clone(), config);
            }
        }
        let customers = &document.customers;
        let mut topology = Self {
            pools,
            services: document
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

    /// Returns the VM that schedules a pool according to this view. A pool in a domain without
    /// routers is assigned to a VM of another domain.
    #[must_use]
    pub fn scheduler_of(&self, pool: &PoolKey) -> Option<&VmName> {
        self.schedulers.get(pool)
    }

    /// Returns the pools with targets that a VM schedules according to this view.
    pub fn pools_of<'a>(&'a self, vm: &'a VmName) -> impl Iterator<Item = &'a PoolKey> {
        self.pools
            .keys()
            .filter(move |pool| self.scheduler_of(pool) == Some(vm))
    }

    fn choose_schedulers(&self) -> BTreeMap<PoolKey, VmName> {
        let mut schedulers = BTreeMap::new();
        for domain in self.domains() {
            for service in &self.services {
                let pool = PoolKey {
                    domain: domain.clone(),
                    work: service.clone(),
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

    /// Returns the failure domains that have targets or routers.
    #[must_use]
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let of_pools = self.pools.keys().map(|p| p.domain.clone());
        of_pools.chain(self.members.values().cloned()).collect()
    }

    /// Returns whether any target serves a service and accepts new requests.
    #[must_use]
    pub fn is_served(&self, service: &ServiceName) -> bool {
        let mut pools = self.pools.iter().filter(|(key, _)| key.work == *service);
        pools.any(|(_, targets)| targets.values().any(|t| !t.draining))
    }

    /// Returns a customer's share, or 1 if the customer is no longer configured.
    #[must_use]
    pub fn share(&self, customer: &CustomerName) -> Share {
        self.shares.get(customer).copied().unwrap_or(Share(1))
    }
}
