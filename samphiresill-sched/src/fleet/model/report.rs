//! Figures of a run of the model.

use std::time::Duration;

use super::engine::Engine;

/// Interval between samples of the engines.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Samples of one interval over which the imbalance is taken: 250 ms.
const SAMPLES_PER_INTERVAL: usize = 10;

/// `Report` holds the figures of a run of the model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Largest expected wait over the engines, mean over the time, in milliseconds.
    pub largest_wait_ms: f64,
    /// Mean expected wait over the engines and the time, in milliseconds.
    pub mean_wait_ms: f64,
    /// Largest expected wait relative to the mean, over intervals of 250 ms; their mean.
    pub wait_imbalance: f64,
    /// The same for the requests on each engine relative to its slots.
    pub work_imbalance: f64,
    /// Mean time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time to the first event that one request in a hundred exceeds, in milliseconds.
    pub first_event_p99_ms: f64,
    /// Requests that were placed.
    pub requests: usize,
    /// Requests that no engine had room for.
    pub refused: usize,
    /// Prompt tokens that were prefilled for each request.
    pub prefilled_per_request: f64,
}

/// `Samples` collects what a run of the model shows.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// Sums over the samples of the present interval: wait and occupancy of each engine.
    sums: Vec<(f64, f64)>,
    in_interval: usize,
    largest_waits: Vec<f64>,
    mean_waits: Vec<f64>,
    imbalances: Vec<(f64, f64)>,
    first_events_ms: Vec<f64>,
    prefilled: f64,
    pub refused: usize,
}

impl Samples {
    pub fn new(engines: usize) -> Self {
        Self {
            sums: vec![(0.0, 0.0); engines],
            ..Self::default()
        }
    }

    pub fn record(&mut self, prefilled: u32, first_event: Duration) {
        self.prefilled += f64::from(prefilled);
        self.first_events_ms
            .push(first_event.as_secs_f64() * 1_000.0);
    }

    pub fn sample(&mut self, engines: &mut [Engine], now: Duration) {
        let wait = |e: &Engine| e.backlog(now).as_secs_f64() * 1_000.0;
        let waits: Vec<f64> = engines.iter().map(wait).collect();
        self.largest_waits.push(largest(waits.iter().copied()));
        self.mean_waits.push(mean(&waits));
        for ((sum, wait), engine) in self.sums.iter_mut().zip(waits).zip(engines) {
            sum.0 += wait;
            sum.1 += engine.occupancy(now);
        }
        self.in_interval += 1;
        if self.in_interval == SAMPLES_PER_INTERVAL {
            let (waits, work): (Vec<f64>, Vec<f64>) = self.sums.iter().copied().unzip();
            self.imbalances.push((imbalance(&waits), imbalance(&work)));
            self.sums.fill((0.0, 0.0));
            self.in_interval = 0;
        }
    }

    pub fn report(mut self) -> Report {
        let (waits, work): (Vec<f64>, Vec<f64>) = self.imbalances.iter().copied().unzip();
        self.first_events_ms.sort_by(f64::total_cmp);
        let requests = self.first_events_ms.len();
        let p99 = self.first_events_ms.get(requests * 99 / 100);
        Report {
            largest_wait_ms: mean(&self.largest_waits),
            mean_wait_ms: mean(&self.mean_waits),
            wait_imbalance: mean(&waits),
            work_imbalance: mean(&work),
            first_event_ms: mean(&self.first_events_ms),
            first_event_p99_ms: p99.copied().unwrap_or_default(),
            requests,
            refused: self.refused,
            prefilled_per_request: self.prefilled / requests.max(1) as f64,
        }
    }
}

fn imbalance(values: &[f64]) -> f64 {
    let mean = mean(values);
    if mean > 0.0 {
        largest(values.iter().copied()) / mean
    } else {
        1.0
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn largest(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}
