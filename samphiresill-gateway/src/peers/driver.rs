//! The task that exchanges datagrams with other gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use samphiresill_core::name::{TargetName, VmName};
use samphiresill_member::member::{Health, Incarnation, Member};
use samphiresill_member::membership::{self, Membership, Message, Output};
use samphiresill_member::roles::{self, Roles};
use samphiresill_member::store_watch::{Reason, StoreWatch};
use samphiresill_sched::fleet::directive::rate_limit::LimitShare;

use super::cold_log::ColdLog;
use super::cold_share::{ColdShares, View};
use super::evenness_log::EvennessLog;
use super::frame::Frame;
use super::limit_log::LimitLog;
use super::quarantine::NoticesSent;
use super::{Peers, placement, warm_up};
use crate::gateway::Gateway;

/// Interval between datagrams while there are events: short compared with the time to process a
/// prompt, and long enough to batch several events in a datagram.
const FLUSH_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between sweeps of the fleet load.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of gateways per role. Each load event is replicated to all schedulers, so a large fleet
/// has only two for each of three failure domains.
pub(super) const ROLE_COUNTS: roles::RoleCounts = roles::RoleCounts {
    small_fleet: 12,
    schedulers: 6,
    watchers: 3,
};
/// Number of schedulers, first in rank, that save the beginnings of streams: one, and another that has
/// the records when the first one fails.
pub const STREAM_SAVERS: usize = 2;
/// Maximum number of members in one datagram.
const MAX_MEMBERS_PER_FRAME: usize = 16;
/// Timing of the membership protocol: a dead gateway is detected within a second.
const MEMBERSHIP_OPTIONS: membership::Options = membership::Options {
    probe_interval: Duration::from_millis(250),
    ack_timeout: Duration::from_millis(120),
    suspicion_timeout: Duration::from_millis(500),
    sync_interval: Duration::from_millis(400),
    dead_member_retention: Duration::from_mins(1),
};

/// `Driver` exchanges datagrams with the other gateways and keeps the state that this needs.
pub struct Driver {
    pub(super) gateway: Arc<Gateway>,
    pub(super) peers: Arc<Peers>,
    pub(super) vm: VmName,
    pub(super) instance_id: u64,
    pub(super) membership: Membership,
    pub(super) roles: Roles,
    /// Since when this gateway is one of the schedulers.
    pub(super) scheduler_since: Option<Duration>,
    /// Origins of the known gateways, by address.
    pub(super) origins: BTreeMap<SocketAddr, u64>,
    /// Gateways that request placements from this one, and when they last sent a frame.
    pub(super) clients: BTreeMap<SocketAddr, Duration>,
    pub(super) started: Duration,
    pub(super) heartbeat_sent_at: Duration,
    pub(super) runs_listed_at: Duration,
    pub(super) swept_at: Duration,
    pub(super) ejected: BTreeSet<TargetName>,
    pub(super) store_watch: StoreWatch,
    pub(super) watch_reason: Option<Reason>,
    pub(super) announced_version: u64,
    pub(super) behind_since: Option<Duration>,
    pub(super) is_fetching: Arc<AtomicBool>,
    pub(super) notices_sent: NoticesSent,
    pub(super) limit_log: LimitLog,
    pub(super) cold_shares: ColdShares,
    pub(super) cold_log: ColdLog,
    pub(super) evenness_log: EvennessLog,
}

