//! Evenness of the load of a service's targets, over spans of 250 ms.
//!
//! Shows the load pattern in which targets are overrun in turns while others are idle, which means
//! over seconds do not show.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::{ServiceName, TargetName};

/// Time over which the load of a target is averaged.
const SPAN: Duration = Duration::from_millis(250);
/// Mean wait below which the imbalance of waits is not taken, in milliseconds: a single prompt makes
/// it as large as the number of targets.
const MIN_MEAN_WAIT_MS: f64 = 1.0;
/// Fraction of its bound below which a target could have taken the work of another one.
const UNDER_FRACTION: f64 = 0.5;

/// `TargetSample` is the load of one target at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSample {
    /// Expected wait of a new request, in milliseconds.
    pub wait_ms: f64,
    /// Requests on the target relative to its slots.
    pub work: f64,
    /// Load relative to the bound above which the target gets no more requests.
    pub of_bound: f64,
}

/// `Summary` is the evenness of a service's load since the last summary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of complete spans.
    pub spans: u32,
    /// Largest wait relative to the mean over the targets, mean over the spans; 0 when idle.
    pub wait_imbalance: f64,
    /// The same for the requests on a target relative to its slots.
    pub work_imbalance: f64,
    /// Largest imbalance of waits of a span.
    pub max_wait_imbalance: f64,
    /// Fraction of the time in which a target was over its bound while another one was under half.
    pub overrun_fraction: f64,
    /// Mean age of the views of the other deciders, in milliseconds.
    pub view_age_ms: f64,
}

/// `Evenness` collects samples of the load of services.
#[derive(Clone, Debug, Default)]
pub struct Evenness {
    services: BTreeMap<ServiceName, Collected>,
}

#[derive(Clone, Debug, Default)]
struct Collected {
    began_at: Duration,
    /// Sums of the wait and the work of each target in the present span. Bounded by the targets.
    sums: BTreeMap<TargetName, (f64, f64)>,
    waits: Ratios,
    works: Ratios,
    spans: u32,
    samples: u32,
    overrun_samples: u32,
    age_ms: f64,
}

/// `Ratios` sums up ratios of the largest to the mean.
#[derive(Clone, Copy, Debug, Default)]
struct Ratios {
    sum: f64,
    count: u32,
    max: f64,
}

impl Ratios {
    fn add(&mut self, values: &[f64], min_mean: f64) {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        if mean <= 0.0 || mean < min_mean {
            return;
        }
        let ratio = values.iter().copied().fold(0.0, f64::max) / mean;
        self.sum += ratio;
        self.count += 1;
        self.max = self.max.max(ratio);
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

impl Evenness {
    /// Adds the load of all targets of a service at one moment. Spans with a gap of more than a span
    /// between samples are dropped, because the process was paused.
    pub fn record(
        &mut self,
        service: &ServiceName,
        targets: &[(TargetName, TargetSample)],
        age: Duration,
        now: Duration,
    ) {
        let collected = self.services.entry(service.clone()).or_default();
        let is_over = targets.iter().any(|(_, t)| t.of_bound >= 1.0);
        let is_other_under = targets.iter().any(|(_, t)| t.of_bound < UNDER_FRACTION);
        collected.samples += 1;
        collected.overrun_samples += u32::from(is_over && is_other_under);
        collected.age_ms += age.as_secs_f64() * 1_000.0;
        let elapsed = now.saturating_sub(collected.began_at);
        if elapsed >= SPAN {
            if elapsed < SPAN * 2 {
                collected.end_span();
            }
            collected.sums.clear();
            collected.began_at = now;
        }
        for (name, target) in targets {
            let sums = collected.sums.entry(name.clone()).or_default();
            sums.0 += target.wait_ms;
            sums.1 += target.work;
        }
    }

    /// Returns the summaries of all services with samples, and starts new ones.
    pub fn take(&mut self) -> BTreeMap<ServiceName, Summary> {
        let collected = std::mem::take(&mut self.services);
        let summary = |(service, c): (ServiceName, Collected)| (service, c.summary());
        collected.into_iter().map(summary).collect()
    }
}

impl Collected {
    fn end_span(&mut self) {
        // The waits are sums over the samples of the span.
        let (waits, works): (Vec<f64>, Vec<f64>) = self.sums.values().copied().unzip();
        self.waits.add(&waits, MIN_MEAN_WAIT_MS);
        self.works.add(&works, 0.0);
        self.spans += 1;
    }

    fn summary(&self) -> Summary {
        let samples = f64::from(self.samples.max(1));
        Summary {
            spans: self.spans,
            wait_imbalance: self.waits.mean(),
            work_imbalance: self.works.mean(),
            max_wait_imbalance: self.waits.max,
            overrun_fraction: f64::from(self.overrun_samples) / samples,
            view_age_ms: self.age_ms / samples,
        }
    }
}
