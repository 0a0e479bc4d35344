//! Decides which part of the rate of cold targets this gateway uses.
//!
//! A scheduler has its full share only while it sees more than half of the fleet and hears from more than
//! half of the schedulers. It begins to use it after a scheduler that has lost its role has ceased to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::VmName;
use samphiresill_member::member::{Health, Member};
use samphiresill_sched::fleet::cold_start::share::ColdShare;

/// Time after a start or a suspension in which a gateway uses the smallest share: its view of the fleet
/// is out of date.
const START_TIME: Duration = Duration::from_secs(3);
/// Interval between updates of the share above which the process counts as having been suspended.
const MAX_UPDATE_GAP: Duration = Duration::from_millis(500);
/// Time within which a scheduler hears from another one that it can reach: two heartbeats and a margin.
const HEARING_TIME: Duration = Duration::from_secs(1);
/// Time after a change of the schedulers in which this gateway uses no larger share than before it. It
/// is longer than [`HEARING_TIME`].
const ROLE_CHANGE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which gateways that are no longer known count as part of the fleet, so that a part of it that
/// is partitioned for long does not take itself for the whole.
const MEMBER_RETENTION: Duration = Duration::from_mins(10);
/// Interval between counts of the gateways while the membership does not change.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of gateways that are counted.
const MAX_MEMBERS: usize = 4_096;

/// `View` is what a gateway knows of the fleet.
pub(crate) struct View<'a> {
    /// This gateway.
    pub(crate) own: &'a Member,
    /// The other gateways, including dead ones.
    pub(crate) members: &'a BTreeMap<VmName, Member>,
    /// The schedulers.
    pub(crate) schedulers: &'a [Member],
}

/// `ColdShares` derives the share of a gateway from its view of the fleet.
#[derive(Debug)]
pub(crate) struct ColdShares {
    /// When a frame of each scheduler was last received.
    heard: BTreeMap<SocketAddr, Duration>,
    /// When each gateway was last known.
    known: BTreeMap<VmName, Duration>,
    /// Number of gateways of the fleet, and of those that are usable.
    counts: (usize, usize),
    /// When they were counted; `None` after a change of the membership.
    counted_at: Option<Duration>,
    updated_at: Duration,
    /// End of the period after a start or a suspension.
    alone_until: Duration,
    /// Since when this gateway has been a scheduler.
    scheduler_since: Option<Duration>,
    /// The numbers of schedulers within the last [`ROLE_CHANGE_TIME`], with the time until which each
    /// counts. At most one entry for each number.
    scheduler_counts: BTreeMap<usize, Duration>,
}

impl ColdShares {
    /// Creates the state of a gateway that starts at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            heard: BTreeMap::new(),
            known: BTreeMap::new(),
            counts: (1, 1),
            counted_at: None,
            updated_at: now,
            alone_until: now + START_TIME,
            scheduler_since: None,
            scheduler_counts: BTreeMap::new(),
        }
    }

    /// Records a frame of another scheduler.
    pub(crate) fn record_heard(&mut self, from: SocketAddr, now: Duration) {
        if let Some(heard_at) = self.heard.get_mut(&from) {
            *heard_at = now;
        }
    }

    /// Notes that members have changed, so that they are counted again.
    pub(crate) fn record_membership_change(&mut self) {
        self.counted_at = None;
    }

    /// Returns the share of this gateway; called with each tick of the driver.
    pub(crate) fn update(&mut self, view: &View<'_>, now: Duration) -> ColdShare {
        if now.saturating_sub(self.updated_at) > MAX_UPDATE_GAP {
            self.alone_until = now + START_TIME;
        }
        self.updated_at = now;
        let is_due = |at: Duration| now.saturating_sub(at) >= COUNT_INTERVAL;
        if self.counted_at.is_none_or(is_due) {
            let usable = view.members.values().filter(|m| m.is_usable()).count() + 1;
            self.counts = (self.count_routers(view, now), usable);
            self.counted_at = Some(now);
        }
        let (routers, usable) = self.counts;
        let others = view.schedulers.iter().filter(|m| m.vm != view.own.vm);
        let others: Vec<&Member> = others.collect();
        let is_scheduler = others.len() < view.schedulers.len();
        let since = self.scheduler_since.unwrap_or(now);
        self.scheduler_since = is_scheduler.then_some(since);
        let hears_majority = self.hears_majority(&others, now);
        self.scheduler_counts.retain(|_, until| now < *until);
        self.scheduler_counts
            .insert(view.schedulers.len(), now + ROLE_CHANGE_TIME);
        let is_settled = now >= self.alone_until && now.saturating_sub(since) >= ROLE_CHANGE_TIME;
        if !is_scheduler || !is_settled || !hears_majority || usable * 2 <= routers {
            return ColdShare::Alone { routers };
        }
        let max_schedulers = self.scheduler_counts.keys().max().copied().unwrap_or(1);
        ColdShare::Scheduler {
            own: view.own.vm.clone(),
            others: others.iter().map(|m| m.vm.clone()).collect(),
            divisor: max_schedulers,
            routers,
        }
    }

    /// Counts the gateways of the fleet, including dead ones and those that were known a while ago.
    fn count_routers(&mut self, view: &View<'_>, now: Duration) -> usize {
        for (vm, member) in view.members {
            if member.health == Health::Leaving {
                self.known.remove(vm);
            } else if self.known.len() < MAX_MEMBERS || self.known.contains_key(vm) {
                self.known.insert(vm.clone(), now);
            }
        }
        self.known
            .retain(|_, at| now.saturating_sub(*at) < MEMBER_RETENTION);
        self.known.len() + 1
    }

    /// Whether more than half of the schedulers, with this gateway, have been heard recently.
    fn hears_majority(&mut self, others: &[&Member], now: Duration) -> bool {
        let addresses: BTreeSet<SocketAddr> = others.iter().map(|m| m.address).collect();
        self.heard.retain(|a, _| addresses.contains(a));
        for address in addresses {
            // A scheduler that has just been chosen may be as unreachable as the one before.
            self.heard.entry(address).or_default();
        }
        let recent = self.heard.values();
        let recent = recent.filter(|at| now.saturating_sub(**at) < HEARING_TIME);
        (recent.count() + 1) * 2 > others.len() + 1
    }
}
