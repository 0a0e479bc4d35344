//! Exchange between the schedulers of one service in different domains: summaries, offers and
//! returns.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName};
use samphiresill_core::units::Tokens;

use super::demand::{GrantReceiver, PendingDemand};
use super::{Outgoing, Peer, Scheduler};
use crate::message::{Account, Delivery, Grant, GrantId, Message, PoolKey, Summary};

/// Every how many summaries a full one is sent, to repair the effects of lost summaries.
const FULL_SUMMARY_EVERY: u32 = 16;

impl Scheduler {
    /// Processes a summary from the scheduler of the same service in another domain.
    pub fn receive_summary(&mut self, now: Duration, summary: &Summary) -> Vec<Outgoing> {
        let domain = &summary.pool.domain;
        let sender = (domain.clone(), summary.run);
        if self
            .peer_instances
            .get(&sender)
            .is_some_and(|(sent_at, _)| *sent_at >= summary.sent_at)
        {
            return Vec::new();
        }
        self.peer_instances.insert(sender, (summary.sent_at, now));
        let since_last_summary = self
            .peers
            .get(domain)
            .map(|p| now.saturating_sub(p.received_at));
        let is_rejoin = since_last_summary.is_none_or(|s| s > self.opts.rejoin_threshold);
        self.update_peer(now, summary);
        let may_initialize = now < self.listen_until && !self.has_initial_accounts;
        if may_initialize && !summary.listening {
            self.has_initial_accounts = true;
            self.ledger
                .initialize_from(domain, summary.run, &summary.accounts);
        } else {
            self.ledger.merge(domain, summary.run, &summary.accounts);
            if is_rejoin {
                self.ledger.cap_lead(self.opts.max_lead);
            }
        }
        self.is_full_requested |= summary.listening || is_rejoin;
        self.is_summary_urgent |= self.is_full_requested;
        self.schedule(now)
    }

    /// Processes the offer of another domain's slot: passes the grant to a router with a matching
    /// request, or returns it.
    pub fn receive_offer(&mut self, now: Duration, delivery: Delivery) -> Vec<Outgoing> {
        let grant = delivery.grant;
        if let Some(peer) = self.peers.get_mut(&grant.pool.domain) {
            let highest = match peer.seen {
                Some((instance, order)) if instance == delivery.run => order.max(delivery.order),
                _ => delivery.order,
            };
            peer.seen = Some((delivery.run, highest));
        }
        let is_valid = now.saturating_sub(delivery.basis) <= self.opts.grant_lifetime;
        let router = if is_valid {
            self.longest_waiting_router(&grant.customer)
        } else {
            None
        };
        if let Some(vm) = router {
            let outgoing = self.deliver(now, &vm, grant);
            let unmet = self.local_unmet();
            self.published_unmet.retain(|c| unmet.contains(c));
            vec![outgoing]
        } else {
            let pool = grant.pool.clone();
            let message = Message::Return {
                pool: pool.clone(),
                grant: grant.id,
            };
            vec![Outgoing::Pool(pool, message)]
        }
    }

    /// Processes a grant that another domain has returned unused.
    pub fn receive_return(&mut self, now: Duration, grant: GrantId) -> Vec<Outgoing> {
        let Some(active) = self.active_grants.get(&grant) else {
            return Vec::new();
        };
        if active.router.is_some() {
            return Vec::new();
        }
        let customer = active.customer.clone();
        if let Some(peer) = active
            .offered_to
            .as_ref()
            .and_then(|d| self.peers.get_mut(d))
        {
            peer.receiver.remove_demand(&customer);
        }
        self.end_grant(now, grant, None);
        self.schedule(now)
    }

    /// Updates the demand of another domain. Summaries from an older scheduler instance are ignored
    /// while a newer one is still sending.
    fn update_peer(&mut self, now: Duration, summary: &Summary) {
        let is_outdated = self.peers.get(&summary.pool.domain).is_some_and(|p| {
            summary.run < p.instance && now <= p.received_at + self.opts.rejoin_threshold / 2
        });
        if is_outdated {
            return;
        }
        let peer = self
            .peers
            .entry(summary.pool.domain.clone())
            .or_insert_with(|| Peer {
                instance: summary.run,
                sent_at: summary.sent_at,
                received_at: now,
                receiver: GrantReceiver::default(),
                seen: None,
            });
        (peer.instance, peer.sent_at, peer.received_at) = (summary.run, summary.sent_at, now);
        peer.receiver.remove_received(self.instance, summary.seen);
        let unmet = summary.accounts.iter().filter(|a| a.unmet > 0);
        let demand = unmet.map(|a| {
            let pending = PendingDemand {
                waiting: a.unmet,
                estimate: a.estimate,
                since: now,
            };
            (a.customer.clone(), pending)
        });
        peer.receiver.replace_demand(demand.collect());
    }

