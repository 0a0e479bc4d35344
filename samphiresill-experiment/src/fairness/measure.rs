//! Metrics collected during one run.

use std::time::Duration;

use super::case::{Arrivals, Case, Fault, WARM_UP};
use super::deployment::Deployment;

/// `Measure` collects the metrics of one run.
#[derive(Clone, Debug)]
pub struct Measure {
    shares: Vec<f64>,
    backlogged: Vec<bool>,
    baseline: Option<Vec<f64>>,
    /// Largest difference in service between two backlogged customers since the end of the warm-up,
    /// in tokens per unit of share.
    pub gap: f64,
    idle_s: f64,
    slots: f64,
    last: Duration,
    cut_until: Duration,
    is_cut: bool,
    quick_waits_s: Vec<f64>,
}

impl Measure {
    /// Creates empty metrics for a run.
    pub fn new(deployment: &Deployment, case: &Case) -> Self {
        let is_backlogged = |a: &Arrivals| matches!(a, Arrivals::Backlogged { .. });
        Self {
            shares: deployment.shares.iter().map(|(_, s)| s.as_f64()).collect(),
            backlogged: case
                .loads
                .iter()
                .map(|l| is_backlogged(&l.arrivals))
                .collect(),
            baseline: None,
            gap: 0.0,
            idle_s: 0.0,
            slots: f64::from(deployment.slots()),
            last: Duration::ZERO,
            cut_until: Duration::ZERO,
            is_cut: false,
            quick_waits_s: Vec::new(),
        }
    }

    /// Updates the gap from the total service of each customer, in tokens.
    pub fn sample(&mut self, now: Duration, totals: &[f64]) {
        if now < WARM_UP {
            return;
        }
        let by_share = totals.iter().zip(&self.shares).map(|(t, s)| t / s);
        let by_share: Vec<f64> = by_share.collect();
        let baseline = self.baseline.get_or_insert_with(|| by_share.clone());
        let since = by_share
            .iter()
            .zip(baseline.iter())
            .map(|(now, then)| now - then);
        let counted = since
            .zip(&self.backlogged)
            .filter(|(_, b)| **b)
            .map(|(s, _)| s);
        let (least, most) = counted.fold((f64::MAX, f64::MIN), |(l, m), s| (l.min(s), m.max(s)));
        self.gap = self.gap.max(most - least);
    }

    /// Records a fault if it changes which targets are reachable.
    pub fn note_fault(&mut self, now: Duration, fault: &Fault) {
        if let Fault::Cut { length } = fault {
            self.cut_until = now + *length;
        }
    }

    /// Records the waiting time of a quick request.
    pub fn note_quick_wait(&mut self, now: Duration, arrived: Duration) {
        if arrived >= WARM_UP {
            self.quick_waits_s
                .push(now.saturating_sub(arrived).as_secs_f64());
        }
    }

    /// Adds the slot time from the previous call until `now` in which slots were idle although
    /// requests that could reach them were waiting.
    ///
    /// `idle` lists targets with their idle slots, `waiting` lists routers with their waiting
    /// requests. The first failure domain is counted separately while it is partitioned.
    pub fn note_idle(
        &mut self,
        now: Duration,
        deployment: &Deployment,
        idle: &[(usize, usize)],
        waiting: &[(usize, usize)],
    ) {
        let length = now.saturating_sub(self.last.max(WARM_UP)).as_secs_f64();
        self.is_cut = now <= self.cut_until;
        self.last = self.last.max(now);
        if length <= 0.0 || idle.is_empty() {
            return;
        }
        let first = &deployment.routers[0].1;
        let side = |is_first: bool| {
            let on_side = |domain| !self.is_cut || (domain == first) == is_first;
            let idle = idle
                .iter()
                .filter(|(t, _)| on_side(&deployment.sites[*t].domain));
            let waiting = waiting
                .iter()
                .filter(|(r, _)| on_side(&deployment.routers[*r].1));
            let idle: usize = idle.map(|(_, n)| n).sum();
            idle.min(waiting.map(|(_, n)| n).sum::<usize>())
        };
        let idle = if self.is_cut {
            side(true) + side(false)
        } else {
            side(true)
        };
        self.idle_s += idle as f64 * length;
    }

    /// Returns the fraction of the measured slot time that was idle while requests that could reach
    /// the slots were waiting.
    pub fn idle_share(&self) -> f64 {
        self.idle_s / (self.slots * self.last.saturating_sub(WARM_UP).as_secs_f64())
    }

    /// Returns a quantile of the quick requests' waiting times in milliseconds, or `None` if there
    /// were no such requests.
    pub fn quick_wait_ms(&mut self, quantile: f64) -> Option<f64> {
        self.quick_waits_s.sort_by(f64::total_cmp);
        let last = self.quick_waits_s.len().checked_sub(1)?;
        Some(self.quick_waits_s[(last as f64 * quantile).round() as usize] * 1_000.0)
    }
}
