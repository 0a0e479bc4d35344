//! Baseline policies without a scheduler: the slots of each target are statically divided among the
//! routers of its failure domain, and each router schedules its part with its own fair queue.
//! Routers account only for their own service, or exchange their accounts by gossip.

use std::time::Duration;

use samphiresill_core::units::Tokens;

use super::super::deployment::Deployment;
use super::ideal::{Charge, Ideal};
use super::{Decision, Offer, Policy, Progress};

/// Interval at which routers exchange their accounts.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// `Fixed` is the baseline policy with statically divided slots.
pub struct Fixed {
    routers: Vec<Ideal>,
    /// Router of each request, by the identifier of the request.
    placed_at: std::collections::BTreeMap<usize, usize>,
    gossip: bool,
    next_gossip: Duration,
    told: Vec<Vec<f64>>,
}

impl Fixed {
    /// Divides the slots of each target among the routers of its failure domain.
    pub fn new(deployment: &Deployment, gossip: bool) -> Self {
        let split = |router: usize| {
            let mut part = deployment.clone();
            for site in &mut part.sites {
                let sharers = deployment.routers_in(&site.domain);
                let rank = sharers.iter().position(|r| *r == router);
                site.slots = rank.map_or(0, |rank| {
                    let (each, rest) = (
                        site.slots / sharers.len() as u32,
                        site.slots % sharers.len() as u32,
                    );
                    each + u32::from((rank as u32) < rest)
                });
            }
            Ideal::new(&part, Charge::Progress)
        };
        let routers: Vec<Ideal> = (0..deployment.routers.len()).map(split).collect();
        let told = vec![vec![0.0; deployment.shares.len()]; routers.len()];
        Self {
            routers,
            placed_at: std::collections::BTreeMap::new(),
            gossip,
            next_gossip: GOSSIP_INTERVAL,
            told,
        }
    }

    /// Adds to each router's accounts the service that the others have given since the last
    /// exchange.
    fn exchange(&mut self) {
        let given: Vec<Vec<f64>> = self
            .routers
            .iter()
            .zip(&self.told)
            .map(|(router, told)| {
                router
                    .own_given
                    .iter()
                    .zip(told)
                    .map(|(g, t)| g - t)
                    .collect()
            })
            .collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (other, amounts) in given.iter().enumerate() {
                if other != index {
                    router.add_served(amounts);
                }
            }
        }
        self.told = self.routers.iter().map(|r| r.own_given.clone()).collect();
    }
}

impl Policy for Fixed {
    fn name(&self) -> String {
        if self.gossip {
            "fixed-gossip".into()
        } else {
            "fixed".into()
        }
    }

    fn wakes_at(&self) -> Option<Duration> {
        self.gossip.then_some(self.next_gossip)
    }

    fn advance(&mut self, now: Duration, _progress: Progress) -> Vec<Decision> {
        if self.gossip && now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.exchange();
        }
        Vec::new()
    }

    fn submit(&mut self, now: Duration, offer: Offer, progress: Progress) -> Vec<Decision> {
        self.placed_at.insert(offer.number, offer.router);
        self.routers[offer.router].submit(now, offer, progress)
    }

    fn finish(
        &mut self,
        now: Duration,
        number: usize,
        cost: Tokens,
        progress: Progress,
    ) -> Vec<Decision> {
        let Some(router) = self.placed_at.remove(&number) else {
            return Vec::new();
        };
        self.routers[router].finish(now, number, cost, progress)
    }
}
