//! Sending and receiving of datagrams, and the list of gateways that are heard.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use samphiresill_sched::fleet::event::Event;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::datagram::{Datagram, MAX_BYTES};
use super::snapshot;
use crate::gateway::Gateway;

/// Pause between sendings while there are events: short against the time of a prompt, long
/// enough to carry several events in one datagram.
const FLUSH: Duration = Duration::from_millis(25);
/// Pause between sendings while there are none.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Pause between lists of all runs.
const LIST_RUNS: Duration = Duration::from_secs(1);
/// Time without a datagram after which a gateway counts as gone, and its runs with it.
const GONE: Duration = Duration::from_millis(1_200);
/// Time for which a gateway that is gone is still addressed, in case only the way is cut.
const FORGOTTEN: Duration = Duration::from_secs(20);
/// Time for which a peer has to be ahead before its knowledge is fetched: the store usually
/// tells everyone within that.
const BEHIND: Duration = Duration::from_millis(300);
/// Runs listed in one datagram at most.
const MAX_LISTED_RUNS: usize = 300;

#[derive(Clone, Copy, Debug)]
struct Peer {
    origin: u64,
    heard_at: Duration,
    is_gone: bool,
}

/// `Driver` runs the exchange of datagrams.
pub struct Driver {
    gateway: Arc<Gateway>,
    socket: UdpSocket,
    own: SocketAddr,
    origin: u64,
    leaving: watch::Receiver<bool>,
    peers: BTreeMap<SocketAddr, Peer>,
    sent_at: Duration,
    listed_at: Duration,
    behind_since: Option<Duration>,
    is_fetching: Arc<std::sync::atomic::AtomicBool>,
}

impl Driver {
    /// Knows only the seeds of the settings.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, socket: UdpSocket, leaving: watch::Receiver<bool>) -> Self {
        let own = gateway.settings.load().listen.peers;
        let origin = gateway.account().origin();
        Self {
            gateway,
            socket,
            own,
            origin,
            leaving,
            peers: BTreeMap::new(),
            sent_at: Duration::ZERO,
            listed_at: Duration::ZERO,
            behind_since: None,
            is_fetching: Arc::default(),
        }
    }

    /// Exchanges datagrams until the process ends.
    pub async fn run(mut self) {
        let mut buf = vec![0; 64 * 1024];
        let mut ticks = tokio::time::interval(FLUSH);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((length, _)) => self.receive(&buf[..length]),
                    Err(e) => log::debug!(error:% = e; "no datagram received"),
                },
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::warn!(error:% = e; "datagram not understood");
                return;
            }
        };
        if datagram.origin == self.origin {
            return;
        }
        let now = self.gateway.clock.monotonic();
        self.hear(&datagram, now);
        let mut account = self.gateway.account();
        for event in &datagram.events {
            account.apply(event, now);
        }
        if let Some(runs) = &datagram.runs {
            let active: BTreeSet<u32> = runs.iter().copied().collect();
            account.retain_runs(datagram.origin, &active, now);
        }
        drop(account);
        self.compare(&datagram, now);
    }

    /// Notes that a gateway lives, and learns of others from it.
    fn hear(&mut self, datagram: &Datagram, now: Duration) {
        let peer = Peer {
            origin: datagram.origin,
            heard_at: now,
            is_gone: datagram.is_leaving,
        };
        let before = self.peers.insert(datagram.address, peer);
        match before {
            Some(before) if before.origin != datagram.origin && before.origin != 0 => {
                self.forget_runs(before.origin, now);
            }
            Some(before) if !before.is_gone => {}
            _ => {
                log::info!(peer:% = datagram.address; "peer heard");
                self.size_retries();
            }
        }
        for address in &datagram.peers {
            if *address != self.own {
                self.peers.entry(*address).or_insert(Peer {
                    origin: 0,
                    heard_at: now,
                    is_gone: true,
                });
            }
        }
    }

    /// Fetches what a peer knows and this gateway does not.
    fn compare(&mut self, datagram: &Datagram, now: Duration) {
        let own = self.gateway.knowledge.versions();
        let is_behind = datagram.versions.revision > own.revision
            || datagram.versions.directory > own.directory;
        if !is_behind {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_fetching = self.is_fetching.load(std::sync::atomic::Ordering::Acquire);
        if now.saturating_sub(since) < BEHIND || is_fetching {
            return;
        }
        self.behind_since = None;
        snapshot::fetch(
            &self.gateway,
            datagram.address,
            datagram.versions,
            &self.is_fetching,
        );
    }

    async fn tick(&mut self) {
        let now = self.gateway.clock.monotonic();
        self.expire(now);
        let is_due = now.saturating_sub(self.sent_at) >= HEARTBEAT;
        if !is_due && !self.gateway.account().has_events() {
            return;
        }
        self.sent_at = now;
        let events = self.gateway.account().take_events();
        let is_list_due = now.saturating_sub(self.listed_at) >= LIST_RUNS;
        if is_list_due {
            self.listed_at = now;
        }
        for datagram in self.datagrams(events, is_list_due) {
            self.send(&datagram).await;
        }
    }

    /// Packs events into datagrams; the first one also carries the lists.
    fn datagrams(&self, events: Vec<Event>, with_lists: bool) -> Vec<Datagram> {
        let runs = with_lists.then(|| self.gateway.account().own_runs());
        let heard = self.peers.iter().filter(|(_, p)| !p.is_gone);
        let peers = heard.map(|(address, _)| *address).filter(|_| with_lists);
        let empty = Datagram {
            origin: self.origin,
            address: self.own,
            versions: self.gateway.knowledge.versions(),
            is_leaving: *self.leaving.borrow(),
            events: Vec::new(),
            runs: None,
            peers: Vec::new(),
        };
        let mut first = empty.clone();
        first.runs = runs.filter(|r| r.len() <= MAX_LISTED_RUNS);
        first.peers = peers.collect();
        let mut all = vec![first];
        let mut length = MAX_BYTES / 2;
        for event in events {
            let size = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
            if length + size > MAX_BYTES {
                all.push(empty.clone());
                length = 64;
            }
            length += size;
            if let Some(last) = all.last_mut() {
                last.events.push(event);
            }
        }
        all
    }

    async fn send(&self, datagram: &Datagram) {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(error:% = e; "datagram not encoded");
                return;
            }
        };
        let settings = self.gateway.settings.load();
        let seeds = settings.seeds.iter().filter(|s| **s != self.own);
        let addresses: BTreeSet<SocketAddr> = seeds.chain(self.peers.keys()).copied().collect();
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = e; "datagram not sent");
            }
        }
    }

    /// Drops the runs of gateways that are not heard any more.
    fn expire(&mut self, now: Duration) {
        let silent = |p: &Peer| now.saturating_sub(p.heard_at) > GONE;
        let gone: Vec<(SocketAddr, u64)> = self
            .peers
            .iter()
            .filter(|(_, p)| !p.is_gone && silent(p))
            .map(|(a, p)| (*a, p.origin))
            .collect();
        for (address, origin) in gone {
            log::warn!(peer:% = address; "peer not heard any more");
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.is_gone = true;
            }
            self.forget_runs(origin, now);
            self.size_retries();
        }
        self.peers
            .retain(|_, p| now.saturating_sub(p.heard_at) < FORGOTTEN);
    }

    fn forget_runs(&self, origin: u64, now: Duration) {
        self.gateway
            .account()
            .retain_runs(origin, &BTreeSet::new(), now);
    }

    fn size_retries(&self) {
        // One that is gone may still send, if only the way to it is cut.
        self.gateway.size_retries(self.peers.len() + 1);
    }
}
