//! A router's side of the protocol with one pool: requests that run there, and state to report to
//! the pool's scheduler.
//!
//! Invariants: a grant is in at most one of `running`, `released` and `declined`; starts, releases
//! and declines are retransmitted until the current scheduler instance acknowledges them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use samphiresill_core::name::{CustomerName, RequestId, VmName};
use samphiresill_core::units::Tokens;

use crate::message::{
    Acknowledge, Demand, GrantId, Observed, PoolKey, Progress, Released, Report,
    SchedulerInstanceId, Started,
};

/// Maximum number of unacknowledged releases and of declines. When older ones are dropped, their
/// slots are freed by the expiry of the slot lease.
const MAX_UNACKNOWLEDGED: usize = 10_000;
/// Reported queue length of a customer from which further requests no longer trigger an early
/// report.
const EARLY_REPORT_WAITING: u32 = 4;

/// `Running` is a request that runs on a slot of the pool.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The start as reported to the scheduler.
    pub started: Started,
    /// Service received so far.
    pub served: Tokens,
    report_state: ReportState,
}

/// Whether an item was reported to the current scheduler instance: the time of its first report, or
/// its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    Unreported,
    Reported(Duration),
    Acknowledged,
}

impl ReportState {
    fn mark_reported(&mut self, now: Duration) -> bool {
        if *self == Self::Unreported {
            *self = Self::Reported(now);
        }
        *self != Self::Acknowledged
    }

    fn is_covered_by(self, sent_at: Duration) -> bool {
        matches!(self, Self::Reported(at) if at <= sent_at)
    }
}

/// `PoolClient` is the state that a router keeps about one pool.
#[derive(Clone, Debug)]
pub struct PoolClient {
    pool: PoolKey,
    scheduler: Option<VmName>,
    instance: Option<SchedulerInstanceId>,
    running: BTreeMap<GrantId, Running>,
    released: BTreeMap<GrantId, (Released, ReportState)>,
    declined: BTreeMap<GrantId, ReportState>,
    changed: BTreeSet<CustomerName>,
    reported_waiting: BTreeMap<CustomerName, u32>,
    seen: Option<(SchedulerInstanceId, u64)>,
    is_urgent: bool,
    last_report: Option<Duration>,
    last_full: Option<Duration>,
}

impl PoolClient {
    /// Creates a client without running requests.
    #[must_use]
    pub fn new(pool: PoolKey) -> Self {
        Self {
            pool,
            scheduler: None,
            instance: None,
            running: BTreeMap::new(),
            released: BTreeMap::new(),
            declined: BTreeMap::new(),
            changed: BTreeSet::new(),
            reported_waiting: BTreeMap::new(),
            seen: None,
            is_urgent: false,
            last_report: None,
            last_full: None,
        }
    }

    /// Returns the requests that run on the pool.
    #[must_use]
    pub fn running(&self) -> &BTreeMap<GrantId, Running> {
        &self.running
    }

    /// Sets the VM that schedules the pool. On a change, the full state is reported again.
    pub fn set_scheduler(&mut self, scheduler: Option<VmName>) {
        if self.scheduler != scheduler {
            self.scheduler = scheduler;
            self.reset_report_states();
        }
    }

    /// Returns the VM that schedules the pool.
    #[must_use]
    pub fn scheduler(&self) -> Option<&VmName> {
        self.scheduler.as_ref()
    }

    /// Records a change of a customer's queue length. An increase from a short reported queue
    /// triggers an early report.
    pub fn record_demand(&mut self, customer: &CustomerName, waiting: u32) {
        let reported = self.reported_waiting.get(customer).copied().unwrap_or(0);
        self.is_urgent |= waiting > reported && reported < EARLY_REPORT_WAITING;
        self.changed.insert(customer.clone());
    }

    /// Records the arrival of a grant for a customer. Its scheduler now counts one waiting request
    /// less.
    pub fn record_grant(&mut self, customer: &CustomerName) {
        if let Some(reported) = self.reported_waiting.get_mut(customer) {
            *reported = reported.saturating_sub(1);
        }
    }

    /// Records the sequence number of a delivery. A lower number that arrives later is treated as
    /// already received.
    pub fn record_delivery(&mut self, instance: SchedulerInstanceId, order: u64) {
        self.seen = match self.seen {
            Some((seen_instance, seen)) if seen_instance == instance => {
                Some((instance, seen.max(order)))
            }
            _ => Some((instance, order)),
        };
    }

    /// Records that a request has started on a grant.
    ///
    /// # Panics
    /// Panics when the grant is already in use.
    pub fn start(&mut self, request: RequestId, started: Started) {
        let grant = started.grant;
        let running = Running {
            request,
            started,
            served: Tokens(0),
            report_state: ReportState::Unreported,
        };
        let before = self.running.insert(grant, running);
        assert!(before.is_none(), "grant {grant} is already in use");
    }

