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
pub mod slots;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName, VmName};
use samphiresill_core::units::Tokens;

use crate::ledger::Ledger;
use crate::message::{
    Acknowledge, Delivery, Grant, GrantId, Message, Observed, PoolKey, Report, RunId, Started,
};
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

    fn note_started(&mut self, now: Duration, from: &VmName, started: &Started) {
        let lease_until = now + self.opts.slot_lease;
        if let Some(held) = self.held.get_mut(&started.grant) {
            held.router = Some(from.clone());
            held.lease_until = lease_until;
            return;
        }
        // A request that an earlier life of this scheduler granted, or whose lease has lapsed.
        let Some(slots) = self.targets.get_mut(&started.target) else {
            return;
        };
        slots.adopt(started.grant);
        let lapsed = self.lapsed.remove(&started.grant);
        let held = lapsed.map(|held| Held {
            router: Some(from.clone()),
            lease_until,
            ..held
        });
        let held = held.unwrap_or_else(|| Held {
            customer: started.customer.clone(),
            target: started.target.clone(),
            estimate: started.estimate,
            served: Tokens(0),
            router: Some(from.clone()),
            lease_until,
            offered_to: None,
            is_counted_elsewhere: started.grant.run != self.run,
        });
        self.ledger.reserve(&held.customer, held.outstanding());
        self.held.insert(started.grant, held);
    }

    /// Counts progress; the first that is told of an adopted request was counted before.
    fn note_progress(&mut self, now: Duration, grant: GrantId, served: Tokens) {
        if let Some(lapsed) = self.lapsed.get_mut(&grant) {
            let added = served.saturating_sub(lapsed.served);
            lapsed.served = lapsed.served.max(served);
            let customer = lapsed.customer.clone();
            return self.ledger.serve(&customer, added);
        }
        let Some(held) = self.held.get_mut(&grant) else {
            return;
        };
        let before = held.outstanding();
        let added = served.saturating_sub(held.served);
        held.served = held.served.max(served);
        held.lease_until = now + self.opts.slot_lease;
        let freed = before.saturating_sub(held.outstanding());
        let customer = held.customer.clone();
        let was_counted = std::mem::take(&mut held.is_counted_elsewhere);
        if freed.0 > 0 {
            self.ledger.unreserve(&customer, freed);
        }
        if !was_counted {
            self.ledger.serve(&customer, added);
        }
    }

    /// Ends a grant: its slot is free and nothing is charged in advance any more.
    fn settle(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) {
        self.lapsed.remove(&grant);
        self.free(now, grant, observed);
    }

    /// Frees the slot of a grant, and takes back what was charged in advance.
    fn free(&mut self, now: Duration, grant: GrantId, observed: Option<&Observed>) -> Option<Held> {
        let held = self.held.remove(&grant)?;
        let outstanding = held.outstanding();
        if outstanding.0 > 0 {
            self.ledger.unreserve(&held.customer, outstanding);
        }
        if let Some(slots) = self.targets.get_mut(&held.target) {
            slots.release(now, grant, observed);
        }
        Some(held)
    }

    fn settle_all_of(&mut self, now: Duration, router: &VmName) {
        let of_router = self
            .held
            .iter()
            .filter(|(_, h)| h.router.as_ref() == Some(router));
        let grants: Vec<GrantId> = of_router.map(|(id, _)| *id).collect();
        for grant in grants {
            self.settle(now, grant, None);
        }
    }

    fn expire(&mut self, now: Duration) {
        let lapsed = self.held.iter().filter(|(_, h)| h.lease_until <= now);
        let lapsed: Vec<GrantId> = lapsed.map(|(id, _)| *id).collect();
        for grant in lapsed {
            let held = self.free(now, grant, None).filter(|h| h.router.is_some());
            if let Some(held) = held {
                self.lapsed.insert(grant, held);
            }
        }
        while self.lapsed.len() > MAX_LAPSED {
            self.lapsed.pop_first();
        }
        let life = self.opts.grant_life * 2;
        let report_silence = self.opts.report_interval * 4;
        for router in self.routers.values_mut() {
            router.receiver.forget_lost(now, life);
            if now > router.heard_at + report_silence {
                router.receiver.forget_wishes();
            }
        }
        let lease = self.opts.slot_lease;
        self.routers.retain(|_, r| now <= r.heard_at + lease * 4);
        for peer in self.peers.values_mut() {
            peer.receiver.forget_lost(now, life);
            if now > peer.heard_at + self.opts.rejoin_silence {
                peer.receiver.forget_wishes();
            }
        }
        let silence = self.opts.rejoin_silence;
        let silent = self
            .heard_runs
            .iter()
            .filter(|(_, (_, heard_at))| now > *heard_at + silence);
        for (domain, run) in silent.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.ledger.drop_outstanding(&domain, run);
            self.heard_runs.remove(&(domain, run));
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

    /// Grants free slots as long as there are any and someone has a use for them.
    fn grant_free_slots(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let Some(mut target) = self.best_target(now) else {
            return out;
        };
        let mut wanting = self.wanting();
        self.ledger.set_active(wanting.clone());
        while let Some(customer) = self.least_charged(&wanting) {
            match self.grant(now, &target, &customer) {
                Some(outgoing) => {
                    out.push(outgoing);
                    let Some(next) = self.best_target(now) else {
                        break;
                    };
                    target = next;
                }
                None => drop(wanting.remove(&customer)),
            }
        }
        out
    }

    fn unmet_here(&self) -> BTreeSet<CustomerName> {
        let routers = self.routers.values();
        routers
            .flat_map(|r| r.receiver.unmet_all())
            .map(|(c, _, _)| c.clone())
            .collect()
    }

    fn wanting(&self) -> BTreeSet<CustomerName> {
        let mut wanting = self.unmet_here();
        for peer in self.peers.values() {
            wanting.extend(peer.receiver.unmet_all().map(|(c, _, _)| c.clone()));
        }
        wanting
    }

    fn least_charged(&self, wanting: &BTreeSet<CustomerName>) -> Option<CustomerName> {
        let charged = wanting.iter().map(|c| (self.ledger.charge(c), c));
        charged
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)))
            .map(|(_, c)| c.clone())
    }

    fn best_target(&self, now: Duration) -> Option<TargetName> {
        let free = self.targets.iter().filter(|(_, slots)| slots.free(now) > 0);
        free.min_by(|a, b| a.1.cost().total_cmp(&b.1.cost()))
            .map(|(name, _)| name.clone())
    }

    /// Grants a slot to a customer's request in this domain, or else in the domain with the most
    /// of them; nothing when it turns out that none waits.
    fn grant(
        &mut self,
        now: Duration,
        target: &TargetName,
        customer: &CustomerName,
    ) -> Option<Outgoing> {
        let router = self.router_for(customer);
        let domain = if router.is_some() {
            None
        } else {
            Some(self.domain_for(customer)?)
        };
        let receiver = match (&router, &domain) {
            (Some(vm), _) => &self.routers.get(vm)?.receiver,
            (None, domain) => &self.peers.get(domain.as_ref()?)?.receiver,
        };
        let estimate = Tokens(receiver.wish(customer)?.estimate.0.max(1));
        self.next_seq += 1;
        let id = GrantId {
            run: self.run,
            seq: self.next_seq,
        };
        let grant = Grant {
            id,
            pool: self.pool.clone(),
            scheduler: self.vm.clone(),
            target: target.clone(),
            customer: customer.clone(),
            estimate,
        };
        self.targets.get_mut(target)?.grant(now, id);
        self.ledger.reserve(customer, estimate);
        let held = Held {
            customer: customer.clone(),
            target: target.clone(),
            estimate,
            served: Tokens(0),
            router: None,
            lease_until: now + self.opts.grant_life * 2 + self.opts.report_interval * 2,
            offered_to: domain.clone(),
            is_counted_elsewhere: false,
        };
        self.held.insert(id, held);
        match (router, domain) {
            (Some(vm), _) => Some(self.deliver(now, &vm, grant)),
            (None, domain) => self.offer(now, &domain?, grant),
        }
    }

    fn deliver(&mut self, now: Duration, vm: &VmName, grant: Grant) -> Outgoing {
        let router = self
            .routers
            .get_mut(vm)
            .expect("a grant goes to a known router");
        let order = router.receiver.send(now, &grant.customer);
        let delivery = Delivery {
            grant,
            basis: router.sent_at,
            run: self.run,
            order,
        };
        Outgoing::Router(vm.clone(), Message::Grant(delivery))
    }

    /// The router at which a customer's request has waited longest.
    fn router_for(&self, customer: &CustomerName) -> Option<VmName> {
        let with_unmet = self
            .routers
            .iter()
            .filter(|(_, r)| r.receiver.unmet(customer) > 0);
        let since = |r: &Router| r.receiver.wish(customer).map(|w| w.since);
        with_unmet
            .min_by_key(|(_, r)| since(r))
            .map(|(vm, _)| vm.clone())
    }
}
