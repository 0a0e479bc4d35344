//! The routing table: which requests exist, which targets serve them and who may send them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{CustomerName, DomainName, ServiceName, TargetName};

/// `RequestKind` is what a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: it may run any number of times.
    Idempotent,
    /// Not idempotent: it must run at most once.
    NonIdempotent,
    /// A generation that is answered with a stream of events.
    Generation {
        /// Whether another run may continue the stream after the last event delivered.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may run on a second target after it may have run on a first.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            Self::Idempotent | Self::Generation { is_resumable: true }
        )
    }
}

/// `Route` is one entry of the routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host that the route belongs to, in lower case.
    pub host: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What its requests allow.
    pub request_kind: RequestKind,
    /// Timeout of the whole answer.
    pub timeout: Duration,
    /// Latency objective: time to the first byte.
    pub latency_objective: Duration,
    /// Objective for the longest pause between events of a stream.
    pub pause_objective: Option<Duration>,
    /// Targets that one request may run on, 1 or more.
    pub max_attempts: u32,
    /// Services and their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

impl Route {
    /// The service for a request, by weight; `random` is uniform over all values.
    #[must_use]
    pub fn service(&self, random: u64) -> &ServiceName {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = random % total.max(1);
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return service;
            }
            left -= weight;
        }
        &self.services[0].0
    }
}

/// `EngineSpec` is what the configuration says of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at once in one engine.
    pub slots: u32,
    /// KV cache of running requests and cached prefixes together, in tokens.
    pub kv_cache_tokens: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Bytes of memory for one token, as copied between engines; 0 while unknown.
    pub kv_bytes_per_token: u32,
    /// Bandwidth between engines in Mbit/s; 0 while unknown, and nothing is copied then.
    pub link_mbps: u32,
}

/// `Service` is one service of the routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the targets' health check.
    pub health_path: Arc<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Present when the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// `CallerLimits` bound what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head of a request to arrive, and for each part of its body.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines process, a generated one counted twice.
    pub fleet_tokens_per_s: Option<u64>,
}

/// `RoutingTable` is one version of the operators' configuration, ready for lookups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingTable {
    /// Grows with each change.
    pub revision: u64,
    /// Routes of each host, longest prefix first.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    customers: BTreeMap<Arc<str>, CustomerName>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// Orders routes and keys for lookups.
    #[must_use]
    pub fn new(
        revision: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: BTreeMap<Arc<str>, CustomerName>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            by_host
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            revision,
            routes: by_host,
            services,
            customers,
            limits,
        }
    }

    /// The route with the longest prefix of `path`; `host` may carry a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&CustomerName> {
        self.customers.get(key)
    }

    /// Number of distinct customers.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        let names: std::collections::BTreeSet<_> = self.customers.values().collect();
        names.len()
    }
}

/// `TargetState` says whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// `TargetEntry` is one target as its directory lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Identity, new with most starts of the target.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: std::net::SocketAddr,
    /// Where it stands.
    pub domain: DomainName,
    /// Requests that run at once in it.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Start of the process, Unix milliseconds; distinguishes restarts under one name.
    pub started_ms: u64,
}
