//! The deployments that fairness is measured on.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_contract::document::Document;
use samphiresill_contract::object::{Customer, Model, Target};
use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName, VmName};
use samphiresill_core::units::Share;

/// `Site` is one target with its speed.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens a second for each of them.
    pub rate: f64,
}

/// `Deployment` is one fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// The routers with their failure domains.
    pub routers: Vec<(VmName, DomainName)>,
    /// The targets.
    pub sites: Vec<Site>,
    /// The customers' shares.
    pub shares: Vec<(CustomerName, Share)>,
    /// One way between failure domains.
    pub between_domains: Duration,
    /// One way within a failure domain.
    pub within_domain: Duration,
}

/// The model that every target serves.
pub const MODEL: &str = "model";
/// Largest cost of a request, in tokens.
pub const MAX_COST: u64 = 6_000;
/// Smallest cost of a request, in tokens.
pub const MIN_COST: u64 = 30;

const SLOTS: u32 = 8;
const RATES: [f64; 4] = [25.0, 40.0, 60.0, 100.0];
const CUSTOMERS: usize = 16;
const LARGE_CUSTOMERS: usize = 3;
const LARGE_SHARE: u32 = 4;

impl Deployment {
    /// The deployment of a name.
    pub fn named(name: &str) -> Option<Self> {
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
        between_domains: Duration,
        within_domain: Duration,
    ) -> Self {
        let mut routers = Vec::new();
        let mut sites = Vec::new();
        for (index, (router_count, target_count)) in domains.iter().enumerate() {
            let domain: DomainName = format!("d{index}").into();
            for _ in 0..*router_count {
                routers.push((format!("r{}", routers.len()).into(), domain.clone()));
            }
            for _ in 0..*target_count {
                let number = sites.len();
                sites.push(Site {
                    name: format!("t{number}").into(),
                    domain: domain.clone(),
                    slots: SLOTS,
                    rate: RATES[number % RATES.len()],
                });
            }
        }
        let share = |i| Share(if i < LARGE_CUSTOMERS { LARGE_SHARE } else { 1 });
        let shares = (0..CUSTOMERS)
            .map(|i| (format!("c{i:02}").into(), share(i)))
            .collect();
        Self {
            name,
            routers,
            sites,
            shares,
            between_domains,
            within_domain,
        }
    }

    /// The slots of the fleet.
    pub fn slots(&self) -> u32 {
        self.sites.iter().map(|s| s.slots).sum()
    }

    /// Tokens a second of the whole fleet.
    pub fn rate(&self) -> f64 {
        self.sites.iter().map(|s| s.rate * f64::from(s.slots)).sum()
    }

    /// One way between two failure domains.
    pub fn delay(&self, from: &DomainName, to: &DomainName) -> Duration {
        if from == to {
            self.within_domain
        } else {
            self.between_domains
        }
    }

    /// The routers of a failure domain, as indices.
    pub fn routers_in(&self, domain: &DomainName) -> Vec<usize> {
        let all = self.routers.iter().enumerate();
        all.filter(|(_, (_, d))| d == domain)
            .map(|(i, _)| i)
            .collect()
    }

    /// The configuration document of the fleet.
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
        let target = |site: &Site| Target {
            domain: site.domain.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            serves: [ServiceName::from(MODEL)].into(),
            slots: site.slots,
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
            targets: self
                .sites
                .iter()
                .map(|s| (s.name.clone(), target(s)))
                .collect(),
        }
    }
}
