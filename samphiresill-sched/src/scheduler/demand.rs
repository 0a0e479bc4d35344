//! What a scheduler knows of the requests that wait elsewhere, and of its grants on their way.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::units::Tokens;

use crate::message::RunId;

/// `Wish` is what waits for one customer at one receiver of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    /// Requests that wait, as last told.
    pub waiting: u32,
    /// Expected cost of the next one.
    pub estimate: Tokens,
    /// Monotonic time of the scheduler at which the next one began to wait, as told.
    pub since: Duration,
}

#[derive(Clone, Debug)]
struct OnTheWay {
    order: u64,
    customer: CustomerName,
    sent_at: Duration,
}

/// `Receiver` is a router, or the scheduler of another domain, that grants go to.
#[derive(Clone, Debug, Default)]
pub struct Receiver {
    wishes: BTreeMap<CustomerName, Wish>,
    on_the_way: VecDeque<OnTheWay>,
    next_order: u64,
}

impl Receiver {
    /// Replaces all wishes.
    pub fn set_all(&mut self, wishes: BTreeMap<CustomerName, Wish>) {
        self.wishes = wishes;
    }

    /// Replaces the wish of one customer; one with nothing waiting is forgotten.
    pub fn set(&mut self, customer: &CustomerName, wish: Wish) {
        if wish.waiting == 0 {
            self.wishes.remove(customer);
        } else {
            self.wishes.insert(customer.clone(), wish);
        }
    }

    /// Forgets what waits, when the receiver is not heard any more.
    pub fn forget_wishes(&mut self) {
        self.wishes.clear();
    }

    /// Forgets what waits for one customer until it is told anew.
    pub fn forget_wish(&mut self, customer: &CustomerName) {
        self.wishes.remove(customer);
    }

    /// Notes which grants had arrived when the receiver last wrote.
    pub fn note_seen(&mut self, run: RunId, seen: Option<(RunId, u64)>) {
        if let Some((seen_run, order)) = seen
            && seen_run == run
        {
            self.on_the_way.retain(|g| g.order > order);
        }
    }

    /// Forgets grants that were lost on the way.
    pub fn forget_lost(&mut self, now: Duration, life: Duration) {
        while self
            .on_the_way
            .front()
            .is_some_and(|g| now > g.sent_at + life)
        {
            self.on_the_way.pop_front();
        }
    }

    /// Requests of a customer that wait and have no grant on the way.
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

    /// The customers with unmet requests, with the count and the wish.
    pub fn unmet_all(&self) -> impl Iterator<Item = (&CustomerName, u32, &Wish)> {
        let all = self.wishes.iter().map(|(c, wish)| (c, self.unmet(c), wish));
        all.filter(|(_, unmet, _)| *unmet > 0)
    }

    /// The wish of one customer.
    #[must_use]
    pub fn wish(&self, customer: &CustomerName) -> Option<&Wish> {
        self.wishes.get(customer)
    }

    /// Numbers a grant that is sent now.
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
