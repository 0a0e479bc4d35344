//! One router's replica of the load of the entire fleet.
//!
//! Handles the load pattern in which several routers send to the same targets at once: each router
//! counts the runs of all routers, based on the events that it receives.
//!
//! Invariant: a run is counted on at most one target, and only until its end is known.

mod balanced;
mod caches;
mod cold_start;
mod continuation;
mod crashes;
mod directives;
mod eligibility;
mod evacuation;
mod events;
pub mod place;
mod place_engine;
mod place_plain;
mod runs;
mod stalls;
mod target;
mod unavailable;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, ServiceName, TargetName};
use samphiresill_core::routing::{RoutingTable, TargetEntry};
use serde::{Deserialize, Serialize};

use self::target::{Target, TargetLoad};
use super::balance::Balance;
use super::cold_start::ColdStarts;
use super::directive::Directives;
use super::engine::Estimate;
use super::event::{Event, RunResult};
use super::pause::LateStreams;
use super::plain::waiting::Waiting;
use super::quarantine::Quarantine;
use super::quarantine::evidence::CrashEvidence;
use super::queueing::{Queue, QueueLimit};
use super::request::{PlacementRequest, RunId};
use super::shares::Shares;
use super::shortest_objective::ShortestObjective;
use super::streams::StreamRecords;
use super::token_interval::TokenIntervalTarget;

/// Age at which a run counts as ended; longer than the timeout of any route.
const MAX_RUN_AGE: Duration = Duration::from_secs(40);

/// Interval between two sweeps above which the process counts as having been paused. Sweeps run
/// twice a second.
const MAX_SWEEP_GAP: Duration = Duration::from_secs(1);

/// `Placement` is the decision to send a request to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// The run, which is counted from the placement on.
    pub run: RunId,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Address of an engine with a longer cached prefix, from which the target can copy it.
    pub copy_from: Option<SocketAddr>,
    /// The estimate on which the decision is based, for engines.
    pub estimate: Option<Estimate>,
}

/// `FleetLoad` is one router's replica of the load of the fleet.
#[derive(Debug)]
pub struct FleetLoad {
    origin: u64,
    next_run: u32,
    targets: BTreeMap<TargetName, Target>,
    shares: Shares,
    token_interval: TokenIntervalTarget,
    shortest_objectives: BTreeMap<ServiceName, ShortestObjective>,
    late_streams: BTreeMap<ServiceName, LateStreams>,
    queue_limit: QueueLimit,
    queue: Queue,
    /// Waiting requests of plain services in the routing table.
    plain_waiting: BTreeMap<ServiceName, Waiting>,
    swept_at: Duration,
    /// Times of refusals, by fingerprint of the request.
    refused: BTreeMap<u64, Duration>,
    crash_evidence: CrashEvidence,
    quarantine: Quarantine,
    directives: Directives,
    cold_starts: ColdStarts,
    /// Requests that the limit of a cold target sent elsewhere, delayed or refused.
    cold_diversions: u64,
    /// When signs of restarts were last repeated.
    cold_repeated_at: Duration,
    balance: Balance,
    is_balance_disabled: bool,
    /// Failure domains whose targets get no requests.
    evacuated: BTreeSet<DomainName>,
    streams: StreamRecords,
    /// Events to send to the other routers.
    outbox: Vec<Event>,
}

