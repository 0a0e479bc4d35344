//! Discrete-event simulation of customers, requests and targets in which every policy is run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_core::units::Tokens;

use super::case::{Arrivals, Case, Fault, LENGTH, Load};
use super::deployment::Deployment;
use super::measure::Measure;
use super::policy::{Decision, Offer, Policy};

/// Time until a client resends a request that was lost with its router.
const CALLER_RETRY: Duration = Duration::from_millis(100);
/// Interval at which backlogs are refilled and the service of the customers is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Requests that a customer with an idle period keeps waiting at each router while it is active.
const SHORT_DEPTH: usize = 6;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Done { number: usize, run: u64 },
    Arrive { customer: usize },
    Resubmit { customer: usize, router: usize },
    Fault(usize),
    Refill,
    Sample,
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

/// `World` simulates one run of one policy.
pub struct World<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    rates: Vec<f64>,
    policy: Box<dyn Policy + 'a>,
    rng: StdRng,
    happenings: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    next: u64,
    requests: BTreeMap<usize, Request>,
    next_request: usize,
    /// Number of running requests at each target.
    running: Vec<usize>,
    /// Requests at each target that arrived while all of its slots were in use.
    queued: Vec<VecDeque<usize>>,
    /// Number of requests that wait in the policy, by customer and router.
    waiting: BTreeMap<(usize, usize), usize>,
    /// Service given to each customer by requests that are over, in tokens.
    ended: Vec<u64>,
    measure: Measure,
}

impl<'a> World<'a> {
    /// Creates a simulation at time zero.
    pub fn new(
        deployment: &'a Deployment,
        case: &'a Case,
        policy: Box<dyn Policy + 'a>,
        seed: u64,
    ) -> Self {
        let rates = deployment
            .sites
            .iter()
            .zip(&case.rate_factors)
            .map(|(s, f)| s.rate * f);
        Self {
            deployment,
            case,
            rates: rates.collect(),
            policy,
            rng: StdRng::seed_from_u64(seed),
            happenings: BinaryHeap::new(),
            next: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            running: vec![0; deployment.sites.len()],
            queued: vec![VecDeque::new(); deployment.sites.len()],
            waiting: BTreeMap::new(),
            ended: vec![0; deployment.shares.len()],
            measure: Measure::new(deployment, case),
        }
    }

    /// Runs the simulation to its end; returns the metrics and the number of bytes and of messages
    /// that the policy sent between routers.
    pub fn run(mut self) -> (Measure, (u64, u64)) {
        self.at(Duration::ZERO, Happening::Refill);
        self.at(SAMPLE_INTERVAL, Happening::Sample);
        for (index, (when, _)) in self.case.faults.iter().enumerate() {
            self.at(*when, Happening::Fault(index));
        }
        for customer in 0..self.case.loads.len() {
            if let Arrivals::Poisson { .. } = self.case.loads[customer].arrivals {
                self.at(Duration::ZERO, Happening::Arrive { customer });
            }
        }
        loop {
            let own = self.happenings.peek().map(|Reverse((at, _, _))| *at);
            let policy = self.policy.wakes_at();
            let Some(now) = own.into_iter().chain(policy).min() else {
                break;
            };
            if now > LENGTH {
                break;
            }
            self.note_idle(now);
            if policy == Some(now) {
                let requests = &self.requests;
                let rates = &self.rates;
                let decisions = self
                    .policy
                    .advance(now, &|n| served(requests, rates, n, now));
                self.apply(now, decisions);
            }
            while let Some(Reverse((at, _, _))) = self.happenings.peek()
                && *at <= now
            {
                let Some(Reverse((_, _, happening))) = self.happenings.pop() else {
                    break;
                };
                self.happen(now, &happening);
            }
        }
        let traffic = self.policy.traffic();
        (self.measure, traffic)
    }

