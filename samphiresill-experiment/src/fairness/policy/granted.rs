//! The production policy: the scheduling code of the routers, connected by simulated messages with
//! delays and faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_contract::object::Priority;
use samphiresill_core::name::{DomainName, ServiceName, VmName};
use samphiresill_core::units::Tokens;
use samphiresill_sched::message::{Message, Observed};
use samphiresill_sched::node::{Action, Event, Node};
use samphiresill_sched::options::Options;
use samphiresill_sched::queue::SlotRequest;
use samphiresill_sched::topology::Topology;

use super::super::case::Fault;
use super::super::deployment::{Deployment, MODEL};
use super::{Decision, PendingRequest, Policy, ProgressFn};

/// Time until the membership detects that a router has failed or returned.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_millis(2_500);
/// Overhead of a message in bytes: addresses, authentication and framing.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 100;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimedEvent {
    Deliver { to: usize, message_id: usize },
    Tick { router: usize },
    Restart { router: usize },
    UpdateMembership,
    Heal,
}

struct RouterState {
    node: Node,
    is_alive: bool,
    paused_until: Duration,
    next_tick: Duration,
}

/// `GrantPolicy` simulates one scheduling node for each router.
pub struct GrantPolicy {
    deployment: Deployment,
    opts: Options,
    name: String,
    routers: Vec<RouterState>,
    router_index: BTreeMap<VmName, usize>,
    events: BinaryHeap<Reverse<(Duration, u64, TimedEvent)>>,
    messages: BTreeMap<usize, (VmName, Message)>,
    next_sequence: u64,
    assigned_router: BTreeMap<usize, usize>,
    running_by_router: Vec<BTreeSet<usize>>,
    waiting_by_router: Vec<BTreeSet<usize>>,
    is_partitioned: bool,
    is_membership_split: bool,
    /// Whether each router was alive at the latest membership update.
    detected_alive: Vec<bool>,
    message_fault_rate: f64,
    rng: StdRng,
    bytes_sent: u64,
    messages_sent: u64,
    node_starts: u64,
}

impl GrantPolicy {
    /// Starts a node for each router of a deployment.
    pub fn new(deployment: &Deployment, opts: Options, message_fault_rate: f64, seed: u64) -> Self {
        let count = deployment.routers.len();
        let names = deployment.routers.iter().map(|(vm, _)| vm.clone());
        let mut policy = Self {
            deployment: deployment.clone(),
            opts,
            name: format!("granted-{}ms", opts.report_interval.as_millis()),
            routers: Vec::new(),
            router_index: names.enumerate().map(|(i, vm)| (vm, i)).collect(),
            events: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next_sequence: 0,
            assigned_router: BTreeMap::new(),
            running_by_router: vec![BTreeSet::new(); count],
            waiting_by_router: vec![BTreeSet::new(); count],
            is_partitioned: false,
            is_membership_split: false,
            detected_alive: vec![true; count],
            message_fault_rate,
            rng: StdRng::seed_from_u64(seed),
            bytes_sent: 0,
            messages_sent: 0,
            node_starts: 0,
        };
        for router in 0..count {
            let node = policy.new_node(router);
            policy.routers.push(RouterState {
                node,
                is_alive: true,
                paused_until: Duration::ZERO,
                next_tick: Duration::ZERO,
            });
        }
        for router in 0..count {
            policy.update_membership(Duration::ZERO, router);
        }
        policy
    }

    fn new_node(&mut self, router: usize) -> Node {
        let (vm, domain) = self.deployment.routers[router].clone();
        self.node_starts += 1;
        Node::new(vm, domain, self.node_starts, self.opts)
    }

    fn schedule(&mut self, at: Duration, event: TimedEvent) {
        self.next_sequence += 1;
        self.events.push(Reverse((at, self.next_sequence, event)));
    }

    /// Returns whether a network partition separates two routers.
    fn are_partitioned(&self, a: usize, b: usize) -> bool {
        let is_in_first_domain = |r: usize| self.deployment.routers[r].1 == DomainName::from("d0");
        self.is_partitioned && is_in_first_domain(a) != is_in_first_domain(b)
    }

    /// Passes the current membership, as seen by a router, to the node of that router.
    fn update_membership(&mut self, now: Duration, router: usize) -> Vec<Decision> {
        let is_member = |other: usize| {
            let is_split_off = self.is_membership_split && other % 2 != router % 2;
            other == router
                || (self.detected_alive[other]
                    && !is_split_off
                    && !self.are_partitioned(router, other))
        };
        let members = (0..self.routers.len()).filter(|o| is_member(*o));
        let members = members
            .map(|o| self.deployment.routers[o].clone())
            .collect();
        let topology = Topology::new(&self.deployment.document(), members);
        self.handle(now, router, Event::Topology(Arc::new(topology)))
    }

