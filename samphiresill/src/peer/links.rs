//! Sending side of the connections between routers, with a bounded queue and a connection for each
//! peer.
//!
//! If the delivery of a frame is not confirmed in time, its connection is replaced.

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

use super::frame::{FrameKey, Item, Payload};
use super::{MAX_FRAME_BYTES, PeeringClient};
use crate::config::Config;
use crate::dispatch::MessageSender;
use crate::metrics::Metrics;

/// Capacity of the send queue of a peer; further items are dropped.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of items in a frame.
const MAX_FRAME_ITEMS: usize = 256;
/// Timeout for the confirmation of a delivery.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed connection attempt. Items queued in the meantime are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// `LocalRouter` is the sending router's state that its links share.
struct LocalRouter {
    vm: VmName,
    key: FrameKey,
    config: Arc<Config>,
    metrics: Arc<Metrics>,
}

struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<Item>,
}

/// `Links` are the outgoing connections of a router to its peers.
#[derive(Clone)]
pub struct Links {
    local: Arc<LocalRouter>,
    runtime: Handle,
    by_vm: Arc<Mutex<BTreeMap<VmName, Link>>>,
}

impl Links {
    /// Creates an empty set of links.
    #[must_use]
    pub fn new(
        vm: VmName,
        key: FrameKey,
        config: Arc<Config>,
        metrics: Arc<Metrics>,
        runtime: Handle,
    ) -> Self {
        let local = Arc::new(LocalRouter {
            vm,
            key,
            config,
            metrics,
        });
        Self {
            local,
            runtime,
            by_vm: Arc::default(),
        }
    }

    /// Sends an item to a peer that a link exists to. The item is dropped if the queue is full.
    pub fn send(&self, to: &VmName, item: Item) {
        if let Some(link) = self.lock().get(to) {
            // A full queue means that the peer is slow; all protocols tolerate lost items.
            let _ = link.tx.try_send(item);
        }
    }

    /// Sends an item to a peer, connecting to the given address if necessary.
    pub fn send_at(&self, to: &VmName, address: SocketAddr, item: Item) {
        let mut links = self.lock();
        if links.get(to).is_none_or(|link| link.address != address) {
            links.insert(to.clone(), self.connect(to.clone(), address));
        }
        if let Some(link) = links.get(to) {
            let _ = link.tx.try_send(item);
        }
    }

    /// Removes the links to peers that `is_known` returns false for.
    pub fn retain(&self, is_known: impl Fn(&VmName) -> bool) {
        self.lock().retain(|vm, _| is_known(vm));
    }

    fn connect(&self, to: VmName, address: SocketAddr) -> Link {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        self.runtime
            .spawn(run(Arc::clone(&self.local), to, address, rx));
        Link { address, tx }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmName, Link>> {
        self.by_vm.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MessageSender for Links {
    fn send(&self, to: &VmName, message: Message) {
        Self::send(self, to, Item::Capacity(message));
    }
}

async fn run(
    local: Arc<LocalRouter>,
    to: VmName,
    address: SocketAddr,
    mut rx: mpsc::Receiver<Item>,
) {
    let mut client = None;
    let mut items = Vec::new();
    while rx.recv_many(&mut items, MAX_FRAME_ITEMS).await > 0 {
        if client.is_none() {
            client = connect(address).await;
        }
        let Some(connected) = &client else {
            items.clear();
            tokio::time::sleep(RECONNECT_DELAY).await;
            while rx.try_recv().is_ok() {}
            continue;
        };
        let payload = Payload {
            from: local.vm.clone(),
            to: to.clone(),
            revision: local.config.current().revision,
            items: std::mem::take(&mut items),
        };
        let count = payload.items.len();
        let frame = local.key.sign(&payload);
        local
            .metrics
            .record_control_sent(count as u64, frame.len() as u64);
        let delivery = connected.deliver(context::current(), frame);
        match tokio::time::timeout(DELIVERY_TIMEOUT, delivery).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => log::warn!(peer:% = to; "frame rejected by peer"),
            Ok(Err(_)) | Err(_) => {
                log::debug!(peer:% = to; "delivery to peer failed; replacing the connection");
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
