//! Max-min fair shares of the fleet's service among customers.
//!
//! Handles the load pattern in which one or a few customers send many times their usual load: under
//! overload, a customer that has received more service than the max-min fair level is refused
//! before one that has received less.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::CustomerName;

/// Time constant of the exponential decay: half of the window over which the operators measure
/// shares.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Demand and service up to which a customer is dropped, in weighted tokens.
const MIN_USAGE: f64 = 1.0;

/// `Usage` is the exponentially decayed demand and service of one customer, in weighted tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demanded: f64,
    served: f64,
    updated_at: Duration,
}

impl Usage {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.demanded *= factor;
        self.served *= factor;
        self.updated_at = now;
    }
}

/// `Shares` holds the recent demand and service of all customers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<CustomerName, Usage>,
}

impl Shares {
    /// Adds to the demand of a customer, in weighted tokens.
    pub fn add_demand(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).demanded += cost as f64;
    }

    /// Adds to the service of a customer, in weighted tokens.
    pub fn add_service(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).served += cost as f64;
    }

    /// Returns the recent demand of a customer, in weighted tokens, as of its last change.
    #[must_use]
    pub fn demand(&self, customer: &CustomerName) -> f64 {
        self.usages.get(customer).map_or(0.0, |u| u.demanded)
    }

    /// Returns the service of a customer relative to the max-min fair level; 1 at the level.
    pub fn ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        for usage in self.usages.values_mut() {
            usage.decay(now);
        }
        self.usages
            .retain(|_, u| u.demanded > MIN_USAGE || u.served > MIN_USAGE);
        let fair_level = self.fair_level();
        let served = self.usages.get(customer).map_or(0.0, |u| u.served);
        if fair_level > 0.0 {
            served / fair_level
        } else {
            0.0
        }
    }

    /// Returns the max-min fair level: the bound on each customer's demand at which the bounded
    /// demands add up to the total service.
    fn fair_level(&self) -> f64 {
        let mut demanded: Vec<f64> = self
            .usages
            .values()
            .map(|u| u.demanded.max(u.served))
            .collect();
        demanded.sort_by(f64::total_cmp);
        let mut remaining: f64 = self.usages.values().map(|u| u.served).sum();
        let mut fair_level = 0.0;
        for (index, demand) in demanded.iter().enumerate() {
            let equal_share = remaining / (demanded.len() - index) as f64;
            fair_level = equal_share;
            if equal_share <= *demand {
                break;
            }
            remaining -= demand;
        }
        fair_level
    }

    fn usage(&mut self, customer: &CustomerName, now: Duration) -> &mut Usage {
        let usage = self.usages.entry(customer.clone()).or_default();
        usage.decay(now);
        usage
    }
}
