//! Budgets that keep retries to a part of the ordinary requests.

use std::collections::BTreeMap;

/// Retries that one ordinary request earns.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries that can be saved up; a new budget starts with as many.
const MAX_SAVED: f64 = 10.0;

/// `Options` size budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries that one ordinary request earns.
    pub earned_per_request: f64,
    /// Most retries that can be saved up; a new budget starts with as many.
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

/// `Budgets` hold one budget for each name: a customer, a target or a service.
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
    /// Changes the size; what is saved beyond it is lost.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
        for saved in self.saved.values_mut() {
            *saved = saved.min(opts.max_saved);
        }
    }

    /// Counts an ordinary request.
    pub fn earn(&mut self, name: &N) {
        let saved = self
            .saved
            .entry(name.clone())
            .or_insert(self.opts.max_saved);
        *saved = (*saved + self.opts.earned_per_request).min(self.opts.max_saved);
    }

    /// Whether a retry is left.
    #[must_use]
    pub fn has_retry(&self, name: &N) -> bool {
        self.saved.get(name).is_none_or(|saved| *saved >= 1.0)
    }

    /// Spends a retry; false, and nothing spent, when none is left.
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
