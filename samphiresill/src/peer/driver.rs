//! Task that runs the membership protocol and dispatches received items.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use samphiresill_contract::change::Snapshot;
use samphiresill_core::name::{DomainName, VmName};
use samphiresill_member::membership::{Membership, Output};
use tokio::sync::mpsc;

use super::frame::{Item, Payload};
use super::links::Links;
use crate::shared::Shared;

/// Interval at which the membership's timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a newer configuration is requested from a peer. Normally the router gets it from
/// the table service first.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(1_500);

/// `MembershipView` publishes the membership to the other components of a router.
#[derive(Default)]
pub struct MembershipView {
    usable: ArcSwap<BTreeMap<VmName, DomainName>>,
    revisions: Mutex<BTreeMap<VmName, u64>>,
}

impl MembershipView {
    /// Returns the routers that pools may be assigned to, with their failure domains.
    #[must_use]
    pub fn usable(&self) -> Arc<BTreeMap<VmName, DomainName>> {
        self.usable.load_full()
    }

    /// Returns the last known revision in force of each usable router; 0 if unknown.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<VmName, u64> {
        let known = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let usable = self.usable.load();
        usable
            .keys()
            .map(|vm| (vm.clone(), known.get(vm).copied().unwrap_or(0)))
            .collect()
    }

    fn record_revision(&self, vm: &VmName, revision: u64) {
        let mut known = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = known.entry(vm.clone()).or_default();
        *entry = revision.max(*entry);
    }
}

/// `Driver` runs the membership protocol of a router.
pub struct Driver {
    shared: Arc<Shared>,
    links: Links,
    membership: Membership,
    view: Arc<MembershipView>,
    behind_since: Option<Duration>,
    has_left: bool,
}

impl Driver {
    /// Creates the driver and publishes the initial membership.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        links: Links,
        membership: Membership,
        view: Arc<MembershipView>,
    ) -> Self {
        view.usable.store(Arc::new(membership.usable()));
        Self {
            shared,
            links,
            membership,
            view,
            behind_since: None,
            has_left: false,
        }
    }

    /// Runs until all senders of `rx` are dropped or the runtime shuts down.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Payload>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                payload = rx.recv() => match payload {
                    Some(payload) => self.handle_payload(payload),
                    None => return,
                },
                _ = timer.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.monotonic();
        if self.shared.is_stopping() && !std::mem::replace(&mut self.has_left, true) {
            let out = self.membership.leave();
            self.apply_outputs(out);
        }
        let out = self.membership.tick(now);
        self.apply_outputs(out);
    }

    fn handle_payload(&mut self, payload: Payload) {
        let now = self.shared.clock.monotonic();
        let from = payload.from;
        self.view.record_revision(&from, payload.revision);
        self.request_newer_config(now, &from, payload.revision);
        for item in payload.items {
            match item {
                Item::Capacity(message) => {
                    self.shared.dispatcher.receive(from.clone(), message);
                }
                Item::Membership(message) => {
                    let out = self.membership.receive(now, &from, message);
                    self.apply_outputs(out);
                }
                Item::WantConfig { have } => self.send_config(&from, have),
                Item::AskRevision => self.links.send(&from, Item::TellRevision),
                Item::TellRevision => {}
                Item::Config { snapshot } => self.adopt_config(&snapshot),
            }
        }
    }

    /// Requests the configuration of a peer after this router has been behind for
    /// `CONFIG_REQUEST_DELAY`, or at once if it has none yet.
    fn request_newer_config(&mut self, now: Duration, from: &VmName, revision: u64) {
        let have = self.shared.config.current().revision;
        if revision <= have {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if have == 0 || now >= since + CONFIG_REQUEST_DELAY {
            self.behind_since = Some(now);
            self.links.send(from, Item::WantConfig { have });
        }
    }

    fn send_config(&self, to: &VmName, have: u64) {
        let snapshot = self.shared.config.current();
        if snapshot.revision > have
            && let Ok(snapshot) = serde_json::to_string(snapshot.as_ref())
        {
            self.links.send(to, Item::Config { snapshot });
        }
    }

    fn adopt_config(&mut self, snapshot: &str) {
        let Ok(snapshot) = serde_json::from_str::<Snapshot>(snapshot) else {
            return log::warn!("cannot decode configuration received from peer");
        };
        let revision = snapshot.revision;
        if snapshot.document.validate().is_ok() && self.shared.config.advance(snapshot) {
            log::info!(revision; "configuration received from peer in force");
            self.behind_since = None;
            self.shared.publish_topology(&self.view.usable());
        }
    }

    fn apply_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(member, message) => {
                    self.links
                        .send_at(&member.vm, member.address, Item::Membership(message));
                }
                Output::Changed => {
                    let usable = Arc::new(self.membership.usable());
                    log::info!(members = usable.len(); "set of usable routers changed");
                    self.view.usable.store(Arc::clone(&usable));
                    let members = self.membership.members();
                    self.links.retain(|vm| members.contains_key(vm));
                    self.shared.publish_topology(&usable);
                }
            }
        }
    }
}