    fn at(&mut self, when: Duration, happening: Happening) {
        self.next += 1;
        self.happenings.push(Reverse((when, self.next, happening)));
    }

    fn happen(&mut self, now: Duration, happening: &Happening) {
        match *happening {
            Happening::Done { number, run } => self.done(now, number, run),
            Happening::Arrive { customer } => {
                self.submit(now, customer, None);
                if let Arrivals::Poisson { rate } = self.case.loads[customer].arrivals {
                    let gap = -self.rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
                    self.at(
                        now + Duration::from_secs_f64(gap),
                        Happening::Arrive { customer },
                    );
                }
            }
            Happening::Resubmit { customer, router } => {
                self.submit(now, customer, Some(router));
            }
            Happening::Fault(index) => {
                let fault: Fault = self.case.faults[index].1.clone();
                self.measure.note_fault(now, &fault);
                let decisions = self.policy.fault(now, &fault);
                self.apply(now, decisions);
            }
            Happening::Refill => {
                self.refill(now);
                self.at(now + SAMPLE_INTERVAL, Happening::Refill);
            }
            Happening::Sample => {
                let totals = self.totals(now);
                self.measure.sample(now, &totals);
                self.at(now + SAMPLE_INTERVAL, Happening::Sample);
            }
        }
    }

    /// Refills the backlogs of backlogged customers, one request per customer at a time, so that no
    /// customer has an advantage at the start.
    fn refill(&mut self, now: Duration) {
        loop {
            let missing = (0..self.case.loads.len()).filter_map(|c| self.missing_at(now, c));
            let missing: Vec<(usize, usize)> = missing.collect();
            if missing.is_empty() {
                return;
            }
            for (customer, router) in missing {
                self.submit(now, customer, Some(router));
            }
        }
    }

    /// Returns the customer with the router that has its shortest backlog, if that backlog is not
    /// full.
    fn missing_at(&self, now: Duration, customer: usize) -> Option<(usize, usize)> {
        let load = &self.case.loads[customer];
        let depth = match load.arrivals {
            Arrivals::Backlogged { depth } => depth,
            Arrivals::BackloggedFrom { start } if now >= start => SHORT_DEPTH,
            Arrivals::RestsBetween { from, to } if now < from || now >= to => SHORT_DEPTH,
            _ => 0,
        };
        let waiting = |r: &usize| self.waiting.get(&(customer, *r)).copied().unwrap_or(0);
        let up = load
            .routers
            .iter()
            .copied()
            .filter(|r| self.policy.is_up(*r));
        let router = up.min_by_key(waiting)?;
        (waiting(&router) < depth).then_some((customer, router))
    }