    fn handle(&mut self, now: Duration, router: usize, event: Event) -> Vec<Decision> {
        let actions = self.routers[router].node.handle(now, event);
        let mut decisions = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(now, router, &to, &message),
                Action::Start {
                    request, target, ..
                } => {
                    let request_id: usize = request
                        .parse()
                        .expect("request names are decimal identifiers");
                    let is_target = |t: &super::super::deployment::TargetSpec| t.name == target;
                    let target = self.deployment.targets.iter().position(is_target);
                    self.waiting_by_router[router].remove(&request_id);
                    self.running_by_router[router].insert(request_id);
                    decisions.push(Decision::Start {
                        request_id,
                        target: target.expect("the target belongs to the deployment"),
                    });
                }
                Action::Refuse(request, refusal) => {
                    unreachable!("request {request} without a deadline was refused: {refusal}")
                }
            }
        }
        let next_tick = self.routers[router].node.next_tick(now);
        let next_tick = next_tick.max(now + Duration::from_micros(500));
        if self.routers[router].next_tick <= now || next_tick < self.routers[router].next_tick {
            self.routers[router].next_tick = next_tick;
            self.schedule(next_tick, TimedEvent::Tick { router });
        }
        decisions
    }

    fn send(&mut self, now: Duration, from: usize, to: &VmName, message: &Message) {
        let to = self.router_index[to];
        let encoded = postcard::to_stdvec(message).expect("messages are serializable");
        self.bytes_sent += encoded.len() as u64 + MESSAGE_OVERHEAD_BYTES;
        self.messages_sent += 1;
        if self.are_partitioned(from, to) {
            return;
        }
        let (vm, domain) = self.deployment.routers[from].clone();
        let delay = self
            .deployment
            .one_way_delay(&domain, &self.deployment.routers[to].1);
        let jitter: f64 = self.rng.random_range(0.8..1.4);
        let mut arrivals = vec![now + delay.mul_f64(jitter)];
        if self.rng.random_bool(self.message_fault_rate) {
            match self.rng.random_range(0..3) {
                0 => arrivals.clear(),
                1 => arrivals.push(now + delay.mul_f64(self.rng.random_range(1.0..400.0))),
                _ => arrivals[0] = now + delay.mul_f64(self.rng.random_range(1.0..2_000.0)),
            }
        }
        for at in arrivals {
            let message_id = self.next_sequence as usize;
            self.messages
                .insert(message_id, (vm.clone(), message.clone()));
            self.schedule(at, TimedEvent::Deliver { to, message_id });
        }
    }

    fn process_event(
        &mut self,
        now: Duration,
        event: &TimedEvent,
        progress: ProgressFn,
    ) -> Vec<Decision> {
        match *event {
            TimedEvent::Deliver { to, message_id } => {
                let paused_until = self.routers[to].paused_until;
                if paused_until > now && self.routers[to].is_alive {
                    self.schedule(paused_until, TimedEvent::Deliver { to, message_id });
                    return Vec::new();
                }
                let Some((from, message)) = self.messages.remove(&message_id) else {
                    return Vec::new();
                };
                if !self.routers[to].is_alive {
                    return Vec::new();
                }
                self.handle(now, to, Event::Receive(from, message))
            }
            TimedEvent::Tick { router } => self.tick(now, router, progress),
            TimedEvent::Restart { router } => {
                self.routers[router].node = self.new_node(router);
                self.routers[router].is_alive = true;
                self.routers[router].next_tick = Duration::ZERO;
                self.schedule(now + FAILURE_DETECTION_DELAY, TimedEvent::UpdateMembership);
                self.update_membership(now, router)
            }
            TimedEvent::Heal => {
                (self.is_partitioned, self.is_membership_split) = (false, false);
                self.schedule(now + Duration::from_secs(1), TimedEvent::UpdateMembership);
                Vec::new()
            }
            TimedEvent::UpdateMembership => {
                self.detected_alive = self
                    .routers
                    .iter()
                    .map(|r| r.is_alive && r.paused_until <= now)
                    .collect();
                let alive = (0..self.routers.len()).filter(|r| self.detected_alive[*r]);
                let alive: Vec<usize> = alive.collect();
                alive
                    .into_iter()
                    .flat_map(|r| self.update_membership(now, r))
                    .collect()
            }
        }
    }

    fn tick(&mut self, now: Duration, router: usize, progress: ProgressFn) -> Vec<Decision> {
        let state = &self.routers[router];
        if !state.is_alive || state.next_tick > now {
            return Vec::new();
        }
        if state.paused_until > now {
            let at = state.paused_until;
            self.routers[router].next_tick = at;
            self.schedule(at, TimedEvent::Tick { router });
            return Vec::new();
        }
        let running: Vec<usize> = self.running_by_router[router].iter().copied().collect();
        let mut decisions = Vec::new();
        for request_id in running {
            let event = Event::Progress(request_id.to_string().into(), progress(request_id));
            decisions.extend(self.handle(now, router, event));
        }
        decisions.extend(self.handle(now, router, Event::Tick));
        decisions
    }
}

