//! One router's account of the whole fleet's load, and its decisions.
//!
//! Answers the load pattern in which several routers send to the same targets at once: each
//! counts what all of them have sent, as far as it has heard.
//!
//! Invariant: a run is counted on one target at most, and only until its end is known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName, WorkName};
use samphiresill_core::routing::{RoutingTable, TargetEntry, TargetState};

use super::admission::{self, Candidate, Reason, Refusal};
use super::engine::{Engine, Estimate};
use super::event::Event;
use super::health::Health;
use super::pace::PaceTarget;
use super::plain::Plain;
use super::shares::Shares;
use super::work::{Ask, Generation, RunId};

/// Cost of reading prompt tokens again that another engine keeps, against reading them once:
/// the second copy also displaces others from memory.
const REREAD_WEIGHT: f64 = 1.0;
/// Cost of a running request to one more beside it, in milliseconds: each step grows by it for
/// all the steps of an answer.
const CROWDING_MS: f64 = 4.0;
/// Cost of an engine at the pace beyond which many streams would not end in time, in
/// milliseconds; in proportion above and below.
const PACE_MS: f64 = 100.0;
/// Cost of another failure domain, in milliseconds: the way there and back, and its bytes.
const DISTANCE_MS: f64 = 4.0;
/// Time for which a refused request is recognised when it returns.
const RETURN_MEMORY: Duration = Duration::from_secs(10);
/// Refused requests that are remembered at most.
const MAX_REFUSED: usize = 4_096;
/// Pause that is asked for when no target is known.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
enum Load {
    Engine(Engine),
    Plain(Plain),
}

#[derive(Clone, Debug)]
struct Target {
    entry: TargetEntry,
    load: Load,
    health: Health,
    /// Requests of this router that run there.
    own: BTreeSet<RunId>,
}

/// `Placement` is the decision to send a request to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Identifies the run; it is counted from now on.
    pub run: RunId,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// An engine that keeps more of the prompt, to copy it from.
    pub copy_from: Option<SocketAddr>,
    /// What the decision was based on, for engines.
    pub estimate: Option<Estimate>,
}

/// `Best` is the engine at which a request costs least.
struct Best {
    name: TargetName,
    estimate: Estimate,
    copy_from: Option<SocketAddr>,
}

