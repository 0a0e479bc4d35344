//! Workloads and faults under which fairness is measured.

use std::time::Duration;

use super::deployment::Deployment;

/// `Fault` is a fault that is injected at a given time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A router crashes and restarts without state.
    Kill {
        /// Index of the router.
        router: usize,
        /// Time until the router has restarted.
        downtime: Duration,
    },
    /// A router's process is suspended and cannot detect it.
    Pause {
        /// Index of the router.
        router: usize,
        /// Duration of the suspension.
        duration: Duration,
    },
    /// The membership splits: routers with even and odd indices do not see each other as members.
    SplitViews {
        /// Duration of the split.
        duration: Duration,
    },
    /// A network partition separates the first failure domain from the others.
    Partition {
        /// Duration of the partition.
        duration: Duration,
    },
}

/// `Arrivals` is the arrival pattern of a customer's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// A constant number of requests waits at each of the customer's routers.
    Backlogged {
        /// Number of requests that wait at each router.
        depth: usize,
    },
    /// The customer is idle until `start`, then backlogged.
    BackloggedFrom {
        /// Time of the first request.
        start: Duration,
    },
    /// The customer is backlogged except for one idle period.
    IdleBetween {
        /// Start of the idle period.
        from: Duration,
        /// End of the idle period.
        to: Duration,
    },
    /// Requests arrive as a Poisson process.
    Poisson {
        /// Mean rate in requests per second.
        rate: f64,
    },
}

/// `Workload` describes the requests of one customer.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Arrival pattern of the requests.
    pub arrivals: Arrivals,
    /// Indices of the routers that receive the requests.
    pub routers: Vec<usize>,
    /// Minimum cost of a request, in tokens.
    pub min_cost: u64,
    /// Maximum cost of a request, in tokens.
    pub max_cost: u64,
    /// Cost limit declared for each request, in tokens, if lower than `max_cost`. The actual cost
    /// may exceed it.
    pub cost_hint: Option<u64>,
    /// Whether the requests have interactive priority; their waiting times are measured.
    pub is_interactive: bool,
}

/// `Case` is a set of workloads and faults to simulate.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// Workload of each customer, in the order of the deployment's shares.
    pub workloads: Vec<Workload>,
    /// Faults and the times at which they are injected.
    pub faults: Vec<(Duration, Fault)>,
    /// Fraction of the messages that are lost, duplicated or delayed, from 0 to 1.
    pub message_fault_rate: f64,
    /// Multiplier of each target's slot rate.
    pub rate_factors: Vec<f64>,
}

/// Names of all cases.
pub const CASE_NAMES: [&str; 11] = [
    "even",
    "uneven",
    "low-hints",
    "speeds",
    "rest",
    "flood",
    "kill",
    "pause",
    "split",
    "cut",
    "lossy",
];

/// Simulated duration of a run.
pub const RUN_DURATION: Duration = Duration::from_secs(400);
/// Simulated time before which nothing is measured.
pub const WARM_UP: Duration = Duration::from_secs(100);

/// Requests that a backlogged customer keeps waiting at each router.
const BACKLOG_DEPTH: usize = 6;
/// Requests that the flooding customer keeps waiting at its router.
const FLOOD_BACKLOG_DEPTH: usize = 400;

impl Case {
    /// Returns the case with the given name.
    pub fn by_name(name: &str, deployment: &Deployment) -> Option<Self> {
        let name = CASE_NAMES.into_iter().find(|n| *n == name)?;
        let all_routers: Vec<usize> = (0..deployment.routers.len()).collect();
        let workload = |routers: Vec<usize>| Workload {
            arrivals: Arrivals::Backlogged {
                depth: BACKLOG_DEPTH,
            },
            routers,
            min_cost: super::deployment::MIN_COST_TOKENS,
            max_cost: super::deployment::MAX_COST_TOKENS,
            cost_hint: None,
            is_interactive: false,
        };
        let even_workloads = || {
            deployment
                .shares
                .iter()
                .map(|_| workload(all_routers.clone()))
                .collect()
        };
        let mut case = Self {
            name,
            workloads: even_workloads(),
            faults: Vec::new(),
            message_fault_rate: 0.0,
            rate_factors: vec![1.0; deployment.targets.len()],
        };
        let at = Duration::from_secs;
        match name {
            "low-hints" => case.workloads[5].cost_hint = Some(64),
            "speeds" => {
                let factors = [0.4, 1.0, 2.5, 1.0];
                case.rate_factors
                    .iter_mut()
                    .zip(factors.iter().cycle())
                    .for_each(|(r, f)| *r = *f);
            }
            "rest" => case.add_idle_periods(at(150), at(250)),
            "flood" => case.add_flood(&all_routers),
            "kill" => {
                let kill = |router| Fault::Kill {
                    router,
                    downtime: Duration::from_secs(2),
                };
                case.faults = (0..4)
                    .map(|i| (at(120 + 60 * i as u64), kill(i * 2)))
                    .collect();
            }
            "pause" => {
                let pause = |router| Fault::Pause {
                    router,
                    duration: Duration::from_secs(12),
                };
                case.faults = (0..4)
                    .map(|i| (at(120 + 60 * i as u64), pause(i * 2)))
                    .collect();
            }
            "split" => {
                let split = Fault::SplitViews {
                    duration: Duration::from_secs(20),
                };
                case.faults = vec![(at(150), split.clone()), (at(280), split)];
            }
            "cut" => {
                case.faults = vec![(
                    at(150),
                    Fault::Partition {
                        duration: Duration::from_mins(1),
                    },
                )];
            }
            "lossy" => case.message_fault_rate = 0.02,
            _ => {}
        }
        if matches!(name, "uneven" | "kill" | "pause" | "split" | "lossy") {
            case.skew_router_load(deployment);
        }
        Some(case)
    }

    /// Sends all requests of every second customer to a single router, with an unchanged total
    /// backlog. The first customer uses a router of the smallest failure domain.
    fn skew_router_load(&mut self, deployment: &Deployment) {
        let router_count = deployment.routers.len();
        for (index, workload) in self.workloads.iter_mut().enumerate() {
            if index % 2 == 0 {
                workload.routers = vec![(index / 2) % router_count];
                workload.arrivals = Arrivals::Backlogged {
                    depth: BACKLOG_DEPTH * router_count,
                };
            }
        }
    }

    /// Gives two customers an idle period and lets a third one start at its end.
    fn add_idle_periods(&mut self, from: Duration, to: Duration) {
        self.workloads[1].arrivals = Arrivals::IdleBetween { from, to };
        self.workloads[7].arrivals = Arrivals::IdleBetween { from, to };
        self.workloads[9].arrivals = Arrivals::BackloggedFrom { start: to };
    }

    /// One customer floods a router, three customers send interactive requests, and the others send
    /// long ones.
    fn add_flood(&mut self, all_routers: &[usize]) {
        self.workloads[4].routers = vec![0];
        self.workloads[4].arrivals = Arrivals::Backlogged {
            depth: FLOOD_BACKLOG_DEPTH,
        };
        for workload in &mut self.workloads {
            workload.min_cost = 1_000;
        }
        for (index, workload) in self.workloads[10..13].iter_mut().enumerate() {
            workload.arrivals = Arrivals::Poisson { rate: 0.3 };
            workload.routers = all_routers[index..=index].to_vec();
            (workload.min_cost, workload.max_cost) = (30, 120);
            workload.is_interactive = true;
        }
    }
}
