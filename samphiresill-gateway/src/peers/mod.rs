//! Communication between gateways: membership, load, and versions of configuration and targets.
//!
//! The gateways with the most processing power in each failure domain are schedulers: they keep the
//! fleet load and replicate its changes to each other within tens of milliseconds. In a small
//! fleet, all gateways are schedulers. The others request placements from a scheduler, and place
//! requests on their own fleet load when none replies in time. A few of the schedulers watch the
//! store on behalf of all. A gateway whose routing state is older fetches the newer one from a
//! peer, also when the store does not respond to it.

mod cold_log;
pub(crate) mod cold_share;
pub mod driver;
mod evenness_log;
pub mod frame;
mod limit_log;
mod load;
pub mod placement;
mod quarantine;
pub mod role_settling;
pub mod snapshot;
mod warm_up;
mod watching;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use samphiresill_member::member::Member;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

use self::frame::{Frame, PlacementReplyFrame};
use self::role_settling::RoleSettling;
use crate::gateway::Gateway;

/// `Schedulers` are the schedulers as seen from this gateway.
#[derive(Debug, Default)]
struct Schedulers {
    /// Whether this gateway is a scheduler and places its requests by itself.
    is_local: bool,
    /// Schedulers to request placements from, in order of preference.
    order: Vec<SocketAddr>,
    /// Schedulers that relay configuration and directory to this gateway.
    parents: Vec<SocketAddr>,
    /// Schedulers that did not reply in time, and until when they are skipped.
    skipped_until: BTreeMap<SocketAddr, Duration>,
    settling: RoleSettling,
    /// Rank of this gateway among those that save the beginnings of streams.
    saver_rank: usize,
}

/// `Peers` is the state that the request path and the driver share.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    own: SocketAddr,
    schedulers: Mutex<Schedulers>,
    pending: Mutex<BTreeMap<u32, oneshot::Sender<PlacementReplyFrame>>>,
    leaving: watch::Sender<bool>,
    /// Whether the contents of the engines' caches have been loaded.
    is_warm: AtomicBool,
}

impl Peers {
    /// Binds the UDP socket for peers.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(own: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(own)
            .await
            .with_context(|| format!("cannot listen on {own} for peers"))?;
        let mut schedulers = Schedulers {
            is_local: true,
            ..Schedulers::default()
        };
        schedulers.settling.observe(true, 1, Duration::ZERO);
        Ok(Self {
            socket,
            own,
            schedulers: Mutex::new(schedulers),
            pending: Mutex::default(),
            leaving: watch::channel(false).0,
            is_warm: AtomicBool::new(false),
        })
    }

    /// Starts the exchange of datagrams and the server for snapshots.
    ///
    /// # Errors
    /// When the TCP address for snapshots cannot be bound.
    pub async fn start(self: &Arc<Self>, gateway: &Arc<Gateway>) -> anyhow::Result<()> {
        snapshot::start(self.own, Arc::clone(gateway)).await?;
        let (driven, peers) = (Arc::clone(gateway), Arc::clone(self));
        gateway.supervisor.run("peers", move || {
            driver::Driver::new(Arc::clone(&driven), Arc::clone(&peers)).run()
        });
        Ok(())
    }

    /// Whether this gateway is a scheduler.
    #[must_use]
    pub fn is_scheduler(&self) -> bool {
        self.schedulers().is_local
    }

    /// Whether this gateway is a scheduler and has learnt enough of the others to stay one.
    #[must_use]
    pub fn has_settled_as_scheduler(&self, now: Duration) -> bool {
        let schedulers = self.schedulers();
        schedulers.is_local && schedulers.settling.is_settled(now)
    }

    /// Rank of this gateway among those that save the beginnings of streams; 0 when it does not.
    #[must_use]
    pub fn saver_rank(&self) -> usize {
        self.schedulers().saver_rank
    }

    /// Announces to the other gateways that this one shuts down.
    pub fn announce_leaving(&self) {
        self.leaving.send_replace(true);
    }

    async fn send(&self, frame: &Frame, to: impl Iterator<Item = SocketAddr>) {
        let bytes = match frame.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "failed to encode frame");
                return;
            }
        };
        for address in to.filter(|a| *a != self.own) {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = e; "failed to send frame");
            }
        }
    }

    fn set_schedulers(&self, is_local: bool, order: &[Member], routers: usize, now: Duration) {
        let mut schedulers = self.schedulers();
        schedulers.is_local = is_local;
        schedulers.settling.observe(is_local, routers, now);
        schedulers.order = order.iter().map(|m| m.address).collect();
        let nearest = order.first();
        let elsewhere = order
            .iter()
            .find(|m| nearest.is_some_and(|n| n.domain != m.domain));
        let parents = nearest.into_iter().chain(elsewhere.or(order.get(1)));
        schedulers.parents = parents.map(|m| m.address).collect();
    }

    /// The schedulers other than this gateway.
    fn other_schedulers(&self) -> Vec<SocketAddr> {
        let schedulers = self.schedulers();
        let others = schedulers.order.iter().filter(|a| **a != self.own);
        others.copied().collect()
    }

    /// The scheduler to which this gateway sends its load.
    fn first_scheduler(&self) -> Option<SocketAddr> {
        self.schedulers().order.first().copied()
    }

    /// The parents of this gateway in the dissemination tree: the nearest scheduler, and for
    /// redundancy one in another failure domain.
    fn parents(&self) -> Vec<SocketAddr> {
        self.schedulers().parents.clone()
    }

    fn schedulers(&self) -> MutexGuard<'_, Schedulers> {
        self.schedulers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, BTreeMap<u32, oneshot::Sender<PlacementReplyFrame>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
