//! Assignment of free slots to customers with waiting requests.

use std::collections::BTreeSet;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, TargetName, VmName};
use samphiresill_core::units::Tokens;

use super::{Held, Outgoing, Router, Scheduler};
use crate::message::{Delivery, Grant, GrantId, Message};

impl Scheduler {
    /// Grants slots until none is free or no request is left to grant one to.
    pub(super) fn grant_free_slots(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let Some(mut target) = self.best_target(now) else {
            return out;
        };
        let mut wanting = self.wanting();
        self.ledger.set_active(wanting.clone());
        while let Some(customer) = self.least_charged(&wanting) {
            match self.grant(now, &target, &customer) {
                Some(outgoing) => {
                    out.push(outgoing);
                    let Some(next) = self.best_target(now) else {
                        break;
                    };
                    target = next;
                }
                None => drop(wanting.remove(&customer)),
            }
        }
        out
    }

    pub(super) fn unmet_here(&self) -> BTreeSet<CustomerName> {
        let routers = self.routers.values();
        routers
            .flat_map(|r| r.receiver.unmet_all())
            .map(|(c, _, _)| c.clone())
            .collect()
    }

    pub(super) fn wanting(&self) -> BTreeSet<CustomerName> {
        let mut wanting = self.unmet_here();
        for peer in self.peers.values() {
            wanting.extend(peer.receiver.unmet_all().map(|(c, _, _)| c.clone()));
        }
        wanting
    }

    pub(super) fn least_charged(&self, wanting: &BTreeSet<CustomerName>) -> Option<CustomerName> {
        let charged = wanting.iter().map(|c| (self.ledger.charge(c), c));
        charged
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)))
            .map(|(_, c)| c.clone())
    }

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
        let router = self.router_for(customer);
        let domain = if router.is_some() {
            None
        } else {
            Some(self.domain_for(customer)?)
        };
        let receiver = match (&router, &domain) {
            (Some(vm), _) => &self.routers.get(vm)?.receiver,
            (None, domain) => &self.peers.get(domain.as_ref()?)?.receiver,
        };
        let estimate = Tokens(receiver.wish(customer)?.estimate.0.max(1));
        self.next_seq += 1;
        let id = GrantId {
            run: self.run,
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
        let held = Held {
            customer: customer.clone(),
            target: target.clone(),
            estimate,
            served: Tokens(0),
            router: None,
            lease_until: now + self.opts.grant_life * 2 + self.opts.report_interval * 2,
            offered_to: domain.clone(),
            is_counted_elsewhere: false,
        };
        self.held.insert(id, held);
        match (router, domain) {
            (Some(vm), _) => Some(self.deliver(now, &vm, grant)),
            (None, domain) => self.offer(now, &domain?, grant),
        }
    }

    pub(super) fn deliver(&mut self, now: Duration, vm: &VmName, grant: Grant) -> Outgoing {
        let router = self
            .routers
            .get_mut(vm)
            .expect("grants are only delivered to known routers");
        let order = router.receiver.send(now, &grant.customer);
        let delivery = Delivery {
            grant,
            basis: router.sent_at,
            run: self.run,
            order,
        };
        Outgoing::Router(vm.clone(), Message::Grant(delivery))
    }

    /// Returns the router at which a request of the customer has been waiting longest.
    pub(super) fn router_for(&self, customer: &CustomerName) -> Option<VmName> {
        let with_unmet = self
            .routers
            .iter()
            .filter(|(_, r)| r.receiver.unmet(customer) > 0);
        let since = |r: &Router| r.receiver.wish(customer).map(|w| w.since);
        with_unmet
            .min_by_key(|(_, r)| since(r))
            .map(|(vm, _)| vm.clone())
    }
}
