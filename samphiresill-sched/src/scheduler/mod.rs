//! Scheduler of one pool. Grants free slots to the customer that has received the least service in
//! proportion to its share across the fleet.
//!
//! The scheduler keeps soft state only. After a start it recovers the running requests from the
//! reports of the routers and the accounts from the schedulers of other domains, both within one
//! interval. Until then it only listens and issues no grants.
//!
//! Invariants: a slot is never granted twice; a grant is ended once; reservations are released in
//! full; the service counted never decreases.

pub mod demand;
pub mod exchange;
mod granting;
mod leases;
pub mod slots;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName, VmName};
use samphiresill_core::units::Tokens;

use crate::ledger::Ledger;
use crate::message::{Acknowledge, GrantId, Message, PoolKey, Report, SchedulerInstanceId};
use crate::options::Options;
use crate::topology::Topology;
use demand::{GrantReceiver, PendingDemand};
use slots::TargetSlots;

/// Maximum number of grants with expired leases whose service can still be reported.
const MAX_EXPIRED_GRANTS: usize = 10_000;

/// `Outgoing` is a message with its destination.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// To a router.
    Router(VmName, Message),
    /// To the scheduler of a pool, on whichever VM it runs.
    Pool(PoolKey, Message),
}

#[derive(Clone, Debug)]
struct Router {
    incarnation: u64,
    sent_at: Duration,
    received_at: Duration,
    receiver: GrantReceiver,
}

#[derive(Clone, Debug)]
struct Peer {
    instance: SchedulerInstanceId,
    sent_at: Duration,
    received_at: Duration,
    receiver: GrantReceiver,
    seen: Option<(SchedulerInstanceId, u64)>,
}

#[derive(Clone, Debug)]
struct ActiveGrant {
    customer: CustomerName,
    target: TargetName,
    estimate: Tokens,
    served: Tokens,
    /// The router that runs the request, once it has reported the start.
    router: Option<VmName>,
    lease_until: Duration,
    offered_to: Option<DomainName>,
    /// Whether the service so far was counted by an earlier scheduler. Set for requests that were
    /// taken over and have not reported progress since.
    is_counted_by_predecessor: bool,
}

impl ActiveGrant {
    fn outstanding(&self) -> Tokens {
        self.estimate.saturating_sub(self.served)
    }
}

/// `Scheduler` is one instance of a pool's scheduler.
#[derive(Clone, Debug)]
pub struct Scheduler {
    vm: VmName,
    pool: PoolKey,
    instance: SchedulerInstanceId,
    opts: Options,
    topology: Arc<Topology>,
    listen_until: Duration,
    has_initial_accounts: bool,
    next_seq: u64,
    targets: BTreeMap<TargetName, TargetSlots>,
    active_grants: BTreeMap<GrantId, ActiveGrant>,
    /// Grants whose lease has expired: their slots are free, but their service can still be
    /// reported.
    expired_grants: BTreeMap<GrantId, ActiveGrant>,
    routers: BTreeMap<VmName, Router>,
    peers: BTreeMap<DomainName, Peer>,
    /// Scheduler instances of other domains, with the send time and the arrival time of their
    /// latest summary.
    peer_instances: BTreeMap<(DomainName, SchedulerInstanceId), (Duration, Duration)>,
    ledger: Ledger,
    last_summary: Option<Duration>,
    published_unmet: BTreeSet<CustomerName>,
    is_summary_urgent: bool,
    is_full_requested: bool,
    summaries_sent: u32,
}

impl Scheduler {
    /// Creates a scheduler in its listening phase.
    #[must_use]
    pub fn new(
        vm: VmName,
        pool: PoolKey,
        instance: SchedulerInstanceId,
        opts: Options,
        topology: Arc<Topology>,
        now: Duration,
    ) -> Self {
        let mut scheduler = Self {
            vm,
            pool,
            instance,
            opts,
            topology: Arc::clone(&topology),
            listen_until: now + opts.listen_time,
            has_initial_accounts: false,
            next_seq: 0,
            targets: BTreeMap::new(),
            active_grants: BTreeMap::new(),
            expired_grants: BTreeMap::new(),
            routers: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_instances: BTreeMap::new(),
            ledger: Ledger::default(),
            last_summary: None,
            published_unmet: BTreeSet::new(),
            is_summary_urgent: true,
            is_full_requested: false,
            summaries_sent: 0,
        };
        scheduler.set_topology(topology);
        scheduler
    }

    /// Returns the ID of this scheduler instance.
    #[must_use]
    pub fn instance(&self) -> SchedulerInstanceId {
        self.instance
    }

    /// Returns the ledger, for status reports and tests.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of slots in use and the number of configured slots.
    #[must_use]
    pub fn usage(&self) -> (usize, u32) {
        let all = self.topology.pools.get(&self.pool).into_iter().flatten();
        (
            self.active_grants.len(),
            all.map(|(_, config)| config.slots).sum(),
        )
    }

