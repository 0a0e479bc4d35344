//! Exchanges load events, lists of runs, versions and directory updates with other gateways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use samphiresill_sched::fleet::event::Event;

use super::driver::{Driver, HEARTBEAT_INTERVAL};
use super::frame::{Frame, LoadFrame, MAX_BYTES};
use super::snapshot;
use crate::knowledge::directory::Update;
use crate::knowledge::{Versions, evacuations};

/// Interval between lists of all active runs.
const RUN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a peer's routing state has to be newer than that of a watcher before the watcher
/// fetches it: the store usually notifies all watchers within this time.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of the directory changes in one datagram.
const MAX_UPDATE_BYTES: usize = 1_100;
/// Maximum size of the rows about evacuations in one datagram, so that it also holds directory changes.
/// It holds all rows of 15 failure domains with short names.
const MAX_EVACUATION_BYTES: usize = 230;
/// Maximum number of datagrams with directory changes sent at once; receivers fetch larger updates.
const MAX_UPDATE_PARTS: usize = 8;
/// Maximum number of runs listed in one datagram.
const MAX_RUNS_PER_FRAME: usize = 300;

impl Driver {
    pub(super) fn receive_load(&mut self, frame: LoadFrame, from: SocketAddr, now: Duration) {
        if frame.origin == self.instance_id {
            return;
        }
        let before = self.origins.insert(from, frame.origin);
        let is_parent = self.peers.parents().contains(&from);
        self.receive_answers(&frame, is_parent, now);
        let routing_state = &self.gateway.routing_state;
        routing_state.apply_evacuations(frame.evacuations, "peer", now);
        if is_parent {
            self.store_watch.record_parent(now);
        }
        if frame.is_for_relay {
            self.clients.insert(from, now);
        }
        let is_relayed = frame.is_for_relay;
        let mut fleet_load = self.gateway.fleet_load();
        if let Some(before) = before.filter(|b| *b != frame.origin) {
            fleet_load.retain_runs(before, None, is_relayed, now);
        }
        if self.is_exchanging_with(from) {
            fleet_load.balance_mut().record_view(frame.origin, now);
        }
        fleet_load.apply(frame.events, is_relayed, now);
        if let Some(runs) = &frame.runs {
            let active: BTreeSet<u32> = runs.iter().copied().collect();
            fleet_load.retain_runs(frame.origin, Some(&active), is_relayed, now);
        }
        drop(fleet_load);
        if let Some(mut update) = frame.update {
            update.set_cold_times(&frame.cold, now);
            update.set_software_versions(&frame.software_versions);
            self.gateway.routing_state.apply_update(update);
        }
        let own = self.gateway.routing_state.versions();
        let is_behind =
            frame.versions.revision > own.revision || frame.versions.directory > own.directory;
        if is_behind {
            self.fetch_newer_state(from, frame.versions, now);
        } else {
            self.behind_since = None;
        }
    }

    /// Returns whether this gateway and the one at `address` are schedulers and exchange events.
    fn is_exchanging_with(&self, address: SocketAddr) -> bool {
        let mut others = self.roles.other_schedulers(&self.vm).into_iter();
        self.scheduler_since.is_some() && others.any(|other| other == address)
    }

    /// Drops the views of gateways that exchange no events with this one any more.
    pub(super) fn drop_old_views(&self) {
        let origins = self.origins.iter();
        let exchanging = origins.filter(|(address, _)| self.is_exchanging_with(**address));
        let origins: BTreeSet<u64> = exchanging.map(|(_, origin)| *origin).collect();
        self.gateway
            .fleet_load()
            .balance_mut()
            .retain_views(&origins);
    }

    /// Fetches newer routing state from a peer, unless a fetch is running. A watcher first gives
    /// the store time to notify it.
    pub(super) fn fetch_newer_state(
        &mut self,
        peer: SocketAddr,
        versions: Versions,
        now: Duration,
    ) {
        let since = *self.behind_since.get_or_insert(now);
        let is_waiting =
            self.gateway.routing_state.is_watching() && now.saturating_sub(since) < FETCH_DELAY;
        if is_waiting || self.is_fetching.load(Ordering::Acquire) {
            return;
        }
        self.behind_since = None;
        snapshot::fetch(&self.gateway, peer, versions, &self.is_fetching);
    }

    /// Sends load events from a scheduler to the other schedulers, and from any other gateway to
    /// its scheduler.
    pub(super) async fn send_load(&mut self, is_heartbeat: bool, now: Duration) {
        let events = self.gateway.fleet_load().take_events();
        let is_list_due = now.saturating_sub(self.runs_listed_at) >= RUN_LIST_INTERVAL;
        if is_list_due {
            self.runs_listed_at = now;
        }
        let is_scheduler = self.roles.is_scheduler(&self.vm);
        let to: Vec<SocketAddr> = if is_scheduler {
            self.roles.other_schedulers(&self.vm).into_iter().collect()
        } else {
            self.peers.first_scheduler().into_iter().collect()
        };
        for mut frame in self.load_frames(events, is_list_due) {
            frame.is_for_relay = !is_scheduler;
            self.peers
                .send(&Frame::Load(frame), to.iter().copied())
                .await;
        }
        if is_heartbeat {
            self.heartbeat_sent_at = now;
            let mut frame = self.empty_frame();
            frame.is_for_relay = !is_scheduler;
            let all = self.heartbeat_receivers(is_scheduler, now, &to);
            self.peers.send(&Frame::Load(frame), all.into_iter()).await;
        }
    }

