//! Discrete-event simulation of customers, requests and targets in which every policy is run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_core::units::Tokens;

use super::case::{Arrivals, Case, Fault, RUN_DURATION, Workload};
use super::deployment::Deployment;
use super::measure::RunMetrics;
use super::policy::{Decision, PendingRequest, Policy};

/// Time until a client resends a request that was lost with its router.
const CLIENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which backlogs are refilled and the service of the customers is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Requests that a customer with an idle period keeps waiting at each router while it is active.
const INTERMITTENT_BACKLOG_DEPTH: usize = 6;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { request_id: usize, execution: u64 },
    Arrival { customer: usize },
    Resubmit { customer: usize, router: usize },
    Fault(usize),
    RefillBacklogs,
    SampleService,
}

#[derive(Clone, Debug)]
struct Request {
    customer: usize,
    router: usize,
    cost: u64,
    arrived: Duration,
    /// Target, start time and execution of a running request.
    running: Option<(usize, Duration, u64)>,
}

/// `Simulation` simulates one run of one policy.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    slot_rates: Vec<f64>,
    policy: Box<dyn Policy + 'a>,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_sequence: u64,
    requests: BTreeMap<usize, Request>,
    next_request_id: usize,
    /// Number of running requests at each target.
    running: Vec<usize>,
    /// Requests at each target that arrived while all of its slots were in use.
    target_queues: Vec<VecDeque<usize>>,
    /// Number of requests that wait in the policy, by customer and router.
    waiting: BTreeMap<(usize, usize), usize>,
    /// Service given to each customer by completed and lost requests, in tokens.
    service_given: Vec<u64>,
    metrics: RunMetrics,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at time zero.
    pub fn new(
        deployment: &'a Deployment,
        case: &'a Case,
        policy: Box<dyn Policy + 'a>,
        seed: u64,
    ) -> Self {
        let slot_rates = deployment
            .targets
            .iter()
            .zip(&case.rate_factors)
            .map(|(t, f)| t.slot_rate * f);
        Self {
            deployment,
            case,
            slot_rates: slot_rates.collect(),
            policy,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_sequence: 0,
            requests: BTreeMap::new(),
            next_request_id: 0,
            running: vec![0; deployment.targets.len()],
            target_queues: vec![VecDeque::new(); deployment.targets.len()],
            waiting: BTreeMap::new(),
            service_given: vec![0; deployment.shares.len()],
            metrics: RunMetrics::new(deployment, case),
        }
    }

    /// Runs the simulation to its end; returns the metrics and the number of bytes and of messages
    /// that the policy sent between routers.
    pub fn run(mut self) -> (RunMetrics, (u64, u64)) {
        self.schedule(Duration::ZERO, Event::RefillBacklogs);
        self.schedule(SAMPLE_INTERVAL, Event::SampleService);
        for (index, (when, _)) in self.case.faults.iter().enumerate() {
            self.schedule(*when, Event::Fault(index));
        }
        for customer in 0..self.case.workloads.len() {
            if let Arrivals::Poisson { .. } = self.case.workloads[customer].arrivals {
                self.schedule(Duration::ZERO, Event::Arrival { customer });
            }
        }
        loop {
            let own_event_at = self.events.peek().map(|Reverse((at, _, _))| *at);
            let policy_event_at = self.policy.next_event_at();
            let Some(now) = own_event_at.into_iter().chain(policy_event_at).min() else {
                break;
            };
            if now > RUN_DURATION {
                break;
            }
            self.record_idle_slots(now);
            if policy_event_at == Some(now) {
                let requests = &self.requests;
                let slot_rates = &self.slot_rates;
                let decisions = self
                    .policy
                    .advance(now, &|n| service_received(requests, slot_rates, n, now));
                self.apply_decisions(now, decisions);
            }
            while let Some(Reverse((at, _, _))) = self.events.peek()
                && *at <= now
            {
                let Some(Reverse((_, _, event))) = self.events.pop() else {
                    break;
                };
                self.handle_event(now, &event);
            }
        }
        let traffic = self.policy.control_traffic();
        (self.metrics, traffic)
    }

    fn schedule(&mut self, when: Duration, event: Event) {
        self.next_sequence += 1;
        self.events.push(Reverse((when, self.next_sequence, event)));
    }

    fn handle_event(&mut self, now: Duration, event: &Event) {
        match *event {
            Event::Finish {
                request_id,
                execution,
            } => self.finish_request(now, request_id, execution),
            Event::Arrival { customer } => {
                self.submit_request(now, customer, None);
                if let Arrivals::Poisson { rate } = self.case.workloads[customer].arrivals {
                    let interarrival_s = -self.rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
                    self.schedule(
                        now + Duration::from_secs_f64(interarrival_s),
                        Event::Arrival { customer },
                    );
                }
            }
            Event::Resubmit { customer, router } => {
                self.submit_request(now, customer, Some(router));
            }
            Event::Fault(index) => {
                let fault: Fault = self.case.faults[index].1.clone();
                self.metrics.record_fault(now, &fault);
                let decisions = self.policy.inject_fault(now, &fault);
                self.apply_decisions(now, decisions);
            }
            Event::RefillBacklogs => {
                self.refill(now);
                self.schedule(now + SAMPLE_INTERVAL, Event::RefillBacklogs);
            }
            Event::SampleService => {
                let totals = self.total_service(now);
                self.metrics.record_service(now, &totals);
                self.schedule(now + SAMPLE_INTERVAL, Event::SampleService);
            }
        }
    }

    /// Refills the backlogs of backlogged customers, one request per customer at a time, so that no
    /// customer has an advantage at the start.
    fn refill(&mut self, now: Duration) {
        loop {
            let underfilled =
                (0..self.case.workloads.len()).filter_map(|c| self.underfilled_router(now, c));
            let underfilled: Vec<(usize, usize)> = underfilled.collect();
            if underfilled.is_empty() {
                return;
            }
            for (customer, router) in underfilled {
                self.submit_request(now, customer, Some(router));
            }
        }
    }

    /// Returns a customer with the router at which its backlog is shortest, if that backlog is not
    /// full.
    fn underfilled_router(&self, now: Duration, customer: usize) -> Option<(usize, usize)> {
        let workload = &self.case.workloads[customer];
        let depth = match workload.arrivals {
            Arrivals::Backlogged { depth } => depth,
            Arrivals::BackloggedFrom { start } if now >= start => INTERMITTENT_BACKLOG_DEPTH,
            Arrivals::IdleBetween { from, to } if now < from || now >= to => {
                INTERMITTENT_BACKLOG_DEPTH
            }
            _ => 0,
        };
        let waiting = |r: &usize| self.waiting.get(&(customer, *r)).copied().unwrap_or(0);
        let live_routers = workload
            .routers
            .iter()
            .copied()
            .filter(|r| self.policy.is_router_up(*r));
        let router = live_routers.min_by_key(waiting)?;
        (waiting(&router) < depth).then_some((customer, router))
    }

    fn submit_request(&mut self, now: Duration, customer: usize, router: Option<usize>) {
        let workload: &Workload = &self.case.workloads[customer];
        let router = router
            .unwrap_or_else(|| workload.routers[self.rng.random_range(0..workload.routers.len())]);
        let log_cost_range = (workload.max_cost as f64 / workload.min_cost as f64).ln();
        let cost =
            (workload.min_cost as f64 * (log_cost_range * self.rng.random::<f64>()).exp()) as u64;
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let request = Request {
            customer,
            router,
            cost,
            arrived: now,
            running: None,
        };
        self.requests.insert(request_id, request);
        *self.waiting.entry((customer, router)).or_default() += 1;
        let pending = PendingRequest {
            request_id,
            customer,
            customer_name: self.deployment.shares[customer].0.clone(),
            router,
            cost_limit: Tokens(workload.cost_hint.unwrap_or(workload.max_cost)),
            is_interactive: workload.is_interactive,
        };
        let (requests, slot_rates) = (&self.requests, &self.slot_rates);
        let decisions = self.policy.submit(now, pending, &|n| {
            service_received(requests, slot_rates, n, now)
        });
        self.apply_decisions(now, decisions);
    }

    fn apply_decisions(&mut self, now: Duration, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { request_id, target } => {
                    let request = &self.requests[&request_id];
                    let queue_key = (request.customer, request.router);
                    *self.waiting.entry(queue_key).or_default() -= 1;
                    if self.case.workloads[request.customer].is_interactive {
                        self.metrics.record_interactive_wait(now, request.arrived);
                    }
                    if self.running[target] < self.deployment.targets[target].slots as usize {
                        self.start_request(now, request_id, target);
                    } else {
                        self.target_queues[target].push_back(request_id);
                    }
                }
                Decision::Lost { request_id } => self.handle_lost_request(now, request_id),
            }
        }
    }

    fn start_request(&mut self, now: Duration, request_id: usize, target: usize) {
        self.running[target] += 1;
        self.next_sequence += 1;
        let execution = self.next_sequence;
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.running = Some((target, now, execution));
        let run_time = Duration::from_secs_f64(request.cost as f64 / self.slot_rates[target]);
        self.schedule(
            now + run_time,
            Event::Finish {
                request_id,
                execution,
            },
        );
    }

    /// Completes a request, unless the event belongs to an earlier execution.
    fn finish_request(&mut self, now: Duration, request_id: usize, execution: u64) {
        let Some(request) = self.requests.get(&request_id).cloned() else {
            return;
        };
        let Some((target, _, current)) = request.running else {
            return;
        };
        if current != execution {
            return;
        }
        self.requests.remove(&request_id);
        self.service_given[request.customer] += request.cost;
        self.release_slot(now, target);
        let cost = Tokens(request.cost);
        let (requests, slot_rates) = (&self.requests, &self.slot_rates);
        let decisions = self.policy.finish(now, request_id, cost, &|n| {
            service_received(requests, slot_rates, n, now)
        });
        self.apply_decisions(now, decisions);
    }

    fn release_slot(&mut self, now: Duration, target: usize) {
        self.running[target] -= 1;
        if let Some(next) = self.target_queues[target].pop_front() {
            self.start_request(now, next, target);
        }
    }

    /// Handles a request that was lost with its router: the client resends it to another router of
    /// the same failure domain if there is one.
    fn handle_lost_request(&mut self, now: Duration, request_id: usize) {
        let received = service_received(&self.requests, &self.slot_rates, request_id, now);
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        if let Some((target, _, _)) = request.running {
            self.service_given[request.customer] += received.0;
            self.release_slot(now, target);
        } else {
            self.target_queues
                .iter_mut()
                .for_each(|q| q.retain(|n| *n != request_id));
            let queue_key = (request.customer, request.router);
            let waiting = self.waiting.entry(queue_key).or_default();
            *waiting = waiting.saturating_sub(1);
        }
        let domain_routers = self
            .deployment
            .routers_in(&self.deployment.routers[request.router].1);
        let router = domain_routers
            .into_iter()
            .find(|r| *r != request.router)
            .unwrap_or(request.router);
        let customer = request.customer;
        self.schedule(
            now + CLIENT_RETRY_DELAY,
            Event::Resubmit { customer, router },
        );
    }

    fn total_service(&self, now: Duration) -> Vec<f64> {
        let mut totals: Vec<f64> = self.service_given.iter().map(|t| *t as f64).collect();
        for (request_id, request) in &self.requests {
            totals[request.customer] +=
                service_received(&self.requests, &self.slot_rates, *request_id, now).as_f64();
        }
        totals
    }

    /// Reports the idle slots and the waiting requests to the metrics.
    fn record_idle_slots(&mut self, now: Duration) {
        let targets = self.deployment.targets.iter().zip(&self.running);
        let idle: Vec<(usize, usize)> = targets
            .enumerate()
            .map(|(i, (t, running))| (i, t.slots as usize - (*running).min(t.slots as usize)))
            .filter(|(_, idle)| *idle > 0)
            .collect();
        let waiting: Vec<(usize, usize)> = self
            .waiting
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|((_, r), n)| (*r, *n))
            .collect();
        self.metrics
            .record_idle_slots(now, self.deployment, &idle, &waiting);
    }
}

/// Returns the service that a request has received from its target.
fn service_received(
    requests: &BTreeMap<usize, Request>,
    slot_rates: &[f64],
    request_id: usize,
    now: Duration,
) -> Tokens {
    let Some(request) = requests.get(&request_id) else {
        return Tokens(0);
    };
    let Some((target, since, _)) = request.running else {
        return Tokens(0);
    };
    let tokens = (now.saturating_sub(since).as_secs_f64() * slot_rates[target]) as u64;
    Tokens(tokens.min(request.cost))
}
