//! Queues of the requests that wait for a slot at one router.
//!
//! Invariants: a request is queued at most once; it leaves the queue by exactly one of grant,
//! refusal and withdrawal; the requests of a customer, except for retries, are limited by its
//! `max_waiting`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use samphiresill_contract::object::Priority;
use samphiresill_core::name::{CustomerName, RequestId, ServiceName};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;

use crate::message::Demand;

/// `SlotRequest` is a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifies the request.
    pub request: RequestId,
    /// The customer that the request is charged to.
    pub customer: CustomerName,
    /// The model or service that serves the request.
    pub service: ServiceName,
    /// Priority among the requests of the same customer.
    pub priority: Priority,
    /// Maximum cost as declared by the caller.
    pub limit: Tokens,
    /// Monotonic time after which the request must not be started.
    pub deadline: Duration,
    /// Whether an earlier attempt failed. Retries are queued ahead of the customer's other
    /// requests.
    pub is_retry: bool,
}

/// `QueuedRequest` is a request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub slot_request: SlotRequest,
    /// Estimated cost.
    pub estimate: Tokens,
    /// Monotonic time at which the request was queued.
    pub since: Duration,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    interactive: VecDeque<QueuedRequest>,
    batch: VecDeque<QueuedRequest>,
    consecutive_interactive: u32,
}

impl CustomerQueue {
    fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    fn is_batch_next(&self, max_consecutive_interactive: u32) -> bool {
        self.interactive.is_empty()
            || (self.consecutive_interactive >= max_consecutive_interactive
                && !self.batch.is_empty())
    }

    fn next(&self, max_consecutive_interactive: u32) -> Option<&QueuedRequest> {
        if self.is_batch_next(max_consecutive_interactive) {
            self.batch.front()
        } else {
            self.interactive.front()
        }
    }

    fn pop(&mut self, max_consecutive_interactive: u32) -> Option<QueuedRequest> {
        if self.is_batch_next(max_consecutive_interactive) {
            self.consecutive_interactive = 0;
            self.batch.pop_front()
        } else {
            self.consecutive_interactive += 1;
            self.interactive.pop_front()
        }
    }
}

/// `Queues` holds the waiting requests of one router, by service and customer.
#[derive(Clone, Debug)]
pub struct Queues {
    by_service: BTreeMap<ServiceName, BTreeMap<CustomerName, CustomerQueue>>,
    waiting: BTreeSet<RequestId>,
    max_consecutive_interactive: u32,
}

impl Queues {
    /// Creates empty queues that serve at most `max_consecutive_interactive` interactive requests
    /// in a row while a batch request waits.
    #[must_use]
    pub fn new(max_consecutive_interactive: u32) -> Self {
        Self {
            by_service: BTreeMap::new(),
            waiting: BTreeSet::new(),
            max_consecutive_interactive,
        }
    }

    /// Queues a request. Retries go to the front and are exempt from the limit.
    ///
    /// # Errors
    /// Returns `QueueFull` if the customer already has `max_waiting` requests queued for this
    /// service.
    ///
    /// # Panics
    /// Panics if the request is already queued.
    pub fn push(&mut self, waiting: QueuedRequest, max_waiting: u32) -> Result<(), Refusal> {
        let slot_request = &waiting.slot_request;
        let customers = self
            .by_service
            .entry(slot_request.service.clone())
            .or_default();
        let queue = customers.entry(slot_request.customer.clone()).or_default();
        if queue.len() >= max_waiting as usize && !slot_request.is_retry {
            return Err(Refusal::QueueFull);
        }
        let is_new = self.waiting.insert(slot_request.request.clone());
        assert!(is_new, "request {} is already queued", slot_request.request);
        let list = match slot_request.priority {
            Priority::Interactive => &mut queue.interactive,
            Priority::Batch => &mut queue.batch,
        };
        if slot_request.is_retry {
            list.push_front(waiting);
        } else {
            list.push_back(waiting);
        }
        Ok(())
    }

    /// Removes and returns the next request of a customer.
    ///
    /// # Panics
    /// Panics if the removed request is missing from the index of waiting requests.
    pub fn pop(&mut self, service: &ServiceName, customer: &CustomerName) -> Option<QueuedRequest> {
        let max_consecutive_interactive = self.max_consecutive_interactive;
        let queue = self.by_service.get_mut(service)?.get_mut(customer)?;
        let taken = queue.pop(max_consecutive_interactive)?;
        let was_waiting = self.waiting.remove(&taken.slot_request.request);
        assert!(
            was_waiting,
            "queued request {} is missing from the index",
            taken.slot_request.request
        );
        Some(taken)
    }

    /// Removes a request whose caller has disconnected. Returns `None` if it is not queued.
    pub fn withdraw(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        if !self.waiting.contains(request) {
            return None;
        }
        let mut taken = self.remove_where(|w| w.slot_request.request == *request);
        taken.pop()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        self.remove_where(|w| w.slot_request.deadline <= now)
    }

    /// Removes and returns the requests for a service that no target serves any more.
    pub fn remove_service(&mut self, service: &ServiceName) -> Vec<QueuedRequest> {
        self.remove_where(|w| w.slot_request.service == *service)
    }

    /// Returns the services for which requests are queued.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceName> {
        let waiting = self
            .by_service
            .iter()
            .filter(|(_, q)| q.values().any(|c| c.len() > 0));
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the number of queued requests of one customer for a service.
    #[must_use]
    pub fn waiting(&self, service: &ServiceName, customer: &CustomerName) -> u32 {
        let queue = self.by_service.get(service).and_then(|c| c.get(customer));
        queue.map_or(0, |q| q.len() as u32)
    }

    /// Returns the demand of one customer for a service.
    #[must_use]
    pub fn demand(&self, service: &ServiceName, customer: &CustomerName, now: Duration) -> Demand {
        let queue = self.by_service.get(service).and_then(|c| c.get(customer));
        let next = queue.and_then(|q| q.next(self.max_consecutive_interactive));
        Demand {
            customer: customer.clone(),
            waiting: queue.map_or(0, |q| q.len() as u32),
            estimate: next.map_or(Tokens(0), |w| w.estimate),
            waited_ms: next.map_or(0, |w| now.saturating_sub(w.since).as_millis() as u32),
        }
    }

    /// Returns the demand for a service, by customer.
    #[must_use]
    pub fn demands(&self, service: &ServiceName, now: Duration) -> Vec<Demand> {
        let customers = self.by_service.get(service).into_iter().flatten();
        let waiting = customers.filter(|(_, q)| q.len() > 0);
        waiting
            .map(|(customer, _)| self.demand(service, customer, now))
            .collect()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn remove_where(
        &mut self,
        should_remove: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self.by_service.values_mut().flat_map(BTreeMap::values_mut) {
            for list in [&mut queue.interactive, &mut queue.batch] {
                if list.iter().any(&should_remove) {
                    let (out, kept): (Vec<_>, Vec<_>) = list.drain(..).partition(&should_remove);
                    removed.extend(out);
                    list.extend(kept);
                }
            }
        }
        for customers in self.by_service.values_mut() {
            customers.retain(|_, q| q.len() > 0);
        }
        for waiting in &removed {
            self.waiting.remove(&waiting.slot_request.request);
        }
        removed
    }
}