    /// Receivers of a heartbeat without load: the clients of a scheduler, and the parents of any
    /// other gateway, or all schedulers while it watches the store, except those that already receive
    /// the load.
    fn heartbeat_receivers(
        &mut self,
        is_scheduler: bool,
        now: Duration,
        load_receivers: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let mut receivers = self.live_clients(now);
        if !is_scheduler && self.gateway.routing_state.is_watching() {
            receivers.extend(self.peers.other_schedulers());
        } else if !is_scheduler {
            receivers.extend(self.peers.parents());
        }
        receivers.retain(|a| !load_receivers.contains(a));
        receivers
    }

    /// Tells a gateway that has just started what targets have told this one.
    pub(super) async fn send_directives(&self, to: SocketAddr) {
        let now = self.gateway.clock.monotonic();
        let events = {
            let fleet_load = self.gateway.fleet_load();
            let mut events = fleet_load.directive_events();
            events.extend(fleet_load.cold_events(now));
            events
        };
        if events.is_empty() {
            return;
        }
        for frame in self.load_frames(events, false) {
            self.peers
                .send(&Frame::Load(frame), std::iter::once(to))
                .await;
        }
    }

    /// Tells the clients of a scheduler of signs that targets have restarted, for placements without a
    /// scheduler.
    pub(super) async fn send_cold_news(&mut self, now: Duration) {
        let events = self.gateway.fleet_load().take_cold_news(now);
        if events.is_empty() || !self.roles.is_scheduler(&self.vm) {
            return;
        }
        let clients = self.live_clients(now);
        for frame in self.load_frames(events, false) {
            self.peers
                .send(&Frame::Load(frame), clients.iter().copied())
                .await;
        }
    }

    /// Removes clients that have not sent a frame recently, and returns the others.
    pub(super) fn live_clients(&mut self, now: Duration) -> Vec<SocketAddr> {
        self.clients
            .retain(|_, last_seen| now.saturating_sub(*last_seen) < HEARTBEAT_INTERVAL * 4);
        self.clients.keys().copied().collect()
    }

    /// Relays directory updates down the dissemination tree: from watchers to schedulers, and from
    /// schedulers to their clients.
    pub(super) async fn relay_updates(&mut self) {
        let now = self.gateway.clock.monotonic();
        let mut to = self.live_clients(now);
        if self.gateway.routing_state.is_watching() {
            to.extend(self.roles.other_schedulers(&self.vm));
        }
        let announced = self.announced_version;
        self.announced_version = self.gateway.routing_state.versions().directory;
        for frame in self.update_frames(announced) {
            self.peers
                .send(&Frame::Load(frame), to.iter().copied())
                .await;
        }
    }

    /// Frames with the directory changes after a version. When there are too many, a single frame
    /// with only the versions, upon which receivers fetch the changes.
    fn update_frames(&self, after: u64) -> Vec<LoadFrame> {
        let update = self.gateway.routing_state.directory_since(after);
        let is_known = after > 0 && update.base.is_some();
        let parts = if is_known {
            update.into_parts(MAX_UPDATE_BYTES)
        } else {
            Vec::new()
        };
        if parts.is_empty() || parts.len() > MAX_UPDATE_PARTS {
            return vec![self.empty_frame()];
        }
        let now = self.gateway.clock.monotonic();
        let frame = |update: Update| LoadFrame {
            cold: update.cold_times(now),
            software_versions: update.software_versions(),
            update: Some(update),
            ..self.empty_frame()
        };
        parts.into_iter().map(frame).collect()
    }

    pub(super) fn empty_frame(&self) -> LoadFrame {
        LoadFrame {
            origin: self.instance_id,
            versions: self.gateway.routing_state.versions(),
            is_watching: self.gateway.routing_state.is_watching(),
            answers: self.answers(),
            evacuations: self
                .gateway
                .routing_state
                .next_evacuations(MAX_EVACUATION_BYTES),
            ..LoadFrame::default()
        }
    }

    /// Packs events into frames of at most [`MAX_BYTES`]; the first one also carries the list of
    /// runs.
    pub(super) fn load_frames(&self, events: Vec<Event>, with_list: bool) -> Vec<LoadFrame> {
        let runs = with_list.then(|| self.gateway.fleet_load().own_runs());
        let mut first = self.empty_frame();
        first.runs = runs.filter(|r| r.len() <= MAX_RUNS_PER_FRAME);
        let empty_length = evacuations::max_bytes(&first.evacuations) + 64;
        let mut length = first.runs.as_ref().map_or(0, |r| r.len() * 3) + empty_length;
        let mut frames = vec![first];
        for event in events {
            let size = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
            if length + size > MAX_BYTES {
                frames.push(self.empty_frame());
                length = empty_length;
            }
            length += size;
            if let Some(last) = frames.last_mut() {
                last.events.push(event);
            }
        }
        frames
    }
}
