//! Times and bounds of the capacity decisions.

use std::time::Duration;

/// `Options` are the times and bounds that all routers of a fleet share.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time between full reports of a router to a scheduler.
    pub report_interval: Duration,
    /// Time between summaries of a scheduler to the schedulers of other failure domains.
    pub summary_interval: Duration,
    /// Least time between two reports of a router to one scheduler.
    pub min_gap: Duration,
    /// Least time between two summaries.
    pub summary_gap: Duration,
    /// How long after the report that it answers a grant may be used.
    pub grant_life: Duration,
    /// How long a slot stays taken with no report on the request that runs there.
    pub slot_lease: Duration,
    /// How long a new scheduler only listens, so that it learns which slots are taken.
    pub listen_time: Duration,
    /// Silence of another domain's scheduler after which its return counts as a rejoin.
    pub rejoin_silence: Duration,
    /// Largest lead in tokens per unit of share that a customer is held to after a rejoin.
    pub max_debt: f64,
    /// Quick requests of a customer in a row while a patient one of it waits.
    pub quick_in_a_row: u32,
}

impl Options {
    /// Options whose times follow from one interval between reports.
    #[must_use]
    pub fn with_interval(interval: Duration) -> Self {
        Self {
            report_interval: interval,
            summary_interval: interval,
            min_gap: Duration::from_millis(2),
            summary_gap: interval / 50,
            grant_life: interval * 4,
            slot_lease: interval * 8 + Duration::from_secs(1),
            listen_time: interval * 2 + Duration::from_millis(100),
            rejoin_silence: interval * 4 + Duration::from_secs(2),
            max_debt: 12_000.0,
            quick_in_a_row: 4,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::with_interval(Duration::from_millis(250))
    }
}
