//! Max-min fair shares of the fleet's service among customers.
//!
//! Answers the load pattern in which one customer or a few send many times their usual: under
//! pressure, a customer that has received more than the level at which all demand could be met
//! evenly is refused before one that has received less.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::CustomerName;

/// Time over which service is remembered: half of the window in which callers judge fairness.
const MEMORY: Duration = Duration::from_secs(2);
/// Weighted tokens below which a customer is forgotten.
const FORGOTTEN: f64 = 1.0;

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    asked: f64,
    served: f64,
    at: Duration,
}

impl Usage {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / MEMORY.as_secs_f64()).exp();
        self.asked *= factor;
        self.served *= factor;
        self.at = now;
    }
}

/// `Shares` remember what customers asked for and received of late.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<CustomerName, Usage>,
}

impl Shares {
    /// Notes what a customer asks for, in weighted tokens.
    pub fn ask(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).asked += cost as f64;
    }

    /// Notes what a customer receives, in weighted tokens.
    pub fn serve(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        self.usage(customer, now).served += cost as f64;
    }

    /// What the customer has received against the max-min level; 1 at the level.
    pub fn ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        for usage in self.usages.values_mut() {
            usage.decay(now);
        }
        self.usages
            .retain(|_, u| u.asked > FORGOTTEN || u.served > FORGOTTEN);
        let level = self.level();
        let served = self.usages.get(customer).map_or(0.0, |u| u.served);
        if level > 0.0 { served / level } else { 0.0 }
    }

    /// The level at which the service given would meet all demand up to the level.
    fn level(&self) -> f64 {
        let mut asked: Vec<f64> = self
            .usages
            .values()
            .map(|u| u.asked.max(u.served))
            .collect();
        asked.sort_by(f64::total_cmp);
        let mut left: f64 = self.usages.values().map(|u| u.served).sum();
        let mut level = 0.0;
        for (index, demand) in asked.iter().enumerate() {
            let even = left / (asked.len() - index) as f64;
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
