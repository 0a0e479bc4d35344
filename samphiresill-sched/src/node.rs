//! One router's part in the capacity decisions: its queues, its links to pools, and the pools
//! that it schedules itself.
//!
//! Invariants: each submitted request gets exactly one of start, refusal and withdrawal; a grant
//! is used at most once, and never after its life.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use samphiresill_core::name::{
    CustomerName, DomainName, RequestId, ServiceName, TargetName, VmName,
};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;

use crate::estimate::Estimator;
use crate::link::Link;
use crate::message::{Delivery, GrantId, Message, Observed, PoolKey, RunId, Started};
use crate::options::Options;
use crate::queue::{Queues, Waiting, Work};
use crate::scheduler::{Outgoing, Scheduler};
use crate::topology::Topology;

/// `Event` is something that a node has to react to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a slot.
    Submit(Work),
    /// The caller of a waiting request is gone.
    Withdraw(RequestId),
    /// A running request has received this much service so far.
    Progress(RequestId, Tokens),
    /// A running request is over.
    Finished(RequestId, Observed),
    /// A message of another node has arrived.
    Receive(VmName, Message),
    /// The configuration or the view of the members has changed.
    Topology(Arc<Topology>),
    /// Time has passed.
    Tick,
}

/// `Action` is something that the caller of a node has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another node.
    Send(VmName, Message),
    /// Start a request on a target.
    Start {
        /// The request.
        request: RequestId,
        /// Identifies the slot.
        grant: GrantId,
        /// Where the request runs.
        target: TargetName,
    },
    /// Tell the caller that its request is not run.
    Refuse(RequestId, Refusal),
}

#[derive(Clone, Debug)]
struct RunningRequest {
    pool: PoolKey,
    grant: GrantId,
    work: Work,
}

/// `Node` is the decision state of one router.
#[derive(Clone, Debug)]
pub struct Node {
    vm: VmName,
    domain: DomainName,
    incarnation: u64,
    opts: Options,
    topology: Arc<Topology>,
    queues: Queues,
    estimator: Estimator,
    links: BTreeMap<PoolKey, Link>,
    schedulers: BTreeMap<PoolKey, Scheduler>,
    running: BTreeMap<RequestId, RunningRequest>,
    used: BTreeMap<GrantId, Duration>,
    inbox: VecDeque<Message>,
    last_event: Duration,
    next_run: u64,
}

impl Node {
    /// Makes a node with nothing to do; `incarnation` grows with each start of the VM's process.
    #[must_use]
    pub fn new(vm: VmName, domain: DomainName, incarnation: u64, opts: Options) -> Self {
        Self {
            vm,
            domain,
            incarnation,
            opts,
            topology: Arc::default(),
            queues: Queues::new(opts.quick_in_a_row),
            estimator: Estimator::default(),
            links: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            running: BTreeMap::new(),
            used: BTreeMap::new(),
            inbox: VecDeque::new(),
            last_event: Duration::ZERO,
            next_run: 0,
        }
    }

    /// Reacts to an event at monotonic time `now`.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.note_time(now);
        match event {
            Event::Submit(work) => self.submit(now, work, &mut actions),
            Event::Withdraw(request) => self.withdraw(&request),
            Event::Progress(request, served) => self.progress(&request, served),
            Event::Finished(request, observed) => self.finish(&request, observed),
            Event::Receive(from, message) => self.receive(now, &from, message, &mut actions),
            Event::Topology(topology) => self.set_topology(now, topology, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.flush(now, &mut actions);
        actions
    }

    /// When the next tick is due at the latest.
    #[must_use]
    pub fn next_tick(&self, now: Duration) -> Duration {
        let reports = self.links.values();
        let due = reports.filter_map(|l| l.due(self.opts.report_interval, self.opts.min_gap));
        let urgent = self.schedulers.values().any(Scheduler::is_urgent);
        let step = if urgent {
            self.opts.min_gap
        } else {
            self.opts.report_interval / 4
        };
        due.min().map_or(now + step, |at| at.clamp(now, now + step))
    }

    /// Requests that wait, and requests that run.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.queues.len(), self.running.len())
    }

    /// The pools that this node schedules.
    #[must_use]
    pub fn schedulers(&self) -> &BTreeMap<PoolKey, Scheduler> {
        &self.schedulers
    }

    /// The requests that run.
    pub fn running(&self) -> impl Iterator<Item = &RequestId> {
        self.running.keys()
    }

    /// Gives up the pools that it schedules when it finds that it was paused: another router has
    /// taken them over, and what this one knows of them is old.
    fn note_time(&mut self, now: Duration) {
        if now.saturating_sub(self.last_event) > self.opts.slot_lease {
            self.schedulers.clear();
        }
        self.last_event = self.last_event.max(now);
    }