    /// Applies a new configuration or membership view.
    pub fn set_topology(&mut self, topology: Arc<Topology>) {
        let empty = BTreeMap::new();
        let configs = topology.pools.get(&self.pool).unwrap_or(&empty);
        for (name, config) in configs {
            let slots = self
                .targets
                .entry(name.clone())
                .or_insert_with(|| TargetSlots::new(config.clone()));
            slots.set_config(config.clone());
        }
        // A removed target keeps its slots until its last request has ended.
        let removed = self
            .targets
            .iter_mut()
            .filter(|(name, _)| !configs.contains_key(*name));
        removed.for_each(|(_, slots)| slots.drain());
        self.targets
            .retain(|name, slots| configs.contains_key(name) || slots.in_use() > 0);
        self.ledger.set_shares(&topology.shares);
        self.topology = topology;
    }

    /// Processes a router's report.
    pub fn receive_report(
        &mut self,
        now: Duration,
        from: &VmName,
        report: &Report,
    ) -> Vec<Outgoing> {
        if !self.is_newer(from, report) {
            return Vec::new();
        }
        self.update_router(now, from, report);
        for started in &report.started {
            self.record_started(now, from, started);
        }
        for progress in &report.progress {
            self.record_progress(now, progress.grant, progress.served);
        }
        for released in &report.released {
            self.record_progress(now, released.grant, released.served);
            self.end_grant(now, released.grant, Some(&released.observed));
        }
        for grant in &report.declined {
            self.end_grant(now, *grant, None);
        }
        let unknown: Vec<GrantId> = report
            .progress
            .iter()
            .map(|p| p.grant)
            .filter(|grant| !self.active_grants.contains_key(grant))
            .collect();
        let mut out = Vec::new();
        let must_acknowledge = !unknown.is_empty()
            || !report.started.is_empty()
            || !report.released.is_empty()
            || !report.declined.is_empty();
        if must_acknowledge
            || report
                .seen
                .is_none_or(|(instance, _)| instance != self.instance)
        {
            let ack = Acknowledge {
                pool: self.pool.clone(),
                run: self.instance,
                sent_at: report.sent_at,
                unknown,
            };
            out.push(Outgoing::Router(from.clone(), Message::Acknowledge(ack)));
        }
        out.extend(self.schedule(now));
        out
    }

    /// Processes timeouts: expired leases, routers and schedulers that have stopped sending, and
    /// summaries that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.expire(now);
        let mut out = self.schedule(now);
        if self.is_summary_due(now) {
            out.extend(self.build_summaries(now));
        }
        out
    }

    /// Returns whether the scheduler has neither grants in use nor unmet demand.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.active_grants.is_empty() && self.local_unmet().is_empty()
    }

    /// Returns whether a summary should be sent before the next interval ends.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.is_summary_urgent
    }

    fn is_newer(&self, from: &VmName, report: &Report) -> bool {
        self.routers.get(from).is_none_or(|known| {
            (known.incarnation, known.sent_at) < (report.incarnation, report.sent_at)
        })
    }

    fn update_router(&mut self, now: Duration, from: &VmName, report: &Report) {
        let restarted = self
            .routers
            .get(from)
            .is_some_and(|r| r.incarnation != report.incarnation);
        if restarted {
            self.end_grants_of(now, from);
        }
        let router = self.routers.entry(from.clone()).or_insert_with(|| Router {
            incarnation: report.incarnation,
            sent_at: report.sent_at,
            received_at: now,
            receiver: GrantReceiver::default(),
        });
        if restarted {
            router.receiver.clear_demand();
        }
        router.incarnation = report.incarnation;
        router.sent_at = report.sent_at;
        router.received_at = now;
        router.receiver.remove_received(self.instance, report.seen);
        if report.full {
            router.receiver.clear_demand();
        }
        for demand in &report.demand {
            let waited = Duration::from_millis(u64::from(demand.waited_ms));
            let pending = PendingDemand {
                waiting: demand.waiting,
                estimate: demand.estimate,
                since: now.saturating_sub(waited),
            };
            router.receiver.update_demand(&demand.customer, pending);
        }
    }

    /// Grants free slots, and requests an early summary if customers that the other domains do not
    /// know of have unmet demand.
    fn schedule(&mut self, now: Duration) -> Vec<Outgoing> {
        if now < self.listen_until {
            return Vec::new();
        }
        let out = self.grant_free_slots(now);
        let unmet = self.local_unmet();
        self.published_unmet.retain(|c| unmet.contains(c));
        self.is_summary_urgent |= unmet.iter().any(|c| !self.published_unmet.contains(c));
        out
    }
}