    pub(super) fn offer(
        &mut self,
        now: Duration,
        domain: &DomainName,
        grant: Grant,
    ) -> Option<Outgoing> {
        let peer = self.peers.get_mut(domain)?;
        let order = peer.receiver.record_sent(now, &grant.customer);
        let delivery = Delivery {
            grant,
            basis: peer.sent_at,
            run: self.instance,
            order,
        };
        let to = PoolKey {
            domain: domain.clone(),
            work: self.pool.work.clone(),
        };
        Some(Outgoing::Pool(to.clone(), Message::Offer { to, delivery }))
    }

    /// Returns the other domain with the most unmet requests of a customer.
    pub(super) fn domain_with_most_unmet(&self, customer: &CustomerName) -> Option<DomainName> {
        let unmet = self
            .peers
            .iter()
            .map(|(d, p)| (p.receiver.unmet(customer), d));
        unmet
            .filter(|(unmet, _)| *unmet > 0)
            .max_by_key(|(unmet, _)| *unmet)
            .map(|(_, d)| d.clone())
    }

    pub(super) fn is_summary_due(&self, now: Duration) -> bool {
        let Some(last) = self.last_summary else {
            return true;
        };
        let is_active = !self.active_grants.is_empty() || !self.published_unmet.is_empty();
        (self.is_summary_urgent && now >= last + self.opts.min_summary_interval)
            || (is_active && now >= last + self.opts.summary_interval)
    }

    pub(super) fn build_summaries(&mut self, now: Duration) -> Vec<Outgoing> {
        self.last_summary = Some(now);
        self.is_summary_urgent = false;
        self.summaries_sent = self.summaries_sent.wrapping_add(1);
        let is_full =
            self.is_full_requested || self.summaries_sent.is_multiple_of(FULL_SUMMARY_EVERY);
        self.is_full_requested = false;
        let accounts = self.accounts(is_full);
        let unmet = accounts.iter().filter(|a| a.unmet > 0);
        self.published_unmet = unmet.map(|a| a.customer.clone()).collect();
        let others = self
            .topology
            .domains()
            .into_iter()
            .filter(|d| *d != self.pool.domain);
        let summary = |domain: DomainName| {
            let to = PoolKey {
                domain,
                work: self.pool.work.clone(),
            };
            let summary = Summary {
                pool: self.pool.clone(),
                run: self.instance,
                sent_at: now,
                listening: now < self.listen_until,
                accounts: accounts.clone(),
                seen: self.peers.get(&to.domain).and_then(|p| p.seen),
            };
            Outgoing::Pool(to.clone(), Message::Summary { to, summary })
        };
        others.map(summary).collect()
    }

    /// Builds the accounts of a summary: of customers with changed accounts or unmet requests, or
    /// of all customers if `is_full` is set.
    fn accounts(&mut self, is_full: bool) -> Vec<Account> {
        let changed = self.ledger.take_changed();
        let mut customers = if is_full {
            self.ledger.customers()
        } else {
            changed
        };
        let mut demand: BTreeMap<&CustomerName, (u32, Tokens)> = BTreeMap::new();
        for router in self.routers.values() {
            for (customer, unmet, pending) in router.receiver.unmet_demand() {
                let entry = demand.entry(customer).or_default();
                *entry = (entry.0 + unmet, pending.estimate);
            }
        }
        let account = |customer: &CustomerName| {
            let (unmet, estimate) = demand.get(customer).copied().unwrap_or_default();
            Account {
                customer: customer.clone(),
                served: self.ledger.served(customer),
                outstanding: self.ledger.outstanding(customer),
                unmet,
                estimate,
                virtual_time: self.ledger.virtual_time(customer),
            }
        };
        customers.extend(demand.keys().map(|c| (*c).clone()));
        customers.iter().map(account).collect()
    }
}
