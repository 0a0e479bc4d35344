//! The task that exchanges datagrams with other gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, UNIX_EPOCH};

use samphiresill_core::name::{TargetName, VmName};
use samphiresill_member::member::{Health, Incarnation, Member};
use samphiresill_member::membership::{self, Membership, Message, Output};
use samphiresill_member::roles::Roles;
use samphiresill_sched::fleet::event::Event;

use super::frame::{Frame, LoadFrame, MAX_BYTES};
use super::{Peers, asks, snapshot};
use crate::gateway::Gateway;
use crate::knowledge::Versions;

/// Pause between sendings while there are events: short against the time of a prompt, long
/// enough to carry several events in one datagram.
const FLUSH: Duration = Duration::from_millis(25);
/// Pause between sendings while there are none.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Pause between lists of all runs.
const LIST_RUNS: Duration = Duration::from_secs(1);
/// Pause between sweeps of the account.
const SWEEP: Duration = Duration::from_millis(500);
/// Time without a word from a gateway that follows the store, after which the next in rank does.
const UNWATCHED: Duration = Duration::from_millis(1_200);
/// The same for each further rank, so that not all begin at once.
const UNWATCHED_PER_RANK: Duration = Duration::from_millis(200);
/// Time after the start in which the members find each other before duties are taken.
const SETTLE: Duration = Duration::from_millis(700);
/// Time after the start in which peers usually tell the configuration, if they know it.
const TOLD_BY_PEERS: Duration = Duration::from_millis(250);
/// Time for which a peer has to be ahead of a gateway that follows the store itself before its
/// knowledge is fetched: the store usually tells everyone within that.
const BEHIND: Duration = Duration::from_millis(300);
/// Gateways that keep the account of the fleet's load: all of a small fleet.
const MAX_SCHEDULERS: usize = 12;
/// Gateways that follow the store for all.
const MAX_WATCHERS: usize = 3;
/// Runs listed in one datagram at most.
const MAX_LISTED_RUNS: usize = 300;
/// Members in one datagram at most.
const MAX_LISTED_MEMBERS: usize = 16;
/// Times of the membership: a gateway that is gone is noticed within a second.
const MEMBERSHIP: membership::Options = membership::Options {
    probe_interval: Duration::from_millis(250),
    ack_timeout: Duration::from_millis(120),
    suspicion: Duration::from_millis(500),
    sync_interval: Duration::from_millis(400),
    memory: Duration::from_mins(1),
};

/// `Driver` runs the exchange.
pub struct Driver {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    vm: VmName,
    origin: u64,
    membership: Membership,
    roles: Roles,
    /// Origins of the gateways that were heard, by address.
    origins: BTreeMap<SocketAddr, u64>,
    /// Gateways that ask this one, and when they were last heard.
    clients: BTreeMap<SocketAddr, Duration>,
    started: Duration,
    heartbeat_at: Duration,
    listed_at: Duration,
    swept_at: Duration,
    unusable: BTreeSet<TargetName>,
    watcher_heard_at: Duration,
    told_version: u64,
    behind_since: Option<Duration>,
    is_fetching: Arc<AtomicBool>,
}

