//! Configuration and targets of the model.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use samphiresill_core::name::{DomainName, ServiceName, TargetName};
use samphiresill_core::routing::{
    CallerLimits, EngineSpec, RequestKind, Route, RoutingTable, Service, TargetEntry, TargetState,
};

use super::{Choice, Params};
use crate::fleet::balance::alternatives::Alternative;

pub(super) fn alternative(params: &Params, decider: usize) -> Option<Alternative> {
    let deciders = params.deciders;
    match params.choice {
        Choice::Perfect | Choice::Lowest | Choice::Offers => Some(Alternative::Lowest),
        Choice::Random => None,
        Choice::Balanced => Some(Alternative::AnyNumber),
        Choice::Sampled => Some(Alternative::Sampled),
        Choice::Owned => Some(Alternative::Owned { decider, deciders }),
        Choice::Subsets => {
            let size = (params.engines / 4).max(8);
            Some(Alternative::Subset { decider, size })
        }
    }
}

pub(super) fn service() -> ServiceName {
    ServiceName::from("model")
}

pub(super) fn spec() -> EngineSpec {
    EngineSpec {
        slots: 48,
        kv_cache_tokens: 600_000,
        tokens_per_event: 10,
        kv_bytes_per_token: 18_432,
        link_mbps: 740_000,
    }
}

pub(super) fn table() -> RoutingTable {
    let route = Route {
        name: "model".into(),
        host: "model".into(),
        prefix: "/".into(),
        request_kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(600),
        event_interval_objective: Some(Duration::from_millis(400)),
        max_attempts: 2,
        services: vec![(service(), 1)],
        allows_anonymous: true,
    };
    let service = Service {
        name: service(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(spec()),
        cold_start: None,
    };
    let limits = CallerLimits {
        head_bytes: 8_192,
        body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
        fleet_tokens_per_s: None,
    };
    RoutingTable::new(1, vec![route], vec![service], BTreeMap::new(), limits)
}

pub(super) fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("e{number:04}")),
        service: service(),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        domain: DomainName::from(Arc::from("d0")),
        slots: spec().slots,
        state: TargetState::Ready,
        started_ms: 0,
        cold: None,
        version: None,
    }
}
