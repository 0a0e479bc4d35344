//! The scheduler of one pool: it grants free slots to the customer that has received least in
//! proportion to its share, over the whole fleet.
//!
//! Its state is soft. What runs is told anew by the routers, the accounts by the schedulers of
//! other domains, both within one interval; until then a new scheduler only listens.
//!
//! Invariants: no slot is granted twice; a grant is settled once; what is charged in advance is
//! taken back in full; service given never falls.

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
use crate::message::{Acknowledge, GrantId, Message, PoolKey, Report, RunId};
use crate::options::Options;
use crate::topology::Topology;
use demand::{Receiver, Wish};
use slots::Slots;

/// Lapsed grants whose service can still be told.
const MAX_LAPSED: usize = 10_000;

/// `Outgoing` is a message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// To a router.
    Router(VmName, Message),
    /// To the scheduler of a pool, wherever it lives.
    Pool(PoolKey, Message),
}

#[derive(Clone, Debug)]
struct Router {
    incarnation: u64,
    sent_at: Duration,
    heard_at: Duration,
    receiver: Receiver,
}

#[derive(Clone, Debug)]
struct Peer {
    run: RunId,
    sent_at: Duration,
    heard_at: Duration,
    receiver: Receiver,
    seen: Option<(RunId, u64)>,
}

#[derive(Clone, Debug)]
struct Held {
    customer: CustomerName,
    target: TargetName,
    estimate: Tokens,
    served: Tokens,
    /// The router that runs the request, once it has said so.
    router: Option<VmName>,
    lease_until: Duration,
    offered_to: Option<DomainName>,
    /// Whether the service so far was counted by an earlier scheduler, as for a request that was
    /// adopted and has not been heard of since.
    is_counted_elsewhere: bool,
}

impl Held {
    fn outstanding(&self) -> Tokens {
        self.estimate.saturating_sub(self.served)
    }
}

/// `Scheduler` is one life of a pool's scheduler.
#[derive(Clone, Debug)]
pub struct Scheduler {
    vm: VmName,
    pool: PoolKey,
    run: RunId,
    opts: Options,
    topology: Arc<Topology>,
    listen_until: Duration,
    has_adopted: bool,
    next_seq: u64,
    targets: BTreeMap<TargetName, Slots>,
    held: BTreeMap<GrantId, Held>,
    /// Grants whose lease has lapsed: their slots are free, their service may still be told.
    lapsed: BTreeMap<GrantId, Held>,
    routers: BTreeMap<VmName, Router>,
    peers: BTreeMap<DomainName, Peer>,
    /// Lives of other domains' schedulers, with the time of their latest summary and of hearing it.
    heard_runs: BTreeMap<(DomainName, RunId), (Duration, Duration)>,
    ledger: Ledger,
    last_summary: Option<Duration>,
    told_unmet: BTreeSet<CustomerName>,
    is_summary_urgent: bool,
    is_full_wanted: bool,
    summaries_sent: u32,
}

impl Scheduler {
    /// Starts a scheduler that listens first.
    #[must_use]
    pub fn new(
        vm: VmName,
        pool: PoolKey,
        run: RunId,
        opts: Options,
        topology: Arc<Topology>,
        now: Duration,
    ) -> Self {
        let mut scheduler = Self {
            vm,
            pool,
            run,
            opts,
            topology: Arc::clone(&topology),
            listen_until: now + opts.listen_time,
            has_adopted: false,
            next_seq: 0,
            targets: BTreeMap::new(),
            held: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            routers: BTreeMap::new(),
            peers: BTreeMap::new(),
            heard_runs: BTreeMap::new(),
            ledger: Ledger::default(),
            last_summary: None,
            told_unmet: BTreeSet::new(),
            is_summary_urgent: true,
            is_full_wanted: false,
            summaries_sent: 0,
        };
        scheduler.set_topology(topology);
        scheduler
    }

    /// The life of this scheduler.
    #[must_use]
    pub fn run(&self) -> RunId {
        self.run
    }