    /// Records the service that a running request has received; the recorded value never decreases.
    pub fn progress(&mut self, grant: GrantId, served: Tokens) {
        if let Some(running) = self.running.get_mut(&grant) {
            running.served = running.served.max(served);
        }
    }

    /// Ends a running request and releases its slot. Returns `None` if the grant is not in use
    /// here.
    pub fn release(&mut self, grant: GrantId, observed: Observed) -> Option<Running> {
        let running = self.running.remove(&grant)?;
        let released = Released {
            grant,
            served: running.served,
            observed,
        };
        self.released
            .insert(grant, (released, ReportState::Unreported));
        if self.released.len() > MAX_UNACKNOWLEDGED {
            self.released.pop_first();
        }
        self.is_urgent = true;
        Some(running)
    }

    /// Returns an unused grant to the scheduler because no request was waiting for it.
    pub fn decline(&mut self, grant: GrantId) {
        self.declined.insert(grant, ReportState::Unreported);
        if self.declined.len() > MAX_UNACKNOWLEDGED {
            self.declined.pop_first();
        }
        self.is_urgent = true;
    }

    /// Processes an acknowledgement: drops or marks everything that the acknowledged report
    /// contained.
    pub fn acknowledge(&mut self, ack: &Acknowledge) {
        if self.instance != Some(ack.run) {
            self.instance = Some(ack.run);
            self.reset_report_states();
            return;
        }
        self.released
            .retain(|_, (_, state)| !state.is_covered_by(ack.sent_at));
        self.declined
            .retain(|_, state| !state.is_covered_by(ack.sent_at));
        for running in self.running.values_mut() {
            if running.report_state.is_covered_by(ack.sent_at) {
                running.report_state = ReportState::Acknowledged;
            }
        }
        for grant in &ack.unknown {
            if let Some(running) = self.running.get_mut(grant) {
                running.report_state = ReportState::Unreported;
            }
        }
    }

    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
            && self.released.is_empty()
            && self.declined.is_empty()
            && self.changed.is_empty()
            && self.reported_waiting.is_empty()
    }

    /// Returns when the next report is due, or `None` if there is nothing to report.
    #[must_use]
    pub fn next_report_at(
        &self,
        interval: Duration,
        min_report_interval: Duration,
    ) -> Option<Duration> {
        if self.is_idle() {
            return None;
        }
        let full = self.last_full.map_or(Duration::ZERO, |at| at + interval);
        let urgent = self
            .last_report
            .map_or(Duration::ZERO, |at| at + min_report_interval);
        Some(if self.is_urgent {
            full.min(urgent)
        } else {
            full
        })
    }

    /// Returns whether the next report must be a full one.
    #[must_use]
    pub fn is_full_due(&self, now: Duration, interval: Duration) -> bool {
        self.last_full.is_none_or(|at| now >= at + interval)
    }

    /// Takes the customers whose demand changed since the last report.
    pub fn take_changed(&mut self) -> BTreeSet<CustomerName> {
        std::mem::take(&mut self.changed)
    }

    /// Builds a report with the given demand.
    pub fn report(
        &mut self,
        now: Duration,
        incarnation: u64,
        is_full: bool,
        demand: Vec<Demand>,
    ) -> Report {
        if is_full {
            self.last_full = Some(now);
            self.reported_waiting.clear();
        }
        for entry in &demand {
            self.reported_waiting
                .insert(entry.customer.clone(), entry.waiting);
        }
        self.reported_waiting.retain(|_, waiting| *waiting > 0);
        self.is_urgent = false;
        self.last_report = Some(now);
        let mut started = Vec::new();
        let mut progress = Vec::new();
        for running in self.running.values_mut() {
            if running.report_state.mark_reported(now) {
                started.push(running.started.clone());
            }
            if is_full {
                progress.push(Progress {
                    grant: running.started.grant,
                    served: running.served,
                });
            }
        }
        Report {
            pool: self.pool.clone(),
            incarnation,
            sent_at: now,
            full: is_full,
            demand,
            started,
            progress,
            released: self
                .released
                .values_mut()
                .filter_map(|(released, state)| state.mark_reported(now).then_some(*released))
                .collect(),
            declined: self
                .declined
                .iter_mut()
                .filter_map(|(grant, state)| state.mark_reported(now).then_some(*grant))
                .collect(),
            seen: self.seen,
        }
    }

    fn reset_report_states(&mut self) {
        for running in self.running.values_mut() {
            running.report_state = ReportState::Unreported;
        }
        for (_, state) in self.released.values_mut() {
            *state = ReportState::Unreported;
        }
        for state in self.declined.values_mut() {
            *state = ReportState::Unreported;
        }
        // The new instance does not know the demand, so it must be reported even if it does not
        // change any more.
        self.changed
            .extend(std::mem::take(&mut self.reported_waiting).into_keys());
        self.last_full = None;
        self.is_urgent = true;
    }
}
