//! Retry budgets, which limit retries to a fraction of the requests.

use std::collections::BTreeMap;

/// Deposit per request, in retries.
const DEPOSIT_PER_REQUEST: f64 = 0.2;
/// Maximum and initial balance, in retries.
const MAX_BALANCE: f64 = 10.0;

/// `Options` are the parameters of retry budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Deposit per request, in retries.
    pub deposit_per_request: f64,
    /// Maximum and initial balance, in retries.
    pub max_balance: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deposit_per_request: DEPOSIT_PER_REQUEST,
            max_balance: MAX_BALANCE,
        }
    }
}

/// `RetryBudgets` holds one budget per name: a customer, a target or a service.
#[derive(Clone, Debug)]
pub struct RetryBudgets<N> {
    opts: Options,
    balances: BTreeMap<N, f64>,
}

impl<N> Default for RetryBudgets<N> {
    fn default() -> Self {
        Self {
            opts: Options::default(),
            balances: BTreeMap::new(),
        }
    }
}

impl<N: Ord + Clone> RetryBudgets<N> {
    /// Changes the parameters; balances above the new maximum are reduced to it.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
        for balance in self.balances.values_mut() {
            *balance = balance.min(opts.max_balance);
        }
    }

    /// Makes the deposit of one request.
    pub fn deposit(&mut self, name: &N) {
        let balance = self
            .balances
            .entry(name.clone())
            .or_insert(self.opts.max_balance);
        *balance = (*balance + self.opts.deposit_per_request).min(self.opts.max_balance);
    }

    /// Returns whether the balance allows a retry.
    #[must_use]
    pub fn has_retry(&self, name: &N) -> bool {
        self.balances
            .get(name)
            .is_none_or(|balance| *balance >= 1.0)
    }

    /// Withdraws one retry. Returns false and leaves the balance unchanged if it is insufficient.
    pub fn try_withdraw(&mut self, name: &N) -> bool {
        let balance = self
            .balances
            .entry(name.clone())
            .or_insert(self.opts.max_balance);
        let is_left = *balance >= 1.0;
        if is_left {
            *balance -= 1.0;
        }
        is_left
    }
}
