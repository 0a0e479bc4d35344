//! The shared state of a gateway, and its life cycle from start to graceful shutdown.

mod stream_limit;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::StatusCode;
use samphiresill_attempt::budget::{self, RetryBudgets};
use samphiresill_core::clock::Clock;
use samphiresill_core::name::{DomainName, ServiceName};
use samphiresill_core::routing::TargetEntry;
use samphiresill_sched::fleet::load::FleetLoad;
use samphiresill_sched::fleet::overload::StreamLimiter;
use samphiresill_sched::fleet::quarantine::Notice;
use tokio::sync::watch;

use crate::body_budget::BodyBudget;
use crate::callers;
use crate::connection::pool::{self, Pool};
use crate::crash_probe::CrashProbes;
use crate::customer_log::{self, CustomerLog};
use crate::dialect::Dialect;
use crate::knowledge::{RoutingState, target_log};
use crate::log_budget::LogBudget;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::responder::{self, FullResponse};
use crate::settings::Settings;
use crate::supervisor::Supervisor;

/// Time from the stop signal until the load balancer sends no new connections: two failed health
/// checks, one second apart, and a margin.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// Time reserved to exit before the process would be killed: a VM with a tenth of a core took more
/// than 240 ms to close its connections and exit.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which a shutdown checks for remaining requests and connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the fleet's retry budget that is used, because routers do not count each other's
/// retries.
const RETRY_SAFETY_FACTOR: f64 = 0.8;

/// `Gateway` is the state that all requests of a process share.
pub struct Gateway {
    /// Current settings.
    pub settings: ArcSwap<Settings>,
    /// Source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Encodes and decodes the names on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// Configuration and directory of targets.
    pub routing_state: Arc<RoutingState>,
    /// Pool of connections to targets.
    pub target_pool: Pool,
    /// Pool of connections to peers.
    pub peer_pool: Pool,
    /// Failure domain of the VM that runs this gateway.
    pub domain: DomainName,
    /// Communication with the other gateways.
    pub peers: Arc<Peers>,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Rate limit of the log lines that requests write.
    pub log_budget: LogBudget,
    /// What customers have asked model engines for.
    pub customer_log: CustomerLog,
    /// Memory budget for buffered bodies.
    pub body_budget: BodyBudget,
    /// Probes of targets whose connections broke.
    pub crash_probes: CrashProbes,
    /// Runs the tasks that must not end.
    pub supervisor: Supervisor,
    /// Notified of each change of the quarantined prompt parts.
    pub quarantine_changed: watch::Sender<u64>,
    fleet_load: Mutex<FleetLoad>,
    stream_limiter: Mutex<StreamLimiter>,
    streams: Arc<AtomicUsize>,
    retry_budgets: Mutex<RetryBudgets<ServiceName>>,
    /// Number of routers in the fleet.
    router_count: AtomicUsize,
    is_stopping: AtomicBool,
    /// Monotonic time in milliseconds at which a planned stop ends; 0 while callers are accepted.
    drain_end_ms: AtomicU64,
    in_flight: Arc<AtomicUsize>,
}

