//! Capacity-sharing policies that the experiment compares.

pub mod fixed;
pub mod granted;
pub mod ideal;

use std::time::Duration;

use samphiresill_core::name::CustomerName;
use samphiresill_core::units::Tokens;

use super::case::Fault;

/// `PendingRequest` is a request that a policy has to schedule.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Identifies the request.
    pub request_id: usize,
    /// Index of the customer in the deployment.
    pub customer: usize,
    /// Name of the customer.
    pub customer_name: CustomerName,
    /// Index of the router that received the request.
    pub router: usize,
    /// Cost limit declared by the client.
    pub cost_limit: Tokens,
    /// Whether the request has interactive priority.
    pub is_interactive: bool,
}

/// `Decision` is what a policy decides about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to a target now.
    Start {
        /// Identifies the request.
        request_id: usize,
        /// Index of the target in the deployment.
        target: usize,
    },
    /// The request is lost because its router is down.
    Lost {
        /// Identifies the request.
        request_id: usize,
    },
}

/// `ProgressFn` returns the service that a running request has received so far.
pub type ProgressFn<'a> = &'a dyn Fn(usize) -> Tokens;

/// `Policy` is a capacity-sharing policy.
pub trait Policy {
    /// Returns the name of the policy in the results.
    fn name(&self) -> String;

    /// Returns the time of the next event of the policy itself, if any.
    fn next_event_at(&self) -> Option<Duration>;

    /// Processes the events of the policy that are due at `now`.
    fn advance(&mut self, now: Duration, progress: ProgressFn) -> Vec<Decision>;

    /// Handles the arrival of a request.
    fn submit(
        &mut self,
        now: Duration,
        request: PendingRequest,
        progress: ProgressFn,
    ) -> Vec<Decision>;

    /// Handles the end of a running request, with its actual cost.
    fn finish(
        &mut self,
        now: Duration,
        request_id: usize,
        cost: Tokens,
        progress: ProgressFn,
    ) -> Vec<Decision>;

    /// Injects a fault. Policies that do not simulate router processes ignore it.
    fn inject_fault(&mut self, _now: Duration, _fault: &Fault) -> Vec<Decision> {
        Vec::new()
    }

    /// Returns whether a router accepts requests.
    fn is_router_up(&self, _router: usize) -> bool {
        true
    }

    /// Returns the number of bytes and of messages sent between routers.
    fn control_traffic(&self) -> (u64, u64) {
        (0, 0)
    }
}
