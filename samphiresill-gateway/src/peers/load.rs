//! Exchange of load events, runs and versions with other gateways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use samphiresill_sched::fleet::event::Event;

use super::driver::{Driver, HEARTBEAT};
use super::frame::{Frame, LoadFrame, MAX_BYTES};
use super::snapshot;
use crate::knowledge::Versions;

/// Pause between lists of all runs.
const LIST_RUNS: Duration = Duration::from_secs(1);
/// Time for which a peer has to be ahead of a watcher before its knowledge is fetched: the store
/// usually notifies all watchers within that.
const BEHIND: Duration = Duration::from_millis(300);
/// Runs listed in one datagram at most.
const MAX_LISTED_RUNS: usize = 300;

impl Driver {
    pub(super) fn receive_load(&mut self, frame: LoadFrame, from: SocketAddr, now: Duration) {
        if frame.origin == self.origin {
            return;
        }
        let before = self.origins.insert(from, frame.origin);
        if frame.is_watching {
            self.watcher_seen_at = now;
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
        if let Some(delta) = frame.delta {
            self.gateway.knowledge.apply_delta(delta);
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

    /// Fetches newer knowledge from a peer.
    pub(super) fn catch_up(&mut self, peer: SocketAddr, versions: Versions, now: Duration) {
        let since = *self.behind_since.get_or_insert(now);
        let is_waiting = self.gateway.knowledge.is_watching() && now.saturating_sub(since) < BEHIND;
        if is_waiting || self.is_fetching.load(Ordering::Acquire) {
            return;
        }
        self.behind_since = None;
        snapshot::fetch(&self.gateway, peer, versions, &self.is_fetching);
    }

    /// Sends the load to the other schedulers, or to the scheduler of this gateway.
    pub(super) async fn send_load(&mut self, is_heartbeat: bool, now: Duration) {
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

    /// Receivers of a heartbeat without load: all members from a watcher, its clients from a
    /// scheduler.
    pub(super) fn heartbeat_receivers(
        &mut self,
        now: Duration,
        told: &[SocketAddr],
    ) -> Vec<SocketAddr> {
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

    /// Announces a change that the store has notified this gateway of, to all members.
    pub(super) async fn broadcast_delta(&mut self) {
        let versions = self.gateway.knowledge.versions();
        let is_new = versions.directory > self.announced_version;
        if !self.gateway.knowledge.is_watching() || self.membership.members().is_empty() {
            return;
        }
        let mut frame = self.empty_frame();
        frame.delta = self.gateway.knowledge.delta().filter(|_| is_new);
        self.announced_version = versions.directory;
        let members = self.membership.members().values();
        let to: Vec<SocketAddr> = members
            .filter(|m| m.is_usable())
            .map(|m| m.address)
            .collect();
        self.peers.send(&Frame::Load(frame), to.into_iter()).await;
    }

    pub(super) fn empty_frame(&self) -> LoadFrame {
        LoadFrame {
            origin: self.origin,
            versions: self.gateway.knowledge.versions(),
            is_watching: self.gateway.knowledge.is_watching(),
            ..LoadFrame::default()
        }
    }

    /// Packs events into datagrams; the first one also carries the list of runs.
    pub(super) fn load_frames(&self, events: Vec<Event>, with_list: bool) -> Vec<LoadFrame> {
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
