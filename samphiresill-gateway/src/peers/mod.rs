//! What gateways tell each other: who lives, what load they cause, and how new their knowledge is.
//!
//! Some gateways, the strongest of each failure domain, keep the account of the fleet's load: the
//! schedulers. They tell each other every change within tens of milliseconds; in a small fleet all
//! are schedulers. The others ask one of them where to send a request, and decide on their own
//! account when none answers in time. A few of the schedulers follow the store for all; whoever
//! has older knowledge fetches it from a peer, so that a gateway that the store does not serve
//! learns from the others.

pub mod asks;
pub mod driver;
pub mod frame;
pub mod snapshot;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use samphiresill_member::member::Member;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

use self::frame::{AnswerFrame, Frame};
use crate::gateway::Gateway;

/// `Schedulers` are the gateways to ask, as the driver sees them now.
#[derive(Debug, Default)]
struct Schedulers {
    /// Whether this gateway decides itself.
    is_own: bool,
    /// Those to ask, in order.
    order: Vec<SocketAddr>,
    /// Those that did not answer in time, and until when they are passed over.
    late_until: BTreeMap<SocketAddr, Duration>,
}

/// `Peers` is what the request path and the driver share.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    own: SocketAddr,
    schedulers: Mutex<Schedulers>,
    pending: Mutex<BTreeMap<u32, oneshot::Sender<AnswerFrame>>>,
    leaving: watch::Sender<bool>,
}

impl Peers {
    /// Binds the address for peers.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(own: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(own)
            .await
            .with_context(|| format!("cannot listen on {own} for peers"))?;
        let schedulers = Schedulers {
            is_own: true,
            ..Schedulers::default()
        };
        Ok(Self {
            socket,
            own,
            schedulers: Mutex::new(schedulers),
            pending: Mutex::default(),
            leaving: watch::channel(false).0,
        })
    }

    /// Starts the exchange with other gateways.
    ///
    /// # Errors
    /// When the address for whole knowledge cannot be bound.
    pub async fn start(self: &Arc<Self>, gateway: &Arc<Gateway>) -> anyhow::Result<()> {
        snapshot::start(self.own, Arc::clone(gateway)).await?;
        let driver = driver::Driver::new(Arc::clone(gateway), Arc::clone(self));
        tokio::spawn(driver.run());
        Ok(())
    }

    /// Tells the others that this gateway stops.
    pub fn announce_leaving(&self) {
        self.leaving.send_replace(true);
    }

    async fn send(&self, frame: &Frame, to: impl Iterator<Item = SocketAddr>) {
        let bytes = match frame.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "frame not encoded");
                return;
            }
        };
        for address in to.filter(|a| *a != self.own) {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = e; "frame not sent");
            }
        }
    }

    fn set_schedulers(&self, is_own: bool, order: &[Member]) {
        let mut schedulers = self.schedulers();
        schedulers.is_own = is_own;
        schedulers.order = order.iter().map(|m| m.address).collect();
    }

    fn schedulers(&self) -> MutexGuard<'_, Schedulers> {
        self.schedulers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, BTreeMap<u32, oneshot::Sender<AnswerFrame>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
