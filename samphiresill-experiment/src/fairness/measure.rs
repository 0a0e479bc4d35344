//! Metrics collected during one run.

use std::time::Duration;

use super::case::{Arrivals, Case, Fault, WARM_UP};
use super::deployment::Deployment;

/// `RunMetrics` collects the metrics of one run.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    shares: Vec<f64>,
    backlogged_customers: Vec<bool>,
    baseline_service: Option<Vec<f64>>,
    /// Largest difference in service between two backlogged customers since the end of the warm-up,
    /// in tokens per unit of share.
    pub gap: f64,
    idle_slot_s: f64,
    total_slots: f64,
    last_idle_update: Duration,
    partitioned_until: Duration,
    is_partitioned: bool,
    interactive_waits_s: Vec<f64>,
}

impl RunMetrics {
    /// Creates empty metrics for a run.
    pub fn new(deployment: &Deployment, case: &Case) -> Self {
        let is_backlogged = |a: &Arrivals| matches!(a, Arrivals::Backlogged { .. });
        Self {
            shares: deployment.shares.iter().map(|(_, s)| s.as_f64()).collect(),
            backlogged_customers: case
                .workloads
                .iter()
                .map(|w| is_backlogged(&w.arrivals))
                .collect(),
            baseline_service: None,
            gap: 0.0,
            idle_slot_s: 0.0,
            total_slots: f64::from(deployment.total_slots()),
            last_idle_update: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            is_partitioned: false,
            interactive_waits_s: Vec::new(),
        }
    }

    /// Updates the gap from the total service of each customer, in tokens.
    pub fn record_service(&mut self, now: Duration, totals: &[f64]) {
        if now < WARM_UP {
            return;
        }
        let normalized = totals.iter().zip(&self.shares).map(|(t, s)| t / s);
        let normalized: Vec<f64> = normalized.collect();
        let baseline = self
            .baseline_service
            .get_or_insert_with(|| normalized.clone());
        let since = normalized
            .iter()
            .zip(baseline.iter())
            .map(|(current, baseline)| current - baseline);
        let counted = since
            .zip(&self.backlogged_customers)
            .filter(|(_, b)| **b)
            .map(|(s, _)| s);
        let (min, max) = counted.fold((f64::MAX, f64::MIN), |(min, max), s| {
            (min.min(s), max.max(s))
        });
        self.gap = self.gap.max(max - min);
    }

    /// Records a fault if it changes which targets are reachable.
    pub fn record_fault(&mut self, now: Duration, fault: &Fault) {
        if let Fault::Partition { duration } = fault {
            self.partitioned_until = now + *duration;
        }
    }

    /// Records the waiting time of an interactive request.
    pub fn record_interactive_wait(&mut self, now: Duration, arrived: Duration) {
        if arrived >= WARM_UP {
            self.interactive_waits_s
                .push(now.saturating_sub(arrived).as_secs_f64());
        }
    }

    /// Adds the slot time from the previous call until `now` in which slots were idle although
    /// requests that could reach them were waiting.
    ///
    /// `idle` lists targets with their idle slots, `waiting` lists routers with their waiting
    /// requests. The first failure domain is counted separately while it is partitioned.
    pub fn record_idle_slots(
        &mut self,
        now: Duration,
        deployment: &Deployment,
        idle: &[(usize, usize)],
        waiting: &[(usize, usize)],
    ) {
        let elapsed_s = now
            .saturating_sub(self.last_idle_update.max(WARM_UP))
            .as_secs_f64();
        self.is_partitioned = now <= self.partitioned_until;
        self.last_idle_update = self.last_idle_update.max(now);
        if elapsed_s <= 0.0 || idle.is_empty() {
            return;
        }
        let first_domain = &deployment.routers[0].1;
        let idle_on_side = |is_first_domain: bool| {
            let is_on_side =
                |domain| !self.is_partitioned || (domain == first_domain) == is_first_domain;
            let idle = idle
                .iter()
                .filter(|(t, _)| is_on_side(&deployment.targets[*t].domain));
            let waiting = waiting
                .iter()
                .filter(|(r, _)| is_on_side(&deployment.routers[*r].1));
            let idle: usize = idle.map(|(_, n)| n).sum();
            idle.min(waiting.map(|(_, n)| n).sum::<usize>())
        };
        let idle = if self.is_partitioned {
            idle_on_side(true) + idle_on_side(false)
        } else {
            idle_on_side(true)
        };
        self.idle_slot_s += idle as f64 * elapsed_s;
    }

    /// Returns the fraction of the measured slot time that was idle while requests that could reach
    /// the slots were waiting.
    pub fn idle_share(&self) -> f64 {
        self.idle_slot_s
            / (self.total_slots * self.last_idle_update.saturating_sub(WARM_UP).as_secs_f64())
    }

    /// Returns a quantile of the interactive requests' waiting times in milliseconds, or `None` if
    /// there were no such requests.
    pub fn interactive_wait_ms(&mut self, quantile: f64) -> Option<f64> {
        self.interactive_waits_s.sort_by(f64::total_cmp);
        let last_index = self.interactive_waits_s.len().checked_sub(1)?;
        Some(self.interactive_waits_s[(last_index as f64 * quantile).round() as usize] * 1_000.0)
    }
}
