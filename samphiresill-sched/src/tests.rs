//! Randomised simulation of a group of nodes; the code under test asserts its own invariants.
//!
//! Messages are lost, duplicated, delayed and reordered; routers pause, or crash and restart
//! without state; membership views differ. The seed is printed on failure.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use samphiresill_contract::document::Document;
use samphiresill_contract::object::Priority;
use samphiresill_core::name::{RequestId, TargetName, VmName};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;

use crate::message::{GrantId, Message, Observed};
use crate::node::{Action, Event, Node};
use crate::options::Options;
use crate::queue::SlotRequest;
use crate::topology::Topology;

const DOCUMENT: &str = r#"{
    "customers": {"a": {"share": 1}, "b": {"share": 4}, "c": {"share": 1, "max_waiting": 3}},
    "models": {"m": {}},
    "targets": {
        "t0": {"domain": "d0", "address": "127.0.0.1:1", "serves": ["m"], "slots": 2},
        "t1": {"domain": "d1", "address": "127.0.0.1:2", "serves": ["m"], "slots": 3}
    }
}"#;
const ROUTERS: usize = 4;
const SEEDS: u64 = 200;
const STEP: Duration = Duration::from_millis(1);

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running,
    Ended,
    Refused,
    /// Withdrawn by its caller, or lost in the crash of its router.
    Abandoned,
}

struct Group {
    rng: StdRng,
    now: Duration,
    starts: u64,
    nodes: Vec<Node>,
    paused_until: Vec<Duration>,
    /// Requests submitted to the current incarnation of each router.
    live_requests: Vec<BTreeSet<RequestId>>,
    states: BTreeMap<RequestId, RequestState>,
    completions: BinaryHeap<Reverse<(Duration, usize, RequestId)>>,
    in_flight: BinaryHeap<Reverse<(Duration, u64)>>,
    messages: BTreeMap<u64, (usize, VmName, Message)>,
    used_grants: BTreeSet<GrantId>,
    sent: u64,
    fault_probability: f64,
}

fn vm(index: usize) -> VmName {
    format!("r{index}").into()
}

