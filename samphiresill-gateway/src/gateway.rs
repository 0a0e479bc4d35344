//! One gateway, put together from its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::StatusCode;
use samphiresill_attempt::budget::{self, Budgets};
use samphiresill_core::clock::Clock;
use samphiresill_core::name::{DomainName, ServiceName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry, TargetState};
use samphiresill_sched::fleet::account::Account;
use samphiresill_sched::fleet::overload::Overload;

use crate::body_budget::BodyBudget;
use crate::callers;
use crate::connection::pool::Pool;
use crate::dialect::Dialect;
use crate::knowledge::Knowledge;
use crate::log_budget::LogBudget;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::responder::{self, Answer};
use crate::settings::Settings;

/// Time from the signal to stop until the balancer sends no new connections: two failed checks,
/// a second apart, and a margin.
const LEAVE_ROTATION: Duration = Duration::from_millis(2_600);
/// Margin before the process would be killed: a VM with a tenth of a core took more than 240 ms to
/// close its connections and exit.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Pause between looks at what is still at work during a stop.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Pause between sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);
/// Pause between looks at the lateness of timers.
const LAG_CHECK: Duration = Duration::from_millis(50);
/// Part of the fleet's retry allowance that is used: routers do not count each other's retries.
const RETRY_SAFETY: f64 = 0.8;

/// `Gateway` is what all requests of a process share.
pub struct Gateway {
    /// The settings in force.
    pub settings: ArcSwap<Settings>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The names on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// Configuration and targets.
    pub knowledge: Arc<Knowledge>,
    /// Connections to targets.
    pub targets: Pool,
    /// Connections to peers.
    pub calls: Pool,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Other gateways.
    pub peers: Arc<Peers>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bound on lines in the log.
    pub lines: LogBudget,
    /// Bound on the memory of bodies.
    pub bodies: BodyBudget,
    account: Mutex<Account>,
    overload: Mutex<Overload>,
    streams: Arc<AtomicUsize>,
    retries: Mutex<Budgets<ServiceName>>,
    /// Routers in the fleet.
    routers: AtomicUsize,
    is_stopping: AtomicBool,
    in_flight: Arc<AtomicUsize>,
}