impl Driver {
    /// Knows only the seeds of the settings.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, peers: Arc<Peers>) -> Self {
        let settings = gateway.settings.load_full();
        let now = gateway.clock.monotonic();
        let origin = gateway.account().origin();
        let wall = gateway.clock.wall().duration_since(UNIX_EPOCH);
        let own = Member {
            vm: name_of(settings.listen.peers),
            domain: settings.domain.clone(),
            address: settings.listen.peers,
            strength: settings.limits.millicores(),
            incarnation: Incarnation {
                start_ms: wall.unwrap_or_default().as_millis() as u64,
                refutations: 0,
            },
            health: Health::Alive,
        };
        let seeds = settings.seeds.iter().map(|address| Member {
            vm: name_of(*address),
            address: *address,
            strength: 0,
            incarnation: Incarnation::default(),
            health: Health::Dead,
            ..own.clone()
        });
        Self {
            vm: own.vm.clone(),
            membership: Membership::new(own.clone(), seeds.collect(), MEMBERSHIP, origin),
            gateway,
            peers,
            origin,
            roles: Roles::default(),
            origins: BTreeMap::new(),
            clients: BTreeMap::new(),
            started: now,
            heartbeat_at: now,
            listed_at: now,
            swept_at: now,
            unusable: BTreeSet::new(),
            watcher_heard_at: now,
            told_version: 0,
            behind_since: None,
            is_fetching: Arc::default(),
        }
    }

    /// Exchanges datagrams until the process ends.
    pub async fn run(mut self) {
        let mut buf = vec![0; 64 * 1024];
        let mut ticks = tokio::time::interval(FLUSH);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut leaving = self.peers.leaving.subscribe();
        let mut changes = self.gateway.knowledge.subscribe();
        let peers = Arc::clone(&self.peers);
        self.assign_roles();
        let greeting = Frame::Load(self.empty_frame());
        let seeds = self.gateway.settings.load().seeds.clone();
        peers.send(&greeting, seeds.into_iter()).await;
        loop {
            tokio::select! {
                received = peers.socket.recv_from(&mut buf) => match received {
                    Ok((length, from)) => self.receive(&buf[..length], from).await,
                    Err(e) => log::debug!(error:% = e; "no datagram received"),
                },
                _ = ticks.tick() => self.tick().await,
                Ok(()) = changes.changed() => self.tell_news().await,
                Ok(()) = leaving.changed() => {
                    let out = self.membership.leave();
                    self.act(out).await;
                }
            }
        }
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let now = self.gateway.clock.monotonic();
        match Frame::decode(bytes) {
            Ok(Frame::Member { from, message }) => {
                let out = self.membership.receive(now, &from, message);
                self.act(out).await;
            }
            Ok(Frame::Load(frame)) => {
                let is_older = frame.versions.revision < self.gateway.knowledge.versions().revision;
                self.take_load(frame, from, now);
                if is_older {
                    // A gateway that has just started learns at once that there is more to know.
                    let frame = Frame::Load(self.empty_frame());
                    self.peers.send(&frame, std::iter::once(from)).await;
                }
            }
            Ok(Frame::Ask(frame)) => {
                self.clients.insert(from, now);
                let answer = asks::decide(&self.gateway, &frame);
                let to = std::iter::once(from);
                self.peers.send(&Frame::Answer(answer), to).await;
            }
            Ok(Frame::Answer(answer)) => self.peers.answered(answer),
            Err(e) => log::warn!(peer:% = from, error:% = e; "frame not understood"),
        }
    }

    /// Does what the membership asks for.
    async fn act(&mut self, out: Vec<Output>) {
        let mut is_changed = false;
        for output in out {
            match output {
                Output::Send(to, message) => {
                    for message in in_parts(message) {
                        let frame = Frame::Member {
                            from: self.vm.clone(),
                            message,
                        };
                        self.peers.send(&frame, std::iter::once(to.address)).await;
                    }
                }
                Output::Changed => is_changed = true,
            }
        }
        if is_changed {
            self.assign_roles();
        }
    }

    fn assign_roles(&mut self) {
        let own = self.membership.own().clone();
        let members = self.membership.members().values();
        let all = members.chain(std::iter::once(&own));
        self.roles = Roles::new(all, MAX_SCHEDULERS, MAX_WATCHERS);
        let is_scheduler = self.roles.is_scheduler(&self.vm);
        self.peers
            .set_schedulers(is_scheduler, &self.roles.order_for(&own));
        self.forget_gone();
        let usable = self.membership.usable().len();
        // One that is gone may still send, if only the way to it is cut.
        self.gateway
            .size_retries(self.membership.members().len().max(usable));
        log::info!(
            members = usable, schedulers = self.roles.schedulers.len(), is_scheduler;
            "members changed"
        );
    }

    /// Ends the runs of gateways that are gone.
    fn forget_gone(&mut self) {
        let now = self.gateway.clock.monotonic();
        let members = self.membership.members();
        let is_gone = |address: &SocketAddr| {
            let member = members.get(&name_of(*address));
            member.is_none_or(|m| m.health == Health::Dead)
        };
        let gone: Vec<SocketAddr> = self.origins.keys().copied().filter(is_gone).collect();
        for address in gone {
            if let Some(origin) = self.origins.remove(&address) {
                self.gateway.account().retain_runs(origin, None, false, now);
            }
        }
    }

    fn take_load(&mut self, frame: LoadFrame, from: SocketAddr, now: Duration) {
        if frame.origin == self.origin {
            return;
        }
        let before = self.origins.insert(from, frame.origin);
        if frame.is_watching {
            self.watcher_heard_at = now;
        }
        if frame.is_for_relay {
            self.clients.insert(from, now);
        }
        let is_relayed = frame.is_for_relay;
        let mut account = self.gateway.account();
        if let Some(before) = before.filter(|b| *b != frame.origin) {
            account.retain_runs(before, None, is_relayed, now);
        }
        account.apply(frame.events, is_relayed, now);
        if let Some(runs) = &frame.runs {
            let active: BTreeSet<u32> = runs.iter().copied().collect();
            account.retain_runs(frame.origin, Some(&active), is_relayed, now);
        }
        drop(account);
        if let Some(news) = frame.news {
            self.gateway.knowledge.take_news(news);
        }
        let own = self.gateway.knowledge.versions();
        let is_behind =
            frame.versions.revision > own.revision || frame.versions.directory > own.directory;
        if is_behind {
            self.catch_up(from, frame.versions, now);
        } else {
            self.behind_since = None;
        }
    }

    /// Fetches what a peer knows and this gateway does not.
    fn catch_up(&mut self, peer: SocketAddr, versions: Versions, now: Duration) {
        let since = *self.behind_since.get_or_insert(now);
        let is_waiting = self.gateway.knowledge.is_watching() && now.saturating_sub(since) < BEHIND;
        if is_waiting || self.is_fetching.load(Ordering::Acquire) {
            return;
        }
        self.behind_since = None;
        snapshot::fetch(&self.gateway, peer, versions, &self.is_fetching);
    }

    async fn tick(&mut self) {
        let now = self.gateway.clock.monotonic();
        let out = self.membership.tick(now);
        self.act(out).await;
        self.decide_watching(now);
        if now.saturating_sub(self.swept_at) >= SWEEP {
            self.swept_at = now;
            self.gateway.account().sweep(now);
            self.log_unusable(now);
        }
        // Heartbeats reach more gateways than events do, and are due in spite of them.
        let is_due = now.saturating_sub(self.heartbeat_at) >= HEARTBEAT;
        if is_due || self.gateway.account().has_events() {
            self.tell_load(is_due, now).await;
        }
    }

    /// Writes which targets have come to be set aside, or are used again.
    fn log_unusable(&mut self, now: Duration) {
        let unusable = self.gateway.account().unusable(now);
        for target in unusable.difference(&self.unusable) {
            log::warn!(target:%; "target set aside");
        }
        for target in self.unusable.difference(&unusable) {
            log::info!(target:%; "target used again");
        }
        self.unusable = unusable;
    }

    /// Follows the store when it is this gateway's duty, or when no other one seems to do it.
    fn decide_watching(&mut self, now: Duration) {
        if now.saturating_sub(self.started) < SETTLE {
            self.decide_watching_at_start(now);
            return;
        }
        // Whoever is cut off from all schedulers is one in its own view.
        let rank = self.roles.schedulers.iter().position(|m| m.vm == self.vm);
        let is_wanted = rank.is_some_and(|rank| {
            let patience = UNWATCHED_PER_RANK * rank.saturating_sub(MAX_WATCHERS) as u32;
            let silence = now.saturating_sub(self.watcher_heard_at);
            rank < MAX_WATCHERS || silence > UNWATCHED + patience
        });
        self.gateway.knowledge.set_watching(is_wanted);
    }

    /// The seeds follow the store at once, as all others ask them; these do it only when no peer
    /// has told them a configuration.
    fn decide_watching_at_start(&self, now: Duration) {
        let seeds = &self.gateway.settings.load().seeds;
        let is_seed = seeds.is_empty() || seeds.contains(&self.peers.own);
        let is_known = self.gateway.knowledge.versions().revision > 0;
        let is_late = now.saturating_sub(self.started) > TOLD_BY_PEERS;
        if is_seed || (is_late && !is_known) {
            self.gateway.knowledge.set_watching(true);
        }
    }

    /// Tells other schedulers, or the scheduler of this gateway, of its load.
    async fn tell_load(&mut self, is_heartbeat: bool, now: Duration) {
        let events = self.gateway.account().take_events();
        let is_list_due = now.saturating_sub(self.listed_at) >= LIST_RUNS;
        if is_list_due {
            self.listed_at = now;
        }
        let is_scheduler = self.roles.is_scheduler(&self.vm);
        let to: Vec<SocketAddr> = if is_scheduler {
            self.roles.other_schedulers(&self.vm).into_iter().collect()
        } else {
            self.peers
                .schedulers()
                .order
                .first()
                .copied()
                .into_iter()
                .collect()
        };
        for mut frame in self.load_frames(events, is_list_due) {
            frame.is_for_relay = !is_scheduler;
            self.peers
                .send(&Frame::Load(frame), to.iter().copied())
                .await;
        }
        if is_heartbeat {
            self.heartbeat_at = now;
            let all = self.heartbeat_receivers(now, &to);
            let frame = Frame::Load(self.empty_frame());
            self.peers.send(&frame, all.into_iter()).await;
        }
    }

    /// Who hears a heartbeat without load: everyone from a gateway that follows the store, the
    /// gateways that ask a scheduler from that scheduler.
    fn heartbeat_receivers(&mut self, now: Duration, told: &[SocketAddr]) -> Vec<SocketAddr> {
        self.clients
            .retain(|_, heard| now.saturating_sub(*heard) < HEARTBEAT * 4);
        let mut receivers: BTreeSet<SocketAddr> = self.clients.keys().copied().collect();
        if self.gateway.knowledge.is_watching() {
            let members = self.membership.members().values();
            receivers.extend(members.filter(|m| m.is_usable()).map(|m| m.address));
        }
        receivers
            .into_iter()
            .filter(|a| !told.contains(a))
            .collect()
    }

    /// Tells everyone at once of a change that this gateway has heard from the store.
    async fn tell_news(&mut self) {
        let versions = self.gateway.knowledge.versions();
        let is_new = versions.directory > self.told_version;
        if !self.gateway.knowledge.is_watching() || self.membership.members().is_empty() {
            return;
        }
        let mut frame = self.empty_frame();
        frame.news = self.gateway.knowledge.news().filter(|_| is_new);
        self.told_version = versions.directory;
        let members = self.membership.members().values();
        let to: Vec<SocketAddr> = members
            .filter(|m| m.is_usable())
            .map(|m| m.address)
            .collect();
        self.peers.send(&Frame::Load(frame), to.into_iter()).await;
    }

    fn empty_frame(&self) -> LoadFrame {
        LoadFrame {
            origin: self.origin,
            versions: self.gateway.knowledge.versions(),
            is_watching: self.gateway.knowledge.is_watching(),
            ..LoadFrame::default()
        }
    }

    /// Packs events into datagrams; the first one also carries the list of runs.
    fn load_frames(&self, events: Vec<Event>, with_list: bool) -> Vec<LoadFrame> {
        let runs = with_list.then(|| self.gateway.account().own_runs());
        let mut first = self.empty_frame();
        first.runs = runs.filter(|r| r.len() <= MAX_LISTED_RUNS);
        let mut length = first.runs.as_ref().map_or(0, |r| r.len() * 3) + 64;
        let mut frames = vec![first];
        for event in events {
            let size = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
            if length + size > MAX_BYTES {
                frames.push(self.empty_frame());
                length = 64;
            }
            length += size;
            if let Some(last) = frames.last_mut() {
                last.events.push(event);
            }
        }
        frames
    }
}

/// Gateways know each other by their addresses, as the settings name no others.
fn name_of(address: SocketAddr) -> VmName {
    VmName::from(address.to_string())
}

/// Cuts a view into parts that fit a datagram.
fn in_parts(message: Message) -> Vec<Message> {
    match message {
        Message::View {
            members,
            wants_reply,
        } if members.len() > MAX_LISTED_MEMBERS => {
            let parts = members.chunks(MAX_LISTED_MEMBERS).enumerate();
            let part = |(index, members): (usize, &[Member])| Message::View {
                members: members.to_vec(),
                // One reply is enough.
                wants_reply: wants_reply && index == 0,
            };
            parts.map(part).collect()
        }
        message => vec![message],
    }
}
