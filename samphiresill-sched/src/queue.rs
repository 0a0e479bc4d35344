//! The requests that wait at one router.
//!
//! Invariants: a request waits at most once; it leaves by exactly one of grant, refusal and
//! withdrawal; no customer has more waiting than its limit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::{CustomerName, RequestId, ServiceName};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;

use crate::message::Demand;

/// `Work` is a request as far as capacity is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Identifies the request.
    pub request: RequestId,
    /// Who pays for it.
    pub customer: CustomerName,
    /// The model or service that it needs.
    pub work: ServiceName,
    /// Its rank among the customer's own requests.
    pub urgency: Priority,
    /// The most that it can cost, as its caller says.
    pub limit: Tokens,
    /// Monotonic time after which it is not started any more.
    pub deadline: Duration,
    /// Whether an earlier attempt failed, so that it goes before the customer's other requests.
    pub is_retry: bool,
}

/// `Waiting` is a request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub work: Work,
    /// Its expected cost.
    pub estimate: Tokens,
    /// Monotonic time at which it began to wait.
    pub since: Duration,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    quick: VecDeque<Waiting>,
    patient: VecDeque<Waiting>,
    quick_in_a_row: u32,
}

impl CustomerQueue {
    fn len(&self) -> usize {
        self.quick.len() + self.patient.len()
    }

    fn takes_patient(&self, quick_in_a_row: u32) -> bool {
        self.quick.is_empty() || (self.quick_in_a_row >= quick_in_a_row && !self.patient.is_empty())
    }

    fn next(&self, quick_in_a_row: u32) -> Option<&Waiting> {
        if self.takes_patient(quick_in_a_row) {
            self.patient.front()
        } else {
            self.quick.front()
        }
    }

    fn pop(&mut self, quick_in_a_row: u32) -> Option<Waiting> {
        if self.takes_patient(quick_in_a_row) {
            self.quick_in_a_row = 0;
            self.patient.pop_front()
        } else {
            self.quick_in_a_row += 1;
            self.quick.pop_front()
        }
    }
}

/// `Queues` hold what waits at one router, by work and customer.
#[derive(Clone, Debug)]
pub struct Queues {
    by_work: BTreeMap<ServiceName, BTreeMap<CustomerName, CustomerQueue>>,
    waiting: BTreeSet<RequestId>,
    quick_in_a_row: u32,
}

impl Queues {
    /// Makes empty queues that prefer quick requests up to `quick_in_a_row` times.
    #[must_use]
    pub fn new(quick_in_a_row: u32) -> Self {
        Self {
            by_work: BTreeMap::new(),
            waiting: BTreeSet::new(),
            quick_in_a_row,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    /// `QueueFull` when the customer has `max_waiting` requests of this work waiting.
    ///
    /// # Panics
    /// When the request waits already: "a request waits at most once".
    pub fn push(&mut self, waiting: Waiting, max_waiting: u32) -> Result<(), Refusal> {
        let work = &waiting.work;
        let customers = self.by_work.entry(work.work.clone()).or_default();
        let queue = customers.entry(work.customer.clone()).or_default();
        if queue.len() >= max_waiting as usize && !work.is_retry {
            return Err(Refusal::QueueFull);
        }
        let is_new = self.waiting.insert(work.request.clone());
        assert!(is_new, "a request waits at most once: {}", work.request);
        let line = match work.urgency {
            Priority::Interactive => &mut queue.quick,
            Priority::Batch => &mut queue.patient,
        };
        if work.is_retry {
            line.push_front(waiting);
        } else {
            line.push_back(waiting);
        }
        Ok(())
    }

    /// Takes the next request of a customer.
    ///
    /// # Panics
    /// When a queued request is not known to wait: "a request leaves its queue once".
    pub fn pop(&mut self, work: &ServiceName, customer: &CustomerName) -> Option<Waiting> {
        let quick_in_a_row = self.quick_in_a_row;
        let queue = self.by_work.get_mut(work)?.get_mut(customer)?;
        let taken = queue.pop(quick_in_a_row)?;
        let was_waiting = self.waiting.remove(&taken.work.request);
        assert!(
            was_waiting,
            "a request leaves its queue once: {}",
            taken.work.request
        );
        Some(taken)
    }

    /// Removes a request whose caller is gone; nothing when it does not wait.
    pub fn withdraw(&mut self, request: &RequestId) -> Option<Waiting> {
        if !self.waiting.contains(request) {
            return None;
        }
        let mut taken = self.remove_where(|w| w.work.request == *request);
        taken.pop()
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        self.remove_where(|w| w.work.deadline <= now)
    }

    /// Removes the requests for a work, when no target serves it any more.
    pub fn remove_work(&mut self, work: &ServiceName) -> Vec<Waiting> {
        self.remove_where(|w| w.work.work == *work)
    }

    /// The works that requests wait for.
    #[must_use]
    pub fn works(&self) -> Vec<ServiceName> {
        let waiting = self
            .by_work
            .iter()
            .filter(|(_, q)| q.values().any(|c| c.len() > 0));
        waiting.map(|(work, _)| work.clone()).collect()
    }

    /// Requests of one customer that wait for a work.
    #[must_use]
    pub fn waiting(&self, work: &ServiceName, customer: &CustomerName) -> u32 {
        let queue = self.by_work.get(work).and_then(|c| c.get(customer));
        queue.map_or(0, |q| q.len() as u32)
    }

    /// What waits for one customer and work.
    #[must_use]
    pub fn demand(&self, work: &ServiceName, customer: &CustomerName, now: Duration) -> Demand {
        let queue = self.by_work.get(work).and_then(|c| c.get(customer));
        let next = queue.and_then(|q| q.next(self.quick_in_a_row));
        Demand {
            customer: customer.clone(),
            waiting: queue.map_or(0, |q| q.len() as u32),
            estimate: next.map_or(Tokens(0), |w| w.estimate),
            waited_ms: next.map_or(0, |w| now.saturating_sub(w.since).as_millis() as u32),
        }
    }

    /// What waits for one work, by customer.
    #[must_use]
    pub fn demands(&self, work: &ServiceName, now: Duration) -> Vec<Demand> {
        let customers = self.by_work.get(work).into_iter().flatten();
        let waiting = customers.filter(|(_, q)| q.len() > 0);
        waiting
            .map(|(customer, _)| self.demand(work, customer, now))
            .collect()
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn remove_where(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for queue in self.by_work.values_mut().flat_map(BTreeMap::values_mut) {
            for line in [&mut queue.quick, &mut queue.patient] {
                if line.iter().any(&gone) {
                    let (out, kept): (Vec<_>, Vec<_>) = line.drain(..).partition(&gone);
                    removed.extend(out);
                    line.extend(kept);
                }
            }
        }
        for customers in self.by_work.values_mut() {
            customers.retain(|_, q| q.len() > 0);
        }
        for waiting in &removed {
            self.waiting.remove(&waiting.work.request);
        }
        removed
    }
}
