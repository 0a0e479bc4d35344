//! Capacity scheduling state of one router: its queues, its pool clients and the schedulers of the
//! pools assigned to it.
//!
//! Invariants: each submitted request is either started, refused or withdrawn, exactly once; a
//! grant is used at most once, and never after its lifetime.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use samphiresill_core::name::{
    CustomerName, DomainName, RequestId, ServiceName, TargetName, VmName,
};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;

use crate::estimate::Estimator;
use crate::message::{Delivery, GrantId, Message, Observed, PoolKey, SchedulerInstanceId, Started};
use crate::options::Options;
use crate::pool_client::PoolClient;
use crate::queue::{QueuedRequest, Queues, SlotRequest};
use crate::scheduler::{Outgoing, Scheduler};
use crate::topology::Topology;

/// `Event` is an input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a slot.
    Submit(SlotRequest),
    /// The caller of a waiting request has disconnected.
    Withdraw(RequestId),
    /// Total service that a running request has received so far.
    Progress(RequestId, Tokens),
    /// A running request has ended.
    Finished(RequestId, Observed),
    /// A message from another node has arrived.
    Receive(VmName, Message),
    /// The configuration or the membership view has changed.
    Topology(Arc<Topology>),
    /// Periodic timer.
    Tick,
}

/// `Action` is an output of a node, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another node.
    Send(VmName, Message),
    /// Start a request on a target.
    Start {
        /// The request.
        request: RequestId,
        /// The grant that the request runs on.
        grant: GrantId,
        /// The target that runs the request.
        target: TargetName,
    },
    /// Refuse a request that was not started.
    Refuse(RequestId, Refusal),
}

#[derive(Clone, Debug)]
struct RunningRequest {
    pool: PoolKey,
    grant: GrantId,
    slot_request: SlotRequest,
}

/// `Node` is the capacity scheduling state of one router.
#[derive(Clone, Debug)]
pub struct Node {
    vm: VmName,
    domain: DomainName,
    incarnation: u64,
    opts: Options,
    topology: Arc<Topology>,
    queues: Queues,
    estimator: Estimator,
    pool_clients: BTreeMap<PoolKey, PoolClient>,
    schedulers: BTreeMap<PoolKey, Scheduler>,
    running: BTreeMap<RequestId, RunningRequest>,
    used_grants: BTreeMap<GrantId, Duration>,
    inbox: VecDeque<Message>,
    last_event: Duration,
    next_instance: u64,
}

impl Node {
    /// Creates an idle node. `incarnation` must increase with each start of the process on this VM.
    #[must_use]
    pub fn new(vm: VmName, domain: DomainName, incarnation: u64, opts: Options) -> Self {
        Self {
            vm,
            domain,
            incarnation,
            opts,
            topology: Arc::default(),
            queues: Queues::new(opts.max_consecutive_interactive),
            estimator: Estimator::default(),
            pool_clients: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            running: BTreeMap::new(),
            used_grants: BTreeMap::new(),
            inbox: VecDeque::new(),
            last_event: Duration::ZERO,
            next_instance: 0,
        }
    }

    /// Processes an event at monotonic time `now`.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.drop_outdated_schedulers(now);
        match event {
            Event::Submit(slot_request) => self.submit(now, slot_request, &mut actions),
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

    /// Returns the latest time at which the next tick is due.
    #[must_use]
    pub fn next_tick(&self, now: Duration) -> Duration {
        let clients = self.pool_clients.values();
        let due = clients.filter_map(|client| {
            client.next_report_at(self.opts.report_interval, self.opts.min_report_interval)
        });
        let urgent = self.schedulers.values().any(Scheduler::is_urgent);
        let step = if urgent {
            self.opts.min_report_interval
        } else {
            self.opts.report_interval / 4
        };
        due.min().map_or(now + step, |at| at.clamp(now, now + step))
    }

    /// Returns the number of waiting and of running requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.queues.len(), self.running.len())
    }

    /// Returns the pools that this node schedules.
    #[must_use]
    pub fn schedulers(&self) -> &BTreeMap<PoolKey, Scheduler> {
        &self.schedulers
    }

