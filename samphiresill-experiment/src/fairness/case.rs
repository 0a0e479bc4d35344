//! The cases that make fairness hard.

use std::time::Duration;

use super::deployment::Deployment;

/// `Fault` is something that goes wrong at a time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A router dies and starts again, without state, after a while.
    Kill {
        /// Which router.
        router: usize,
        /// Time until it is back.
        down: Duration,
    },
    /// A router does nothing for a while and does not notice.
    Pause {
        /// Which router.
        router: usize,
        /// How long.
        length: Duration,
    },
    /// Two halves of the routers do not count each other as members.
    SplitViews {
        /// How long.
        length: Duration,
    },
    /// The first failure domain is cut off from the others.
    Cut {
        /// How long.
        length: Duration,
    },
}

/// How a customer's requests come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// As many requests wait at each of its routers at all times.
    Backlogged {
        /// Requests that wait at each router.
        depth: usize,
    },
    /// It rests until a time, then it is backlogged.
    BackloggedFrom {
        /// When it returns.
        start: Duration,
    },
    /// It is backlogged but rests between two times.
    RestsBetween {
        /// When the rest begins.
        from: Duration,
        /// When it ends.
        to: Duration,
    },
    /// Independent requests at a rate.
    Poisson {
        /// Requests a second.
        rate: f64,
    },
}

/// `Load` is what one customer sends.
#[derive(Clone, Debug)]
pub struct Load {
    /// When its requests come.
    pub arrivals: Arrivals,
    /// The routers that its callers reach.
    pub routers: Vec<usize>,
    /// Smallest cost of a request, in tokens.
    pub min_cost: u64,
    /// Largest cost of a request, in tokens.
    pub max_cost: u64,
    /// Most tokens that its callers say a request may cost, when they hint low.
    pub hint: Option<u64>,
    /// Whether its requests are quick ones, whose wait is measured.
    pub is_quick: bool,
}

/// `Case` is one case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name on the command line.
    pub name: &'static str,
    /// What each customer sends.
    pub loads: Vec<Load>,
    /// What goes wrong, and when.
    pub faults: Vec<(Duration, Fault)>,
    /// Part of the messages that is lost, doubled or delayed.
    pub message_faults: f64,
    /// Factors on the targets' rates.
    pub rate_factors: Vec<f64>,
}

/// The names of all cases.
pub const NAMES: [&str; 11] = [
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

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(400);
/// Time before which nothing is measured.
pub const WARM_UP: Duration = Duration::from_secs(100);

const DEPTH: usize = 6;
const FLOOD_DEPTH: usize = 400;

impl Case {
    /// The case of a name.
    pub fn named(name: &str, deployment: &Deployment) -> Option<Self> {
        let name = NAMES.into_iter().find(|n| *n == name)?;
        let all: Vec<usize> = (0..deployment.routers.len()).collect();
        let load = |routers: Vec<usize>| Load {
            arrivals: Arrivals::Backlogged { depth: DEPTH },
            routers,
            min_cost: super::deployment::MIN_COST,
            max_cost: super::deployment::MAX_COST,
            hint: None,
            is_quick: false,
        };
        let even = || {
            deployment
                .shares
                .iter()
                .map(|_| load(all.clone()))
                .collect()
        };
        let mut case = Self {
            name,
            loads: even(),
            faults: Vec::new(),
            message_faults: 0.0,
            rate_factors: vec![1.0; deployment.sites.len()],
        };
        let at = Duration::from_secs;
        match name {
            "low-hints" => case.loads[5].hint = Some(64),
            "speeds" => {
                let factors = [0.4, 1.0, 2.5, 1.0];
                case.rate_factors
                    .iter_mut()
                    .zip(factors.iter().cycle())
                    .for_each(|(r, f)| *r = *f);
            }
            "rest" => case.rests(at(150), at(250)),
            "flood" => case.floods(&all),
            "kill" => {
                let kill = |router| Fault::Kill {
                    router,
                    down: Duration::from_secs(2),
                };
                case.faults = (0..4)
                    .map(|i| (at(120 + 60 * i as u64), kill(i * 2)))
                    .collect();
            }
            "pause" => {
                let pause = |router| Fault::Pause {
                    router,
                    length: Duration::from_secs(12),
                };
                case.faults = (0..4)
                    .map(|i| (at(120 + 60 * i as u64), pause(i * 2)))
                    .collect();
            }
            "split" => {
                let split = Fault::SplitViews {
                    length: Duration::from_secs(20),
                };
                case.faults = vec![(at(150), split.clone()), (at(280), split)];
            }
            "cut" => {
                case.faults = vec![(
                    at(150),
                    Fault::Cut {
                        length: Duration::from_mins(1),
                    },
                )];
            }
            "lossy" => case.message_faults = 0.02,
            _ => {}
        }
        if matches!(name, "uneven" | "kill" | "pause" | "split" | "lossy") {
            case.spread_unevenly(deployment);
        }
        Some(case)
    }

    /// Half of the customers' callers all arrive at one router; the first at the smallest domain.
    fn spread_unevenly(&mut self, deployment: &Deployment) {
        let count = deployment.routers.len();
        for (index, load) in self.loads.iter_mut().enumerate() {
            if index % 2 == 0 {
                load.routers = vec![(index / 2) % count];
                load.arrivals = Arrivals::Backlogged {
                    depth: DEPTH * count,
                };
            }
        }
    }

    fn rests(&mut self, from: Duration, to: Duration) {
        self.loads[1].arrivals = Arrivals::RestsBetween { from, to };
        self.loads[7].arrivals = Arrivals::RestsBetween { from, to };
        self.loads[9].arrivals = Arrivals::BackloggedFrom { start: to };
    }

    /// One customer floods one router, the others send long requests, and three send quick ones.
    fn floods(&mut self, all: &[usize]) {
        self.loads[4].routers = vec![0];
        self.loads[4].arrivals = Arrivals::Backlogged { depth: FLOOD_DEPTH };
        for load in &mut self.loads {
            load.min_cost = 1_000;
        }
        for (count, load) in self.loads[10..13].iter_mut().enumerate() {
            load.arrivals = Arrivals::Poisson { rate: 0.3 };
            load.routers = all[count..=count].to_vec();
            (load.min_cost, load.max_cost) = (30, 120);
            load.is_quick = true;
        }
    }
}
