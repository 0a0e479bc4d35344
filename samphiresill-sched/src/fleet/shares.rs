//! Max-min fair shares of the fleet's service among customers.
//!
//! Handles the load pattern in which one or a few customers send many times their usual load: under
//! overload, a customer that has received more service than the max-min fair level is refused
//! before one that has received less.
//!
//! A customer that has got much, for example before others began, would be refused until its service has
//! decayed, for seconds and far below what the others get. It therefore counts as within its share while
//! its service of the last moments is below the level of these.
//!
//! The service of the last seconds also falls when requests are refused, and with it the fair level. Where
//! the operators state the throughput of the fleet, a customer therefore counts as above its share only
//! when it has received more than the fair level of that throughput.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::CustomerName;

/// Time constant of the exponential decay: half of the window over which the operators measure
/// shares.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time constant of the decay of recent service: long compared with the gaps between the requests of a
/// customer that asks for much.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Recent service relative to the fair level of recent service up to which a customer counts as within its
/// share, whatever it has got before.
const MIN_RECENT_RATIO: f64 = 0.75;
/// Demand and service up to which a customer is dropped, in weighted tokens.
const MIN_USAGE: f64 = 1.0;

/// `Usage` is the exponentially decayed demand and service of one customer, in weighted tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demanded: f64,
    served: f64,
    /// Demand and service of the last moments.
    recently_demanded: f64,
    recently_served: f64,
    updated_at: Duration,
}

impl Usage {
    fn recent_demand(&self) -> f64 {
        self.recently_demanded.max(self.recently_served)
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.demanded *= factor;
        self.served *= factor;
        let factor = (-age / RECENT_TIME_CONSTANT.as_secs_f64()).exp();
        self.recently_demanded *= factor;
        self.recently_served *= factor;
        self.updated_at = now;
    }
}

/// `Shares` holds the recent demand and service of all customers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<CustomerName, Usage>,
    /// Throughput of the fleet as stated by the operators, in weighted tokens per second.
    stated_per_s: Option<u64>,
}

impl Shares {
    /// Adds to the demand of a customer, in weighted tokens.
    pub fn add_demand(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        let usage = self.usage(customer, now);
        usage.demanded += cost as f64;
        usage.recently_demanded += cost as f64;
    }

    /// Adds to the service of a customer, in weighted tokens.
    pub fn add_service(&mut self, customer: &CustomerName, cost: u64, now: Duration) {
        let usage = self.usage(customer, now);
        usage.served += cost as f64;
        usage.recently_served += cost as f64;
    }

    /// Sets the throughput of the fleet that the operators state, in weighted tokens per second.
    pub fn set_stated_throughput(&mut self, tokens_per_s: Option<u64>) {
        self.stated_per_s = tokens_per_s;
    }

    /// Returns the recent demand of a customer, in weighted tokens, as of its last change.
    #[must_use]
    pub fn demand(&self, customer: &CustomerName) -> f64 {
        self.usages.get(customer).map_or(0.0, |u| u.demanded)
    }

    /// Returns the service of a customer relative to the max-min fair level; 1 at the level.
    ///
    /// Below 1, the level is that of the throughput served; above 1, that of the larger of the stated
    /// throughput and the throughput served. Between the two levels the result is 1.
    pub fn ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        for usage in self.usages.values_mut() {
            usage.decay(now);
        }
        self.usages
            .retain(|_, u| u.demanded > MIN_USAGE || u.served > MIN_USAGE);
        let total: f64 = self.usages.values().map(|u| u.served).sum();
        let served = self.usages.get(customer).map_or(0.0, |u| u.served);
        let fair_level = self.fair_level(total);
        if fair_level <= 0.0 {
            return 0.0;
        }
        let ratio = served / fair_level;
        if ratio > 1.0 && self.recent_ratio(customer) < MIN_RECENT_RATIO {
            return 1.0;
        }
        // A constant rate amounts to this usage when it is decayed.
        let stated =
            self.stated_per_s.map_or(0.0, |rate| rate as f64) * DECAY_TIME_CONSTANT.as_secs_f64();
        if ratio <= 1.0 || stated <= total {
            return ratio;
        }
        (served / self.fair_level(stated)).max(1.0)
    }

    /// Returns the service of the last moments relative to the fair level of that service.
    fn recent_ratio(&self, customer: &CustomerName) -> f64 {
        let total: f64 = self.usages.values().map(|u| u.recently_served).sum();
        let demands = self.usages.values().map(Usage::recent_demand);
        let fair_level = max_min_level(demands.collect(), total);
        let served = self.usages.get(customer).map(|u| u.recently_served);
        if fair_level <= 0.0 {
            return 1.0;
        }
        served.unwrap_or(0.0) / fair_level
    }

    /// Returns the max-min fair level of a throughput.
    fn fair_level(&self, throughput: f64) -> f64 {
        let demands = self.usages.values().map(|u| u.demanded.max(u.served));
        max_min_level(demands.collect(), throughput)
    }

    fn usage(&mut self, customer: &CustomerName, now: Duration) -> &mut Usage {
        let usage = self.usages.entry(customer.clone()).or_default();
        usage.decay(now);
        usage
    }
}

/// Returns the max-min fair level: the bound on each demand at which the bounded demands add up to
/// `throughput`.
fn max_min_level(mut demands: Vec<f64>, throughput: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = throughput;
    let mut level = 0.0;
    for (index, demand) in demands.iter().enumerate() {
        let equal_share = remaining / (demands.len() - index) as f64;
        level = equal_share;
        if equal_share <= *demand {
            break;
        }
        remaining -= demand;
    }
    level
}
