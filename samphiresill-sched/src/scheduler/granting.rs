//! Assignment of free slots to customers with waiting requests.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, TargetName, VmName};
use samphiresill_core::units::Tokens;

use super::{ActiveGrant, Outgoing, Router, Scheduler};
use crate::message::{Delivery, Grant, GrantId, Message};

impl Scheduler {
    /// Grants slots until none is free or no request is left to grant one to.
    pub(super) fn grant_free_slots(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let Some(mut target) = self.best_target(now) else {
            return out;
        };
        let mut unmet_customers = self.unmet_customers();
        self.ledger.set_active(unmet_customers.clone());
        while let Some(customer) = self.next_customer(&unmet_customers) {
            match self.grant(now, &target, &customer) {
                Some(outgoing) => {
                    out.push(outgoing);
                    let Some(next) = self.best_target(now) else {
                        break;
                    };
                    target = next;
                }
                None => drop(unmet_customers.remove(&customer)),
            }
        }
        out
    }

    /// Returns the customers with unmet requests at the routers that report to this pool.
    pub(super) fn local_unmet(&self) -> BTreeSet<CustomerName> {
        let routers = self.routers.values();
        routers
            .flat_map(|r| r.receiver.unmet_demand())
            .map(|(c, _, _)| c.clone())
            .collect()
    }

    /// Returns the customers with unmet requests in any failure domain.
    pub(super) fn unmet_customers(&self) -> BTreeSet<CustomerName> {
        let mut unmet_customers = self.local_unmet();
        for peer in self.peers.values() {
            unmet_customers.extend(peer.receiver.unmet_demand().map(|(c, _, _)| c.clone()));
        }
        unmet_customers
    }

    /// Returns the customer with the lowest projected virtual time, which is granted the next slot.
    pub(super) fn next_customer(
        &self,
        unmet_customers: &BTreeSet<CustomerName>,
    ) -> Option<CustomerName> {
        let projected = unmet_customers
            .iter()
            .map(|c| (self.ledger.projected_virtual_time(c), c));
        projected
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)))
            .map(|(_, c)| c.clone())
    }

    /// Returns the target with a free slot on which one more request costs least.
    pub(super) fn best_target(&self, now: Duration) -> Option<TargetName> {
        let free = self.targets.iter().filter(|(_, slots)| slots.free(now) > 0);
        free.min_by(|a, b| a.1.cost().total_cmp(&b.1.cost()))
            .map(|(name, _)| name.clone())
    }

    /// Grants a slot to a customer. A request in this domain takes precedence; otherwise the slot
    /// is offered to the domain with the most unmet requests of that customer. Returns `None` if no
    /// request of the customer is waiting.
    pub(super) fn grant(
        &mut self,
        now: Duration,
        target: &TargetName,
        customer: &CustomerName,
    ) -> Option<Outgoing> {
        let router = self.longest_waiting_router(customer);
        let domain = if router.is_some() {
            None
        } else {
            Some(self.domain_with_most_unmet(customer)?)
        };
        let receiver = match (&router, &domain) {
            (Some(vm), _) => &self.routers.get(vm)?.receiver,
            (None, domain) => &self.peers.get(domain.as_ref()?)?.receiver,
        };
        let estimate = Tokens(receiver.demand(customer)?.estimate.0.max(1));
        self.next_seq += 1;
        let id = GrantId {
            run: self.instance,
            seq: self.next_seq,
        };
        let grant = Grant {
            id,
            pool: self.pool.clone(),
            scheduler: self.vm.clone(),
            target: target.clone(),
            customer: customer.clone(),
            estimate,
        };
        self.targets.get_mut(target)?.grant(now, id);
        self.ledger.reserve(customer, estimate);
        let active = ActiveGrant {
            customer: customer.clone(),
            target: target.clone(),
            estimate,
            served: Tokens(0),
            router: None,
            lease_until: now + self.opts.grant_lifetime * 2 + self.opts.report_interval * 2,
            offered_to: domain.clone(),
            is_counted_by_predecessor: false,
        };
        self.active_grants.insert(id, active);
        match (router, domain) {
            (Some(vm), _) => Some(self.deliver(now, &vm, grant)),
            (None, domain) => self.offer(now, &domain?, grant),
        }
    }

    /// Builds the message that delivers a grant to a router, and records it as in flight.
    pub(super) fn deliver(&mut self, now: Duration, vm: &VmName, grant: Grant) -> Outgoing {
        let router = self
            .routers
            .get_mut(vm)
            .expect("grants are only delivered to known routers");
        let order = router.receiver.record_sent(now, &grant.customer);
        let delivery = Delivery {
            grant,
            basis: router.sent_at,
            run: self.instance,
            order,
        };
        Outgoing::Router(vm.clone(), Message::Grant(delivery))
    }

    /// Returns the router at which a request of the customer has been waiting longest.
    pub(super) fn longest_waiting_router(&self, customer: &CustomerName) -> Option<VmName> {
        let with_unmet = self
            .routers
            .iter()
            .filter(|(_, r)| r.receiver.unmet(customer) > 0);
        let since = |r: &Router| r.receiver.demand(customer).map(|w| w.since);
        with_unmet
            .min_by_key(|(_, r)| since(r))
            .map(|(vm, _)| vm.clone())
    }
}