/// `InFlightGuard` counts a request or a stream as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gateway {
    /// Creates a gateway. `instance_id` identifies this run of the process and differs after each
    /// start.
    ///
    /// # Errors
    /// When the metrics cannot be set up.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        routing_state: Arc<RoutingState>,
        peers: Arc<Peers>,
        instance_id: u64,
    ) -> anyhow::Result<Arc<Self>> {
        let metrics = Metrics::new()?;
        let mut fleet_load = FleetLoad::new(instance_id);
        if !settings.balances_load {
            fleet_load.disable_balance();
        }
        let gateway = Self {
            supervisor: Supervisor::new(Arc::clone(&clock), metrics.task_restarts()),
            domain: settings.domain.clone(),
            peers,
            body_budget: BodyBudget::new(settings.limits.memory_mb),
            settings: ArcSwap::from_pointee(settings),
            target_pool: Pool::new(Arc::clone(&clock)),
            peer_pool: Pool::new(Arc::clone(&clock)),
            metrics,
            log_budget: LogBudget::new(Arc::clone(&clock)),
            customer_log: CustomerLog::default(),
            clock,
            dialect,
            routing_state,
            crash_probes: CrashProbes::default(),
            quarantine_changed: watch::channel(0).0,
            fleet_load: Mutex::new(fleet_load),
            stream_limiter: Mutex::default(),
            streams: Arc::default(),
            retry_budgets: Mutex::default(),
            router_count: AtomicUsize::new(1),
            is_stopping: AtomicBool::new(false),
            drain_end_ms: AtomicU64::new(0),
            in_flight: Arc::default(),
        };
        gateway.update_retry_budgets();
        Ok(Arc::new(gateway))
    }

    /// Locks the fleet load. The lock is held for one decision, never across I/O.
    pub fn fleet_load(&self) -> MutexGuard<'_, FleetLoad> {
        self.fleet_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a notice about a quarantined prompt part from `source`.
    pub fn apply_notice(&self, notice: Notice, source: &str, now: Duration) {
        if self.fleet_load().apply_notice(notice, now) {
            let part = format!("{:x}", notice.part);
            log::info!(
                part, source, revision = notice.revision, is_lifted = notice.is_lifted,
                remaining_s = notice.remaining.as_secs();
                "quarantine of a prompt part received"
            );
        }
    }

    /// Counts a request as in flight until the value is dropped.
    #[must_use]
    pub fn begin_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.in_flight))
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether a request with this deadline may be sent to a target: while a planned stop drains, only
    /// one that ends before the process does.
    #[must_use]
    pub fn allows_run_until(&self, deadline: Duration) -> bool {
        let drain_end = self.drain_end_ms.load(Ordering::Acquire);
        drain_end == 0 || deadline <= Duration::from_millis(drain_end)
    }

    /// Whether the load balancer should route callers to this gateway.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.routing_state.table().is_some()
            && self.supervisor.is_complete()
            && !self
                .stream_limiter()
                .is_out_of_rotation(self.clock.monotonic())
    }

    /// Responds to a health check of the load balancer: 200 while ready, 503 otherwise.
    fn readiness(&self) -> FullResponse {
        responder::empty(if self.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    /// Credits the retry budget of a service for a request that is not a retry.
    pub fn deposit_retries(&self, service: &ServiceName) {
        self.retry_budgets().deposit(service);
    }

    /// Takes a retry from the budget of a service. Returns false when the budget is exhausted.
    #[must_use]
    pub fn try_withdraw_retry(&self, service: &ServiceName) -> bool {
        self.retry_budgets().try_withdraw(service)
    }

    /// Sets the number of routers in the fleet, which share its retry budget and the connections
    /// that targets accept.
    pub fn set_router_count(&self, routers: usize) {
        let routers = routers.max(1);
        if self.router_count.swap(routers, Ordering::Relaxed) != routers {
            self.update_retry_budgets();
            self.update_idle_limits(&self.routing_state.targets());
        }
    }

    /// Divides the idle connections that targets allow among the routers of the fleet.
    fn update_idle_limits(&self, targets: &[TargetEntry]) {
        if let Some(table) = self.routing_state.table() {
            let routers = self.router_count.load(Ordering::Relaxed);
            let max_idle = pool::idle_limits(targets, &table, routers);
            self.target_pool.set_max_idle(max_idle);
        }
    }

    fn update_retry_budgets(&self) {
        let routers = self.router_count.load(Ordering::Relaxed);
        let bounds = self.settings.load().bounds;
        let opts = budget::Options {
            deposit_per_request: bounds.retry_ratio * RETRY_SAFETY_FACTOR,
            max_balance: bounds.retry_slack * RETRY_SAFETY_FACTOR / routers as f64,
        };
        self.retry_budgets().set_options(opts);
    }

    fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets<ServiceName>> {
        self.retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changed settings. Changed addresses take effect only after a restart.
    pub fn reload(&self, settings: Settings) {
        if **self.settings.load() == settings {
            return;
        }
        self.settings.store(Arc::new(settings));
        self.update_retry_budgets();
        log::info!("settings reloaded");
    }

    /// Serves until `stop` completes, then drains the requests in flight until the stop deadline.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn run(self: Arc<Self>, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let settings = self.settings.load_full();
        self.peers.start(&self).await?;
        let probed = Arc::clone(&self);
        let readiness = move |_: &_| probed.readiness();
        responder::start(settings.listen.readiness, "checks", readiness).await?;
        let scraped = Arc::clone(&self);
        let metrics = move |_: &_| scraped.metrics.scrape();
        responder::start(settings.listen.metrics, "metrics", metrics).await?;
        let callers = callers::start(settings.listen.callers, Arc::clone(&self)).await?;
        self.supervise("state changes", Self::apply_state_changes);
        self.supervise("idle connections", Self::sweep_idle_connections);
        self.supervise("stream limit", Self::adapt_stream_limit);
        self.supervise("customer log", Self::log_customers);
        log::info!(vm:% = settings.vm, domain:% = settings.domain; "started");
        stop.await;
        log::info!(in_flight = self.in_flight(); "stopping");
        let stop_requested_at = self.clock.monotonic();
        // Read now, because the grace may have changed since the start.
        let grace = self.settings.load().bounds.stop_grace();
        self.is_stopping.store(true, Ordering::Release);
        self.peers.announce_leaving();
        tokio::time::sleep(DEREGISTRATION_DELAY.min(grace / 2)).await;
        let deadline = stop_requested_at + grace.saturating_sub(EXIT_MARGIN);
        let drain_end_ms = deadline.as_millis().max(1) as u64;
        self.drain_end_ms.store(drain_end_ms, Ordering::Release);
        callers.close();
        while (self.in_flight() > 0 || callers.connections() > 0)
            && self.clock.monotonic() < deadline
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!(in_flight = self.in_flight(); "stopped");
        Ok(())
    }

    /// Runs a task of this gateway that must not end.
    fn supervise<F>(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Fn(Arc<Self>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let gateway = Arc::clone(self);
        self.supervisor
            .run(name, move || task(Arc::clone(&gateway)));
    }

    /// Applies each change of the configuration, the targets and the evacuations to the fleet load.
    async fn apply_state_changes(self: Arc<Self>) {
        let mut changes = self.routing_state.subscribe();
        let mut known = BTreeMap::new();
        loop {
            // Set before the targets, so that none of an evacuated failure domain gets a request.
            let evacuated = self.routing_state.evacuated();
            self.metrics.record_evacuated_domains(evacuated.len());
            let now = self.clock.monotonic();
            self.fleet_load().set_evacuated(evacuated, now);
            if let Some(table) = self.routing_state.table() {
                let targets = self.routing_state.targets();
                target_log::log_changes(&mut known, &targets);
                self.fleet_load().set_targets(&targets, &table);
                self.metrics
                    .record_routing_state(table.revision, targets.len());
                self.update_idle_limits(&targets);
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    async fn log_customers(self: Arc<Self>) {
        loop {
            tokio::time::sleep(customer_log::SUMMARY_INTERVAL).await;
            self.customer_log.log_summary();
        }
    }

    async fn sweep_idle_connections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
            self.target_pool.retain(|_| true);
            self.peer_pool.retain(|_| true);
        }
    }
}
