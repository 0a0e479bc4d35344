//! What the balance of load needs to know: services, other deciders and starts.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{ServiceName, TargetName};
use samphiresill_core::routing::RoutingTable;

use super::FleetLoad;
use super::target::TargetLoad;
use crate::fleet::balance::Balance;
use crate::fleet::event::Event;

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

    /// Balances the services of the routes that state an objective for the interval of events.
    pub(super) fn set_balanced_services(&mut self, table: &RoutingTable) {
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