impl Policy for GrantPolicy {
    fn name(&self) -> String {
        self.name.clone()
    }

    fn next_event_at(&self) -> Option<Duration> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    fn advance(&mut self, now: Duration, progress: ProgressFn) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(Reverse((at, _, event))) = self.events.peek().cloned() {
            if at > now {
                break;
            }
            self.events.pop();
            decisions.extend(self.process_event(now, &event, progress));
        }
        decisions
    }

    fn submit(
        &mut self,
        now: Duration,
        request: PendingRequest,
        _progress: ProgressFn,
    ) -> Vec<Decision> {
        let router = request.router;
        if !self.routers[router].is_alive {
            return vec![Decision::Lost {
                request_id: request.request_id,
            }];
        }
        self.assigned_router.insert(request.request_id, router);
        self.waiting_by_router[router].insert(request.request_id);
        let slot_request = SlotRequest {
            request: request.request_id.to_string().into(),
            customer: request.customer_name,
            service: ServiceName::from(MODEL),
            priority: if request.is_interactive {
                Priority::Interactive
            } else {
                Priority::Batch
            },
            limit: request.cost_limit,
            deadline: Duration::MAX,
            is_retry: false,
        };
        self.handle(now, router, Event::Submit(slot_request))
    }

    fn finish(
        &mut self,
        now: Duration,
        request_id: usize,
        cost: Tokens,
        _progress: ProgressFn,
    ) -> Vec<Decision> {
        let Some(router) = self.assigned_router.remove(&request_id) else {
            return Vec::new();
        };
        self.running_by_router[router].remove(&request_id);
        let request = || request_id.to_string().into();
        let observed = Observed {
            first_token_ms: 1,
            between_tokens_us: 0,
            failed: false,
        };
        let mut decisions = self.handle(now, router, Event::Progress(request(), cost));
        decisions.extend(self.handle(now, router, Event::Finished(request(), observed)));
        decisions
    }

    fn inject_fault(&mut self, now: Duration, fault: &Fault) -> Vec<Decision> {
        match fault {
            Fault::Kill { router, downtime } => {
                self.routers[*router].is_alive = false;
                self.schedule(now + FAILURE_DETECTION_DELAY, TimedEvent::UpdateMembership);
                self.schedule(now + *downtime, TimedEvent::Restart { router: *router });
                let running = std::mem::take(&mut self.running_by_router[*router]);
                let waiting = std::mem::take(&mut self.waiting_by_router[*router]);
                let lost: Vec<usize> = running.into_iter().chain(waiting).collect();
                self.assigned_router
                    .retain(|request_id, _| !lost.contains(request_id));
                lost.into_iter()
                    .map(|request_id| Decision::Lost { request_id })
                    .collect()
            }
            Fault::Pause { router, duration } => {
                self.routers[*router].paused_until = now + *duration;
                self.schedule(now + FAILURE_DETECTION_DELAY, TimedEvent::UpdateMembership);
                self.schedule(
                    now + *duration + Duration::from_secs(1),
                    TimedEvent::UpdateMembership,
                );
                Vec::new()
            }
            Fault::SplitViews { duration } => {
                self.is_membership_split = true;
                self.schedule(now, TimedEvent::UpdateMembership);
                self.schedule(now + *duration, TimedEvent::Heal);
                Vec::new()
            }
            Fault::Partition { duration } => {
                self.is_partitioned = true;
                self.schedule(now + FAILURE_DETECTION_DELAY, TimedEvent::UpdateMembership);
                self.schedule(now + *duration, TimedEvent::Heal);
                Vec::new()
            }
        }
    }

    fn is_router_up(&self, router: usize) -> bool {
        self.routers[router].is_alive
    }

    fn control_traffic(&self) -> (u64, u64) {
        (self.bytes_sent, self.messages_sent)
    }
}
