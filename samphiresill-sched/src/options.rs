//! Timing parameters and bounds of capacity scheduling.

use std::time::Duration;

/// `Options` are the scheduling parameters; all routers of a fleet must use the same values.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval between full reports from a router to a scheduler.
    pub report_interval: Duration,
    /// Interval between summaries from a scheduler to the schedulers of other failure domains.
    pub summary_interval: Duration,
    /// Minimum time between two reports from a router to the same scheduler.
    pub min_report_interval: Duration,
    /// Minimum time between two summaries.
    pub min_summary_interval: Duration,
    /// Time for which a grant is valid, from the sending of the report that it is based on.
    pub grant_lifetime: Duration,
    /// Time for which a slot remains reserved without a progress report for the request that runs
    /// on it.
    pub slot_lease: Duration,
    /// Time for which a new scheduler issues no grants, while it learns from reports which slots
    /// are in use.
    pub listen_time: Duration,
    /// Time without summaries from another domain's scheduler after which the next one is treated
    /// as a rejoin.
    pub rejoin_threshold: Duration,
    /// Maximum lead of a customer after a rejoin, in tokens per unit of share.
    pub max_lead: f64,
    /// Maximum number of consecutive interactive requests of a customer while one of its batch
    /// requests waits.
    pub max_consecutive_interactive: u32,
}

impl Options {
    /// Creates options with all times derived from the report interval.
    #[must_use]
    pub fn with_interval(interval: Duration) -> Self {
        Self {
            report_interval: interval,
            summary_interval: interval,
            min_report_interval: Duration::from_millis(2),
            min_summary_interval: interval / 50,
            grant_lifetime: interval * 4,
            slot_lease: interval * 8 + Duration::from_secs(1),
            listen_time: interval * 2 + Duration::from_millis(100),
            rejoin_threshold: interval * 4 + Duration::from_secs(2),
            max_lead: 12_000.0,
            max_consecutive_interactive: 4,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::with_interval(Duration::from_millis(250))
    }
}
