//! The sending side: a bounded queue and a connection for each peer.
//!
//! A connection on which a delivery is not confirmed in time counts as silent and is replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use samphiresill_core::name::VmName;
use samphiresill_sched::message::Message;
use tarpc::client;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::frame::{Content, FrameKey, Item};
use super::{MAX_FRAME_BYTES, PeeringClient};
use crate::config::Config;
use crate::dispatch::Post;
use crate::metrics::Metrics;

/// Items that wait for one peer; further ones are dropped.
const MAX_QUEUE: usize = 4_096;
/// Items in one frame.
const MAX_ITEMS: usize = 256;
/// Time for a delivery to be confirmed.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed connection; what waits meanwhile is dropped.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// `Sender` is what all links of a router share.
struct Sender {
    vm: VmName,
    key: FrameKey,
    config: Arc<Config>,
    metrics: Arc<Metrics>,
}

struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<Item>,
}

/// `Links` are a router's connections to all peers.
#[derive(Clone)]
pub struct Links {
    sender: Arc<Sender>,
    runtime: Handle,
    by_vm: Arc<Mutex<BTreeMap<VmName, Link>>>,
}

impl Links {
    /// Makes links to no one yet.
    #[must_use]
    pub fn new(
        vm: VmName,
        key: FrameKey,
        config: Arc<Config>,
        metrics: Arc<Metrics>,
        runtime: Handle,
    ) -> Self {
        let sender = Arc::new(Sender {
            vm,
            key,
            config,
            metrics,
        });
        Self {
            sender,
            runtime,
            by_vm: Arc::default(),
        }
    }

    /// Sends an item to a peer whose address is known; drops it when too many wait.
    pub fn send(&self, to: &VmName, item: Item) {
        if let Some(link) = self.lock().get(to) {
            // A full queue means a slow peer; every part of the system bears a loss.
            let _ = link.tx.try_send(item);
        }
    }

    /// Sends an item to a peer at an address.
    pub fn send_at(&self, to: &VmName, address: SocketAddr, item: Item) {
        let mut links = self.lock();
        if links.get(to).is_none_or(|link| link.address != address) {
            links.insert(to.clone(), self.connect(to.clone(), address));
        }
        if let Some(link) = links.get(to) {
            let _ = link.tx.try_send(item);
        }
    }

    /// Ends the links to peers that are not known any more.
    pub fn retain(&self, is_known: impl Fn(&VmName) -> bool) {
        self.lock().retain(|vm, _| is_known(vm));
    }

    fn connect(&self, to: VmName, address: SocketAddr) -> Link {
        let (tx, rx) = mpsc::channel(MAX_QUEUE);
        self.runtime
            .spawn(run(Arc::clone(&self.sender), to, address, rx));
        Link { address, tx }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmName, Link>> {
        self.by_vm.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Post for Links {
    fn send(&self, to: &VmName, message: Message) {
        Self::send(self, to, Item::Capacity(message));
    }
}

async fn run(sender: Arc<Sender>, to: VmName, address: SocketAddr, mut rx: mpsc::Receiver<Item>) {
    let mut client = None;
    let mut items = Vec::new();
    while rx.recv_many(&mut items, MAX_ITEMS).await > 0 {
        if client.is_none() {
            client = connect(address).await;
        }
        let Some(connected) = &client else {
            items.clear();
            tokio::time::sleep(RECONNECT_PAUSE).await;
            while rx.try_recv().is_ok() {}
            continue;
        };
        let content = Content {
            from: sender.vm.clone(),
            to: to.clone(),
            revision: sender.config.current().revision,
            items: std::mem::take(&mut items),
        };
        let count = content.items.len();
        let frame = sender.key.seal(&content);
        sender
            .metrics
            .sent_control(count as u64, frame.len() as u64);
        let delivery = connected.deliver(context::current(), frame);
        match tokio::time::timeout(DELIVERY_TIMEOUT, delivery).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => log::warn!(peer:% = to; "peer does not accept the proof"),
            Ok(Err(_)) | Err(_) => {
                log::debug!(peer:% = to; "connection to peer replaced");
                client = None;
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<PeeringClient> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .ok()?
        .ok()?;
    Some(PeeringClient::new(client::Config::default(), transport).spawn())
}