    fn submit(&mut self, now: Duration, customer: usize, router: Option<usize>) {
        let load: &Load = &self.case.loads[customer];
        let router =
            router.unwrap_or_else(|| load.routers[self.rng.random_range(0..load.routers.len())]);
        let spread = (load.max_cost as f64 / load.min_cost as f64).ln();
        let cost = (load.min_cost as f64 * (spread * self.rng.random::<f64>()).exp()) as u64;
        let number = self.next_request;
        self.next_request += 1;
        let request = Request {
            customer,
            router,
            cost,
            arrived: now,
            running: None,
        };
        self.requests.insert(number, request);
        *self.waiting.entry((customer, router)).or_default() += 1;
        let offer = Offer {
            number,
            customer,
            name: self.deployment.shares[customer].0.clone(),
            router,
            limit: Tokens(load.hint.unwrap_or(load.max_cost)),
            is_quick: load.is_quick,
        };
        let (requests, rates) = (&self.requests, &self.rates);
        let decisions = self
            .policy
            .submit(now, offer, &|n| served(requests, rates, n, now));
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: Duration, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { number, target } => {
                    let request = &self.requests[&number];
                    let place = (request.customer, request.router);
                    *self.waiting.entry(place).or_default() -= 1;
                    if self.case.loads[request.customer].is_quick {
                        self.measure.note_quick_wait(now, request.arrived);
                    }
                    if self.running[target] < self.deployment.sites[target].slots as usize {
                        self.start(now, number, target);
                    } else {
                        self.queued[target].push_back(number);
                    }
                }
                Decision::Lost { number } => self.lose(now, number),
            }
        }
    }

    fn start(&mut self, now: Duration, number: usize, target: usize) {
        self.running[target] += 1;
        self.next += 1;
        let run = self.next;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.running = Some((target, now, run));
        let length = Duration::from_secs_f64(request.cost as f64 / self.rates[target]);
        self.at(now + length, Happening::Done { number, run });
    }

    /// Completes a request, unless the event belongs to an earlier execution.
    fn done(&mut self, now: Duration, number: usize, run: u64) {
        let Some(request) = self.requests.get(&number).cloned() else {
            return;
        };
        let Some((target, _, current)) = request.running else {
            return;
        };
        if current != run {
            return;
        }
        self.requests.remove(&number);
        self.ended[request.customer] += request.cost;
        self.free(now, target);
        let cost = Tokens(request.cost);
        let (requests, rates) = (&self.requests, &self.rates);
        let decisions = self
            .policy
            .finish(now, number, cost, &|n| served(requests, rates, n, now));
        self.apply(now, decisions);
    }

    fn free(&mut self, now: Duration, target: usize) {
        self.running[target] -= 1;
        if let Some(next) = self.queued[target].pop_front() {
            self.start(now, next, target);
        }
    }

    /// Handles a request that was lost with its router: the client resends it to another router of
    /// the same failure domain if there is one.
    fn lose(&mut self, now: Duration, number: usize) {
        let got = served(&self.requests, &self.rates, number, now);
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if let Some((target, _, _)) = request.running {
            self.ended[request.customer] += got.0;
            self.free(now, target);
        } else {
            self.queued
                .iter_mut()
                .for_each(|q| q.retain(|n| *n != number));
            let place = (request.customer, request.router);
            let waiting = self.waiting.entry(place).or_default();
            *waiting = waiting.saturating_sub(1);
        }
        let others = self
            .deployment
            .routers_in(&self.deployment.routers[request.router].1);
        let router = others
            .into_iter()
            .find(|r| *r != request.router)
            .unwrap_or(request.router);
        let customer = request.customer;
        self.at(now + CALLER_RETRY, Happening::Resubmit { customer, router });
    }

    fn totals(&self, now: Duration) -> Vec<f64> {
        let mut totals: Vec<f64> = self.ended.iter().map(|t| *t as f64).collect();
        for (number, request) in &self.requests {
            totals[request.customer] += served(&self.requests, &self.rates, *number, now).as_f64();
        }
        totals
    }

    /// Reports the idle slots and the waiting requests to the metrics.
    fn note_idle(&mut self, now: Duration) {
        let sites = self.deployment.sites.iter().zip(&self.running);
        let idle: Vec<(usize, usize)> = sites
            .enumerate()
            .map(|(i, (s, running))| (i, s.slots as usize - (*running).min(s.slots as usize)))
            .filter(|(_, idle)| *idle > 0)
            .collect();
        let waiting: Vec<(usize, usize)> = self
            .waiting
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|((_, r), n)| (*r, *n))
            .collect();
        self.measure
            .note_idle(now, self.deployment, &idle, &waiting);
    }
}

/// Returns the service that a request has received from its target.
fn served(
    requests: &BTreeMap<usize, Request>,
    rates: &[f64],
    number: usize,
    now: Duration,
) -> Tokens {
    let Some(request) = requests.get(&number) else {
        return Tokens(0);
    };
    let Some((target, since, _)) = request.running else {
        return Tokens(0);
    };
    let tokens = (now.saturating_sub(since).as_secs_f64() * rates[target]) as u64;
    Tokens(tokens.min(request.cost))
}
