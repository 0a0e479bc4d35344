//! One router's account of the whole fleet's load.
//!
//! Answers the load pattern in which several routers send to the same targets at once: each
//! counts what all of them have sent, by the events that it has received.
//!
//! Invariant: a run is counted on one target at most, and only until its end is known.

pub mod place;
mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry};
use serde::{Deserialize, Serialize};

use self::target::{Load, Target};
use super::engine::Estimate;
use super::event::{Event, RunResult};
use super::queueing::{Queue, QueueLimit};
use super::shares::Shares;
use super::token_interval::TokenIntervalTarget;
use super::work::{PlacementRequest, PromptPart, RunId};

/// Time for which a retry of a refused request is recognised.
const RETRY_MEMORY: Duration = Duration::from_secs(10);
/// Refused requests that are recorded at most.
const MAX_REFUSED: usize = 4_096;
/// Cached prompt parts in one event, so that it fits a datagram.
const MAX_CACHED_PARTS: usize = 80;
/// Age below which a run may be missing from its origin's list: its placement may be in flight.
const LIST_LAG: Duration = Duration::from_millis(600);
/// Age at which a run is taken as ended; longer than any route lets one last.
const MAX_RUN_AGE: Duration = Duration::from_secs(40);

/// Time between two sweeps from which on the process counts as paused; they come twice a second.
const MAX_SWEEP_GAP: Duration = Duration::from_secs(1);

/// `Placement` is the decision to send a request to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The target.
    pub target: TargetName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Identifies the run; it is counted from now on.
    pub run: RunId,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// An engine with a longer cached prefix, to copy it from.
    pub copy_from: Option<SocketAddr>,
    /// What the decision was based on, for engines.
    pub estimate: Option<Estimate>,
}

/// `Account` is one router's replica of the fleet's load.
#[derive(Debug)]
pub struct Account {
    origin: u64,
    next_run: u32,
    targets: BTreeMap<TargetName, Target>,
    shares: Shares,
    token_interval: TokenIntervalTarget,
    queue_limit: QueueLimit,
    queue: Queue,
    swept_at: Duration,
    refused: BTreeMap<u64, Duration>,
    outbox: Vec<Event>,
}

impl Account {
    /// An empty account of the router `origin`, a number that is new with each start.
    #[must_use]
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            next_run: 0,
            targets: BTreeMap::new(),
            shares: Shares::default(),
            token_interval: TokenIntervalTarget::default(),
            queue_limit: QueueLimit::default(),
            queue: Queue::default(),
            swept_at: Duration::ZERO,
            refused: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// The router whose account it is.
    #[must_use]
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Takes the targets that exist now, and the services as configured.
    pub fn set_targets(&mut self, entries: &[TargetEntry], table: &RoutingTable) {
        let mut old = std::mem::take(&mut self.targets);
        for entry in entries {
            let engine = table.services.get(&entry.service).and_then(|s| s.engine);
            let known = old.remove(&entry.name).filter(|t| t.is_same_start(entry));
            let mut target = known.unwrap_or_else(|| Target::new(entry.clone(), engine));
            target.update(entry.clone(), engine);
            self.targets.insert(entry.name.clone(), target);
        }
    }

    /// A number for a new run of this router.
    pub fn next_run(&mut self) -> RunId {
        self.next_run = self.next_run.wrapping_add(1);
        RunId {
            origin: self.origin,
            number: self.next_run,
        }
    }

    /// Counts a run of this router that another one has placed.
    pub fn adopt(&mut self, placement: &Placement, req: &PlacementRequest<'_>, now: Duration) {
        let event = started(placement, req);
        self.count(&event, now);
        self.note_own(placement, now);
    }

    /// Records bytes of a run of this router; the first ones end its prefill.
    pub fn progress(&mut self, placement: &Placement, now: Duration) {
        let Some(target) = self.targets.get_mut(&placement.target) else {
            return;
        };
        target.health.progressed(now, false);
        if target.load.is_prefilling(placement.run) {
            self.publish(
                Event::FirstEvent {
                    run: placement.run,
                    target: placement.target.clone(),
                },
                now,
            );
        }
    }

