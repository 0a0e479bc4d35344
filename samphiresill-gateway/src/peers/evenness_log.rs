//! Logs and exports how evenly the targets of each service are loaded.

use std::time::Duration;

use samphiresill_sched::fleet::balance::evenness::Evenness;

use crate::gateway::Gateway;

/// Interval between samples: several in each span of 250 ms.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between log lines of a service.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// `EvennessLog` samples the load of the targets that a scheduler knows of.
#[derive(Debug, Default)]
pub(super) struct EvennessLog {
    evenness: Evenness,
    sampled_at: Duration,
    summarised_at: Duration,
}

impl EvennessLog {
    /// Takes a sample and logs the summaries when they are due.
    pub(super) fn update(&mut self, gateway: &Gateway, now: Duration) {
        if now.saturating_sub(self.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        gateway
            .fleet_load()
            .sample_evenness(&mut self.evenness, now);
        if now.saturating_sub(self.summarised_at) < SUMMARY_INTERVAL {
            return;
        }
        self.summarised_at = now;
        let summaries = self.evenness.take();
        for (service, summary) in summaries.iter().filter(|(_, s)| s.spans > 0) {
            log::info!(
                service:%, spans = summary.spans, wait_imbalance = summary.wait_imbalance,
                max_wait_imbalance = summary.max_wait_imbalance,
                work_imbalance = summary.work_imbalance,
                overrun_fraction = summary.overrun_fraction, view_age_ms = summary.view_age_ms;
                "evenness of load"
            );
        }
        gateway.metrics.record_evenness(summaries.values());
    }
}