/// `InFlight` counts a request until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gateway {
    /// Puts a gateway together; `origin` is new with each start of the process.
    ///
    /// # Errors
    /// When the metrics cannot be set up.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        dialect: Arc<dyn Dialect>,
        knowledge: Arc<Knowledge>,
        peers: Arc<Peers>,
        origin: u64,
    ) -> anyhow::Result<Arc<Self>> {
        let gateway = Self {
            domain: settings.domain.clone(),
            peers,
            bodies: BodyBudget::new(settings.limits.memory_mb),
            settings: ArcSwap::from_pointee(settings),
            targets: Pool::new(Arc::clone(&clock)),
            calls: Pool::new(Arc::clone(&clock)),
            metrics: Metrics::new()?,
            lines: LogBudget::new(Arc::clone(&clock)),
            clock,
            dialect,
            knowledge,
            account: Mutex::new(Account::new(origin)),
            overload: Mutex::default(),
            streams: Arc::default(),
            retries: Mutex::default(),
            routers: AtomicUsize::new(1),
            is_stopping: AtomicBool::new(false),
            in_flight: Arc::default(),
        };
        gateway.size_retries();
        Ok(Arc::new(gateway))
    }

    /// The account of the fleet's load; locked for one decision, never across I/O.
    pub fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as in flight until the value is dropped.
    #[must_use]
    pub fn begin_request(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(Arc::clone(&self.in_flight))
    }

    /// Counts a stream until the value is dropped; nothing when the stream limit is reached.
    #[must_use]
    pub fn begin_stream(&self) -> Option<InFlight> {
        let streams = self.streams.load(Ordering::Acquire);
        let now = self.clock.monotonic();
        if !self.overload().admits(streams, now) {
            return None;
        }
        self.streams.fetch_add(1, Ordering::AcqRel);
        Some(InFlight(Arc::clone(&self.streams)))
    }

    fn overload(&self) -> MutexGuard<'_, Overload> {
        self.overload.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Learns from late timers how many streams the processor can relay.
    async fn watch_overload(self: Arc<Self>) {
        let mut was_out = false;
        loop {
            let due = self.clock.monotonic() + LAG_CHECK;
            tokio::time::sleep(LAG_CHECK).await;
            let lag = self.clock.monotonic().saturating_sub(due);
            let streams = self.streams.load(Ordering::Acquire);
            let mut overload = self.overload();
            overload.observe(lag, streams);
            self.metrics.streams(streams, overload.limit());
            let is_out_of_rotation = overload.is_out_of_rotation(self.clock.monotonic());
            if is_out_of_rotation != was_out {
                log::warn!(
                    is_out_of_rotation, streams, limit = overload.limit(), lag_ms = lag.as_millis() as u64;
                    "processor overloaded, out of the balancer's rotation"
                );
            }
            was_out = is_out_of_rotation;
        }
    }

    /// Requests that are in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Acquire)
            && self.knowledge.table().is_some()
            && !self.overload().is_out_of_rotation(self.clock.monotonic())
    }

    /// Answers the balancer: 200 while callers should be sent here, 503 otherwise.
    fn check(&self) -> Answer {
        responder::empty(if self.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    /// Counts an ordinary request of a service, which earns a part of a retry.
    pub fn earn_retries(&self, service: &ServiceName) {
        self.retries().earn(service);
    }

    /// Spends a retry of a service; false when none is left.
    #[must_use]
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.retries().spend(service)
    }

    /// Takes the number of routers in the fleet, which share its allowance of retries and the
    /// connections that targets accept.
    pub fn set_routers(&self, routers: usize) {
        let routers = routers.max(1);
        if self.routers.swap(routers, Ordering::Relaxed) != routers {
            self.size_retries();
            self.size_idle(&self.knowledge.targets());
        }
    }

    /// Divides the idle connections that targets allow among the routers.
    fn size_idle(&self, targets: &[TargetEntry]) {
        if let Some(table) = self.knowledge.table() {
            let routers = self.routers.load(Ordering::Relaxed);
            let max_idle = max_idle(targets, &table, routers);
            self.targets.set_max_idle(max_idle);
        }
    }

    fn size_retries(&self) {
        let routers = self.routers.load(Ordering::Relaxed);
        let bounds = self.settings.load().bounds;
        let opts = budget::Options {
            earned_per_request: bounds.retry_ratio * RETRY_SAFETY,
            max_saved: bounds.retry_slack * RETRY_SAFETY / routers as f64,
        };
        self.retries().set_options(opts);
    }

    fn retries(&self) -> MutexGuard<'_, Budgets<ServiceName>> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over changed settings; addresses stay as they were at the start.
    pub fn reload(&self, settings: Settings) {
        if **self.settings.load() == settings {
            return;
        }
        self.settings.store(Arc::new(settings));
        self.size_retries();
        log::info!("settings reloaded");
    }

    /// Serves until `stop` completes, then completes what is in flight.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn run(self: Arc<Self>, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let settings = self.settings.load_full();
        self.peers.start(&self).await?;
        let checked = Arc::clone(&self);
        let check = move |_: &_| checked.check();
        responder::start(settings.listen.readiness, "checks", check).await?;
        let measured = Arc::clone(&self);
        let metrics = move |_: &_| measured.metrics.answer();
        responder::start(settings.listen.metrics, "metrics", metrics).await?;
        let callers = callers::start(settings.listen.callers, Arc::clone(&self)).await?;
        tokio::spawn(Arc::clone(&self).follow_knowledge());
        tokio::spawn(Arc::clone(&self).sweep());
        tokio::spawn(Arc::clone(&self).watch_overload());
        log::info!(vm:% = settings.vm, domain:% = settings.domain; "started");
        stop.await;
        log::info!(in_flight = self.in_flight(); "stopping");
        let began = self.clock.monotonic();
        let grace = settings.bounds.stop_grace();
        self.is_stopping.store(true, Ordering::Release);
        self.peers.announce_leaving();
        tokio::time::sleep(LEAVE_ROTATION.min(grace / 2)).await;
        callers.close();
        let deadline = began + grace.saturating_sub(STOP_MARGIN);
        while (self.in_flight() > 0 || callers.connections() > 0)
            && self.clock.monotonic() < deadline
        {
            tokio::time::sleep(STOP_POLL).await;
        }
        log::info!(in_flight = self.in_flight(); "stopped");
        Ok(())
    }

    /// Takes each change of configuration and targets into the account.
    async fn follow_knowledge(self: Arc<Self>) {
        let mut changes = self.knowledge.subscribe();
        let mut listed = BTreeMap::new();
        loop {
            if let Some(table) = self.knowledge.table() {
                let targets = self.knowledge.targets();
                log_targets(&mut listed, &targets);
                self.account().set_targets(&targets, &table);
                self.metrics.knowledge(table.revision, targets.len());
                self.size_idle(&targets);
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.targets.retain(|_| true);
            self.calls.retain(|_| true);
        }
    }
}

/// This router's part of the idle connections that each target allows: what it accepts, less what
/// its slots use.
fn max_idle(
    targets: &[TargetEntry],
    table: &RoutingTable,
    routers: usize,
) -> BTreeMap<SocketAddr, usize> {
    let part = |t: &TargetEntry| {
        let service = table.services.get(&t.service);
        let accepted = service.map_or(0, |s| s.max_connections);
        let spare = accepted.saturating_sub(t.slots) as usize;
        (t.address, (spare / routers).max(1))
    };
    targets.iter().map(part).collect()
}

/// Logs targets that were added, changed their state or were removed.
fn log_targets(known: &mut BTreeMap<TargetName, TargetState>, targets: &[TargetEntry]) {
    let now: BTreeMap<TargetName, TargetState> =
        targets.iter().map(|t| (t.name.clone(), t.state)).collect();
    let is_start = known.is_empty();
    for target in targets {
        let before = known.insert(target.name.clone(), target.state);
        if before != Some(target.state) && !is_start {
            log::info!(target:% = target.name, service:% = target.service, state:? = target.state; "target listed");
        }
    }
    known.retain(|name, _| {
        let is_listed = now.contains_key(name);
        if !is_listed {
            log::info!(target:% = name; "target removed");
        }
        is_listed
    });
}
