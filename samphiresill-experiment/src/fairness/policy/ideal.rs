//! A fair queue with complete and immediate knowledge. Over the entire fleet it is the reference
//! for the other policies; the fixed baselines run one for each router.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::ServiceName;
use samphiresill_core::units::Tokens;
use samphiresill_sched::estimate::Estimator;

use super::super::deployment::{Deployment, MODEL};
use super::{Decision, PendingRequest, Policy, ProgressFn};

/// `ChargeBasis` selects the amount that a running request is charged in advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeBasis {
    /// The estimated cost, corrected when the request ends.
    Estimate,
    /// The larger of the estimated cost and the service received so far.
    Progress,
}

struct Running {
    request: PendingRequest,
    estimate: Tokens,
    target: usize,
}

/// `FairQueue` is a weighted fair queue over the slots of a deployment.
pub struct FairQueue {
    charge_basis: ChargeBasis,
    shares: Vec<f64>,
    /// Service credited to each customer by this queue, by other queues and on becoming active, in
    /// tokens per unit of share.
    service: Vec<f64>,
    /// Service given from the slots of this queue to each customer, in tokens per unit of share.
    pub local_service: Vec<f64>,
    /// Whether each customer had waiting requests after its latest submission or dispatch.
    is_backlogged: Vec<bool>,
    queues: Vec<VecDeque<PendingRequest>>,
    running: BTreeMap<usize, Running>,
    free_slots: Vec<u32>,
    slot_rates: Vec<f64>,
    estimator: Estimator,
}

impl FairQueue {
    /// Creates an empty queue over the slots of a deployment.
    pub fn new(deployment: &Deployment, charge_basis: ChargeBasis) -> Self {
        let customers = deployment.shares.len();
        Self {
            charge_basis,
            shares: deployment.shares.iter().map(|(_, s)| s.as_f64()).collect(),
            service: vec![0.0; customers],
            local_service: vec![0.0; customers],
            is_backlogged: vec![false; customers],
            queues: vec![VecDeque::new(); customers],
            running: BTreeMap::new(),
            free_slots: deployment.targets.iter().map(|t| t.slots).collect(),
            slot_rates: deployment.targets.iter().map(|t| t.slot_rate).collect(),
            estimator: Estimator::default(),
        }
    }

    /// Adds service that other queues have given to each customer, in tokens per unit of share.
    pub fn add_remote_service(&mut self, amounts: &[f64]) {
        self.service
            .iter_mut()
            .zip(amounts)
            .for_each(|(service, amount)| *service += amount);
    }

    fn charged_service(&self, progress: ProgressFn) -> Vec<f64> {
        let mut charged = self.service.clone();
        for running in self.running.values() {
            let estimate = running.estimate.as_f64();
            let amount = match self.charge_basis {
                ChargeBasis::Estimate => estimate,
                ChargeBasis::Progress => {
                    estimate.max(progress(running.request.request_id).as_f64())
                }
            };
            charged[running.request.customer] += amount / self.shares[running.request.customer];
        }
        charged
    }

    fn dispatch(&mut self, progress: ProgressFn) -> Vec<Decision> {
        let mut decisions = Vec::new();
        loop {
            let targets = (0..self.free_slots.len()).filter(|t| self.free_slots[*t] > 0);
            let Some(target) =
                targets.max_by(|a, b| self.slot_rates[*a].total_cmp(&self.slot_rates[*b]))
            else {
                return decisions;
            };
            let charged = self.charged_service(progress);
            let waiting = (0..charged.len()).filter(|c| !self.queues[*c].is_empty());
            let Some(customer) = waiting.min_by(|a, b| charged[*a].total_cmp(&charged[*b])) else {
                return decisions;
            };
            let Some(request) = self.queues[customer].pop_front() else {
                return decisions;
            };
            self.is_backlogged[customer] = !self.queues[customer].is_empty();
            self.free_slots[target] -= 1;
            let service = ServiceName::from(MODEL);
            let estimate = self.estimator.estimate(
                &request.customer_name,
                &service,
                Priority::Batch,
                request.cost_limit,
            );
            decisions.push(Decision::Start {
                request_id: request.request_id,
                target,
            });
            self.running.insert(
                request.request_id,
                Running {
                    request,
                    estimate,
                    target,
                },
            );
        }
    }
}

impl Policy for FairQueue {
    fn name(&self) -> String {
        match self.charge_basis {
            ChargeBasis::Estimate => "ideal-estimate".into(),
            ChargeBasis::Progress => "ideal".into(),
        }
    }

    fn next_event_at(&self) -> Option<Duration> {
        None
    }

    fn advance(&mut self, _now: Duration, _progress: ProgressFn) -> Vec<Decision> {
        Vec::new()
    }

    fn submit(
        &mut self,
        _now: Duration,
        request: PendingRequest,
        progress: ProgressFn,
    ) -> Vec<Decision> {
        let customer = request.customer;
        if !self.is_backlogged[customer] {
            // A customer that becomes active is raised to the level of the least charged waiting
            // customer, so that idle time earns no credit.
            let charged = self.charged_service(progress);
            let waiting = (0..charged.len()).filter(|c| self.is_backlogged[*c]);
            let floor = waiting.map(|c| charged[c]).reduce(f64::min).unwrap_or(0.0);
            self.service[customer] += (floor - charged[customer]).max(0.0);
            self.is_backlogged[customer] = true;
        }
        self.queues[customer].push_back(request);
        self.dispatch(progress)
    }

    fn finish(
        &mut self,
        _now: Duration,
        request_id: usize,
        cost: Tokens,
        progress: ProgressFn,
    ) -> Vec<Decision> {
        let Some(running) = self.running.remove(&request_id) else {
            return Vec::new();
        };
        let request = &running.request;
        self.free_slots[running.target] += 1;
        let amount = cost.as_f64() / self.shares[request.customer];
        self.service[request.customer] += amount;
        self.local_service[request.customer] += amount;
        self.estimator.record(
            &request.customer_name,
            &ServiceName::from(MODEL),
            Priority::Batch,
            cost,
        );
        self.dispatch(progress)
    }
}
