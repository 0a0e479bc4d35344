//! Logs the limits that targets name, and the requests that the fleet sends to them.

use std::collections::BTreeMap;
use std::time::Duration;

use samphiresill_core::name::TargetName;
use samphiresill_core::units::RequestRate;
use samphiresill_sched::fleet::directive::rate_limit::RateLimit;

use crate::gateway::Gateway;

/// Interval between lines about the limits in force: the window in which requests are counted.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);

/// `Limit` is the limit of one target, as a gateway knows it.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RequestRate,
    /// Requests of all gateways in the last four seconds.
    starts: usize,
}

impl Limit {
    /// Requests in the window beyond what the limit allows; negative when there are fewer.
    fn excess(&self) -> f64 {
        self.starts as f64 - self.rate.per_second() * SUMMARY_INTERVAL.as_secs_f64()
    }
}

/// `LimitLog` records which limits have been logged.
#[derive(Debug, Default)]
pub(super) struct LimitLog {
    known: BTreeMap<TargetName, Limit>,
    summarised_at: Duration,
}

impl LimitLog {
    /// Logs the limits that have changed and, at intervals, how the requests compare with them.
    pub(super) fn update(&mut self, gateway: &Gateway, now: Duration) {
        let limits = limits(gateway, now);
        for (target, limit) in &limits {
            if self.known.get(target).map(|k| k.rate) != Some(limit.rate) {
                log::info!(target:%, per_second = limit.rate.per_second(); "target names a limit");
            }
        }
        for target in self.known.keys().filter(|t| !limits.contains_key(*t)) {
            log::info!(target:%; "target names no limit any more");
        }
        gateway.metrics.record_limited_targets(limits.len());
        if now.saturating_sub(self.summarised_at) >= SUMMARY_INTERVAL {
            self.summarised_at = now;
            let worst = limits
                .iter()
                .max_by(|a, b| a.1.excess().total_cmp(&b.1.excess()));
            if let Some((target, limit)) = worst {
                log::info!(
                    limited_targets = limits.len(), target:%, starts = limit.starts,
                    window_ms = SUMMARY_INTERVAL.as_millis() as u64,
                    per_second = limit.rate.per_second();
                    "requests to the limited target that gets most"
                );
            }
        }
        self.known = limits;
    }
}

fn limits(gateway: &Gateway, now: Duration) -> BTreeMap<TargetName, Limit> {
    let fleet_load = gateway.fleet_load();
    let limits = fleet_load.directives().limits();
    let known = |(target, limit): (&TargetName, &RateLimit)| {
        let limit = Limit {
            rate: limit.rate(),
            starts: limit.recent_starts(now),
        };
        (target.clone(), limit)
    };
    limits.map(known).collect()
}