impl Group {
    fn new(seed: u64) -> Self {
        let mut group = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            starts: 0,
            nodes: Vec::new(),
            paused_until: vec![Duration::ZERO; ROUTERS],
            live_requests: vec![BTreeSet::new(); ROUTERS],
            states: BTreeMap::new(),
            completions: BinaryHeap::new(),
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            used_grants: BTreeSet::new(),
            sent: 0,
            fault_probability: 0.05,
        };
        group.nodes = (0..ROUTERS).map(|index| group.node(index)).collect();
        for index in 0..ROUTERS {
            group.set_members(index, &[true; ROUTERS]);
        }
        group
    }

    fn node(&mut self, index: usize) -> Node {
        self.starts += 1;
        let domain = format!("d{}", index % 2).into();
        let opts = Options::with_interval(Duration::from_millis(50));
        Node::new(vm(index), domain, self.starts, opts)
    }

    fn set_members(&mut self, index: usize, usable: &[bool]) {
        let document = Document::from_json(DOCUMENT).expect("a valid document");
        let members = (0..ROUTERS).filter(|i| usable[*i] || *i == index);
        let members = members
            .map(|i| (vm(i), format!("d{}", i % 2).into()))
            .collect();
        let topology = Arc::new(Topology::new(&document, members));
        self.handle(index, Event::Topology(topology));
    }

    fn handle(&mut self, index: usize, event: Event) {
        for action in self.nodes[index].handle(self.now, event) {
            match action {
                Action::Send(to, message) => self.send(index, &to, &message),
                Action::Start {
                    request,
                    grant,
                    target,
                } => self.start(index, request, grant, &target),
                Action::Refuse(request, refusal) => {
                    let state = self.states.insert(request.clone(), RequestState::Refused);
                    assert_eq!(
                        state,
                        Some(RequestState::Waiting),
                        "{request} was refused ({refusal}) while not waiting"
                    );
                    assert_ne!(refusal, Refusal::TargetFailed);
                    self.live_requests[index].remove(&request);
                }
            }
        }
    }

    fn start(&mut self, index: usize, request: RequestId, grant: GrantId, target: &TargetName) {
        let state = self.states.insert(request.clone(), RequestState::Running);
        assert_eq!(
            state,
            Some(RequestState::Waiting),
            "{request} was started on {target} while not waiting"
        );
        assert!(self.used_grants.insert(grant), "{grant} was used twice");
        let length = Duration::from_millis(self.rng.random_range(1..400));
        self.completions
            .push(Reverse((self.now + length, index, request)));
    }

    fn send(&mut self, from: usize, to: &VmName, message: &Message) {
        let to = (0..ROUTERS)
            .find(|i| vm(*i) == *to)
            .expect("a known router");
        let mut delays = vec![self.rng.random_range(1..4)];
        if self.rng.random_bool(self.fault_probability) {
            match self.rng.random_range(0..3) {
                0 => delays.clear(),
                1 => delays.push(self.rng.random_range(1..800)),
                _ => delays[0] = self.rng.random_range(1..800),
            }
        }
        for delay in delays {
            self.sent += 1;
            self.messages
                .insert(self.sent, (to, vm(from), message.clone()));
            self.in_flight
                .push(Reverse((self.now + STEP * delay, self.sent)));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, id))) = self.in_flight.peek().copied()
            && at <= self.now
        {
            self.in_flight.pop();
            let (to, from, message) = self.messages.remove(&id).expect("a message in flight");
            if self.paused_until[to] > self.now {
                self.in_flight.push(Reverse((self.paused_until[to], id)));
                self.messages.insert(id, (to, from, message));
            } else {
                self.handle(to, Event::Receive(from, message));
            }
        }
        while let Some(Reverse((at, index, _))) = self.completions.peek()
            && *at <= self.now
        {
            let index = *index;
            let Some(Reverse((_, _, request))) = self.completions.pop() else {
                break;
            };
            if self.live_requests[index].remove(&request) {
                self.states.insert(request.clone(), RequestState::Ended);
                let served = Tokens(self.rng.random_range(1..2_000));
                self.handle(index, Event::Progress(request.clone(), served));
                let failed = self.rng.random_bool(0.02);
                let observed = Observed {
                    failed,
                    ..Observed::default()
                };
                self.handle(index, Event::Finished(request, observed));
            }
        }
        for index in 0..ROUTERS {
            if self.paused_until[index] <= self.now && self.rng.random_bool(0.2) {
                self.handle(index, Event::Tick);
            }
        }
    }

    fn submit(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        if self.paused_until[index] > self.now {
            return;
        }
        let request: RequestId = format!("q{}", self.states.len()).into();
        let customer = ["a", "b", "c"][self.rng.random_range(0..3)].into();
        let is_interactive = self.rng.random_bool(0.3);
        // Requests with a very late deadline reveal a router that has stopped reporting their
        // demand.
        let is_deadline_late = self.rng.random_bool(0.3);
        let time_to_deadline = Duration::from_millis(self.rng.random_range(50..20_000));
        let time_to_deadline = if is_deadline_late {
            Duration::from_hours(1)
        } else {
            time_to_deadline
        };
        self.states.insert(request.clone(), RequestState::Waiting);
        self.live_requests[index].insert(request.clone());
        let slot_request = SlotRequest {
            request,
            customer,
            service: "m".into(),
            priority: if is_interactive {
                Priority::Interactive
            } else {
                Priority::Batch
            },
            limit: Tokens(self.rng.random_range(1..3_000)),
            deadline: self.now + time_to_deadline,
            is_retry: self.rng.random_bool(0.05),
        };
        self.handle(index, Event::Submit(slot_request));
    }

    fn withdraw(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        let waiting = self.live_requests[index]
            .iter()
            .find(|r| self.states[*r] == RequestState::Waiting)
            .cloned();
        if let Some(request) = waiting {
            self.live_requests[index].remove(&request);
            self.states.insert(request.clone(), RequestState::Abandoned);
            self.handle(index, Event::Withdraw(request));
        }
    }

    fn restart(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        for request in std::mem::take(&mut self.live_requests[index]) {
            self.states.insert(request, RequestState::Abandoned);
        }
        self.nodes[index] = self.node(index);
        self.set_members(index, &[true; ROUTERS]);
    }

    fn pause(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        self.paused_until[index] =
            self.now + Duration::from_millis(self.rng.random_range(50..4_000));
    }

    fn diverge_views(&mut self) {
        for index in 0..ROUTERS {
            let usable: Vec<bool> = (0..ROUTERS).map(|_| self.rng.random_bool(0.7)).collect();
            self.set_members(index, &usable);
        }
    }

    fn heal(&mut self) {
        self.fault_probability = 0.0;
        self.paused_until = vec![self.now; ROUTERS];
        for index in 0..ROUTERS {
            self.set_members(index, &[true; ROUTERS]);
        }
    }

    fn count(&self, state: RequestState) -> usize {
        self.states.values().filter(|s| **s == state).count()
    }
}

/// Runs the simulation with one seed; returns the number of requests that ended.
fn run(seed: u64) -> usize {
    let mut group = Group::new(seed);
    for _ in 0..6_000 {
        group.step();
        match group.rng.random_range(0..10_000) {
            0..600 => group.submit(),
            600..650 => group.withdraw(),
            650..653 => group.restart(),
            653..660 => group.pause(),
            660..664 => group.diverge_views(),
            _ => {}
        }
    }
    group.heal();
    for _ in 0..30_000 {
        group.step();
        if group.count(RequestState::Waiting) + group.count(RequestState::Running) == 0 {
            break;
        }
    }
    assert_eq!(
        group.count(RequestState::Waiting),
        0,
        "requests are still waiting"
    );
    assert_eq!(
        group.count(RequestState::Running),
        0,
        "requests are still running"
    );
    // Once the group is idle, every slot and every reservation must have been released.
    for _ in 0..3_000 {
        group.step();
    }
    for scheduler in group.nodes.iter().flat_map(|n| n.schedulers().values()) {
        assert_eq!(scheduler.usage().0, 0, "slots are still in use");
        for customer in ["a", "b", "c"] {
            let outstanding = scheduler.ledger().outstanding(&customer.into());
            assert_eq!(outstanding, Tokens(0), "reservations were not released");
        }
    }
    group.count(RequestState::Ended)
}

#[test]
fn nodes_keep_their_invariants_through_kills_pauses_and_lost_messages() {
    let mut ended = 0;
    for seed in 0..SEEDS {
        let result = std::panic::catch_unwind(|| run(seed));
        assert!(result.is_ok(), "seed {seed} failed");
        ended += result.unwrap_or(0);
    }
    // The bound is on the sum, since a single seed may pause every router for most of its time.
    assert!(
        ended > 50 * SEEDS as usize,
        "too few requests ended for a meaningful test: {ended}"
    );
}
