//! What the balance of load needs to know: services, other deciders and starts.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{ServiceName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetState};

use super::FleetLoad;
use super::target::{Target, TargetLoad};
use crate::fleet::admission;
use crate::fleet::balance::Balance;
use crate::fleet::balance::evenness::{Evenness, TargetSample};
use crate::fleet::event::Event;
use crate::fleet::request::Generation;
use crate::fleet::shortest_objective::ShortestObjective;

impl FleetLoad {
    /// Returns the state of the balance of load.
    #[must_use]
    pub fn balance(&self) -> &Balance {
        &self.balance
    }

    /// Returns the state of the balance of load, to record views and deciders.
    pub fn balance_mut(&mut self) -> &mut Balance {
        &mut self.balance
    }

    /// Switches the balance of load off, whatever the configuration asks for.
    pub fn disable_balance(&mut self) {
        self.is_balance_disabled = true;
        self.balance.set_services(BTreeMap::new());
    }

    /// Balances the services of the routes that state an objective for the interval of events.
    pub(super) fn set_balanced_services(&mut self, table: &RoutingTable) {
        if self.is_balance_disabled {
            return;
        }
        let routes = table.routes();
        let stating = routes.filter(|r| r.event_interval_objective.is_some());
        let mut services: BTreeMap<ServiceName, Vec<TargetName>> = stating
            .flat_map(|route| &route.services)
            .map(|(service, _)| (service.clone(), Vec::new()))
            .collect();
        for target in self.targets.values() {
            if let Some(engines) = services.get_mut(&target.entry.service)
                && matches!(target.load, TargetLoad::Engine(_))
            {
                engines.push(target.entry.name.clone());
            }
        }
        self.balance.set_services(services);
    }

    /// Adds the present load of all targets of each service to `evenness`.
    pub fn sample_evenness(&self, evenness: &mut Evenness, now: Duration) {
        let mut services: BTreeMap<&ServiceName, Vec<(TargetName, TargetSample)>> = BTreeMap::new();
        let ready = |t: &&Target| t.entry.state == TargetState::Ready && t.health.is_usable(now);
        for target in self.targets.values().filter(ready) {
            let samples = services.entry(&target.entry.service).or_default();
            samples.push((target.entry.name.clone(), self.sample(target, now)));
        }
        let age = self.balance.mean_age(now).unwrap_or_default();
        for (service, samples) in services {
            evenness.record(service, &samples, age, now);
        }
    }

    fn sample(&self, target: &Target, now: Duration) -> TargetSample {
        let slots = f64::from(target.entry.slots.max(1));
        match &target.load {
            TargetLoad::Engine(load) => {
                let estimate = load.estimate(&Generation::default(), 0, now);
                let wait_ms = estimate.wait.as_secs_f64() * 1_000.0;
                let work = estimate.runs as f64 / slots;
                let bound_ms = self.max_wait_ms(&target.entry.service);
                TargetSample {
                    wait_ms,
                    work,
                    of_bound: work.max(wait_ms / bound_ms),
                }
            }
            TargetLoad::Plain(load) => {
                let work = load.runs() as f64 / slots;
                TargetSample {
                    wait_ms: load.expected_latency().as_secs_f64() * 1_000.0,
                    work,
                    of_bound: work,
                }
            }
        }
    }

    /// Returns the wait above which engines of a service get no more requests with the shortest
    /// objective in use, in milliseconds; infinite before the first request.
    fn max_wait_ms(&self, service: &ServiceName) -> f64 {
        let shortest = self.shortest_objectives.get(service);
        shortest
            .and_then(ShortestObjective::get)
            .map_or(f64::INFINITY, |objective| {
                admission::max_delay(objective).as_secs_f64() * 1_000.0
            })
    }

    /// Counts the start of a run; `is_own` when this gateway has placed it.
    pub(super) fn record_start(&mut self, event: &Event, is_own: bool, now: Duration) {
        if let Event::Started {
            target,
            prefill_tokens,
            ..
        } = event
            && let Some(target) = self.targets.get(target)
        {
            let service = &target.entry.service;
            self.balance
                .record_start(service, *prefill_tokens, is_own, now);
        }
    }
}
