//! Accounts of service by customer over the whole fleet, for one work.
//!
//! A customer's virtual time is its service in tokens per unit of its share. Service counts as it
//! is given; a request that runs is charged in advance by what its estimate exceeds its progress.
//!
//! Invariants: service given by this pool never falls; virtual times never fall but at a rejoin,
//! where a lead is cut to the largest debt.

use std::collections::{BTreeMap, BTreeSet};

use samphiresill_core::name::{CustomerName, DomainName};
use samphiresill_core::units::{Share, Tokens};

use crate::message::{Account, RunId};

/// Lives of one domain's scheduler whose accounts are kept; older ones are forgotten.
const MAX_RUNS_PER_DOMAIN: usize = 4;

/// What one life of another domain's scheduler has told.
#[derive(Clone, Debug, Default)]
struct Remote {
    served: BTreeMap<CustomerName, Tokens>,
    outstanding: BTreeMap<CustomerName, Tokens>,
}

/// `Ledger` holds the accounts that one scheduler reckons with.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shares: BTreeMap<CustomerName, Share>,
    virtual_times: BTreeMap<CustomerName, f64>,
    served: BTreeMap<CustomerName, Tokens>,
    outstanding: BTreeMap<CustomerName, Tokens>,
    remotes: BTreeMap<DomainName, BTreeMap<RunId, Remote>>,
    active: BTreeSet<CustomerName>,
    changed: BTreeSet<CustomerName>,
}

impl Ledger {
    /// Takes the shares of a configuration; service given before keeps its weight, and customers
    /// that are gone are forgotten once they are not active.
    pub fn set_shares(&mut self, shares: &BTreeMap<CustomerName, Share>) {
        self.shares.clone_from(shares);
        let known = |c: &CustomerName| shares.contains_key(c) || self.active.contains(c);
        self.virtual_times.retain(|c, _| known(c));
        self.served.retain(|c, _| known(c));
    }

    /// Charges a grant in advance.
    pub fn reserve(&mut self, customer: &CustomerName, amount: Tokens) {
        self.changed.insert(customer.clone());
        *self.outstanding.entry(customer.clone()).or_default() += amount;
    }

    /// Takes back what a grant was charged in advance.
    ///
    /// # Panics
    /// When more is taken back than was charged: "charges in advance are conserved".
    pub fn unreserve(&mut self, customer: &CustomerName, amount: Tokens) {
        let outstanding = self.outstanding.entry(customer.clone()).or_default();
        assert!(
            *outstanding >= amount,
            "charges in advance are conserved: {customer}"
        );
        *outstanding = outstanding.saturating_sub(amount);
        self.changed.insert(customer.clone());
        if outstanding.0 == 0 {
            self.outstanding.remove(customer);
        }
    }

    /// Counts service that this pool gave.
    pub fn serve(&mut self, customer: &CustomerName, amount: Tokens) {
        self.changed.insert(customer.clone());
        *self.served.entry(customer.clone()).or_default() += amount;
        self.advance(customer, amount);
    }

    /// The customers whose accounts have changed since the last call, or that have something
    /// charged in advance.
    pub fn take_changed(&mut self) -> BTreeSet<CustomerName> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.extend(self.outstanding.keys().cloned());
        changed
    }

    /// Every customer that has an account.
    #[must_use]
    pub fn customers(&self) -> BTreeSet<CustomerName> {
        self.virtual_times
            .keys()
            .chain(self.outstanding.keys())
            .cloned()
            .collect()
    }

    /// Service that this pool has given a customer.
    #[must_use]
    pub fn served(&self, customer: &CustomerName) -> Tokens {
        self.served.get(customer).copied().unwrap_or_default()
    }

    /// Service that this pool has charged in advance to a customer.
    #[must_use]
    pub fn outstanding(&self, customer: &CustomerName) -> Tokens {
        self.outstanding.get(customer).copied().unwrap_or_default()
    }

    /// Service given in proportion to the share.
    #[must_use]
    pub fn virtual_time(&self, customer: &CustomerName) -> f64 {
        self.virtual_times
            .get(customer)
            .copied()
            .unwrap_or_default()
    }

    /// Service given and charged in advance, over the fleet, in proportion to the share: the
    /// customer with the least of it has the next turn.
    #[must_use]
    pub fn charge(&self, customer: &CustomerName) -> f64 {
        let remotes = self.remotes.values().flat_map(BTreeMap::values);
        let remote = remotes.filter_map(|r| r.outstanding.get(customer).copied());
        let outstanding = self.outstanding(customer) + remote.sum();
        self.virtual_time(customer) + outstanding.as_f64() / self.share(customer)
    }

    /// Sets who has requests waiting; a customer that returns from rest starts level with the
    /// least charged of the others: it has neither saved up a claim nor is it punished.
    pub fn set_active(&mut self, active: BTreeSet<CustomerName>) {
        let floor = self.floor();
        for customer in active.difference(&self.active) {
            let behind = floor - self.charge(customer);
            if behind > 0.0 {
                *self.virtual_times.entry(customer.clone()).or_default() += behind;
            }
        }
        self.active = active;
    }

    /// Takes in the accounts of another domain's pool, as told by one life of its scheduler; two
    /// that live at once, while views differ, are counted side by side.
    pub fn merge(&mut self, domain: &DomainName, run: RunId, accounts: &[Account]) {
        let mut added = Vec::new();
        let runs = self.remotes.entry(domain.clone()).or_default();
        if !runs.contains_key(&run) && runs.len() >= MAX_RUNS_PER_DOMAIN {
            runs.pop_first();
        }
        let remote = runs.entry(run).or_default();
        remote.outstanding.clear();
        for account in accounts {
            let customer = &account.customer;
            let seen = remote.served.entry(customer.clone()).or_default();
            added.push((customer, account.served.saturating_sub(*seen)));
            *seen = (*seen).max(account.served);
            if account.outstanding.0 > 0 {
                remote
                    .outstanding
                    .insert(customer.clone(), account.outstanding);
            }
        }
        for (customer, amount) in added {
            self.advance(customer, amount);
        }
    }

    /// Takes over the virtual times of another scheduler, for one that begins with none.
    pub fn adopt(&mut self, domain: &DomainName, run: RunId, accounts: &[Account]) {
        let mut remote = Remote::default();
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
            .insert(run, remote);
    }

    /// Forgets what one life of another domain's scheduler has charged in advance, when it is
    /// not heard any more.
    pub fn drop_outstanding(&mut self, domain: &DomainName, run: RunId) {
        if let Some(remote) = self
            .remotes
            .get_mut(domain)
            .and_then(|runs| runs.get_mut(&run))
        {
            remote.outstanding.clear();
        }
    }

    /// Cuts every lead over the least served active customer to `max_debt`, after a rejoin.
    pub fn cap_debt(&mut self, max_debt: f64) {
        let ceiling = self.floor() + max_debt;
        for time in self.virtual_times.values_mut() {
            *time = time.min(ceiling);
        }
    }

    fn advance(&mut self, customer: &CustomerName, amount: Tokens) {
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

    /// The least charge of the active customers, or the greatest virtual time when none is.
    fn floor(&self) -> f64 {
        let least = self.active.iter().map(|c| self.charge(c)).reduce(f64::min);
        least.unwrap_or_else(|| self.virtual_times.values().copied().fold(0.0, f64::max))
    }
}