/// `Account` is what one router knows of the fleet's load.
#[derive(Debug)]
pub struct Account {
    origin: u64,
    next_run: u32,
    targets: BTreeMap<TargetName, Target>,
    shares: Shares,
    pace: PaceTarget,
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
            pace: PaceTarget::default(),
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
            let known = old.remove(&entry.name).filter(|t| {
                t.entry.started_ms == entry.started_ms && t.entry.service == entry.service
            });
            let mut target = known.unwrap_or_else(|| Target {
                entry: entry.clone(),
                load: engine.map_or_else(
                    || Load::Plain(Plain::new(entry.slots)),
                    |spec| Load::Engine(Engine::new(spec)),
                ),
                health: Health::default(),
                own: BTreeSet::new(),
            });
            target.entry = entry.clone();
            if let (Load::Engine(load), Some(spec)) = (&mut target.load, engine) {
                load.set_spec(spec);
            }
            self.targets.insert(entry.name.clone(), target);
        }
    }

    /// Chooses a target for a request, and counts the run there; or refuses it.
    ///
    /// # Errors
    /// The refusal; the request was not and will not be sent.
    pub fn place(&mut self, ask: &Ask<'_>, draw: f64, now: Duration) -> Result<Placement, Refusal> {
        match ask.generation {
            Some(generation) => self.place_generation(ask, generation, draw, now),
            None => self.place_plain(ask, draw, now),
        }
    }

    /// Notes bytes of a run of this router; the first ones end the reading of its prompt.
    pub fn progress(&mut self, placement: &Placement, now: Duration) {
        let Some(target) = self.targets.get_mut(&placement.target) else {
            return;
        };
        target.health.progressed(now, false);
        let is_first = match &target.load {
            Load::Engine(load) => load.is_reading(placement.run),
            Load::Plain(_) => false,
        };
        if !is_first {
            return;
        }
        let event = Event::FirstEvent {
            run: placement.run,
            target: placement.target.clone(),
        };
        self.count(&event, now);
        self.outbox.push(event);
    }

    /// Notes the end of a run of this router.
    pub fn end(&mut self, placement: &Placement, now: Duration) {
        if let Some(target) = self.targets.get_mut(&placement.target) {
            target.own.remove(&placement.run);
            if target.own.is_empty() {
                target.health.idle();
            }
        }
        let event = Event::Ended {
            run: placement.run,
            target: placement.target.clone(),
        };
        self.count(&event, now);
        self.outbox.push(event);
    }

    /// Takes in that a target answered, and after which time.
    pub fn succeeded(&mut self, target: &TargetName, took: Duration) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.succeeded();
            if let Load::Plain(load) = &mut target.load {
                load.observe(took);
            }
        }
    }

    /// Takes in that a target failed a request after it was sent.
    pub fn failed(&mut self, target: &TargetName, now: Duration) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.failed(now);
        }
    }

    /// Takes in that no connection to a target could be made.
    pub fn unreachable(&mut self, target: &TargetName, now: Duration) {
        if let Some(known) = self.targets.get_mut(target) {
            known.health.unreachable(now);
        }
    }

    /// Counts an event of another router.
    pub fn apply(&mut self, event: &Event, now: Duration) {
        self.count(event, now);
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

    /// Drops the runs of another router that are not among `active`; all of them when the router
    /// is gone.
    pub fn retain_runs(&mut self, origin: u64, active: &BTreeSet<u32>, now: Duration) {
        for target in self.targets.values_mut() {
            match &mut target.load {
                Load::Engine(load) => {
                    let ended: Vec<RunId> = load.runs_of(origin).collect();
                    for run in ended.into_iter().filter(|r| !active.contains(&r.number)) {
                        load.end(run, now);
                    }
                }
                Load::Plain(load) => {
                    let ended: Vec<RunId> = load.runs_of(origin).collect();
                    for run in ended.into_iter().filter(|r| !active.contains(&r.number)) {
                        load.end(run);
                    }
                }
            }
        }
    }

    fn place_generation(
        &mut self,
        ask: &Ask<'_>,
        generation: &Generation,
        draw: f64,
        now: Duration,
    ) -> Result<Placement, Refusal> {
        let fingerprint = fingerprint(ask.customer, generation);
        let is_return = self.is_return(fingerprint, now);
        let cost = generation.cost();
        let is_fresh = ask.tried.is_empty() && !is_return;
        if is_fresh {
            self.pace.observe(ask);
        }
        if let Some(customer) = ask.customer.filter(|_| is_fresh) {
            self.shares.ask(customer, cost, now);
        }
        let refused = |account: &mut Self, refusal: Refusal| {
            account.note_refused(
                fingerprint,
                ask.customer,
                if is_fresh { cost } else { 0 },
                now,
            );
            refusal
        };
        let best = match self.best_engine(ask, generation, now) {
            Ok(best) => best,
            Err(reason) => {
                let retry_after = admission::retry_after(NO_TARGET_RETRY, ask.time_left, draw);
                return Err(refused(
                    self,
                    Refusal {
                        reason,
                        retry_after,
                    },
                ));
            }
        };
        let Best {
            name,
            estimate,
            copy_from,
        } = best;
        if !ask.has_run {
            let share_ratio = ask.customer.map_or(0.0, |c| self.shares.ratio(c, now));
            let candidate = Candidate {
                wait: estimate.wait,
                pace_ms: estimate.pace_before_ms,
                pace_target_ms: self.pace.ms(),
                aim: ask.aim,
                time_left: ask.time_left,
                share_ratio,
                is_return,
                draw,
            };
            if let Err(refusal) = admission::decide(&candidate) {
                return Err(refused(self, refusal));
            }
        }
        let work = Some((generation, estimate.unread_tokens));
        let mut placement = self.begin(&name, ask.customer, work, now);
        placement.expected = estimate.first_event();
        placement.copy_from = copy_from;
        placement.estimate = Some(estimate);
        Ok(placement)
    }

    /// The engine at which a request costs everyone least.
    fn best_engine(
        &self,
        ask: &Ask<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Result<Best, Reason> {
        let mut reason = Reason::NoTarget;
        let mut best: Option<(f64, &TargetName, Estimate)> = None;
        let holder = self.holder(ask, generation, now);
        let kept_elsewhere = holder.map_or(0, |(_, tokens)| tokens);
        for (name, target) in self.usable(ask, now) {
            let Load::Engine(load) = &target.load else {
                continue;
            };
            if !load.has_room(generation) {
                reason = Reason::NoRoom;
                continue;
            }
            let estimate = load.estimate(generation, kept_elsewhere, now);
            let cost = engine_cost(&estimate, self.pace.ms()) + distance(ask.domain, &target.entry);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, name, estimate));
            }
        }
        let (_, name, estimate) = best.ok_or(reason)?;
        let source = holder.filter(|_| estimate.copied_tokens > 0);
        Ok(Best {
            name: name.clone(),
            estimate,
            copy_from: source.map(|(address, _)| address),
        })
    }

    /// The engine that keeps most of a prompt, and how many tokens.
    fn holder(
        &self,
        ask: &Ask<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Option<(SocketAddr, u32)> {
        let engines = self.targets.values().filter_map(|t| match &t.load {
            Load::Engine(load) if t.entry.service == *ask.service && t.health.is_usable(now) => {
                Some((t.entry.address, load.cached_tokens(generation)))
            }
            _ => None,
        });
        engines
            .filter(|(_, tokens)| *tokens > 0)
            .max_by_key(|(_, tokens)| *tokens)
    }

    fn place_plain(
        &mut self,
        ask: &Ask<'_>,
        draw: f64,
        now: Duration,
    ) -> Result<Placement, Refusal> {
        let costs = self.usable(ask, now).filter_map(|(name, target)| {
            let Load::Plain(load) = &target.load else {
                return None;
            };
            let expected = load.expected();
            let cost = expected.as_secs_f64() * 1_000.0 + distance(ask.domain, &target.entry);
            Some((cost, name, expected))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((name, expected)) = best.map(|(_, name, expected)| (name.clone(), expected))
        else {
            let retry_after = admission::retry_after(NO_TARGET_RETRY, ask.time_left, draw);
            return Err(Refusal {
                reason: Reason::NoTarget,
                retry_after,
            });
        };
        if expected > ask.time_left {
            let retry_after = admission::retry_after(expected, ask.time_left, draw);
            return Err(Refusal {
                reason: Reason::Wait,
                retry_after,
            });
        }
        let mut placement = self.begin(&name, ask.customer, None, now);
        placement.expected = expected;
        Ok(placement)
    }

    /// Targets that may get the request: usable ones, or all when none is usable.
    fn usable<'a>(
        &'a self,
        ask: &'a Ask<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (&'a TargetName, &'a Target)> {
        let open = move |(name, target): &(&TargetName, &Target)| {
            target.entry.service == *ask.service
                && target.entry.state == TargetState::Ready
                && !ask.tried.contains(name)
        };
        let is_any_usable = self
            .targets
            .iter()
            .filter(open)
            .any(|(_, t)| t.health.is_usable(now));
        self.targets
            .iter()
            .filter(open)
            .filter(move |(_, t)| !is_any_usable || t.health.is_usable(now))
    }

    fn begin(
        &mut self,
        name: &TargetName,
        customer: Option<&CustomerName>,
        work: Option<(&Generation, u32)>,
        now: Duration,
    ) -> Placement {
        self.next_run = self.next_run.wrapping_add(1);
        let run = RunId {
            origin: self.origin,
            number: self.next_run,
        };
        let target = self
            .targets
            .get_mut(name)
            .expect("invariant: the chosen target is known");
        target.own.insert(run);
        target.health.sent(now);
        let address = target.entry.address;
        let event = Event::Started {
            run,
            target: name.clone(),
            customer: customer.cloned(),
            generation: work.map(|(generation, _)| generation.clone()),
            unread_tokens: work.map_or(0, |(_, unread)| unread),
        };
        self.count(&event, now);
        self.outbox.push(event);
        Placement {
            target: name.clone(),
            address,
            run,
            expected: Duration::ZERO,
            copy_from: None,
            estimate: None,
        }
    }

    fn count(&mut self, event: &Event, now: Duration) {
        match event {
            Event::Started {
                run,
                target,
                customer,
                generation,
                unread_tokens,
            } => {
                if let (Some(customer), Some(generation)) = (customer, generation) {
                    self.shares.serve(customer, generation.cost(), now);
                    if run.origin != self.origin {
                        self.shares.ask(customer, generation.cost(), now);
                    }
                }
                match self.targets.get_mut(target).map(|t| &mut t.load) {
                    Some(Load::Engine(load)) => {
                        let generation = generation.clone().unwrap_or_default();
                        load.start(*run, &generation, *unread_tokens, now);
                    }
                    Some(Load::Plain(load)) => load.start(*run),
                    None => {}
                }
            }
            Event::FirstEvent { run, target } => {
                if let Some(Load::Engine(load)) = self.targets.get_mut(target).map(|t| &mut t.load)
                {
                    load.first_event(*run, now);
                }
            }
            Event::Ended { run, target } => match self.targets.get_mut(target).map(|t| &mut t.load)
            {
                Some(Load::Engine(load)) => load.end(*run, now),
                Some(Load::Plain(load)) => load.end(*run),
                None => {}
            },
            Event::Refused {
                fingerprint,
                customer,
                cost,
            } => {
                if let Some(customer) = customer {
                    self.shares.ask(customer, *cost, now);
                }
                self.remember_refused(*fingerprint, now);
            }
            Event::Unreachable { target } => self.unreachable(target, now),
        }
    }

    fn is_return(&mut self, fingerprint: u64, now: Duration) -> bool {
        let refused_at = self.refused.get(&fingerprint);
        refused_at.is_some_and(|at| now.saturating_sub(*at) < RETURN_MEMORY)
    }

    fn note_refused(
        &mut self,
        fingerprint: u64,
        customer: Option<&CustomerName>,
        cost: u64,
        now: Duration,
    ) {
        self.remember_refused(fingerprint, now);
        self.outbox.push(Event::Refused {
            fingerprint,
            customer: customer.cloned(),
            cost,
        });
    }

    fn remember_refused(&mut self, fingerprint: u64, now: Duration) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused
                .retain(|_, at| now.saturating_sub(*at) < RETURN_MEMORY / 2);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(fingerprint, now);
        }
    }
}

/// Cost of a request at an engine to everyone, in milliseconds of engine time.
fn engine_cost(estimate: &Estimate, pace_target_ms: f64) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
    ms(estimate.wait)
        + ms(estimate.reading) * (1.0 + REREAD_WEIGHT)
        + CROWDING_MS * estimate.runs as f64
        + PACE_MS * estimate.pace_ms / pace_target_ms
}

fn distance(domain: &DomainName, entry: &TargetEntry) -> f64 {
    if *domain == entry.domain {
        0.0
    } else {
        DISTANCE_MS
    }
}

/// Recognises a request that returns: the same customer with the same prompt.
fn fingerprint(customer: Option<&CustomerName>, generation: &Generation) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(customer.map_or("", |c| c).as_bytes());
    for part in &generation.parts {
        hasher.update(&part.id.to_le_bytes());
    }
    hasher.update(&generation.prompt_tokens.to_le_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The services that an account knows targets of.
impl Account {
    /// Number of targets of a service that are listed as ready.
    #[must_use]
    pub fn ready_targets(&self, service: &WorkName) -> usize {
        let ready =
            |t: &&Target| t.entry.service == *service && t.entry.state == TargetState::Ready;
        self.targets.values().filter(ready).count()
    }
}
