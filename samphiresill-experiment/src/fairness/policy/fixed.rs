//! Baseline policies without a scheduler: the slots of each target are statically divided among the
//! routers of its failure domain, and each router schedules its part with its own fair queue.
//! Routers account only for their own service, or exchange their accounts by gossip.

use std::time::Duration;

use samphiresill_core::units::Tokens;

use super::super::deployment::Deployment;
use super::ideal::{ChargeBasis, FairQueue};
use super::{Decision, PendingRequest, Policy, ProgressFn};

/// Interval at which routers exchange their accounts.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// `FixedPartition` is the baseline policy with statically divided slots.
pub struct FixedPartition {
    queues: Vec<FairQueue>,
    /// Router of each request, by the identifier of the request.
    assigned_router: std::collections::BTreeMap<usize, usize>,
    has_gossip: bool,
    next_exchange: Duration,
    /// Local service of each router at the last exchange.
    exchanged: Vec<Vec<f64>>,
}

impl FixedPartition {
    /// Divides the slots of each target among the routers of its failure domain.
    pub fn new(deployment: &Deployment, has_gossip: bool) -> Self {
        let build_queue = |router: usize| {
            let mut partition = deployment.clone();
            for target in &mut partition.targets {
                let domain_routers = deployment.routers_in(&target.domain);
                let rank = domain_routers.iter().position(|r| *r == router);
                target.slots = rank.map_or(0, |rank| {
                    let (base, remainder) = (
                        target.slots / domain_routers.len() as u32,
                        target.slots % domain_routers.len() as u32,
                    );
                    base + u32::from((rank as u32) < remainder)
                });
            }
            FairQueue::new(&partition, ChargeBasis::Progress)
        };
        let queues: Vec<FairQueue> = (0..deployment.routers.len()).map(build_queue).collect();
        let exchanged = vec![vec![0.0; deployment.shares.len()]; queues.len()];
        Self {
            queues,
            assigned_router: std::collections::BTreeMap::new(),
            has_gossip,
            next_exchange: GOSSIP_INTERVAL,
            exchanged,
        }
    }

    /// Adds to each router's accounts the service that the others have given since the last
    /// exchange.
    fn exchange_accounts(&mut self) {
        let deltas: Vec<Vec<f64>> = self
            .queues
            .iter()
            .zip(&self.exchanged)
            .map(|(queue, exchanged)| {
                queue
                    .local_service
                    .iter()
                    .zip(exchanged)
                    .map(|(total, exchanged)| total - exchanged)
                    .collect()
            })
            .collect();
        for (index, queue) in self.queues.iter_mut().enumerate() {
            for (other, amounts) in deltas.iter().enumerate() {
                if other != index {
                    queue.add_remote_service(amounts);
                }
            }
        }
        self.exchanged = self
            .queues
            .iter()
            .map(|q| q.local_service.clone())
            .collect();
    }
}

impl Policy for FixedPartition {
    fn name(&self) -> String {
        if self.has_gossip {
            "fixed-gossip".into()
        } else {
            "fixed".into()
        }
    }

    fn next_event_at(&self) -> Option<Duration> {
        self.has_gossip.then_some(self.next_exchange)
    }

    fn advance(&mut self, now: Duration, _progress: ProgressFn) -> Vec<Decision> {
        if self.has_gossip && now >= self.next_exchange {
            self.next_exchange = now + GOSSIP_INTERVAL;
            self.exchange_accounts();
        }
        Vec::new()
    }

    fn submit(
        &mut self,
        now: Duration,
        request: PendingRequest,
        progress: ProgressFn,
    ) -> Vec<Decision> {
        self.assigned_router
            .insert(request.request_id, request.router);
        self.queues[request.router].submit(now, request, progress)
    }

    fn finish(
        &mut self,
        now: Duration,
        request_id: usize,
        cost: Tokens,
        progress: ProgressFn,
    ) -> Vec<Decision> {
        let Some(router) = self.assigned_router.remove(&request_id) else {
            return Vec::new();
        };
        self.queues[router].finish(now, request_id, cost, progress)
    }
}
