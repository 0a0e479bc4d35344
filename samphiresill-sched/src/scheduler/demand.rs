//! Demand of the receivers of grants, and the grants in flight to them, as tracked by a scheduler.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::units::Tokens;

use crate::message::RunId;

/// `PendingDemand` describes the waiting requests of one customer at one receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    /// Number of waiting requests, as last reported.
    pub waiting: u32,
    /// Estimated cost of the next request.
    pub estimate: Tokens,
    /// Time at which the next request began to wait, converted to the scheduler's monotonic clock.
    pub since: Duration,
}

#[derive(Clone, Debug)]
struct OnTheWay {
    order: u64,
    customer: CustomerName,
    sent_at: Duration,
}

/// `GrantReceiver` is a destination of grants: a router or the scheduler of another domain.
#[derive(Clone, Debug, Default)]
pub struct Receiver {
    wishes: BTreeMap<CustomerName, Wish>,
    on_the_way: VecDeque<OnTheWay>,
    next_order: u64,
}

impl Receiver {
    /// Replaces the demand of all customers.
    pub fn set_all(&mut self, wishes: BTreeMap<CustomerName, Wish>) {
        self.wishes = wishes;
    }

    /// Replaces the demand of one customer, and removes it if no request is waiting.
    pub fn set(&mut self, customer: &CustomerName, wish: Wish) {
        if wish.waiting == 0 {
            self.wishes.remove(customer);
        } else {
            self.wishes.insert(customer.clone(), wish);
        }
    }

    /// Clears all demand, when the receiver has stopped reporting or reports it anew.
    pub fn forget_wishes(&mut self) {
        self.wishes.clear();
    }

    /// Removes the demand of one customer until it is reported again.
    pub fn forget_wish(&mut self, customer: &CustomerName) {
        self.wishes.remove(customer);
    }

    /// Removes the grants that the receiver had received when it sent its latest message.
    pub fn note_seen(&mut self, run: RunId, seen: Option<(RunId, u64)>) {
        if let Some((seen_run, order)) = seen
            && seen_run == run
        {
            self.on_the_way.retain(|g| g.order > order);
        }
    }

    /// Removes the grants that have been in flight for longer than `lifetime` and are considered
    /// lost.
    pub fn forget_lost(&mut self, now: Duration, life: Duration) {
        while self
            .on_the_way
            .front()
            .is_some_and(|g| now > g.sent_at + life)
        {
            self.on_the_way.pop_front();
        }
    }

    /// Returns the number of waiting requests of a customer that have no grant in flight.
    #[must_use]
    pub fn unmet(&self, customer: &CustomerName) -> u32 {
        let Some(wish) = self.wishes.get(customer) else {
            return 0;
        };
        let coming = self
            .on_the_way
            .iter()
            .filter(|g| g.customer == *customer)
            .count();
        wish.waiting.saturating_sub(coming as u32)
    }

    /// Returns the customers with unmet requests, with their number and the demand.
    pub fn unmet_all(&self) -> impl Iterator<Item = (&CustomerName, u32, &Wish)> {
        let all = self.wishes.iter().map(|(c, wish)| (c, self.unmet(c), wish));
        all.filter(|(_, unmet, _)| *unmet > 0)
    }

    /// Returns the demand of one customer.
    #[must_use]
    pub fn wish(&self, customer: &CustomerName) -> Option<&Wish> {
        self.wishes.get(customer)
    }

    /// Records a grant that is sent now, and returns its sequence number.
    pub fn send(&mut self, now: Duration, customer: &CustomerName) -> u64 {
        self.next_order += 1;
        let order = self.next_order;
        self.on_the_way.push_back(OnTheWay {
            order,
            customer: customer.clone(),
            sent_at: now,
        });
        order
    }
}
