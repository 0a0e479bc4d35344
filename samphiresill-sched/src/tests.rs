//! Long randomised runs of a group of nodes, whose product code asserts its own invariants.
//!
//! Messages are lost, doubled, late and reordered; routers die, restart without state and pause;
//! views of the members differ. Each seed is printed when it fails.

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
use crate::queue::Work;
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

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Waiting,
    Running,
    Ended,
    Refused,
    /// Withdrawn by its caller, or gone with its router.
    Gone,
}

struct Group {
    rng: StdRng,
    now: Duration,
    starts: u64,
    nodes: Vec<Node>,
    paused_until: Vec<Duration>,
    /// Requests of each router's present life.
    alive: Vec<BTreeSet<RequestId>>,
    fates: BTreeMap<RequestId, Fate>,
    ends: BinaryHeap<Reverse<(Duration, usize, RequestId)>>,
    flying: BinaryHeap<Reverse<(Duration, u64)>>,
    messages: BTreeMap<u64, (usize, VmName, Message)>,
    used: BTreeSet<GrantId>,
    sent: u64,
    trouble: f64,
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
            alive: vec![BTreeSet::new(); ROUTERS],
            fates: BTreeMap::new(),
            ends: BinaryHeap::new(),
            flying: BinaryHeap::new(),
            messages: BTreeMap::new(),
            used: BTreeSet::new(),
            sent: 0,
            trouble: 0.05,
        };
        group.nodes = (0..ROUTERS).map(|index| group.node(index)).collect();
        for index in 0..ROUTERS {
            group.tell_members(index, &[true; ROUTERS]);
        }
        group
    }

    fn node(&mut self, index: usize) -> Node {
        self.starts += 1;
        let domain = format!("d{}", index % 2).into();
        let opts = Options::with_interval(Duration::from_millis(50));
        Node::new(vm(index), domain, self.starts, opts)
    }

    fn tell_members(&mut self, index: usize, usable: &[bool]) {
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
                    let fate = self.fates.insert(request.clone(), Fate::Refused);
                    assert_eq!(
                        fate,
                        Some(Fate::Waiting),
                        "{request} is refused once: {refusal}"
                    );
                    assert_ne!(refusal, Refusal::TargetFailed);
                    self.alive[index].remove(&request);
                }
            }
        }
    }

    fn start(&mut self, index: usize, request: RequestId, grant: GrantId, target: &TargetName) {
        let fate = self.fates.insert(request.clone(), Fate::Running);
        assert_eq!(
            fate,
            Some(Fate::Waiting),
            "{request} is started once, on {target}"
        );
        assert!(self.used.insert(grant), "{grant} is used once");
        let length = Duration::from_millis(self.rng.random_range(1..400));
        self.ends.push(Reverse((self.now + length, index, request)));
    }

    fn send(&mut self, from: usize, to: &VmName, message: &Message) {
        let to = (0..ROUTERS)
            .find(|i| vm(*i) == *to)
            .expect("a known router");
        let mut delays = vec![self.rng.random_range(1..4)];
        if self.rng.random_bool(self.trouble) {
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
            self.flying
                .push(Reverse((self.now + STEP * delay, self.sent)));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, id))) = self.flying.peek().copied()
            && at <= self.now
        {
            self.flying.pop();
            let (to, from, message) = self.messages.remove(&id).expect("a message on its way");
            if self.paused_until[to] > self.now {
                self.flying.push(Reverse((self.paused_until[to], id)));
                self.messages.insert(id, (to, from, message));
            } else {
                self.handle(to, Event::Receive(from, message));
            }
        }
        while let Some(Reverse((at, index, _))) = self.ends.peek()
            && *at <= self.now
        {
            let index = *index;
            let Some(Reverse((_, _, request))) = self.ends.pop() else {
                break;
            };
            if self.alive[index].remove(&request) {
                self.fates.insert(request.clone(), Fate::Ended);
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
        let request: RequestId = format!("q{}", self.fates.len()).into();
        let customer = ["a", "b", "c"][self.rng.random_range(0..3)].into();
        let is_quick = self.rng.random_bool(0.3);
        // A request without an end to its patience shows a router that has stopped asking for it.
        let is_patient = self.rng.random_bool(0.3);
        let patience = Duration::from_millis(self.rng.random_range(50..20_000));
        let patience = if is_patient {
            Duration::from_hours(1)
        } else {
            patience
        };
        self.fates.insert(request.clone(), Fate::Waiting);
        self.alive[index].insert(request.clone());
        let work = Work {
            request,
            customer,
            work: "m".into(),
            urgency: if is_quick {
                Priority::Interactive
            } else {
                Priority::Batch
            },
            limit: Tokens(self.rng.random_range(1..3_000)),
            deadline: self.now + patience,
            is_retry: self.rng.random_bool(0.05),
        };
        self.handle(index, Event::Submit(work));
    }

    fn withdraw(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        let waiting = self.alive[index]
            .iter()
            .find(|r| self.fates[*r] == Fate::Waiting)
            .cloned();
        if let Some(request) = waiting {
            self.alive[index].remove(&request);
            self.fates.insert(request.clone(), Fate::Gone);
            self.handle(index, Event::Withdraw(request));
        }
    }

    fn kill(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        for request in std::mem::take(&mut self.alive[index]) {
            self.fates.insert(request, Fate::Gone);
        }
        self.nodes[index] = self.node(index);
        self.tell_members(index, &[true; ROUTERS]);
    }

    fn pause(&mut self) {
        let index = self.rng.random_range(0..ROUTERS);
        self.paused_until[index] =
            self.now + Duration::from_millis(self.rng.random_range(50..4_000));
    }

    fn split_views(&mut self) {
        for index in 0..ROUTERS {
            let usable: Vec<bool> = (0..ROUTERS).map(|_| self.rng.random_bool(0.7)).collect();
            self.tell_members(index, &usable);
        }
    }

    fn heal(&mut self) {
        self.trouble = 0.0;
        self.paused_until = vec![self.now; ROUTERS];
        for index in 0..ROUTERS {
            self.tell_members(index, &[true; ROUTERS]);
        }
    }

    fn count(&self, fate: Fate) -> usize {
        self.fates.values().filter(|f| **f == fate).count()
    }
}

