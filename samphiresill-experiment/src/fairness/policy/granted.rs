//! The fleet's own way: the product's decision code, with messages that take their time.

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
use samphiresill_sched::queue::Work;
use samphiresill_sched::topology::Topology;

use super::super::case::Fault;
use super::super::deployment::{Deployment, MODEL};
use super::{Decision, Offer, Policy, Progress};

/// Time until the membership notices that a router is gone or back.
const DETECTION: Duration = Duration::from_millis(2_500);
/// Bytes that carry a message: addresses, proof and framing.
pub const ENVELOPE_BYTES: u64 = 100;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive { to: usize, item: usize },
    Tick { router: usize },
    Restart { router: usize },
    Members,
    Heal,
}

struct Router {
    node: Node,
    alive: bool,
    paused_until: Duration,
    next_tick: Duration,
}

/// `Granted` runs one node for each router.
pub struct Granted {
    deployment: Deployment,
    opts: Options,
    label: String,
    routers: Vec<Router>,
    index: BTreeMap<VmName, usize>,
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    messages: BTreeMap<usize, (VmName, Message)>,
    next: u64,
    placed_at: BTreeMap<usize, usize>,
    running_at: Vec<BTreeSet<usize>>,
    waiting_at: Vec<BTreeSet<usize>>,
    is_cut: bool,
    is_split: bool,
    /// The routers that the membership counts, as it sees them now.
    seen_alive: Vec<bool>,
    message_faults: f64,
    rng: StdRng,
    bytes: u64,
    sent: u64,
    starts: u64,
}

impl Granted {
    /// Starts the nodes of a deployment.
    pub fn new(deployment: &Deployment, opts: Options, message_faults: f64, seed: u64) -> Self {
        let count = deployment.routers.len();
        let names = deployment.routers.iter().map(|(vm, _)| vm.clone());
        let mut granted = Self {
            deployment: deployment.clone(),
            opts,
            label: format!("granted-{}ms", opts.report_interval.as_millis()),
            routers: Vec::new(),
            index: names.enumerate().map(|(i, vm)| (vm, i)).collect(),
            due: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next: 0,
            placed_at: BTreeMap::new(),
            running_at: vec![BTreeSet::new(); count],
            waiting_at: vec![BTreeSet::new(); count],
            is_cut: false,
            is_split: false,
            seen_alive: vec![true; count],
            message_faults,
            rng: StdRng::seed_from_u64(seed),
            bytes: 0,
            sent: 0,
            starts: 0,
        };
        for router in 0..count {
            let node = granted.new_node(router);
            granted.routers.push(Router {
                node,
                alive: true,
                paused_until: Duration::ZERO,
                next_tick: Duration::ZERO,
            });
        }
        for router in 0..count {
            granted.tell_members(Duration::ZERO, router);
        }
        granted
    }

    fn new_node(&mut self, router: usize) -> Node {
        let (vm, domain) = self.deployment.routers[router].clone();
        self.starts += 1;
        Node::new(vm, domain, self.starts, self.opts)
    }

    fn schedule(&mut self, at: Duration, due: Due) {
        self.next += 1;
        self.due.push(Reverse((at, self.next, due)));
    }

    /// Whether two routers count each other as members, or reach each other.
    fn are_apart(&self, a: usize, b: usize) -> bool {
        let domain = |r: usize| self.deployment.routers[r].1 == DomainName::from("d0");
        self.is_cut && domain(a) != domain(b)
    }

