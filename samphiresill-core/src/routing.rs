//! Routing table: routes, the services behind them, and the customers allowed to use them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{CustomerName, DomainName, ServiceName, SoftwareVersion, TargetName};
use crate::units::RequestRate;

/// `RequestKind` determines whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: may be executed any number of times.
    Idempotent,
    /// Not idempotent: must be executed at most once.
    NonIdempotent,
    /// A generation whose response is an event stream.
    Generation {
        /// Whether another target may continue the stream after the last delivered event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request may be sent to another target after a first one may have executed
    /// it.
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
    /// Name of the route, used in logs.
    pub name: Arc<str>,
    /// Host name that the route matches, in lower case.
    pub host: Arc<str>,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: Arc<str>,
    /// Kind of its requests, which decides on retries.
    pub request_kind: RequestKind,
    /// Timeout for the complete response.
    pub timeout: Duration,
    /// Latency objective, as time to first byte.
    pub latency_objective: Duration,
    /// Objective for the longest interval between two events of a stream.
    pub event_interval_objective: Option<Duration>,
    /// Maximum number of targets that a request is sent to; at least 1.
    pub max_attempts: u32,
    /// Services that requests are distributed over, with their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether requests without an API key are accepted.
    pub allows_anonymous: bool,
}

impl Route {
    /// Selects a service at random by weight. `random` must be uniformly distributed over `u64`.
    #[must_use]
    pub fn service(&self, random: u64) -> &ServiceName {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remaining = random % total.max(1);
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if remaining < weight {
                return service;
            }
            remaining -= weight;
        }
        &self.services[0].0
    }
}

/// `EngineSpec` describes the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that one engine processes concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prefixes.
    pub kv_cache_tokens: u32,
    /// Number of tokens per stream event.
    pub tokens_per_event: u32,
    /// KV cache bytes per token, as transferred between engines; 0 if unknown.
    pub kv_bytes_per_token: u32,
    /// Bandwidth between engines in Mbit/s; 0 if unknown, which disables transfers.
    pub link_mbps: u32,
}

/// `Service` is a model or a plain service in the routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check endpoint of its targets.
    pub health_path: Arc<str>,
    /// Connections that one target accepts in total.
    pub max_connections: u32,
    /// Engine parameters, if the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// How the targets behave after a start; `None` when they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// `ColdStart` describes how a target behaves after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which the target is cold.
    pub duration: Duration,
    /// Requests that one cold target takes from all routers together.
    pub rate: RequestRate,
}

/// `CallerLimits` are the limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the header section, and for each part of the body.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Tokens per second that all engines process together; a generated token counts twice.
    pub fleet_tokens_per_s: Option<u64>,
}

/// `RoutingTable` is one revision of the operators' configuration, indexed for lookups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingTable {
    /// Revision of the configuration, which increases with each change.
    pub revision: u64,
    /// Routes by host, sorted by descending prefix length.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    customers: BTreeMap<Arc<str>, CustomerName>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// Builds the indices. `customers` maps API keys to customers.
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

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(|route| &**route)
    }

    /// Returns the route with the longest prefix that matches `path`. A port in `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns, for each service with an objective for the interval between events, the shortest one
    /// among its routes.
    #[must_use]
    pub fn event_interval_objectives(&self) -> BTreeMap<ServiceName, Duration> {
        let mut shortest: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for route in self.routes.values().flatten() {
            let Some(objective) = route.event_interval_objective else {
                continue;
            };
            for (service, _) in &route.services {
                let known = shortest.entry(service.clone()).or_insert(objective);
                *known = objective.min(*known);
            }
        }
        shortest
    }

    /// Returns the customer that an API key belongs to.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&CustomerName> {
        self.customers.get(key)
    }

    /// Returns the number of distinct customers, each of which may have several keys.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        let names: std::collections::BTreeSet<_> = self.customers.values().collect();
        names.len()
    }
}

/// `TargetState` indicates whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
}

/// `TargetEntry` describes a target, as listed in the directory of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Identity of the target, which changes with most restarts.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Network address.
    pub address: std::net::SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Start time of the process in Unix milliseconds, which distinguishes restarts under one name.
    pub started_ms: u64,
    /// How much longer the target says that it stays cold; `None` when it is not. Times of the
    /// monotonic clock differ by router, so the time is sent separately from the entry.
    #[serde(skip)]
    pub cold: Option<ColdTime>,
    /// Version of the target's software; `None` when its entry states none. A target without one
    /// shares its version with no other. Routers of earlier versions do not know it, so it is sent
    /// separately from the entry.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// `ColdTime` is how much longer a target stays cold, as of a reading of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTime {
    /// When the entry was read, as monotonic time of this router.
    pub read_at: Duration,
    /// How much longer the target was to stay cold then.
    pub remaining: Duration,
}

impl ColdTime {
    /// Returns how much longer the target stays cold; `None` when it no longer is.
    #[must_use]
    pub fn remaining(self, now: Duration) -> Option<Duration> {
        let remaining = (self.read_at + self.remaining).saturating_sub(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