impl Driver {
    /// Creates a driver whose membership contains only this gateway and the seeds of the settings.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, peers: Arc<Peers>) -> Self {
        let settings = gateway.settings.load_full();
        let now = gateway.clock.monotonic();
        let instance_id = gateway.fleet_load().origin();
        let own = Member {
            vm: member_name(settings.listen.peers),
            domain: settings.domain.clone(),
            address: settings.listen.peers,
            strength: settings.limits.millicores(),
            incarnation: Incarnation::starting_at(gateway.clock.wall()),
            health: Health::Alive,
        };
        let seeds = settings.seeds.iter().map(|address| Member {
            vm: member_name(*address),
            address: *address,
            strength: 0,
            incarnation: Incarnation::default(),
            health: Health::Dead,
            ..own.clone()
        });
        Self {
            vm: own.vm.clone(),
            membership: Membership::new(
                own.clone(),
                seeds.collect(),
                MEMBERSHIP_OPTIONS,
                instance_id,
            ),
            gateway,
            peers,
            instance_id,
            roles: Roles::default(),
            scheduler_since: None,
            origins: BTreeMap::new(),
            clients: BTreeMap::new(),
            started: now,
            heartbeat_sent_at: now,
            runs_listed_at: now,
            swept_at: now,
            ejected: BTreeSet::new(),
            // Jittered so that not all gateways of a failure domain read the store at once.
            store_watch: StoreWatch::new((instance_id % 1_000) as f64 / 1_000.0, now),
            watch_reason: None,
            announced_version: 0,
            behind_since: None,
            is_fetching: Arc::default(),
            notices_sent: NoticesSent::default(),
            limit_log: LimitLog::default(),
            cold_shares: ColdShares::new(now),
            cold_log: ColdLog::default(),
            evenness_log: EvennessLog::default(),
        }
    }

    /// Exchanges datagrams until the process ends.
    pub async fn run(mut self) {
        let mut buf = vec![0; 64 * 1024];
        let mut ticks = tokio::time::interval(FLUSH_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut leaving = self.peers.leaving.subscribe();
        let mut changes = self.gateway.routing_state.subscribe();
        let peers = Arc::clone(&self.peers);
        let routing_state = Arc::clone(&self.gateway.routing_state);
        let mut announced_at = Duration::ZERO;
        self.assign_roles();
        let announcement = Frame::Load(self.empty_frame());
        let seeds = self.gateway.settings.load().seeds.clone();
        peers.send(&announcement, seeds.into_iter()).await;
        loop {
            tokio::select! {
                received = peers.socket.recv_from(&mut buf) => match received {
                    Ok((length, from)) => self.receive(&buf[..length], from).await,
                    Err(e) => log::debug!(error:% = e; "failed to receive datagram"),
                },
                _ = ticks.tick() => self.tick().await,
                Ok(()) = changes.changed() => self.relay_updates().await,
                answered_at = routing_state.answered_after(announced_at) => {
                    announced_at = answered_at;
                    self.announce_answer().await;
                }
                Ok(()) = leaving.changed() => {
                    let out = self.membership.leave();
                    self.apply_outputs(out).await;
                }
            }
        }
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let now = self.gateway.clock.monotonic();
        self.cold_shares.record_heard(from, now);
        match Frame::decode(bytes) {
            Ok(Frame::Member { from, message }) => {
                let out = self.membership.receive(now, &from, message);
                self.apply_outputs(out).await;
            }
            Ok(Frame::Load(frame)) => {
                let is_older =
                    frame.versions.revision < self.gateway.routing_state.versions().revision;
                self.receive_load(frame, from, now);
                if is_older {
                    // Announces the newer state at once to a gateway that has just started.
                    let frame = Frame::Load(self.empty_frame());
                    self.peers.send(&frame, std::iter::once(from)).await;
                    self.send_all_notices(from, now).await;
                    self.send_directives(from).await;
                }
            }
            Ok(Frame::PlacementRequest(frame)) => {
                self.clients.insert(from, now);
                let reply = placement::decide(&self.gateway, &frame);
                let to = std::iter::once(from);
                self.peers.send(&Frame::Placed(reply), to).await;
            }
            Ok(Frame::Placed(reply)) => self.peers.complete_placement(reply),
            Ok(Frame::Notices(notices)) => self.receive_notices(notices, from, now),
            Err(e) => log::warn!(peer:% = from, error:% = e; "failed to decode frame"),
        }
    }

    /// Sends the messages of the membership protocol, and reassigns roles when members changed.
    async fn apply_outputs(&mut self, out: Vec<Output>) {
        let mut is_changed = false;
        for output in out {
            match output {
                Output::Send(to, message) => {
                    for message in split_view(message) {
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
        let roles = Roles::new(all, ROLE_COUNTS);
        let is_new = roles.schedulers != self.roles.schedulers;
        self.roles = roles;
        let is_scheduler = self.roles.is_scheduler(&self.vm);
        let mut savers = self.roles.schedulers.iter().take(STREAM_SAVERS);
        let saver_rank = savers.position(|m| m.vm == self.vm);
        let is_saver = saver_rank.is_some();
        self.gateway.fleet_load().streams_mut().set_saving(is_saver);
        self.peers.schedulers().saver_rank = saver_rank.unwrap_or(0);
        let now = self.gateway.clock.monotonic();
        let since = self.scheduler_since.unwrap_or(now);
        let was_scheduler = self.scheduler_since.is_some();
        self.scheduler_since = is_scheduler.then_some(since);
        if is_scheduler && !was_scheduler {
            let (gateway, peers) = (Arc::clone(&self.gateway), Arc::clone(&self.peers));
            tokio::spawn(warm_up::load_streams(
                Arc::clone(&gateway),
                Arc::clone(&peers),
            ));
            tokio::spawn(warm_up::run(gateway, peers));
        }
        let usable = self.membership.usable().len();
        let order = self.roles.order_for(&own);
        self.peers.set_schedulers(is_scheduler, &order, usable, now);
        self.drop_dead_peers();
        self.drop_old_views();
        // Dead members are included: one that is only partitioned from this gateway may still send
        // requests.
        let routers = self.membership.members().len().max(usable);
        self.gateway.set_router_count(routers);
        self.gateway.fleet_load().set_limit_share(if is_scheduler {
            LimitShare::Whole
        } else {
            LimitShare::OneOf(routers)
        });
        self.cold_shares.record_membership_change();
        self.update_cold_share(now);
        if is_new {
            log::info!(
                members = usable, schedulers = self.roles.schedulers.len(), is_scheduler;
                "membership changed"
            );
        }
    }

    /// Passes the share of the rates of cold targets to the fleet load.
    fn update_cold_share(&mut self, now: Duration) {
        let view = View {
            own: self.membership.own(),
            members: self.membership.members(),
            schedulers: &self.roles.schedulers,
        };
        let share = self.cold_shares.update(&view, now);
        self.gateway.fleet_load().set_cold_share(share, now);
    }

    /// Removes the runs of dead gateways from the fleet load.
    fn drop_dead_peers(&mut self) {
        let now = self.gateway.clock.monotonic();
        let members = self.membership.members();
        let is_dead = |address: &SocketAddr| {
            let member = members.get(&member_name(*address));
            member.is_none_or(|m| m.health == Health::Dead)
        };
        let dead: Vec<SocketAddr> = self.origins.keys().copied().filter(is_dead).collect();
        for address in dead {
            if let Some(origin) = self.origins.remove(&address) {
                self.gateway
                    .fleet_load()
                    .retain_runs(origin, None, false, now);
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.gateway.clock.monotonic();
        let out = self.membership.tick(now);
        self.apply_outputs(out).await;
        self.update_cold_share(now);
        self.decide_watching(now);
        if now.saturating_sub(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.gateway.fleet_load().sweep(now);
            self.log_ejections(now);
            self.limit_log.update(&self.gateway, now);
            self.cold_log.update(&self.gateway, now);
            let quarantined = self.gateway.fleet_load().quarantine().len(now);
            self.gateway.metrics.record_quarantined(quarantined);
            // A report may also arrive after its crash was judged.
            self.judge_crashes(now);
        } else if self.gateway.fleet_load().has_unjudged_crashes(now) {
            self.judge_crashes(now);
        }
        if self.scheduler_since.is_some() {
            self.evenness_log.update(&self.gateway, now);
        }
        self.send_notices(now).await;
        self.send_cold_news(now).await;
        // Heartbeats reach more gateways than events do, so events do not replace them.
        let is_due = now.saturating_sub(self.heartbeat_sent_at) >= HEARTBEAT_INTERVAL;
        if is_due || self.gateway.fleet_load().has_events() {
            self.send_load(is_due, now).await;
        }
    }

    /// Logs targets that were ejected or readmitted.
    fn log_ejections(&mut self, now: Duration) {
        let ejected = self.gateway.fleet_load().unusable(now);
        for target in ejected.difference(&self.ejected) {
            log::warn!(target:%; "target ejected");
        }
        for target in self.ejected.difference(&ejected) {
            log::info!(target:%; "target readmitted");
        }
        self.ejected = ejected;
    }
}

/// Gateways are named by their addresses, because the settings contain only the addresses of seeds.
fn member_name(address: SocketAddr) -> VmName {
    VmName::from(address.to_string())
}

/// Splits a view of the membership into parts that fit into a datagram.
fn split_view(message: Message) -> Vec<Message> {
    match message {
        Message::View {
            members,
            wants_reply,
        } if members.len() > MAX_MEMBERS_PER_FRAME => {
            let parts = members.chunks(MAX_MEMBERS_PER_FRAME).enumerate();
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
