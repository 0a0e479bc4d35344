//! Demand of the receivers of grants, and the grants in flight to them, as tracked by a scheduler.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::units::Tokens;

use crate::message::SchedulerInstanceId;

/// `PendingDemand` describes the waiting requests of one customer at one receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingDemand {
    /// Number of waiting requests, as last reported.
    pub waiting: u32,
    /// Estimated cost of the next request.
    pub estimate: Tokens,
    /// Time at which the next request began to wait, converted to the scheduler's monotonic clock.
    pub since: Duration,
}

#[derive(Clone, Debug)]
struct InFlightGrant {
    order: u64,
    customer: CustomerName,
    sent_at: Duration,
}

/// `GrantReceiver` is a destination of grants: a router or the scheduler of another domain.
#[derive(Clone, Debug, Default)]
pub struct GrantReceiver {
    demand: BTreeMap<CustomerName, PendingDemand>,
    in_flight: VecDeque<InFlightGrant>,
    next_order: u64,
}

impl GrantReceiver {
    /// Replaces the demand of all customers.
    pub fn replace_demand(&mut self, demand: BTreeMap<CustomerName, PendingDemand>) {
        self.demand = demand;
    }

    /// Replaces the demand of one customer, and removes it if no request is waiting.
    pub fn update_demand(&mut self, customer: &CustomerName, pending: PendingDemand) {
        if pending.waiting == 0 {
            self.demand.remove(customer);
        } else {
            self.demand.insert(customer.clone(), pending);
        }
    }

    /// Clears all demand, when the receiver has stopped reporting or reports it anew.
    pub fn clear_demand(&mut self) {
        self.demand.clear();
    }

    /// Removes the demand of one customer until it is reported again.
    pub fn remove_demand(&mut self, customer: &CustomerName) {
        self.demand.remove(customer);
    }

    /// Removes the grants that the receiver had received when it sent its latest message.
    pub fn remove_received(
        &mut self,
        instance: SchedulerInstanceId,
        seen: Option<(SchedulerInstanceId, u64)>,
    ) {
        if let Some((seen_instance, order)) = seen
            && seen_instance == instance
        {
            self.in_flight.retain(|g| g.order > order);
        }
    }

    /// Removes the grants that have been in flight for longer than `lifetime` and are considered
    /// lost.
    pub fn expire_in_flight(&mut self, now: Duration, lifetime: Duration) {
        while self
            .in_flight
            .front()
            .is_some_and(|g| now > g.sent_at + lifetime)
        {
            self.in_flight.pop_front();
        }
    }

    /// Returns the number of waiting requests of a customer that have no grant in flight.
    #[must_use]
    pub fn unmet(&self, customer: &CustomerName) -> u32 {
        let Some(pending) = self.demand.get(customer) else {
            return 0;
        };
        let granted = self
            .in_flight
            .iter()
            .filter(|g| g.customer == *customer)
            .count();
        pending.waiting.saturating_sub(granted as u32)
    }

    /// Returns the customers with unmet requests, with their number and the demand.
    pub fn unmet_demand(&self) -> impl Iterator<Item = (&CustomerName, u32, &PendingDemand)> {
        let all = self
            .demand
            .iter()
            .map(|(c, pending)| (c, self.unmet(c), pending));
        all.filter(|(_, unmet, _)| *unmet > 0)
    }

    /// Returns the demand of one customer.
    #[must_use]
    pub fn demand(&self, customer: &CustomerName) -> Option<&PendingDemand> {
        self.demand.get(customer)
    }

    /// Records a grant that is sent now, and returns its sequence number.
    pub fn record_sent(&mut self, now: Duration, customer: &CustomerName) -> u64 {
        self.next_order += 1;
        let order = self.next_order;
        self.in_flight.push_back(InFlightGrant {
            order,
            customer: customer.clone(),
            sent_at: now,
        });
        order
    }
}
