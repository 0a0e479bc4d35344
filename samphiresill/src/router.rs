//! One router, put together from its parts.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use samphiresill_core::clock::Clock;
use samphiresill_core::name::VmName;
use samphiresill_platform::http::Platform;
use samphiresill_platform::table::Table;
use samphiresill_sched::message::Message;
use samphiresill_sched::node::Node;
use samphiresill_sched::options::Options;
use samphiresill_sched::topology::Topology;
use tokio::runtime::Runtime;

use crate::config::Config;
use crate::dispatch::{Dispatcher, Post};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::{Parts, Shared};
use crate::{follow, front, operations};

/// Threads that serve connections.
const WORKER_THREADS: usize = 4;
/// Pause between looks at what is still at work during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// `Router` is a running router.
pub struct Router {
    shared: Arc<Shared>,
    runtime: Runtime,
}

struct NoPost;

impl Post for NoPost {
    fn send(&self, _: &VmName, _: Message) {}
}

impl Router {
    /// Starts a router.
    ///
    /// # Errors
    /// When an address cannot be bound or a thread not started.
    pub fn start(settings: Settings, clock: Arc<dyn Clock>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(settings.limits.running)
            .enable_all()
            .build()?;
        let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let table: Arc<dyn Table> = Arc::new(Platform::new(settings.platform.address, timeout));
        let config = Arc::new(Config::default());
        let opts = Options::with_interval(Duration::from_millis(settings.report_interval_ms));
        let node = Node::new(settings.vm.clone(), settings.domain.clone(), incarnation, opts);
        let (dispatcher, _) = Dispatcher::start(node, Arc::clone(&clock), NoPost);
        let shared = Arc::new(Shared::new(Parts {
            settings,
            clock,
            config: Arc::clone(&config),
            dispatcher,
            table: Arc::clone(&table),
            runtime: runtime.handle().clone(),
            metrics: Metrics::new()?,
            incarnation,
        }));
        operations::start(shared.settings.listen.operations, Arc::clone(&shared))?;
        runtime.block_on(front::start(Arc::clone(&shared)))?;
        let poll = Duration::from_millis(shared.settings.platform.poll_ms);
        let for_follow = Arc::clone(&shared);
        follow::start(config, table, poll, move || publish(&for_follow))?;
        Ok(Self { shared, runtime })
    }

    /// Takes no new requests, and waits until everything at work has ended.
    pub fn drain(&self) {
        self.shared.begin_stop();
        while self.shared.at_work() > 0 {
            std::thread::sleep(DRAIN_POLL);
        }
    }

    /// Ends the router.
    pub fn stop(self) {
        self.shared.dispatcher.stop();
        self.runtime.shutdown_timeout(Duration::from_millis(200));
    }
}

/// Tells the capacity decisions of the configuration in force.
fn publish(shared: &Shared) {
    let snapshot = shared.config.current();
    let settings = &shared.settings;
    let members = [(settings.vm.clone(), settings.domain.clone())].into();
    let topology = Topology::new(&snapshot.document, members);
    shared.dispatcher.set_topology(Arc::new(topology));
}
