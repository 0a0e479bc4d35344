//! What every request of a router shares.

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

/// `Retries` are the retry budgets of customers and targets.
#[derive(Default)]
struct Retries {
    customers: RetryBudgets<CustomerName>,
    targets: RetryBudgets<TargetName>,
}

/// `Parts` are what a router is put together from.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The capacity decisions.
    pub dispatcher: Dispatcher,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// Threads and tasks.
    pub runtime: Handle,
    /// Counters for operators.
    pub metrics: Arc<Metrics>,
    /// Grows with each start of the process.
    pub incarnation: u64,
}

/// `Shared` is one router's state that all requests use: its parts, and counts of its own.
#[derive(Deref)]
pub struct Shared {
    #[deref]
    parts: Parts,
    retries: Mutex<Retries>,
    next_request: AtomicU64,
    is_stopping: AtomicBool,
    at_work: AtomicUsize,
}

/// `AtWork` counts a request as long as it is held.
pub struct AtWork(Arc<Shared>);

impl Drop for AtWork {
    fn drop(&mut self) {
        self.0.at_work.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Puts the parts together.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            retries: Mutex::default(),
            next_request: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
            at_work: AtomicUsize::new(0),
        }
    }

    /// A name for a new request, unique over all routers and their lives.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.settings.vm, self.incarnation).into()
    }

    /// Where a target is reached; nothing when the configuration does not have it.
    #[must_use]
    pub fn address_of(&self, target: &TargetName) -> Option<SocketAddr> {
        self.config
            .current()
            .document
            .targets
            .get(target)
            .map(|t| t.address)
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Acquire) && self.config.current().revision > 0
    }

    /// Whether the router is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Tells the capacity decisions of the configuration in force and of the members.
    pub fn publish_topology(&self, members: &BTreeMap<VmName, DomainName>) {
        let snapshot = self.config.current();
        let topology = Topology::new(&snapshot.document, members.clone());
        self.dispatcher.set_topology(Arc::new(topology));
    }

    /// Takes no new requests from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Counts a request that is at work; nothing when as many are as may be.
    #[must_use]
    pub fn begin_work(self: &Arc<Self>) -> Option<AtWork> {
        let before = self.at_work.fetch_add(1, Ordering::AcqRel);
        let guard = AtWork(Arc::clone(self));
        (before < self.settings.limits.connections).then_some(guard)
    }

    /// Requests that are at work.
    #[must_use]
    pub fn at_work(&self) -> usize {
        self.at_work.load(Ordering::Acquire)
    }

    /// Counts an ordinary request towards its customer's retries.
    pub fn earn_retries(&self, customer: &CustomerName) {
        self.with_retries(|r| r.customers.deposit(customer));
    }

    /// Spends a retry of a customer and a target; false when either has none left.
    pub fn spend_retry(&self, customer: &CustomerName, target: &TargetName) -> bool {
        self.with_retries(|r| {
            let is_left = r.customers.has_retry(customer) && r.targets.has_retry(target);
            is_left && r.customers.try_withdraw(customer) && r.targets.try_withdraw(target)
        })
    }

    /// Records that an attempt begins.
    pub fn record_attempt(&self, attempt: &AttemptId, work: &SlotRequest, target: &TargetName) {
        self.with_retries(|r| r.targets.deposit(target));
        log::info!(
            request:% = work.request, customer:% = work.customer, target:%, attempt:%;
            "attempt"
        );
    }

    /// Records that a stream is resumed.
    pub fn record_resume(
        &self,
        attempt: &AttemptId,
        work: &SlotRequest,
        target: &TargetName,
        point: FailurePoint,
    ) {
        self.metrics.resumed();
        log::info!(
            request:% = work.request, customer:% = work.customer, target:%, attempt:%, point:%;
            "resume"
        );
    }

    fn with_retries<T>(&self, act: impl FnOnce(&mut Retries) -> T) -> T {
        act(&mut self.retries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