    /// Returns the running requests.
    pub fn running(&self) -> impl Iterator<Item = &RequestId> {
        self.running.keys()
    }

    /// Drops all schedulers of this node if it was paused for longer than the slot lease: by then
    /// another router has taken over the pools and the state held here is outdated.
    fn drop_outdated_schedulers(&mut self, now: Duration) {
        if now.saturating_sub(self.last_event) > self.opts.slot_lease {
            self.schedulers.clear();
        }
        self.last_event = self.last_event.max(now);
    }

    fn submit(&mut self, now: Duration, slot_request: SlotRequest, actions: &mut Vec<Action>) {
        let request = slot_request.request.clone();
        if !self.topology.is_served(&slot_request.service) {
            return actions.push(Action::Refuse(request, Refusal::NoTarget));
        }
        let (customer, service) = (slot_request.customer.clone(), slot_request.service.clone());
        let max_waiting = self
            .topology
            .max_waiting
            .get(&customer)
            .copied()
            .unwrap_or(0);
        let estimate = self.estimator.estimate(
            &customer,
            &service,
            slot_request.priority,
            slot_request.limit,
        );
        let waiting = QueuedRequest {
            slot_request,
            estimate,
            since: now,
        };
        match self.queues.push(waiting, max_waiting) {
            Ok(()) => self.record_demand_change(&service, &customer),
            Err(refusal) => actions.push(Action::Refuse(request, refusal)),
        }
    }

    fn withdraw(&mut self, request: &RequestId) {
        if let Some(waiting) = self.queues.withdraw(request) {
            self.record_demand_change(
                &waiting.slot_request.service,
                &waiting.slot_request.customer,
            );
        }
    }

    fn progress(&mut self, request: &RequestId, served: Tokens) {
        let Some(running) = self.running.get(request) else {
            return;
        };
        if let Some(client) = self.pool_clients.get_mut(&running.pool) {
            client.progress(running.grant, served);
        }
    }

