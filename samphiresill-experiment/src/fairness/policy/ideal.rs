//! The reference: one queue that knows all, without delay.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::ServiceName;
use samphiresill_core::units::Tokens;
use samphiresill_sched::estimate::Estimator;

use super::super::deployment::{Deployment, MODEL};
use super::{Decision, Offer, Policy, Progress};

/// What a running request is charged with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// Its estimate, corrected when it ends.
    Estimate,
    /// The larger of its estimate and its progress.
    Progress,
}

struct Running {
    offer: Offer,
    estimate: Tokens,
    target: usize,
}

/// `Ideal` is the one queue.
pub struct Ideal {
    charge: Charge,
    shares: Vec<f64>,
    served: Vec<f64>,
    /// Service given from this queue's own slots, in proportion to the shares.
    pub own_given: Vec<f64>,
    was_waiting: Vec<bool>,
    queues: Vec<VecDeque<Offer>>,
    running: BTreeMap<usize, Running>,
    free: Vec<u32>,
    rates: Vec<f64>,
    estimator: Estimator,
}

impl Ideal {
    /// An empty queue for a deployment.
    pub fn new(deployment: &Deployment, charge: Charge) -> Self {
        let customers = deployment.shares.len();
        Self {
            charge,
            shares: deployment.shares.iter().map(|(_, s)| s.as_f64()).collect(),
            served: vec![0.0; customers],
            own_given: vec![0.0; customers],
            was_waiting: vec![false; customers],
            queues: vec![VecDeque::new(); customers],
            running: BTreeMap::new(),
            free: deployment.sites.iter().map(|s| s.slots).collect(),
            rates: deployment.sites.iter().map(|s| s.rate).collect(),
            estimator: Estimator::default(),
        }
    }

    /// Adds service that was given elsewhere, in proportion to the shares.
    pub fn add_served(&mut self, amounts: &[f64]) {
        self.served
            .iter_mut()
            .zip(amounts)
            .for_each(|(served, amount)| *served += amount);
    }

    fn charged(&self, progress: Progress) -> Vec<f64> {
        let mut charged = self.served.clone();
        for running in self.running.values() {
            let estimate = running.estimate.as_f64();
            let amount = match self.charge {
                Charge::Estimate => estimate,
                Charge::Progress => estimate.max(progress(running.offer.number).as_f64()),
            };
            charged[running.offer.customer] += amount / self.shares[running.offer.customer];
        }
        charged
    }

    fn place(&mut self, progress: Progress) -> Vec<Decision> {
        let mut decisions = Vec::new();
        loop {
            let targets = (0..self.free.len()).filter(|t| self.free[*t] > 0);
            let Some(target) = targets.max_by(|a, b| self.rates[*a].total_cmp(&self.rates[*b]))
            else {
                return decisions;
            };
            let charged = self.charged(progress);
            let waiting = (0..charged.len()).filter(|c| !self.queues[*c].is_empty());
            let Some(customer) = waiting.min_by(|a, b| charged[*a].total_cmp(&charged[*b])) else {
                return decisions;
            };
            let Some(offer) = self.queues[customer].pop_front() else {
                return decisions;
            };
            self.was_waiting[customer] = !self.queues[customer].is_empty();
            self.free[target] -= 1;
            let work = ServiceName::from(MODEL);
            let estimate =
                self.estimator
                    .estimate(&offer.name, &work, Priority::Batch, offer.limit);
            decisions.push(Decision::Start {
                number: offer.number,
                target,
            });
            self.running.insert(
                offer.number,
                Running {
                    offer,
                    estimate,
                    target,
                },
            );
        }
    }
}

impl Policy for Ideal {
    fn name(&self) -> String {
        match self.charge {
            Charge::Estimate => "ideal-estimate".into(),
            Charge::Progress => "ideal".into(),
        }
    }

    fn wakes_at(&self) -> Option<Duration> {
        None
    }

    fn advance(&mut self, _now: Duration, _progress: Progress) -> Vec<Decision> {
        Vec::new()
    }

    fn submit(&mut self, _now: Duration, offer: Offer, progress: Progress) -> Vec<Decision> {
        let customer = offer.customer;
        if !self.was_waiting[customer] {
            // A customer that returns from rest starts level with the least charged one.
            let charged = self.charged(progress);
            let waiting = (0..charged.len()).filter(|c| self.was_waiting[*c]);
            let floor = waiting.map(|c| charged[c]).reduce(f64::min).unwrap_or(0.0);
            self.served[customer] += (floor - charged[customer]).max(0.0);
            self.was_waiting[customer] = true;
        }
        self.queues[customer].push_back(offer);
        self.place(progress)
    }

    fn finish(
        &mut self,
        _now: Duration,
        number: usize,
        cost: Tokens,
        progress: Progress,
    ) -> Vec<Decision> {
        let Some(running) = self.running.remove(&number) else {
            return Vec::new();
        };
        let offer = &running.offer;
        self.free[running.target] += 1;
        let amount = cost.as_f64() / self.shares[offer.customer];
        self.served[offer.customer] += amount;
        self.own_given[offer.customer] += amount;
        self.estimator.learn(
            &offer.name,
            &ServiceName::from(MODEL),
            Priority::Batch,
            cost,
        );
        self.place(progress)
    }
}