    /// The accounts, for status and for checks.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Slots that are held, of all that the configuration gives.
    #[must_use]
    pub fn usage(&self) -> (usize, u32) {
        let all = self.topology.pools.get(&self.pool).into_iter().flatten();
        (self.held.len(), all.map(|(_, plan)| plan.slots).sum())
    }

    /// Takes a new configuration or view of the members.
    pub fn set_topology(&mut self, topology: Arc<Topology>) {
        let empty = BTreeMap::new();
        let plans = topology.pools.get(&self.pool).unwrap_or(&empty);
        for (name, plan) in plans {
            let slots = self
                .targets
                .entry(name.clone())
                .or_insert_with(|| Slots::new(plan.clone()));
            slots.set_plan(plan.clone());
        }
        // A target that is gone keeps its slots until the last request there has ended.
        let gone = self
            .targets
            .iter_mut()
            .filter(|(name, _)| !plans.contains_key(*name));
        gone.for_each(|(_, slots)| slots.drain());
        self.targets
            .retain(|name, slots| plans.contains_key(name) || slots.held() > 0);
        self.ledger.set_shares(&topology.shares);
        self.topology = topology;
    }

    /// Takes in a router's report.
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
            self.note_started(now, from, started);
        }
        for progress in &report.progress {
            self.note_progress(now, progress.grant, progress.served);
        }
        for released in &report.released {
            self.note_progress(now, released.grant, released.served);
            self.settle(now, released.grant, Some(&released.observed));
        }
        for grant in &report.declined {
            self.settle(now, *grant, None);
        }
        let unknown: Vec<GrantId> = report
            .progress
            .iter()
            .map(|p| p.grant)
            .filter(|grant| !self.held.contains_key(grant))
            .collect();
        let mut out = Vec::new();
        let is_news = !unknown.is_empty()
            || !report.started.is_empty()
            || !report.released.is_empty()
            || !report.declined.is_empty();
        if is_news || report.seen.is_none_or(|(run, _)| run != self.run) {
            let ack = Acknowledge {
                pool: self.pool.clone(),
                run: self.run,
                sent_at: report.sent_at,
                unknown,
            };
            out.push(Outgoing::Router(from.clone(), Message::Acknowledge(ack)));
        }
        out.extend(self.schedule(now));
        out
    }

    /// Does what time alone brings about: lapsed leases, silent senders, summaries that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.expire(now);
        let mut out = self.schedule(now);
        if self.is_summary_due(now) {
            out.extend(self.summaries(now));
        }
        out
    }

    /// Whether this scheduler has anything to look after.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.unmet_here().is_empty()
    }

    /// Whether a summary should leave before the next interval ends.
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
            self.settle_all_of(now, from);
        }
        let router = self.routers.entry(from.clone()).or_insert_with(|| Router {
            incarnation: report.incarnation,
            sent_at: report.sent_at,
            heard_at: now,
            receiver: Receiver::default(),
        });
        if restarted {
            router.receiver.forget_wishes();
        }
        router.incarnation = report.incarnation;
        router.sent_at = report.sent_at;
        router.heard_at = now;
        router.receiver.note_seen(self.run, report.seen);
        if report.full {
            router.receiver.forget_wishes();
        }
        for demand in &report.demand {
            let waited = Duration::from_millis(u64::from(demand.waited_ms));
            let wish = Wish {
                waiting: demand.waiting,
                estimate: demand.estimate,
                since: now.saturating_sub(waited),
            };
            router.receiver.set(&demand.customer, wish);
        }
    }

    /// Grants what can be granted, and has the other domains told of what cannot.
    fn schedule(&mut self, now: Duration) -> Vec<Outgoing> {
        if now < self.listen_until {
            return Vec::new();
        }
        let out = self.grant_free_slots(now);
        let unmet = self.unmet_here();
        self.told_unmet.retain(|c| unmet.contains(c));
        self.is_summary_urgent |= unmet.iter().any(|c| !self.told_unmet.contains(c));
        out
    }
}
