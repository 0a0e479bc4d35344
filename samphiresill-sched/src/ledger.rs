//! Fleet-wide accounting of service per customer, for one model or service.
//!
//! A customer's virtual time is the service it has received, in tokens, divided by its share.
//! Service is counted as it is delivered. A running request additionally reserves the part of its
//! estimate that has not been served yet.
//!
//! Invariants: the service counted for this pool never decreases; virtual times never decrease,
//! except that after a rejoin a lead is capped at the configured maximum.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{CustomerName, DomainName};
use samphiresill_core::units::{Share, Tokens};

use crate::message::{Account, SchedulerInstanceId};

/// Maximum number of scheduler instances per remote domain whose accounts are kept; the oldest one
/// is evicted first.
const MAX_INSTANCES_PER_DOMAIN: usize = 4;

/// Accounts received from one instance of a remote domain's scheduler.
#[derive(Clone, Debug, Default)]
struct RemoteAccounts {
    served: BTreeMap<CustomerName, Tokens>,
    outstanding: BTreeMap<CustomerName, Tokens>,
}

/// `Ledger` holds the accounts that one scheduler bases its decisions on.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shares: BTreeMap<CustomerName, Share>,
    virtual_times: BTreeMap<CustomerName, f64>,
    served: BTreeMap<CustomerName, Tokens>,
    outstanding: BTreeMap<CustomerName, Tokens>,
    remotes: BTreeMap<DomainName, BTreeMap<SchedulerInstanceId, RemoteAccounts>>,
    active: BTreeSet<CustomerName>,
    changed: BTreeSet<CustomerName>,
}

impl Ledger {
    /// Applies the configured shares. Virtual time accrued under the old shares is not recomputed.
    /// Accounts of removed customers are dropped once they have no requests waiting.
    pub fn set_shares(&mut self, shares: &BTreeMap<CustomerName, Share>) {
        self.shares.clone_from(shares);
        let known = |c: &CustomerName| shares.contains_key(c) || self.active.contains(c);
        self.virtual_times.retain(|c, _| known(c));
        self.served.retain(|c, _| known(c));
    }

    /// Reserves the estimated cost of a grant.
    pub fn reserve(&mut self, customer: &CustomerName, amount: Tokens) {
        self.changed.insert(customer.clone());
        *self.outstanding.entry(customer.clone()).or_default() += amount;
    }

    /// Releases part of a reservation.
    ///
    /// # Panics
    /// Panics when more is released than was reserved.
    pub fn unreserve(&mut self, customer: &CustomerName, amount: Tokens) {
        let outstanding = self.outstanding.entry(customer.clone()).or_default();
        assert!(
            *outstanding >= amount,
            "cannot release more than is reserved for customer {customer}"
        );
        *outstanding = outstanding.saturating_sub(amount);
        self.changed.insert(customer.clone());
        if outstanding.0 == 0 {
            self.outstanding.remove(customer);
        }
    }

    /// Counts service delivered by this pool.
    pub fn record_service(&mut self, customer: &CustomerName, amount: Tokens) {
        self.changed.insert(customer.clone());
        *self.served.entry(customer.clone()).or_default() += amount;
        self.advance_virtual_time(customer, amount);
    }

