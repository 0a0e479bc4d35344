//! Cost estimates for requests, based on the measured cost of earlier requests.

use std::collections::BTreeMap;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::{CustomerName, ServiceName};
use samphiresill_core::units::Tokens;

/// Weight of the latest sample in the exponentially weighted moving average (EWMA).
const EWMA_WEIGHT: f64 = 0.2;
/// Estimate in tokens for a combination of customer, service and priority without samples.
const DEFAULT_ESTIMATE_TOKENS: u64 = 256;

/// `Estimator` maintains a moving average of the request cost per customer, service and priority.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    means: BTreeMap<(CustomerName, ServiceName, Priority), f64>,
}

impl Estimator {
    /// Returns the estimated cost of a request, between 1 and the caller's `limit`.
    #[must_use]
    pub fn estimate(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        priority: Priority,
        limit: Tokens,
    ) -> Tokens {
        let key = (customer.clone(), service.clone(), priority);
        let mean = self
            .means
            .get(&key)
            .map_or(DEFAULT_ESTIMATE_TOKENS, |m| m.ceil() as u64);
        Tokens(mean.clamp(1, limit.0.max(1)))
    }

    /// Records the measured cost of a finished request.
    pub fn record(
        &mut self,
        customer: &CustomerName,
        service: &ServiceName,
        priority: Priority,
        cost: Tokens,
    ) {
        let key = (customer.clone(), service.clone(), priority);
        let mean = self.means.entry(key).or_insert(cost.as_f64());
        *mean += (cost.as_f64() - *mean) * EWMA_WEIGHT;
    }

    /// Drops the averages of customers that are no longer configured, to bound memory use.
    pub fn retain(&mut self, known: impl Fn(&CustomerName) -> bool) {
        self.means.retain(|(customer, _, _), _| known(customer));
    }
}