impl FleetLoad {
    /// Creates an empty replica for the router `origin`, a number that is new with each start of
    /// the process.
    #[must_use]
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            next_run: 0,
            targets: BTreeMap::new(),
            shares: Shares::default(),
            token_interval: TokenIntervalTarget::default(),
            shortest_objectives: BTreeMap::new(),
            late_streams: BTreeMap::new(),
            queue_limit: QueueLimit::default(),
            queue: Queue::default(),
            plain_waiting: BTreeMap::new(),
            swept_at: Duration::ZERO,
            refused: BTreeMap::new(),
            crash_evidence: CrashEvidence::default(),
            quarantine: Quarantine::default(),
            directives: Directives::default(),
            cold_starts: ColdStarts::new(origin),
            cold_diversions: 0,
            cold_repeated_at: Duration::ZERO,
            balance: Balance::new(origin),
            is_balance_disabled: false,
            evacuated: BTreeSet::new(),
            streams: StreamRecords::default(),
            outbox: Vec::new(),
        }
    }

    /// Returns the number of the router that holds this replica.
    #[must_use]
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Replaces the targets and the configuration of their services. The load of a target is kept
    /// until the target restarts or changes its service.
    pub fn set_targets(&mut self, entries: &[TargetEntry], table: &RoutingTable) {
        self.directives.set_targets(entries);
        let pause_objectives = table.event_interval_objectives();
        self.shares
            .set_stated_throughput(table.limits.fleet_tokens_per_s);
        self.plain_waiting
            .retain(|service, _| table.services.contains_key(service));
        self.cold_starts.set_targets(entries, table);
        let mut old = std::mem::take(&mut self.targets);
        for entry in entries {
            let before = old.get(&entry.name);
            if before.is_some_and(|t| t.entry.version != entry.version) {
                // Sweeps are frequent enough for the age of its records.
                self.streams.distrust(&entry.name, self.swept_at);
            }
            let engine = table.services.get(&entry.service).and_then(|s| s.engine);
            let known = old
                .remove(&entry.name)
                .filter(|t| t.is_same_instance(entry));
            let mut target = known.unwrap_or_else(|| Target::new(entry.clone(), engine));
            target.update(entry.clone(), engine);
            if let TargetLoad::Engine(load) = &mut target.load {
                load.set_pause_objective(pause_objectives.get(&entry.service).copied());
            }
            self.targets.insert(entry.name.clone(), target);
        }
        self.set_balanced_services(table);
    }

    /// Returns the ID of a new run of this router.
    pub fn next_run(&mut self) -> RunId {
        self.next_run = self.next_run.wrapping_add(1);
        RunId {
            origin: self.origin,
            number: self.next_run,
        }
    }

    /// Counts a run of this router that another router has placed.
    pub fn adopt(&mut self, placement: &Placement, req: &PlacementRequest<'_>, now: Duration) {
        let event = started_event(placement, req);
        self.record_start(&event, true, now);
        self.apply_event(&event, now);
        self.track_own_run(placement, now);
    }

    /// Records received bytes of a run of this router; the first ones end its prefill.
    pub fn progress(&mut self, placement: &Placement, now: Duration) {
        let Some(target) = self.targets.get_mut(&placement.target) else {
            return;
        };
        target.health.record_progress(now, false);
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

    /// Records the mean interval between the events of a run of this router, before its end.
    pub fn record_event_interval(
        &mut self,
        placement: &Placement,
        interval: Duration,
        now: Duration,
    ) {
        let event = Event::EventInterval {
            run: placement.run,
            target: placement.target.clone(),
            us: u32::try_from(interval.as_micros()).unwrap_or(u32::MAX),
        };
        self.publish(event, now);
    }

    /// Records that the stream of a run of this router has paused for longer than its objective.
    pub fn record_long_pause(&mut self, placement: &Placement, pause: Duration, now: Duration) {
        let event = Event::LongPause {
            target: placement.target.clone(),
            ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
        };
        self.publish(event, now);
    }

    /// Records the end and the outcome of a run of this router.
    pub fn end(&mut self, placement: &Placement, result: RunResult, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.own_runs.remove(&placement.run);
            target.held_runs.remove(&placement.run);
            if !target.is_awaited() {
                target.health.record_idle();
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

    /// Applies events of another router; with `is_relayed`, also publishes them to the other
    /// routers.
    pub fn apply(&mut self, events: Vec<Event>, is_relayed: bool, now: Duration) {
        for event in events {
            self.count_remote_demand(&event, now);
            self.record_start(&event, false, now);
            self.apply_event(&event, now);
            if is_relayed {
                self.outbox.push(event);
            }
        }
    }

    /// Returns the recent service of a customer relative to the fair level; 1 at the level.
    pub fn share_ratio(&mut self, customer: &CustomerName, now: Duration) -> f64 {
        self.shares.ratio(customer, now)
    }

    /// Returns the recent demand of a customer, in weighted tokens, as of its last change.
    #[must_use]
    pub fn demand(&self, customer: &CustomerName) -> f64 {
        self.shares.demand(customer)
    }

    /// Returns the token interval with which recent streams finish in time, in milliseconds.
    #[must_use]
    pub fn token_interval_target_ms(&self) -> f64 {
        self.token_interval.ms()
    }

    /// Returns the events for the other routers since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns whether there are events for the other routers.
    #[must_use]
    pub fn has_events(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the targets that are ejected or have stalled.
    #[must_use]
    pub fn unusable(&self, now: Duration) -> BTreeSet<TargetName> {
        let unusable = self
            .targets
            .iter()
            .filter(|(_, t)| !t.health.is_usable(now));
        unusable.map(|(name, _)| name.clone()).collect()
    }

    /// Performs periodic work: ends runs whose end was never received, publishes stalled targets
    /// and raises the queueing limit.
    pub fn sweep(&mut self, now: Duration) {
        self.queue_limit.recover();
        self.streams.sweep(now);
        self.repeat_cold_signs(now);
        let targets = &self.targets;
        self.directives
            .sweep(|name| targets.contains_key(name), now);
        self.cold_starts
            .sweep(|name| targets.contains_key(name), now);
        let min_started_at = now.saturating_sub(MAX_RUN_AGE);
        let mut ended = Vec::new();
        for (name, target) in &self.targets {
            let runs = target.load.started_before(min_started_at).into_iter();
            ended.extend(runs.map(|run| (name.clone(), run)));
        }
        self.end_all(ended, false, now);
        // After a pause of this process, its sockets may hold unread bytes of targets that only
        // seem to have stalled.
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

    /// Applies an event of this router and queues it for the other routers.
    fn publish(&mut self, event: Event, now: Duration) {
        self.record_start(&event, true, now);
        self.apply_event(&event, now);
        self.outbox.push(event);
    }
}

/// Returns the event for a placed request.
fn started_event(placement: &Placement, req: &PlacementRequest<'_>) -> Event {
    Event::Started {
        run: placement.run,
        target: placement.target.clone(),
        customer: req.customer.cloned(),
        generation: req.generation.cloned(),
        prefill_tokens: placement.estimate.map_or(0, |e| e.prefill_tokens),
    }
}