    /// Records the end of a run of this router, and what it shows about its target.
    pub fn end(&mut self, placement: &Placement, result: RunResult, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.own.remove(&placement.run);
            if target.own.is_empty() {
                target.health.idle();
            }
        }
        self.publish(
            Event::Ended {
                run: placement.run,
                target: placement.target.clone(),
                result,
            },
            now,
        );
    }

    /// Counts events of another router; with `is_relayed`, they are also published.
    pub fn apply(&mut self, events: Vec<Event>, is_relayed: bool, now: Duration) {
        for event in events {
            self.count(&event, now);
            if is_relayed {
                self.outbox.push(event);
            }
        }
    }

    /// Recent service of a customer against the fair level; 1 at the level.
    pub fn share_ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        self.shares.ratio(customer, now)
    }

    /// Engines of the fleet, as names and addresses.
    #[must_use]
    pub fn engines(&self) -> Vec<(TargetName, SocketAddr)> {
        let engines = self
            .targets
            .iter()
            .filter(|(_, t)| matches!(t.load, Load::Engine(_)));
        engines
            .map(|(name, t)| (name.clone(), t.entry.address))
            .collect()
    }

    /// Prompt parts that engines cache, as far as this router knows.
    #[must_use]
    pub fn cached_parts(&self) -> Vec<(TargetName, Vec<PromptPart>)> {
        let engines = self.targets.iter().filter_map(|(name, t)| match &t.load {
            Load::Engine(load) => Some((name.clone(), load.cached_parts())),
            Load::Plain(_) => None,
        });
        engines.filter(|(_, parts)| !parts.is_empty()).collect()
    }

    /// Adds prompt parts to the known contents of an engine's cache.
    pub fn add_cached(&mut self, target: &TargetName, parts: &[PromptPart]) {
        if let Some(Target {
            load: Load::Engine(load),
            ..
        }) = self.targets.get_mut(target)
        {
            load.add_cached(parts);
        }
    }

    /// Adds prompt parts that this router has read from an engine, and publishes them.
    pub fn publish_cached(&mut self, target: &TargetName, parts: &[PromptPart], now: Duration) {
        for parts in parts.chunks(MAX_CACHED_PARTS) {
            let event = Event::Cached {
                target: target.clone(),
                parts: parts.to_vec(),
            };
            self.publish(event, now);
        }
    }

    /// Events for the other routers since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.outbox)
    }

    /// Whether there are events for the other routers.
    #[must_use]
    pub fn has_events(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Runs of this router that have not ended, to repair what others missed.
    #[must_use]
    pub fn own_runs(&self) -> Vec<u32> {
        let own = self.targets.values().flat_map(|t| &t.own);
        own.map(|run| run.number).collect()
    }

    /// Ends the runs of another router that are not among `active`; all of them when the router
    /// is dead. With `is_relayed`, the ends are also published.
    pub fn retain_runs(
        &mut self,
        origin: u64,
        active: Option<&BTreeSet<u32>>,
        is_relayed: bool,
        now: Duration,
    ) {
        let is_over = |run: RunId, since: Duration| {
            active.is_none_or(|active| {
                !active.contains(&run.number) && now.saturating_sub(since) > LIST_LAG
            })
        };
        let mut over = Vec::new();
        for (name, target) in &self.targets {
            let runs = target.load.runs_of(origin).into_iter();
            over.extend(
                runs.filter(|(run, since)| is_over(*run, *since))
                    .map(|(run, _)| (name.clone(), run)),
            );
        }
        self.end_all(over, is_relayed, now);
    }

    /// Targets that are ejected or have stalled.
    #[must_use]
    pub fn unusable(&self, now: Duration) -> BTreeSet<TargetName> {
        let unusable = self
            .targets
            .iter()
            .filter(|(_, t)| !t.health.is_usable(now));
        unusable.map(|(name, _)| name.clone()).collect()
    }

    /// Periodic work: drops runs whose end was never received, and publishes stalled targets.
    pub fn sweep(&mut self, now: Duration) {
        self.queue_limit.recover();
        let oldest = now.saturating_sub(MAX_RUN_AGE);
        let mut over = Vec::new();
        for (name, target) in &self.targets {
            let runs = target.load.begun_before(oldest).into_iter();
            over.extend(runs.map(|run| (name.clone(), run)));
        }
        self.end_all(over, false, now);
        // After a pause of this process, unread bytes may wait in its sockets.
        let was_paused = now.saturating_sub(self.swept_at) > MAX_SWEEP_GAP;
        self.swept_at = now;
        if was_paused {
            return;
        }
        let stalled = self
            .targets
            .iter()
            .filter(|(_, t)| t.health.is_stalled(now));
        let events: Vec<Event> = stalled
            .map(|(name, _)| Event::Stalled {
                target: name.clone(),
            })
            .collect();
        self.outbox.extend(events);
    }

    fn end_all(&mut self, runs: Vec<(TargetName, RunId)>, is_relayed: bool, now: Duration) {
        let events = runs.into_iter().map(|(target, run)| Event::Ended {
            run,
            target,
            result: RunResult::Unknown,
        });
        self.apply(events.collect(), is_relayed, now);
    }

    /// Counts an event of this router and queues it for the others.
    fn publish(&mut self, event: Event, now: Duration) {
        self.count(&event, now);
        self.outbox.push(event);
    }

    fn note_own(&mut self, placement: &Placement, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.own.insert(placement.run);
            target.health.sent(now);
        }
    }

    fn count(&mut self, event: &Event, now: Duration) {
        match event {
            Event::Started {
                run,
                target,
                customer,
                generation,
                prefill_tokens,
            } => {
                if let (Some(customer), Some(generation)) = (customer, generation) {
                    self.shares.serve(customer, generation.cost(), now);
                    if run.origin != self.origin {
                        self.shares.demand(customer, generation.cost(), now);
                    }
                }
                if let Some(target) = self.targets.get_mut(target) {
                    let work = generation.as_ref().map(|g| (g, *prefill_tokens));
                    target.load.start(*run, work, now);
                }
            }
            Event::FirstEvent { run, target } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.health.reported_alive(now);
                    if let Load::Engine(load) = &mut target.load {
                        load.first_event(*run, now);
                    }
                }
            }
            Event::Ended {
                run,
                target,
                result,
            } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.load.end(*run, now);
                    target.observe(*result, now);
                }
            }
            Event::Refused {
                fingerprint,
                customer,
                cost,
            } => {
                if let Some(customer) = customer {
                    self.shares.demand(customer, *cost, now);
                }
                self.remember_refused(*fingerprint, now);
            }
            Event::Cached { target, parts } => self.add_cached(target, parts),
            Event::Stalled { target } => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.health.reported_stalled(now);
                }
            }
        }
    }

    fn is_retry(&self, fingerprint: u64, now: Duration) -> bool {
        let refused_at = self.refused.get(&fingerprint);
        refused_at.is_some_and(|at| now.saturating_sub(*at) < RETRY_MEMORY)
    }

    fn remember_refused(&mut self, fingerprint: u64, now: Duration) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused
                .retain(|_, at| now.saturating_sub(*at) < RETRY_MEMORY / 2);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(fingerprint, now);
        }
    }
}

/// The event of a placed request.
fn started(placement: &Placement, req: &PlacementRequest<'_>) -> Event {
    Event::Started {
        run: placement.run,
        target: placement.target.clone(),
        customer: req.customer.cloned(),
        generation: req.generation.cloned(),
        prefill_tokens: placement.estimate.map_or(0, |e| e.prefill_tokens),
    }
}
