//! Max-min fair shares of the fleet's service among customers.
//!
//! Answers the load pattern in which one customer or a few send many times their usual: under
//! overload, a customer that has received more than the max-min level is refused before one that
//! has received less.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::CustomerName;

/// Time constant of the decay: half of the operators' window for shares.
const MEMORY: Duration = Duration::from_secs(2);
/// Weighted tokens below which a customer is dropped.
const NEGLIGIBLE: f64 = 1.0;

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demanded: f64,
    served: f64,
    at: Duration,
}

impl Usage {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / MEMORY.as_secs_f64()).exp();
        self.demanded *= factor;
        self.served *= factor;
        self.at = now;
    }
}

/// `Shares` are the recent demand and service of customers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<CustomerName, Usage>,
}

impl Shares {
    /// Adds to what a customer demands, in weighted tokens.
    pub fn demand(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).demanded += cost as f64;
    }

    /// Adds to what a customer receives, in weighted tokens.
    pub fn serve(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).served += cost as f64;
    }

    /// What the customer has received against the max-min level; 1 at the level.
    pub fn ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        for usage in self.usages.values_mut() {
            usage.decay(now);
        }
        self.usages
            .retain(|_, u| u.demanded > NEGLIGIBLE || u.served > NEGLIGIBLE);
        let level = self.level();
        let served = self.usages.get(customer).map_or(0.0, |u| u.served);
        if level > 0.0 { served / level } else { 0.0 }
    }

    /// The level at which the service given would meet all demand up to the level.
    fn level(&self) -> f64 {
        let mut demanded: Vec<f64> = self
            .usages
            .values()
            .map(|u| u.demanded.max(u.served))
            .collect();
        demanded.sort_by(f64::total_cmp);
        let mut left: f64 = self.usages.values().map(|u| u.served).sum();
        let mut level = 0.0;
        for (index, demand) in demanded.iter().enumerate() {
            let even = left / (demanded.len() - index) as f64;
            level = even;
            if even <= *demand {
                break;
            }
            left -= demand;
        }
        level
    }

    fn usage(&mut self, customer: &CustomerName, now: Duration) -> &mut Usage {
        let usage = self.usages.entry(customer.clone()).or_default();
        usage.decay(now);
        usage
    }
}