    fn finish(&mut self, request: &RequestId, observed: Observed) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        let client = self
            .pool_clients
            .get_mut(&running.pool)
            .expect("a running request has a pool client");
        let Some(ended) = client.release(running.grant, observed) else {
            return;
        };
        if !observed.failed {
            let slot_request = running.slot_request;
            self.estimator.record(
                &slot_request.customer,
                &slot_request.service,
                slot_request.priority,
                ended.served,
            );
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
            Message::Grant(delivery) => self.receive_grant(now, delivery, actions),
            Message::Acknowledge(ack) => {
                if let Some(client) = self.pool_clients.get_mut(&ack.pool) {
                    client.acknowledge(&ack);
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

    fn receive_grant(&mut self, now: Duration, delivery: Delivery, actions: &mut Vec<Action>) {
        let grant = delivery.grant;
        let client = self.local_pool_client(&grant.pool.work);
        client.record_delivery(delivery.run, delivery.order);
        client.record_grant(&grant.customer);
        if self.used_grants.insert(grant.id, now).is_some() {
            return;
        }
        let is_valid = now.saturating_sub(delivery.basis) <= self.opts.grant_lifetime;
        let waiting = if is_valid {
            self.queues.pop(&grant.pool.work, &grant.customer)
        } else {
            None
        };
        let scheduler = self.topology.scheduler_of(&grant.pool).cloned();
        let client = pool_client(&mut self.pool_clients, &grant.pool);
        if client.scheduler().is_none() {
            client.set_scheduler(scheduler.or(Some(grant.scheduler)));
        }
        let Some(waiting) = waiting else {
            return client.decline(grant.id);
        };
        let slot_request = waiting.slot_request;
        let started = Started {
            grant: grant.id,
            target: grant.target.clone(),
            customer: grant.customer.clone(),
            estimate: grant.estimate,
        };
        client.start(slot_request.request.clone(), started);
        self.record_demand_change(&slot_request.service, &slot_request.customer);
        actions.push(Action::Start {
            request: slot_request.request.clone(),
            grant: grant.id,
            target: grant.target,
        });
        let running = RunningRequest {
            pool: grant.pool,
            grant: grant.id,
            slot_request,
        };
        self.running
            .insert(running.slot_request.request.clone(), running);
    }

    fn set_topology(&mut self, now: Duration, topology: Arc<Topology>, actions: &mut Vec<Action>) {
        self.topology = topology;
        for (pool, client) in &mut self.pool_clients {
            client.set_scheduler(self.topology.scheduler_of(pool).cloned());
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
        for service in self.queues.services() {
            if !self.topology.is_served(&service) {
                let removed = self.queues.remove_service(&service);
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
        let retention = self.opts.grant_lifetime * 4;
        self.used_grants.retain(|_, at| now <= *at + retention);
        let pools: Vec<PoolKey> = self.schedulers.keys().cloned().collect();
        for pool in pools {
            self.with_scheduler(now, &pool, |s| s.tick(now), actions);
        }
    }

    fn refuse(&mut self, waiting: Vec<QueuedRequest>, refusal: Refusal, actions: &mut Vec<Action>) {
        for waiting in waiting {
            let slot_request = waiting.slot_request;
            self.record_demand_change(&slot_request.service, &slot_request.customer);
            actions.push(Action::Refuse(slot_request.request, refusal));
        }
    }

    fn record_demand_change(&mut self, service: &ServiceName, customer: &CustomerName) {
        let waiting = self.queues.waiting(service, customer);
        self.local_pool_client(service)
            .record_demand(customer, waiting);
    }

    /// Returns the client of the pool in this node's own domain, whose scheduler receives the
    /// demand.
    fn local_pool_client(&mut self, service: &ServiceName) -> &mut PoolClient {
        let pool = PoolKey {
            domain: self.domain.clone(),
            work: service.clone(),
        };
        let scheduler = self.topology.scheduler_of(&pool).cloned();
        let client = pool_client(&mut self.pool_clients, &pool);
        client.set_scheduler(scheduler);
        client
    }

    /// Sends the reports that are due and processes the messages that this node sends to itself.
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
        self.pool_clients
            .retain(|pool, client| pool.domain == *domain || !client.is_idle());
    }

    fn send_reports(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let interval = self.opts.report_interval;
        let mut reports = Vec::new();
        for (pool, client) in &mut self.pool_clients {
            if client
                .next_report_at(interval, self.opts.min_report_interval)
                .is_none_or(|at| at > now)
            {
                continue;
            }
            let Some(scheduler) = client.scheduler().cloned() else {
                continue;
            };
            let is_local = pool.domain == self.domain;
            let is_full = client.is_full_due(now, interval);
            let changed = client.take_changed();
            let one = |c: &CustomerName| self.queues.demand(&pool.work, c, now);
            let demand = match (is_local, is_full) {
                (false, _) => Vec::new(),
                (true, true) => self.queues.demands(&pool.work, now),
                (true, false) => changed.iter().map(one).collect(),
            };
            reports.push((
                scheduler,
                client.report(now, self.incarnation, is_full, demand),
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

    /// Calls `act` on the scheduler of a pool if that scheduler is assigned to this node, and sends
    /// the resulting messages.
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

    /// Starts the scheduler of a pool unless it is already running.
    fn start_scheduler(&mut self, now: Duration, pool: &PoolKey) {
        if self.schedulers.contains_key(pool) {
            return;
        }
        self.next_instance += 1;
        let instance = SchedulerInstanceId((self.incarnation << 16) + self.next_instance);
        let scheduler = Scheduler::new(
            self.vm.clone(),
            pool.clone(),
            instance,
            self.opts,
            Arc::clone(&self.topology),
            now,
        );
        self.schedulers.insert(pool.clone(), scheduler);
    }
}

fn pool_client<'a>(
    pool_clients: &'a mut BTreeMap<PoolKey, PoolClient>,
    pool: &PoolKey,
) -> &'a mut PoolClient {
    pool_clients
        .entry(pool.clone())
        .or_insert_with(|| PoolClient::new(pool.clone()))
}
