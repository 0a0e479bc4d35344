//! Estimates of a request's cost, learnt from what earlier ones of the same kind cost.

use std::collections::BTreeMap;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::{CustomerName, ServiceName};
use samphiresill_core::units::Tokens;

/// Weight of the newest cost in the running mean.
const NEWEST_WEIGHT: f64 = 0.2;
/// Estimate for a kind of request that has not been seen, in tokens.
const FIRST_ESTIMATE_TOKENS: u64 = 256;

/// `Estimator` keeps a running mean of the cost for each customer, work and urgency.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    means: BTreeMap<(CustomerName, ServiceName, Priority), f64>,
}

impl Estimator {
    /// The expected cost of a request whose caller allows at most `limit`.
    #[must_use]
    pub fn estimate(
        &self,
        customer: &CustomerName,
        work: &ServiceName,
        urgency: Priority,
        limit: Tokens,
    ) -> Tokens {
        let key = (customer.clone(), work.clone(), urgency);
        let mean = self
            .means
            .get(&key)
            .map_or(FIRST_ESTIMATE_TOKENS, |m| m.ceil() as u64);
        Tokens(mean.clamp(1, limit.0.max(1)))
    }

    /// Takes in what a request has cost.
    pub fn learn(
        &mut self,
        customer: &CustomerName,
        work: &ServiceName,
        urgency: Priority,
        cost: Tokens,
    ) {
        let key = (customer.clone(), work.clone(), urgency);
        let mean = self.means.entry(key).or_insert(cost.as_f64());
        *mean += (cost.as_f64() - *mean) * NEWEST_WEIGHT;
    }

    /// Forgets customers that are not in the configuration, so that the state stays bounded.
    pub fn retain(&mut self, known: impl Fn(&CustomerName) -> bool) {
        self.means.retain(|(customer, _, _), _| known(customer));
    }
}
