//! Simulated deployments on which fairness is measured.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_contract::document::Document;
use samphiresill_contract::object::{Customer, Model, Target};
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Share;

/// `TargetSpec` describes one target and its speed.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Speed of each slot, in tokens per second.
    pub slot_rate: f64,
}

/// `Deployment` describes a fleet of routers and targets.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Routers and their failure domains.
    pub routers: Vec<(VmName, DomainName)>,
    /// Targets of all failure domains.
    pub targets: Vec<TargetSpec>,
    /// Customers and their shares.
    pub shares: Vec<(CustomerName, Share)>,
    /// One-way network delay between failure domains.
    pub inter_domain_delay: Duration,
    /// One-way network delay within a failure domain.
    pub intra_domain_delay: Duration,
}

/// Name of the model that every target serves.
pub const MODEL: &str = "model";
/// Maximum cost of a request, in tokens.
pub const MAX_COST_TOKENS: u64 = 6_000;
/// Minimum cost of a request, in tokens.
pub const MIN_COST_TOKENS: u64 = 30;

const SLOTS_PER_TARGET: u32 = 8;
/// Speeds of a slot, in tokens per second; the targets use them in turn.
const SLOT_RATES_TOKENS_PER_S: [f64; 4] = [25.0, 40.0, 60.0, 100.0];
const CUSTOMER_COUNT: usize = 16;
const LARGE_CUSTOMER_COUNT: usize = 3;
const LARGE_SHARE: u32 = 4;

impl Deployment {
    /// Returns the deployment with the given name.
    pub fn by_name(name: &str) -> Option<Self> {
        let micros = Duration::from_micros;
        match name {
            "brandvold" => Some(Self::new(
                "brandvold",
                &[(2, 2), (3, 3), (4, 5)],
                micros(1_000),
                micros(250),
            )),
            "amren" => Some(Self::new(
                "amren",
                &[(2, 2), (2, 2), (2, 3), (2, 3)],
                micros(500),
                micros(150),
            )),
            _ => None,
        }
    }

    fn new(
        name: &'static str,
        domains: &[(usize, usize)],
        inter_domain_delay: Duration,
        intra_domain_delay: Duration,
    ) -> Self {
        let mut routers = Vec::new();
        let mut targets = Vec::new();
        for (index, (router_count, target_count)) in domains.iter().enumerate() {
            let domain: DomainName = format!("d{index}").into();
            for _ in 0..*router_count {
                routers.push((format!("r{}", routers.len()).into(), domain.clone()));
            }
            for _ in 0..*target_count {
                let number = targets.len();
                targets.push(TargetSpec {
                    name: format!("t{number}").into(),
                    domain: domain.clone(),
                    slots: SLOTS_PER_TARGET,
                    slot_rate: SLOT_RATES_TOKENS_PER_S[number % SLOT_RATES_TOKENS_PER_S.len()],
                });
            }
        }
        let share = |i| {
            Share(if i < LARGE_CUSTOMER_COUNT {
                LARGE_SHARE
            } else {
                1
            })
        };
        let shares = (0..CUSTOMER_COUNT)
            .map(|i| (format!("c{i:02}").into(), share(i)))
            .collect();
        Self {
            name,
            routers,
            targets,
            shares,
            inter_domain_delay,
            intra_domain_delay,
        }
    }

    /// Returns the total number of slots of the fleet.
    pub fn total_slots(&self) -> u32 {
        self.targets.iter().map(|t| t.slots).sum()
    }

    /// Returns the maximum throughput of the fleet, in tokens per second.
    pub fn total_rate(&self) -> f64 {
        self.targets
            .iter()
            .map(|t| t.slot_rate * f64::from(t.slots))
            .sum()
    }

    /// Returns the one-way network delay between two failure domains.
    pub fn one_way_delay(&self, from: &DomainName, to: &DomainName) -> Duration {
        if from == to {
            self.intra_domain_delay
        } else {
            self.inter_domain_delay
        }
    }

    /// Returns the indices of the routers in a failure domain.
    pub fn routers_in(&self, domain: &DomainName) -> Vec<usize> {
        let all = self.routers.iter().enumerate();
        all.filter(|(_, (_, d))| d == domain)
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the configuration document of the fleet.
    pub fn document(&self) -> Document {
        let model = Model {
            first_token_ms: 600_000,
            between_tokens_ms: 60_000,
            quick_tokens: 256,
        };
        let customer = |share| Customer {
            share,
            key_hashes: [].into(),
            max_waiting: 100_000,
        };
        let target = |spec: &TargetSpec| Target {
            domain: spec.domain.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            serves: [ServiceName::from(MODEL)].into(),
            slots: spec.slots,
            checks_fencing: false,
            draining: false,
        };
        Document {
            customers: self
                .shares
                .iter()
                .map(|(n, s)| (n.clone(), customer(*s)))
                .collect(),
            models: [(ServiceName::from(MODEL), model)].into(),
            services: BTreeMap::new(),
            evacuations: [].into(),
            targets: self
                .targets
                .iter()
                .map(|t| (t.name.clone(), target(t)))
                .collect(),
        }
    }
}
