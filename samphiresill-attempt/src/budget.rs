//! Budgets that keep retries to a part of the ordinary requests.

use std::collections::BTreeMap;

/// Retries that one ordinary request earns.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries that can be saved up; a new budget starts with as many.
const MAX_SAVED: f64 = 10.0;

/// `Budgets` hold one budget for each name: a customer or a target.
#[derive(Clone, Debug)]
pub struct Budgets<N> {
    saved: BTreeMap<N, f64>,
}

impl<N> Default for Budgets<N> {
    fn default() -> Self {
        Self {
            saved: BTreeMap::new(),
        }
    }
}

impl<N: Ord + Clone> Budgets<N> {
    /// Counts an ordinary request.
    pub fn earn(&mut self, name: &N) {
        let saved = self.saved.entry(name.clone()).or_insert(MAX_SAVED);
        *saved = (*saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Whether a retry is left.
    #[must_use]
    pub fn has_retry(&self, name: &N) -> bool {
        self.saved.get(name).is_none_or(|saved| *saved >= 1.0)
    }

    /// Spends a retry; false, and nothing spent, when none is left.
    pub fn spend(&mut self, name: &N) -> bool {
        let saved = self.saved.entry(name.clone()).or_insert(MAX_SAVED);
        let is_left = *saved >= 1.0;
        if is_left {
            *saved -= 1.0;
        }
        is_left
    }
}
