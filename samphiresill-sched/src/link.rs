//! One router's dealings with one pool: what runs there, and what its scheduler must be told.
//!
//! Invariants: a grant is in at most one of running, released and declined; what must arrive is
//! repeated until acknowledged by the scheduler's present life.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use samphiresill_core::name::{CustomerName, RequestId, VmName};
use samphiresill_core::units::Tokens;

use crate::message::{
    Acknowledge, Demand, GrantId, Observed, PoolKey, Progress, Released, Report, RunId, Started,
};

/// Unacknowledged releases and declines that are kept; the slot lease settles older ones.
const MAX_UNACKNOWLEDGED: usize = 10_000;
/// Waiting requests of one customer beyond which more of them are not urgent news.
const URGENT_WAITING: u32 = 4;

/// `Running` is a request that runs on a slot of the pool.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// What the scheduler has to know of it.
    pub started: Started,
    /// Service received so far.
    pub served: Tokens,
    told: Told,
}

/// When something was first told to the scheduler's present life, and whether it confirmed it.
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

/// `Link` is one router's side of its dealings with one pool.
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
    /// Makes a link to a pool on which nothing runs.
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

    /// The requests that run on the pool.
    #[must_use]
    pub fn running(&self) -> &BTreeMap<GrantId, Running> {
        &self.running
    }

    /// Takes the view of who schedules the pool; a new scheduler is told everything anew.
    pub fn set_scheduler(&mut self, scheduler: Option<VmName>) {
        if self.scheduler != scheduler {
            self.scheduler = scheduler;
            self.forget_confirmations();
        }
    }

    /// The VM that schedules the pool.
    #[must_use]
    pub fn scheduler(&self) -> Option<&VmName> {
        self.scheduler.as_ref()
    }

    /// Notes that the waiting requests of a customer have changed; a first few are urgent news.
    pub fn demand_changed(&mut self, customer: &CustomerName, waiting: u32) {
        let told = self.told_waiting.get(customer).copied().unwrap_or(0);
        self.is_urgent |= waiting > told && told < URGENT_WAITING;
        self.changed.insert(customer.clone());
    }

    /// Notes that a grant for a customer has arrived: its scheduler counts one request less.
    pub fn note_granted(&mut self, customer: &CustomerName) {
        if let Some(told) = self.told_waiting.get_mut(customer) {
            *told = told.saturating_sub(1);
        }
    }

    /// Notes a grant's order number; grants that arrive out of order count as seen.
    pub fn note_order(&mut self, run: RunId, order: u64) {
        self.seen = match self.seen {
            Some((seen_run, seen)) if seen_run == run => Some((run, seen.max(order))),
            _ => Some((run, order)),
        };
    }

    /// Notes that a request has started on a grant.
    ///
    /// # Panics
    /// When the grant runs already: "a grant is used at most once".
    pub fn start(&mut self, request: RequestId, started: Started) {
        let grant = started.grant;
        let running = Running {
            request,
            started,
            served: Tokens(0),
            told: Told::Never,
        };
        let before = self.running.insert(grant, running);
        assert!(before.is_none(), "a grant is used at most once: {grant}");
    }

    /// Notes the service that a running request has received; it never falls.
    pub fn progress(&mut self, grant: GrantId, served: Tokens) {
        if let Some(running) = self.running.get_mut(&grant) {
            running.served = running.served.max(served);
        }
    }

    /// Ends a running request and gives its slot back; nothing when it does not run here.
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

    /// Gives back a grant that found no request.
    pub fn decline(&mut self, grant: GrantId) {
        self.declined.insert(grant, Told::Never);
        if self.declined.len() > MAX_UNACKNOWLEDGED {
            self.declined.pop_first();
        }
        self.is_urgent = true;
    }

    /// Takes in an acknowledgement: what the report held need not be repeated.
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

    /// Whether there is anything to tell the scheduler about.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
            && self.released.is_empty()
            && self.declined.is_empty()
            && self.changed.is_empty()
            && self.told_waiting.is_empty()
    }

    /// When the next report is due; nothing while there is nothing to tell.
    #[must_use]
    pub fn due(&self, interval: Duration, min_gap: Duration) -> Option<Duration> {
        if self.is_idle() {
            return None;
        }
        let full = self.last_full.map_or(Duration::ZERO, |at| at + interval);
        let urgent = self.last_report.map_or(Duration::ZERO, |at| at + min_gap);
        Some(if self.is_urgent {
            full.min(urgent)
        } else {
            full
        })
    }

    /// Whether the next report is a full one.
    #[must_use]
    pub fn is_full_due(&self, now: Duration, interval: Duration) -> bool {
        self.last_full.is_none_or(|at| now >= at + interval)
    }

    /// The customers whose demand a partial report has to hold.
    pub fn take_changed(&mut self) -> BTreeSet<CustomerName> {
        std::mem::take(&mut self.changed)
    }

    /// Makes the report that is due, with the demand that it has to hold.
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
        // What waits has to be told anew, even if nothing about it changes any more.
        self.changed
            .extend(std::mem::take(&mut self.told_waiting).into_keys());
        self.last_full = None;
        self.is_urgent = true;
    }
}