    fn submit(&mut self, now: Duration, work: Work, actions: &mut Vec<Action>) {
        let request = work.request.clone();
        if !self.topology.is_served(&work.work) {
            return actions.push(Action::Refuse(request, Refusal::NoTarget));
        }
        let (customer, name) = (work.customer.clone(), work.work.clone());
        let max_waiting = self
            .topology
            .max_waiting
            .get(&customer)
            .copied()
            .unwrap_or(0);
        let estimate = self
            .estimator
            .estimate(&customer, &name, work.urgency, work.limit);
        let waiting = Waiting {
            work,
            estimate,
            since: now,
        };
        match self.queues.push(waiting, max_waiting) {
            Ok(()) => self.note_demand(&name, &customer),
            Err(refusal) => actions.push(Action::Refuse(request, refusal)),
        }
    }

    fn withdraw(&mut self, request: &RequestId) {
        if let Some(waiting) = self.queues.withdraw(request) {
            self.note_demand(&waiting.work.work, &waiting.work.customer);
        }
    }

    fn progress(&mut self, request: &RequestId, served: Tokens) {
        let Some(running) = self.running.get(request) else {
            return;
        };
        if let Some(link) = self.links.get_mut(&running.pool) {
            link.progress(running.grant, served);
        }
    }

    fn finish(&mut self, request: &RequestId, observed: Observed) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        let link = self
            .links
            .get_mut(&running.pool)
            .expect("a running request has a link");
        let Some(ended) = link.release(running.grant, observed) else {
            return;
        };
        if !observed.failed {
            let work = running.work;
            self.estimator
                .learn(&work.customer, &work.work, work.urgency, ended.served);
        }
    }

    fn receive(
        &mut self,
        now: Duration,
        from: &VmName,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Grant(delivery) => self.take_grant(now, delivery, actions),
            Message::Acknowledge(ack) => {
                if let Some(link) = self.links.get_mut(&ack.pool) {
                    link.acknowledge(&ack);
                }
            }
            Message::Report(report) => {
                let pool = report.pool.clone();
                self.with_scheduler(
                    now,
                    &pool,
                    |s| s.receive_report(now, from, &report),
                    actions,
                );
            }
            Message::Offer { to, delivery } => {
                self.with_scheduler(now, &to, |s| s.receive_offer(now, delivery), actions);
            }
            Message::Return { pool, grant } => {
                self.with_scheduler(now, &pool, |s| s.receive_return(now, grant), actions);
            }
            Message::Summary { to, summary } => {
                self.with_scheduler(now, &to, |s| s.receive_summary(now, &summary), actions);
            }
        }
    }

    fn take_grant(&mut self, now: Duration, delivery: Delivery, actions: &mut Vec<Action>) {
        let grant = delivery.grant;
        let home = self.home_link(&grant.pool.work);
        home.note_order(delivery.run, delivery.order);
        home.note_granted(&grant.customer);
        if self.used.insert(grant.id, now).is_some() {
            return;
        }
        let is_alive = now.saturating_sub(delivery.basis) <= self.opts.grant_life;
        let waiting = if is_alive {
            self.queues.pop(&grant.pool.work, &grant.customer)
        } else {
            None
        };
        let scheduler = self.topology.scheduler_of(&grant.pool).cloned();
        let link = link_of(&mut self.links, &grant.pool);
        if link.scheduler().is_none() {
            link.set_scheduler(scheduler.or(Some(grant.scheduler)));
        }
        let Some(waiting) = waiting else {
            return link.decline(grant.id);
        };
        let work = waiting.work;
        let started = Started {
            grant: grant.id,
            target: grant.target.clone(),
            customer: grant.customer.clone(),
            estimate: grant.estimate,
        };
        link.start(work.request.clone(), started);
        self.note_demand(&work.work, &work.customer);
        actions.push(Action::Start {
            request: work.request.clone(),
            grant: grant.id,
            target: grant.target,
        });
        let running = RunningRequest {
            pool: grant.pool,
            grant: grant.id,
            work,
        };
        self.running.insert(running.work.request.clone(), running);
    }

    fn set_topology(&mut self, now: Duration, topology: Arc<Topology>, actions: &mut Vec<Action>) {
        self.topology = topology;
        for (pool, link) in &mut self.links {
            link.set_scheduler(self.topology.scheduler_of(pool).cloned());
        }
        let (topology, vm) = (&self.topology, &self.vm);
        self.schedulers
            .retain(|pool, _| topology.scheduler_of(pool) == Some(vm));
        for scheduler in self.schedulers.values_mut() {
            scheduler.set_topology(Arc::clone(&self.topology));
        }
        let topology = Arc::clone(&self.topology);
        for pool in topology.pools_of(&self.vm.clone()) {
            self.start_scheduler(now, pool);
        }
        for work in self.queues.works() {
            if !self.topology.is_served(&work) {
                let removed = self.queues.remove_work(&work);
                self.refuse(removed, Refusal::NoTarget, actions);
            }
        }
        let shares = &self.topology.shares;
        self.estimator
            .retain(|customer| shares.contains_key(customer));
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let expired = self.queues.expire(now);
        self.refuse(expired, Refusal::DeadlineExceeded, actions);
        let used_life = self.opts.grant_life * 4;
        self.used.retain(|_, at| now <= *at + used_life);
        let pools: Vec<PoolKey> = self.schedulers.keys().cloned().collect();
        for pool in pools {
            self.with_scheduler(now, &pool, |s| s.tick(now), actions);
        }
    }

    fn refuse(&mut self, waiting: Vec<Waiting>, refusal: Refusal, actions: &mut Vec<Action>) {
        for waiting in waiting {
            let work = waiting.work;
            self.note_demand(&work.work, &work.customer);
            actions.push(Action::Refuse(work.request, refusal));
        }
    }

    fn note_demand(&mut self, work: &ServiceName, customer: &CustomerName) {
        let waiting = self.queues.waiting(work, customer);
        self.home_link(work).demand_changed(customer, waiting);
    }

    /// The link to the pool of this node's own domain, whose scheduler is told what waits.
    fn home_link(&mut self, work: &ServiceName) -> &mut Link {
        let pool = PoolKey {
            domain: self.domain.clone(),
            work: work.clone(),
        };
        let scheduler = self.topology.scheduler_of(&pool).cloned();
        let link = link_of(&mut self.links, &pool);
        link.set_scheduler(scheduler);
        link
    }

    /// Sends the reports that are due, and serves the messages of this node to itself.
    fn flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
        loop {
            self.send_reports(now, actions);
            let Some(message) = self.inbox.pop_front() else {
                break;
            };
            let vm = self.vm.clone();
            self.receive(now, &vm, message, actions);
        }
        let domain = &self.domain;
        self.links
            .retain(|pool, link| pool.domain == *domain || !link.is_idle());
    }

    fn send_reports(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let interval = self.opts.report_interval;
        let mut reports = Vec::new();
        for (pool, link) in &mut self.links {
            if link
                .due(interval, self.opts.min_gap)
                .is_none_or(|at| at > now)
            {
                continue;
            }
            let Some(scheduler) = link.scheduler().cloned() else {
                continue;
            };
            let is_home = pool.domain == self.domain;
            let is_full = link.is_full_due(now, interval);
            let changed = link.take_changed();
            let one = |c: &CustomerName| self.queues.demand(&pool.work, c, now);
            let demand = match (is_home, is_full) {
                (false, _) => Vec::new(),
                (true, true) => self.queues.demands(&pool.work, now),
                (true, false) => changed.iter().map(one).collect(),
            };
            reports.push((
                scheduler,
                link.report(now, self.incarnation, is_full, demand),
            ));
        }
        for (scheduler, report) in reports {
            self.send(scheduler, Message::Report(report), actions);
        }
    }

    fn send(&mut self, to: VmName, message: Message, actions: &mut Vec<Action>) {
        if to == self.vm {
            self.inbox.push_back(message);
        } else {
            actions.push(Action::Send(to, message));
        }
    }

    /// Lets the scheduler of a pool act, if this node is the one that schedules it.
    fn with_scheduler(
        &mut self,
        now: Duration,
        pool: &PoolKey,
        act: impl FnOnce(&mut Scheduler) -> Vec<Outgoing>,
        actions: &mut Vec<Action>,
    ) {
        if self.topology.scheduler_of(pool) != Some(&self.vm) {
            return;
        }
        self.start_scheduler(now, pool);
        let Some(scheduler) = self.schedulers.get_mut(pool) else {
            return;
        };
        for outgoing in act(scheduler) {
            match outgoing {
                Outgoing::Router(vm, message) => self.send(vm, message, actions),
                Outgoing::Pool(pool, message) => {
                    if let Some(vm) = self.topology.scheduler_of(&pool).cloned() {
                        self.send(vm, message, actions);
                    }
                }
            }
        }
    }

    /// Starts the scheduler of a pool unless there is one.
    fn start_scheduler(&mut self, now: Duration, pool: &PoolKey) {
        if self.schedulers.contains_key(pool) {
            return;
        }
        self.next_run += 1;
        let run = RunId((self.incarnation << 16) + self.next_run);
        let scheduler = Scheduler::new(
            self.vm.clone(),
            pool.clone(),
            run,
            self.opts,
            Arc::clone(&self.topology),
            now,
        );
        self.schedulers.insert(pool.clone(), scheduler);
    }
}

fn link_of<'a>(links: &'a mut BTreeMap<PoolKey, Link>, pool: &PoolKey) -> &'a mut Link {
    links
        .entry(pool.clone())
        .or_insert_with(|| Link::new(pool.clone()))
}
