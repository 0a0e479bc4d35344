//! The ways to share capacity that are compared.

pub mod fixed;
pub mod granted;
pub mod ideal;

use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::units::Tokens;

use super::case::Fault;

/// `Offer` is a request that a policy has to place.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Number of the request.
    pub number: usize,
    /// Number of its customer.
    pub customer: usize,
    /// Name of its customer.
    pub name: CustomerName,
    /// Number of the router that it waits at.
    pub router: usize,
    /// The most that its caller says it costs.
    pub limit: Tokens,
    /// Whether it is a quick one.
    pub is_quick: bool,
}

/// `Decision` is what a policy does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs on a target from now on.
    Start {
        /// The request.
        number: usize,
        /// The target.
        target: usize,
    },
    /// It is lost with its router.
    Lost {
        /// The request.
        number: usize,
    },
}

/// Tells how much service a running request has received.
pub type Progress<'a> = &'a dyn Fn(usize) -> Tokens;

/// `Policy` is one way to share capacity.
pub trait Policy {
    /// Its name in the results.
    fn name(&self) -> String;

    /// When it next has something to do by itself.
    fn wakes_at(&self) -> Option<Duration>;

    /// Lets it do what is due.
    fn advance(&mut self, now: Duration, progress: Progress) -> Vec<Decision>;

    /// A request has arrived.
    fn submit(&mut self, now: Duration, offer: Offer, progress: Progress) -> Vec<Decision>;

    /// A running request has ended, with what it cost.
    fn finish(
        &mut self,
        now: Duration,
        number: usize,
        cost: Tokens,
        progress: Progress,
    ) -> Vec<Decision>;

    /// Something goes wrong; policies without processes do not notice.
    fn fault(&mut self, _now: Duration, _fault: &Fault) -> Vec<Decision> {
        Vec::new()
    }

    /// Whether a router takes requests.
    fn is_up(&self, _router: usize) -> bool {
        true
    }

    /// Bytes and messages that were sent between routers.
    fn traffic(&self) -> (u64, u64) {
        (0, 0)
    }
}
