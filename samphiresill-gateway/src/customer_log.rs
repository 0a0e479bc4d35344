//! What each customer has asked model engines for, and what became of it, for the log.
//!
//! The lines of single refusals are limited to a few a second. These summaries are complete: a
//! customer with refusals has one line a second, the customers with most refused tokens first.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::CustomerName;
use samphiresill_sched::fleet::admission::Reason;

use crate::metrics::Metrics;

/// Interval between summaries.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lines in one summary.
const MAX_LINES: usize = 3;
/// Maximum number of customers that are counted within one interval; further ones are left out.
const MAX_CUSTOMERS: usize = 1_000;

/// `RefusedBy` is what refused a request to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RefusedBy {
    /// The limit on the streams of this router.
    #[display("router overloaded")]
    StreamLimit,
    /// The memory budget of this router.
    #[display("no memory")]
    Memory,
    /// A scheduler.
    Scheduler(Reason),
}

/// `Usage` is what one customer asked for within an interval, in weighted tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u32,
    asked: u64,
    begun: u64,
    refused: u64,
    refused_for_streams: u32,
    refused_for_share: u32,
    refused_for_wait: u32,
    refused_for_other: u32,
}

impl Usage {
    fn count_refusal(&mut self, by: RefusedBy, cost: u64) {
        self.refused += cost;
        let count = match by {
            RefusedBy::StreamLimit => &mut self.refused_for_streams,
            RefusedBy::Scheduler(Reason::AboveShare) => &mut self.refused_for_share,
            RefusedBy::Scheduler(Reason::Wait) => &mut self.refused_for_wait,
            RefusedBy::Memory | RefusedBy::Scheduler(_) => &mut self.refused_for_other,
        };
        *count += 1;
    }
}

/// `CustomerLog` counts the requests of customers to model engines.
#[derive(Debug, Default)]
pub struct CustomerLog {
    usages: Mutex<BTreeMap<CustomerName, Usage>>,
}

impl CustomerLog {
    /// Counts a request that has arrived.
    pub fn record_request(&self, customer: &CustomerName, cost: u64) {
        self.update(customer, |usage| {
            usage.requests += 1;
            usage.asked += cost;
        });
    }

    /// Counts a stream whose first event has arrived.
    pub fn record_begin(&self, customer: &CustomerName, cost: u64) {
        self.update(customer, |usage| usage.begun += cost);
    }

    /// Counts a refused request.
    pub fn record_refusal(
        &self,
        metrics: &Metrics,
        customer: &CustomerName,
        by: RefusedBy,
        cost: u64,
    ) {
        metrics.record_refused_tokens(by, cost);
        self.update(customer, |usage| usage.count_refusal(by, cost));
    }

    /// Logs the customers with refusals since the last call.
    pub fn log_summary(&self) {
        let usages = std::mem::take(&mut *self.lock());
        let mut refused: Vec<(&CustomerName, &Usage)> = usages
            .iter()
            .filter(|(_, usage)| usage.refused > 0)
            .collect();
        refused.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.refused));
        for (customer, usage) in refused.iter().take(MAX_LINES) {
            log::info!(
                customer:%, customers = refused.len(), requests = usage.requests,
                asked_tokens = usage.asked, begun_tokens = usage.begun,
                refused_tokens = usage.refused, router_overloaded = usage.refused_for_streams,
                above_share = usage.refused_for_share, wait_too_long = usage.refused_for_wait,
                other = usage.refused_for_other;
                "customer refused"
            );
        }
    }

    fn update(&self, customer: &CustomerName, change: impl FnOnce(&mut Usage)) {
        let mut usages = self.lock();
        if usages.len() < MAX_CUSTOMERS || usages.contains_key(customer) {
            change(usages.entry(customer.clone()).or_default());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<CustomerName, Usage>> {
        self.usages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
