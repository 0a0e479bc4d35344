//! Startup and shutdown of a router.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use samphiresill_core::clock::Clock;
use samphiresill_gateway::listener::Listener;
use samphiresill_member::member::{Health, Incarnation, Member};
use samphiresill_member::membership::{self, Membership};
use samphiresill_platform::http::PlatformClient;
use samphiresill_platform::table::Table;
use samphiresill_sched::node::Node;
use samphiresill_sched::options::Options;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use crate::config::Config;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::peer::driver::{Driver, MembershipView};
use crate::peer::frame::FrameKey;
use crate::peer::links::Links;
use crate::peer::server;
use crate::settings::{Peer, Settings};
use crate::shared::{Components, Shared};
use crate::{follow, front, operations, operators};

/// Worker threads of the asynchronous runtime, which serve connections.
const WORKER_THREADS: usize = 4;
/// Capacity of the queue of received frames.
const PEER_QUEUE_CAPACITY: usize = 1_024;
/// Polling interval for remaining requests and connections during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// `Router` is a running router.
pub struct Router {
    shared: Arc<Shared>,
    front: Listener,
    runtime: Runtime,
}

impl Router {
    /// Starts a router.
    ///
    /// # Errors
    /// If an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings, clock: Arc<dyn Clock>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(settings.limits.running)
            .enable_all()
            .build()?;
        let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let table: Arc<dyn Table> =
            Arc::new(PlatformClient::new(settings.platform.address, timeout));
        let config = Arc::new(Config::default());
        let opts = Options::with_interval(Duration::from_millis(settings.report_interval_ms));
        let node = Node::new(
            settings.vm.clone(),
            settings.domain.clone(),
            incarnation,
            opts,
        );
        let metrics = Arc::new(Metrics::new()?);
        let key = FrameKey::new(&settings.peer_key);
        let links = Links::new(
            settings.vm.clone(),
            key.clone(),
            Arc::clone(&config),
            Arc::clone(&metrics),
            runtime.handle().clone(),
        );
        let (dispatcher, _) = Dispatcher::start(node, Arc::clone(&clock), links.clone());
        let shared = Arc::new(Shared::new(Components {
            settings,
            clock,
            config: Arc::clone(&config),
            dispatcher,
            table: Arc::clone(&table),
            runtime: runtime.handle().clone(),
            metrics,
            incarnation,
        }));
        operations::start(shared.settings.listen.operations, Arc::clone(&shared))?;
        let front = runtime.block_on(front::start(Arc::clone(&shared)))?;
        let poll = Duration::from_millis(shared.settings.platform.poll_ms);
        let view = Arc::new(MembershipView::default());
        runtime.block_on(start_peering(&shared, key, links.clone(), &view))?;
        let operators_address = shared.settings.listen.operators;
        let operators_state = (Arc::clone(&shared), Arc::clone(&view));
        operators::start(
            operators_address,
            operators_state.0,
            operators_state.1,
            links,
        )?;
        let follow_state = Arc::clone(&shared);
        let membership = Arc::clone(&view);
        follow::start(config, table, poll, move || {
            follow_state.publish_topology(&membership.usable());
        })?;
        Ok(Self {
            shared,
            front,
            runtime,
        })
    }

    /// Stops accepting requests and waits until all requests in flight have ended.
    pub fn drain(&self) {
        self.shared.begin_shutdown();
        while self.shared.in_flight() > 0 {
            std::thread::sleep(DRAIN_POLL);
        }
        // The last responses may not have been written completely yet.
        self.front.close();
        while self.front.connections() > 0 {
            std::thread::sleep(DRAIN_POLL);
        }
    }

    /// Stops the dispatcher and the runtime.
    pub fn stop(self) {
        self.shared.dispatcher.stop();
        self.runtime.shutdown_timeout(Duration::from_millis(200));
    }
}

/// Starts listening for other routers and joins the membership protocol.
async fn start_peering(
    shared: &Arc<Shared>,
    key: FrameKey,
    links: Links,
    view: &Arc<MembershipView>,
) -> anyhow::Result<()> {
    let settings = &shared.settings;
    let (tx, rx) = mpsc::channel(PEER_QUEUE_CAPACITY);
    server::start(settings.listen.peers, settings.vm.clone(), key, tx).await?;
    let own = Member {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        address: settings.listen.peers,
        strength: 0,
        incarnation: Incarnation {
            start_ms: shared.incarnation,
            refutations: 0,
        },
        health: Health::Alive,
    };
    let seed = |peer: &Peer| Member {
        vm: peer.vm.clone(),
        domain: peer.domain.clone(),
        address: peer.address,
        strength: 0,
        incarnation: Incarnation::default(),
        health: Health::Dead,
    };
    let seeds = settings.peers.iter().map(seed).collect();
    let opts = membership::Options::default();
    let membership = Membership::new(own, seeds, opts, shared.incarnation);
    let driver = Driver::new(Arc::clone(shared), links, membership, Arc::clone(view));
    tokio::spawn(driver.run(rx));
    Ok(())
}
