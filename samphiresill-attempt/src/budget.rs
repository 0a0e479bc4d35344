//! Retry budgets, which limit retries to a fraction of the ordinary requests.

use std::collections::BTreeMap;

/// Deposit per ordinary request, in retries.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Maximum and initial balance, in retries.
const MAX_SAVED: f64 = 10.0;

/// `Options` are the parameters of retry budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Deposit per ordinary request, in retries.
    pub earned_per_request: f64,
    /// Maximum and initial balance, in retries.
    pub max_saved: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            earned_per_request: EARNED_PER_REQUEST,
            max_saved: MAX_SAVED,
        }
    }
}

/// `RetryBudgets` holds one budget per name: a customer, a target or a service.
#[derive(Clone, Debug)]
pub struct Budgets<N> {
    opts: Options,
    saved: BTreeMap<N, f64>,
}

impl<N> Default for Budgets<N> {
    fn default() -> Self {
        Self {
            opts: Options::default(),
            saved: BTreeMap::new(),
        }
    }
}

impl<N: Ord + Clone> Budgets<N> {
    /// Changes the parameters; balances above the new maximum are reduced to it.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
        for saved in self.saved.values_mut() {
            *saved = saved.min(opts.max_saved);
        }
    }

    /// Makes the deposit of one ordinary request.
    pub fn earn(&mut self, name: &N) {
        let saved = self
            .saved
            .entry(name.clone())
            .or_insert(self.opts.max_saved);
        *saved = (*saved + self.opts.earned_per_request).min(self.opts.max_saved);
    }

    /// Returns whether the balance allows a retry.
    #[must_use]
    pub fn has_retry(&self, name: &N) -> bool {
        self.saved.get(name).is_none_or(|saved| *saved >= 1.0)
    }

    /// Withdraws one retry. Returns false and leaves the balance unchanged if it is insufficient.
    pub fn spend(&mut self, name: &N) -> bool {
        let saved = self
            .saved
            .entry(name.clone())
            .or_insert(self.opts.max_saved);
        let is_left = *saved >= 1.0;
        if is_left {
            *saved -= 1.0;
        }
        is_left
    }
}
