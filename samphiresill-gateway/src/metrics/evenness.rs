//! Gauges of how evenly targets are loaded.

use opentelemetry::metrics::{Gauge, Meter};
use samphiresill_sched::fleet::balance::evenness::Summary;

/// `EvennessGauges` export the worst figures over the services, because labels hold no names; the log
/// has the figures of each service.
#[derive(Debug)]
pub(super) struct EvennessGauges {
    wait_imbalance: Gauge<f64>,
    work_imbalance: Gauge<f64>,
    overrun_fraction: Gauge<f64>,
    view_age: Gauge<f64>,
}

impl EvennessGauges {
    pub(super) fn new(meter: &Meter) -> Self {
        let gauge = |name| meter.f64_gauge(name).build();
        Self {
            wait_imbalance: gauge("gateway_wait_imbalance"),
            work_imbalance: gauge("gateway_work_imbalance"),
            overrun_fraction: gauge("gateway_overrun_fraction"),
            view_age: gauge("gateway_view_age_ms"),
        }
    }

    pub(super) fn record<'a>(&self, summaries: impl Iterator<Item = &'a Summary>) {
        let mut worst = Summary::default();
        for summary in summaries {
            worst.wait_imbalance = worst.wait_imbalance.max(summary.wait_imbalance);
            worst.work_imbalance = worst.work_imbalance.max(summary.work_imbalance);
            worst.overrun_fraction = worst.overrun_fraction.max(summary.overrun_fraction);
            worst.view_age_ms = worst.view_age_ms.max(summary.view_age_ms);
        }
        self.wait_imbalance.record(worst.wait_imbalance, &[]);
        self.work_imbalance.record(worst.work_imbalance, &[]);
        self.overrun_fraction.record(worst.overrun_fraction, &[]);
        self.view_age.record(worst.view_age_ms, &[]);
    }
}
