//! State of a router that is shared by all requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::Deref;
use samphiresill_attempt::attempt::AttemptId;
use samphiresill_attempt::budget::RetryBudgets;
use samphiresill_attempt::failure::FailurePoint;
use samphiresill_core::clock::Clock;
use samphiresill_core::name::{CustomerName, DomainName, RequestId, TargetName, VmName};
use samphiresill_platform::table::Table;
use samphiresill_sched::queue::SlotRequest;
use samphiresill_sched::topology::Topology;
use tokio::runtime::Handle;

use crate::config::Config;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// `RequestRetryBudgets` are the retry budgets of customers and targets.
#[derive(Default)]
struct RequestRetryBudgets {
    customers: RetryBudgets<CustomerName>,
    targets: RetryBudgets<TargetName>,
}

/// `Components` are the parts that a router consists of.
pub struct Components {
    /// Settings of this router.
    pub settings: Settings,
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Handle of the thread that decides on capacity.
    pub dispatcher: Dispatcher,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// Runtime for tasks and blocking calls.
    pub runtime: Handle,
    /// Metrics for operators.
    pub metrics: Arc<Metrics>,
    /// Start time of the process in Unix milliseconds, which increases with each restart.
    pub incarnation: u64,
}

/// `Shared` contains the components of a router, its retry budgets and its request counters.
#[derive(Deref)]
pub struct Shared {
    #[deref]
    components: Components,
    retries: Mutex<RequestRetryBudgets>,
    next_request: AtomicU64,
    is_stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// `InFlightGuard` counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Creates the state of a router that has not served a request yet.
    #[must_use]
    pub fn new(components: Components) -> Self {
        Self {
            components,
            retries: Mutex::default(),
            next_request: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Returns a new request ID, unique across all routers and their restarts.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.settings.vm, self.incarnation).into()
    }

    /// Returns the address of a target, if it is in the configuration.
    #[must_use]
    pub fn address_of(&self, target: &TargetName) -> Option<SocketAddr> {
        self.config
            .current()
            .document
            .targets
            .get(target)
            .map(|t| t.address)
    }

    /// Returns whether the router accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Acquire) && self.config.current().revision > 0
    }

    /// Returns whether shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Passes the configuration in force and the given members on to the dispatcher.
    pub fn publish_topology(&self, members: &BTreeMap<VmName, DomainName>) {
        let snapshot = self.config.current();
        let topology = Topology::new(&snapshot.document, members.clone());
        self.dispatcher.set_topology(Arc::new(topology));
    }

    /// Begins shutdown: new requests are refused from now on.
    pub fn begin_shutdown(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Counts a request as in flight. Returns `None` if the limit of connections is reached.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> Option<InFlightGuard> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlightGuard(Arc::clone(self));
        (before < self.settings.limits.connections).then_some(guard)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Credits the customer's retry budget for a first attempt.
    pub fn deposit_retries(&self, customer: &CustomerName) {
        self.with_budgets(|r| r.customers.deposit(customer));
    }

    /// Takes a retry from the budgets of a customer and a target; false if either is exhausted.
    pub fn try_withdraw_retry(&self, customer: &CustomerName, target: &TargetName) -> bool {
        self.with_budgets(|r| {
            let has_retries = r.customers.has_retry(customer) && r.targets.has_retry(target);
            has_retries && r.customers.try_withdraw(customer) && r.targets.try_withdraw(target)
        })
    }

    /// Credits the target's retry budget and logs the start of an attempt.
    pub fn record_attempt(
        &self,
        attempt: &AttemptId,
        slot_request: &SlotRequest,
        target: &TargetName,
    ) {
        self.with_budgets(|r| r.targets.deposit(target));
        log::info!(
            request:% = slot_request.request, customer:% = slot_request.customer,
            target:%, attempt:%;
            "attempt"
        );
    }

    /// Counts and logs the resumption of a stream.
    pub fn record_resume(
        &self,
        attempt: &AttemptId,
        slot_request: &SlotRequest,
        target: &TargetName,
        point: FailurePoint,
    ) {
        self.metrics.record_resume();
        log::info!(
            request:% = slot_request.request, customer:% = slot_request.customer,
            target:%, attempt:%, point:%;
            "resume"
        );
    }

    fn with_budgets<T>(&self, update: impl FnOnce(&mut RequestRetryBudgets) -> T) -> T {
        update(&mut self.retries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