    fn tell_members(&mut self, now: Duration, router: usize) -> Vec<Decision> {
        let is_member = |other: usize| {
            let is_split_off = self.is_split && other % 2 != router % 2;
            other == router
                || (self.seen_alive[other] && !is_split_off && !self.are_apart(router, other))
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
                    let number: usize = request.parse().expect("numbers are the requests' names");
                    let is_target = |s: &super::super::deployment::Site| s.name == target;
                    let target = self.deployment.sites.iter().position(is_target);
                    self.waiting_at[router].remove(&number);
                    self.running_at[router].insert(number);
                    decisions.push(Decision::Start {
                        number,
                        target: target.expect("a known target"),
                    });
                }
                Action::Refuse(request, refusal) => {
                    unreachable!("nothing is refused here: {request} {refusal}")
                }
            }
        }
        let next_tick = self.routers[router].node.next_tick(now);
        let next_tick = next_tick.max(now + Duration::from_micros(500));
        if self.routers[router].next_tick <= now || next_tick < self.routers[router].next_tick {
            self.routers[router].next_tick = next_tick;
            self.schedule(next_tick, Due::Tick { router });
        }
        decisions
    }

    fn send(&mut self, now: Duration, from: usize, to: &VmName, message: &Message) {
        let to = self.index[to];
        let encoded = postcard::to_stdvec(message).expect("messages are serializable");
        self.bytes += encoded.len() as u64 + ENVELOPE_BYTES;
        self.sent += 1;
        if self.are_apart(from, to) {
            return;
        }
        let (vm, domain) = self.deployment.routers[from].clone();
        let delay = self
            .deployment
            .delay(&domain, &self.deployment.routers[to].1);
        let jitter: f64 = self.rng.random_range(0.8..1.4);
        let mut arrivals = vec![now + delay.mul_f64(jitter)];
        if self.rng.random_bool(self.message_faults) {
            match self.rng.random_range(0..3) {
                0 => arrivals.clear(),
                1 => arrivals.push(now + delay.mul_f64(self.rng.random_range(1.0..400.0))),
                _ => arrivals[0] = now + delay.mul_f64(self.rng.random_range(1.0..2_000.0)),
            }
        }
        for at in arrivals {
            let item = self.next as usize;
            self.messages.insert(item, (vm.clone(), message.clone()));
            self.schedule(at, Due::Arrive { to, item });
        }
    }

    fn run_due(&mut self, now: Duration, due: &Due, progress: Progress) -> Vec<Decision> {
        match *due {
            Due::Arrive { to, item } => {
                let paused_until = self.routers[to].paused_until;
                if paused_until > now && self.routers[to].alive {
                    self.schedule(paused_until, Due::Arrive { to, item });
                    return Vec::new();
                }
                let Some((from, message)) = self.messages.remove(&item) else {
                    return Vec::new();
                };
                if !self.routers[to].alive {
                    return Vec::new();
                }
                self.handle(now, to, Event::Receive(from, message))
            }
            Due::Tick { router } => self.tick(now, router, progress),
            Due::Restart { router } => {
                self.routers[router].node = self.new_node(router);
                self.routers[router].alive = true;
                self.routers[router].next_tick = Duration::ZERO;
                self.schedule(now + DETECTION, Due::Members);
                self.tell_members(now, router)
            }
            Due::Heal => {
                (self.is_cut, self.is_split) = (false, false);
                self.schedule(now + Duration::from_secs(1), Due::Members);
                Vec::new()
            }
            Due::Members => {
                self.seen_alive = self
                    .routers
                    .iter()
                    .map(|r| r.alive && r.paused_until <= now)
                    .collect();
                let alive = (0..self.routers.len()).filter(|r| self.seen_alive[*r]);
                let alive: Vec<usize> = alive.collect();
                alive
                    .into_iter()
                    .flat_map(|r| self.tell_members(now, r))
                    .collect()
            }
        }
    }

    fn tick(&mut self, now: Duration, router: usize, progress: Progress) -> Vec<Decision> {
        let state = &self.routers[router];
        if !state.alive || state.next_tick > now {
            return Vec::new();
        }
        if state.paused_until > now {
            let at = state.paused_until;
            self.routers[router].next_tick = at;
            self.schedule(at, Due::Tick { router });
            return Vec::new();
        }
        let running: Vec<usize> = self.running_at[router].iter().copied().collect();
        let mut decisions = Vec::new();
        for number in running {
            let event = Event::Progress(number.to_string().into(), progress(number));
            decisions.extend(self.handle(now, router, event));
        }
        decisions.extend(self.handle(now, router, Event::Tick));
        decisions
    }
}

impl Policy for Granted {
    fn name(&self) -> String {
        self.label.clone()
    }

    fn wakes_at(&self) -> Option<Duration> {
        self.due.peek().map(|Reverse((at, _, _))| *at)
    }

    fn advance(&mut self, now: Duration, progress: Progress) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(Reverse((at, _, due))) = self.due.peek().cloned() {
            if at > now {
                break;
            }
            self.due.pop();
            decisions.extend(self.run_due(now, &due, progress));
        }
        decisions
    }

    fn submit(&mut self, now: Duration, offer: Offer, _progress: Progress) -> Vec<Decision> {
        let router = offer.router;
        if !self.routers[router].alive {
            return vec![Decision::Lost {
                number: offer.number,
            }];
        }
        self.placed_at.insert(offer.number, router);
        self.waiting_at[router].insert(offer.number);
        let work = Work {
            request: offer.number.to_string().into(),
            customer: offer.name,
            work: ServiceName::from(MODEL),
            urgency: if offer.is_quick {
                Priority::Interactive
            } else {
                Priority::Batch
            },
            limit: offer.limit,
            deadline: Duration::MAX,
            is_retry: false,
        };
        self.handle(now, router, Event::Submit(work))
    }

    fn finish(
        &mut self,
        now: Duration,
        number: usize,
        cost: Tokens,
        _progress: Progress,
    ) -> Vec<Decision> {
        let Some(router) = self.placed_at.remove(&number) else {
            return Vec::new();
        };
        self.running_at[router].remove(&number);
        let request = || number.to_string().into();
        let observed = Observed {
            first_token_ms: 1,
            between_tokens_us: 0,
            failed: false,
        };
        let mut decisions = self.handle(now, router, Event::Progress(request(), cost));
        decisions.extend(self.handle(now, router, Event::Finished(request(), observed)));
        decisions
    }

    fn fault(&mut self, now: Duration, fault: &Fault) -> Vec<Decision> {
        match fault {
            Fault::Kill { router, down } => {
                self.routers[*router].alive = false;
                self.schedule(now + DETECTION, Due::Members);
                self.schedule(now + *down, Due::Restart { router: *router });
                let running = std::mem::take(&mut self.running_at[*router]);
                let waiting = std::mem::take(&mut self.waiting_at[*router]);
                let lost: Vec<usize> = running.into_iter().chain(waiting).collect();
                self.placed_at.retain(|number, _| !lost.contains(number));
                lost.into_iter()
                    .map(|number| Decision::Lost { number })
                    .collect()
            }
            Fault::Pause { router, length } => {
                self.routers[*router].paused_until = now + *length;
                self.schedule(now + DETECTION, Due::Members);
                self.schedule(now + *length + Duration::from_secs(1), Due::Members);
                Vec::new()
            }
            Fault::SplitViews { length } => {
                self.is_split = true;
                self.schedule(now, Due::Members);
                self.schedule(now + *length, Due::Heal);
                Vec::new()
            }
            Fault::Cut { length } => {
                self.is_cut = true;
                self.schedule(now + DETECTION, Due::Members);
                self.schedule(now + *length, Due::Heal);
                Vec::new()
            }
        }
    }

    fn is_up(&self, router: usize) -> bool {
        self.routers[router].alive
    }

    fn traffic(&self) -> (u64, u64) {
        (self.bytes, self.sent)
    }
}