/// Runs one seed; gives the number of requests that ended.
fn run(seed: u64) -> usize {
    let mut group = Group::new(seed);
    for _ in 0..6_000 {
        group.step();
        match group.rng.random_range(0..10_000) {
            0..600 => group.submit(),
            600..650 => group.withdraw(),
            650..653 => group.kill(),
            653..660 => group.pause(),
            660..664 => group.split_views(),
            _ => {}
        }
    }
    group.heal();
    for _ in 0..30_000 {
        group.step();
        if group.count(Fate::Waiting) + group.count(Fate::Running) == 0 {
            break;
        }
    }
    assert_eq!(group.count(Fate::Waiting), 0, "no request waits for ever");
    assert_eq!(group.count(Fate::Running), 0, "every started request ends");
    // With nothing to do, every slot and every charge has been given back.
    for _ in 0..3_000 {
        group.step();
    }
    for scheduler in group.nodes.iter().flat_map(|n| n.schedulers().values()) {
        assert_eq!(scheduler.usage().0, 0, "every slot is given back");
        for customer in ["a", "b", "c"] {
            let outstanding = scheduler.ledger().outstanding(&customer.into());
            assert_eq!(
                outstanding,
                Tokens(0),
                "every charge in advance is taken back"
            );
        }
    }
    group.count(Fate::Ended)
}

#[test]
fn nodes_keep_their_invariants_through_kills_pauses_and_lost_messages() {
    let mut ended = 0;
    for seed in 0..SEEDS {
        let result = std::panic::catch_unwind(|| run(seed));
        assert!(result.is_ok(), "seed {seed} failed");
        ended += result.unwrap_or(0);
    }
    // A single seed may pause every router for most of its time.
    assert!(
        ended > 50 * SEEDS as usize,
        "too little was run to show anything: {ended}"
    );
}
