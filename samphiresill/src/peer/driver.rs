//! The task that keeps the membership and hands arriving items to the parts they concern.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use samphiresill_contract::change::Snapshot;
use samphiresill_core::name::{DomainName, VmName};
use samphiresill_member::membership::{Membership, Output};
use tokio::sync::mpsc;

use super::frame::{Content, Item};
use super::links::Links;
use crate::shared::Shared;

/// Time between two looks at the membership's timers.
const TICK: Duration = Duration::from_millis(50);
/// Time that a peer may have a newer configuration before it is asked for it: the table service
/// comes first.
const CONFIG_PATIENCE: Duration = Duration::from_millis(1_500);

/// `View` is what the rest of a router sees of the membership.
#[derive(Default)]
pub struct View {
    usable: ArcSwap<BTreeMap<VmName, DomainName>>,
    revisions: Mutex<BTreeMap<VmName, u64>>,
}

impl View {
    /// The routers that pools may be given to.
    #[must_use]
    pub fn usable(&self) -> Arc<BTreeMap<VmName, DomainName>> {
        self.usable.load_full()
    }

    /// The revision that each live peer was last known to have in force.
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

    fn note_revision(&self, vm: &VmName, revision: u64) {
        let mut known = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = known.entry(vm.clone()).or_default();
        *entry = revision.max(*entry);
    }
}

/// `Driver` owns the membership.
pub struct Driver {
    shared: Arc<Shared>,
    links: Links,
    membership: Membership,
    view: Arc<View>,
    newer_since: Option<Duration>,
    was_stopping: bool,
}

impl Driver {
    /// Prepares the task.
    #[must_use]
    pub fn new(shared: Arc<Shared>, links: Links, membership: Membership, view: Arc<View>) -> Self {
        view.usable.store(Arc::new(membership.usable()));
        Self {
            shared,
            links,
            membership,
            view,
            newer_since: None,
            was_stopping: false,
        }
    }

    /// Runs until the runtime ends.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Content>) {
        let mut timer = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                content = rx.recv() => match content {
                    Some(content) => self.take(content),
                    None => return,
                },
                _ = timer.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.monotonic();
        if self.shared.is_stopping() && !std::mem::replace(&mut self.was_stopping, true) {
            let out = self.membership.leave();
            self.act(out);
        }
        let out = self.membership.tick(now);
        self.act(out);
    }

    fn take(&mut self, content: Content) {
        let now = self.shared.clock.monotonic();
        let from = content.from;
        self.view.note_revision(&from, content.revision);
        self.note_newer(now, &from, content.revision);
        for item in content.items {
            match item {
                Item::Capacity(message) => {
                    self.shared.dispatcher.receive(from.clone(), message);
                }
                Item::Membership(message) => {
                    let out = self.membership.receive(now, &from, message);
                    self.act(out);
                }
                Item::WantConfig { have } => self.give_config(&from, have),
                Item::AskRevision => self.links.send(&from, Item::TellRevision),
                Item::TellRevision => {}
                Item::Config { snapshot } => self.take_config(&snapshot),
            }
        }
    }

    /// Asks a peer for its configuration once this router has been behind it for a while.
    fn note_newer(&mut self, now: Duration, from: &VmName, revision: u64) {
        let have = self.shared.config.current().revision;
        if revision <= have {
            self.newer_since = None;
            return;
        }
        let since = *self.newer_since.get_or_insert(now);
        if have == 0 || now >= since + CONFIG_PATIENCE {
            self.newer_since = Some(now);
            self.links.send(from, Item::WantConfig { have });
        }
    }

    fn give_config(&self, to: &VmName, have: u64) {
        let snapshot = self.shared.config.current();
        if snapshot.revision > have
            && let Ok(snapshot) = serde_json::to_string(snapshot.as_ref())
        {
            self.links.send(to, Item::Config { snapshot });
        }
    }

    fn take_config(&mut self, snapshot: &str) {
        let Ok(snapshot) = serde_json::from_str::<Snapshot>(snapshot) else {
            return log::warn!("configuration of a peer not readable");
        };
        let revision = snapshot.revision;
        if snapshot.document.validate().is_ok() && self.shared.config.advance(snapshot) {
            log::info!(revision; "configuration of a peer in force");
            self.newer_since = None;
            self.shared.publish_topology(&self.view.usable());
        }
    }

    fn act(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(member, message) => {
                    self.links
                        .send_at(&member.vm, member.address, Item::Membership(message));
                }
                Output::Changed => {
                    let usable = Arc::new(self.membership.usable());
                    log::info!(members = usable.len(); "members changed");
                    self.view.usable.store(Arc::clone(&usable));
                    let members = self.membership.members();
                    self.links.retain(|vm| members.contains_key(vm));
                    self.shared.publish_topology(&usable);
                }
            }
        }
    }
}
