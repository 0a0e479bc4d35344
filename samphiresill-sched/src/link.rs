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
    Acknowledge, Demand, GrantId, Observed, PoolKey, Progress, Released, Report, RunId, Started,
};

/// Maximum number of unacknowledged releases and of declines. When older ones are dropped, their
/// slots are freed by the expiry of the slot lease.
const MAX_UNACKNOWLEDGED: usize = 10_000;
/// Reported queue length of a customer from which further requests no longer trigger an early
/// report.
const URGENT_WAITING: u32 = 4;

/// `Running` is a request that runs on a slot of the pool.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The start as reported to the scheduler.
    pub started: Started,
    /// Service received so far.
    pub served: Tokens,
    told: Told,
}

/// Whether an item was reported to the current scheduler instance: the time of its first report, or
/// its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Never,
    At(Duration),
    Confirmed,
}

impl Told {
    fn tell(&mut self, now: Duration) -> bool {
        if *self == Self::Never {
            *self = Self::At(now);
        }
        *self != Self::Confirmed
    }

    fn is_covered_by(self, sent_at: Duration) -> bool {
        matches!(self, Self::At(at) if at <= sent_at)
    }
}

/// `PoolClient` is the state that a router keeps about one pool.
#[derive(Clone, Debug)]
pub struct Link {
    pool: PoolKey,
    scheduler: Option<VmName>,
    run: Option<RunId>,
    running: BTreeMap<GrantId, Running>,
    released: BTreeMap<GrantId, (Released, Told)>,
    declined: BTreeMap<GrantId, Told>,
    changed: BTreeSet<CustomerName>,
    told_waiting: BTreeMap<CustomerName, u32>,
    seen: Option<(RunId, u64)>,
    is_urgent: bool,
    last_report: Option<Duration>,
    last_full: Option<Duration>,
}

impl Link {
    /// Creates a client without running requests.
    #[must_use]
    pub fn new(pool: PoolKey) -> Self {
        Self {
            pool,
            scheduler: None,
            run: None,
            running: BTreeMap::new(),
            released: BTreeMap::new(),
            declined: BTreeMap::new(),
            changed: BTreeSet::new(),
            told_waiting: BTreeMap::new(),
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
            self.forget_confirmations();
        }
    }

    /// Returns the VM that schedules the pool.
    #[must_use]
    pub fn scheduler(&self) -> Option<&VmName> {
        self.scheduler.as_ref()
    }

    /// Records a change of a customer's queue length. An increase from a short reported queue
    /// triggers an early report.
    pub fn demand_changed(&mut self, customer: &CustomerName, waiting: u32) {
        let told = self.told_waiting.get(customer).copied().unwrap_or(0);
        self.is_urgent |= waiting > told && told < URGENT_WAITING;
        self.changed.insert(customer.clone());
    }

    /// Records the arrival of a grant for a customer. Its scheduler now counts one waiting request
    /// less.
    pub fn note_granted(&mut self, customer: &CustomerName) {
        if let Some(told) = self.told_waiting.get_mut(customer) {
            *told = told.saturating_sub(1);
        }
    }

    /// Records the sequence number of a delivery. A lower number that arrives later is treated as
    /// already received.
    pub fn note_order(&mut self, run: RunId, order: u64) {
        self.seen = match self.seen {
            Some((seen_run, seen)) if seen_run == run => Some((run, seen.max(order))),
            _ => Some((run, order)),
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
            told: Told::Never,
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
        self.released.insert(grant, (released, Told::Never));
        if self.released.len() > MAX_UNACKNOWLEDGED {
            self.released.pop_first();
        }
        self.is_urgent = true;
        Some(running)
    }

    /// Returns an unused grant to the scheduler because no request was waiting for it.
    pub fn decline(&mut self, grant: GrantId) {
        self.declined.insert(grant, Told::Never);
        if self.declined.len() > MAX_UNACKNOWLEDGED {
            self.declined.pop_first();
        }
        self.is_urgent = true;
    }

    /// Processes an acknowledgement: drops or marks everything that the acknowledged report
    /// contained.
    pub fn acknowledge(&mut self, ack: &Acknowledge) {
        if self.run != Some(ack.run) {
            self.run = Some(ack.run);
            self.forget_confirmations();
            return;
        }
        self.released
            .retain(|_, (_, told)| !told.is_covered_by(ack.sent_at));
        self.declined
            .retain(|_, told| !told.is_covered_by(ack.sent_at));
        for running in self.running.values_mut() {
            if running.told.is_covered_by(ack.sent_at) {
                running.told = Told::Confirmed;
            }
        }
        for grant in &ack.unknown {
            if let Some(running) = self.running.get_mut(grant) {
                running.told = Told::Never;
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
            && self.told_waiting.is_empty()
    }

    /// Returns when the next report is due, or `None` if there is nothing to report.
    #[must_use]
    pub fn due(&self, interval: Duration, min_report_interval: Duration) -> Option<Duration> {
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
            self.told_waiting.clear();
        }
        for entry in &demand {
            self.told_waiting
                .insert(entry.customer.clone(), entry.waiting);
        }
        self.told_waiting.retain(|_, waiting| *waiting > 0);
        self.is_urgent = false;
        self.last_report = Some(now);
        let mut started = Vec::new();
        let mut progress = Vec::new();
        for running in self.running.values_mut() {
            if running.told.tell(now) {
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
                .filter_map(|(r, t)| t.tell(now).then_some(*r))
                .collect(),
            declined: self
                .declined
                .iter_mut()
                .filter_map(|(g, t)| t.tell(now).then_some(*g))
                .collect(),
            seen: self.seen,
        }
    }

    fn forget_confirmations(&mut self) {
        for running in self.running.values_mut() {
            running.told = Told::Never;
        }
        for (_, told) in self.released.values_mut() {
            *told = Told::Never;
        }
        for told in self.declined.values_mut() {
            *told = Told::Never;
        }
        // The new instance does not know the demand, so it must be reported even if it does not
        // change any more.
        self.changed
            .extend(std::mem::take(&mut self.told_waiting).into_keys());
        self.last_full = None;
        self.is_urgent = true;
    }
}