    /// Returns the customers whose accounts changed since the last call, and those with outstanding
    /// reservations.
    pub fn take_changed(&mut self) -> BTreeSet<CustomerName> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.extend(self.outstanding.keys().cloned());
        changed
    }

    /// Returns every customer that has an account.
    #[must_use]
    pub fn customers(&self) -> BTreeSet<CustomerName> {
        self.virtual_times
            .keys()
            .chain(self.outstanding.keys())
            .cloned()
            .collect()
    }

    /// Returns the service that this pool has delivered to a customer.
    #[must_use]
    pub fn served(&self, customer: &CustomerName) -> Tokens {
        self.served.get(customer).copied().unwrap_or_default()
    }

    /// Returns the amount that this pool has reserved for a customer.
    #[must_use]
    pub fn outstanding(&self, customer: &CustomerName) -> Tokens {
        self.outstanding.get(customer).copied().unwrap_or_default()
    }

    /// Returns the service delivered to a customer divided by its share.
    #[must_use]
    pub fn virtual_time(&self, customer: &CustomerName) -> f64 {
        self.virtual_times
            .get(customer)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the customer's virtual time including all reservations in the fleet. The customer
    /// with the lowest value is granted the next slot.
    #[must_use]
    pub fn projected_virtual_time(&self, customer: &CustomerName) -> f64 {
        let remotes = self.remotes.values().flat_map(BTreeMap::values);
        let remote = remotes.filter_map(|r| r.outstanding.get(customer).copied());
        let outstanding = self.outstanding(customer) + remote.sum();
        self.virtual_time(customer) + outstanding.as_f64() / self.share(customer)
    }

    /// Sets the customers that have requests waiting. A customer that becomes active again is
    /// raised to the lowest projected virtual time of the active customers, so that idle time
    /// neither accumulates credit nor incurs a penalty.
    pub fn set_active(&mut self, active: BTreeSet<CustomerName>) {
        let floor = self.floor();
        for customer in active.difference(&self.active) {
            let deficit = floor - self.projected_virtual_time(customer);
            if deficit > 0.0 {
                *self.virtual_times.entry(customer.clone()).or_default() += deficit;
            }
        }
        self.active = active;
    }

    /// Merges the accounts reported by one scheduler instance of a remote domain. While membership
    /// views differ, a domain may have two instances at once; their service is counted separately.
    pub fn merge(
        &mut self,
        domain: &DomainName,
        instance: SchedulerInstanceId,
        accounts: &[Account],
    ) {
        let mut added = Vec::new();
        let instances = self.remotes.entry(domain.clone()).or_default();
        if !instances.contains_key(&instance) && instances.len() >= MAX_INSTANCES_PER_DOMAIN {
            instances.pop_first();
        }
        let remote = instances.entry(instance).or_default();
        remote.outstanding.clear();
        for account in accounts {
            let customer = &account.customer;
            let counted = remote.served.entry(customer.clone()).or_default();
            added.push((customer, account.served.saturating_sub(*counted)));
            *counted = (*counted).max(account.served);
            if account.outstanding.0 > 0 {
                remote
                    .outstanding
                    .insert(customer.clone(), account.outstanding);
            }
        }
        for (customer, amount) in added {
            self.advance_virtual_time(customer, amount);
        }
    }

    /// Initializes an empty ledger with the virtual times of another scheduler.
    pub fn initialize_from(
        &mut self,
        domain: &DomainName,
        instance: SchedulerInstanceId,
        accounts: &[Account],
    ) {
        let mut remote = RemoteAccounts::default();
        for account in accounts {
            let time = self
                .virtual_times
                .entry(account.customer.clone())
                .or_default();
            *time = time.max(account.virtual_time);
            remote
                .served
                .insert(account.customer.clone(), account.served);
            remote
                .outstanding
                .insert(account.customer.clone(), account.outstanding);
        }
        self.remotes
            .entry(domain.clone())
            .or_default()
            .insert(instance, remote);
    }

    /// Clears the reservations of a remote scheduler instance that has stopped sending summaries.
    pub fn clear_outstanding(&mut self, domain: &DomainName, instance: SchedulerInstanceId) {
        if let Some(remote) = self
            .remotes
            .get_mut(domain)
            .and_then(|instances| instances.get_mut(&instance))
        {
            remote.outstanding.clear();
        }
    }

    /// Caps the lead of every customer over the least served active customer at `max_lead`; called
    /// after a rejoin.
    pub fn cap_lead(&mut self, max_lead: f64) {
        let ceiling = self.floor() + max_lead;
        for time in self.virtual_times.values_mut() {
            *time = time.min(ceiling);
        }
    }

    fn advance_virtual_time(&mut self, customer: &CustomerName, amount: Tokens) {
        let step = amount.as_f64() / self.share(customer);
        *self.virtual_times.entry(customer.clone()).or_default() += step;
    }

    fn share(&self, customer: &CustomerName) -> f64 {
        self.shares
            .get(customer)
            .copied()
            .unwrap_or(Share(1))
            .as_f64()
    }

    /// Returns the lowest projected virtual time of the active customers, or the highest virtual
    /// time of all customers if none is active.
    fn floor(&self) -> f64 {
        let least = self
            .active
            .iter()
            .map(|c| self.projected_virtual_time(c))
            .reduce(f64::min);
        least.unwrap_or_else(|| self.virtual_times.values().copied().fold(0.0, f64::max))
    }
}
