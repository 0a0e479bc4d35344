//! Choice among engines of similar cost when views are old and many gateways decide at once.
//!
//! Handles the load pattern in which every decider sends its next requests to the engine that was
//! least loaded a moment ago: engines are overrun in turns while others are idle.
//!
//! - Each engine has one owner among the deciders, which prefers it. What an owner knows of its
//!   engines is mostly its own work and therefore current.
//! - When its engines cost more than another one by a margin that grows with the age of the views,
//!   the decider estimates how many requests the others have placed since, fills the engines with
//!   that work up to an even level, and selects an engine with a probability proportional to the
//!   work that it gets. With old views the probabilities approach the engines' speeds.
//!
//! Invariant: the selected engine has at most [`MAX_EXTRA_PREFILL`] times as much to prefill as the
//! cheapest one, so that requests stay where their prompts are cached.

#[cfg(any(test, feature = "model"))]
pub mod alternatives;
pub mod evenness;
mod owners;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use samphiresill_core::name::{ServiceName, TargetName};

use self::owners::Owners;
use self::traffic::Traffic;

/// Largest age that counts: requests sent before that have mostly been prefilled.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum number of deciders whose views are tracked. Further ones are ignored.
const MAX_VIEWS: usize = 512;
/// Targets of a service for each decider from which on its load is balanced.
const MIN_TARGETS_PER_DECIDER: usize = 4;
/// Prompt tokens to prefill on the selected engine, relative to the cheapest one.
const MAX_EXTRA_PREFILL: f64 = 1.05;
/// Cost that one more request adds to an engine beyond its prefill, in milliseconds.
const COST_PER_REQUEST_MS: f64 = 4.0;
/// Range of the margin for own engines, in requests of mean size. The lower bound covers errors of
/// the estimate; above the upper one, a decider with more callers than others overloads its engines.
const MARGIN_REQUESTS: (f64, f64) = (0.5, 1.5);
/// Range of the speeds of engines, relative to the median. An engine that answers before it has
/// done the work seems fast beyond that range and would get most requests.
const SPEED_BOUNDS: (f64, f64) = (0.25, 2.5);

/// `Offer` is the cost of a request on one engine.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// The engine.
    pub target: &'a TargetName,
    /// Cost of the request, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u32,
    /// Prefill rate of the engine, in tokens per millisecond.
    pub rate: f64,
}

/// `Balance` selects among engines of similar cost.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    /// Identifies this decider.
    origin: u64,
    /// Services whose configuration asks for it, with the owners of their engines.
    services: BTreeMap<ServiceName, Owners>,
    /// When the newest view of each other decider was taken.
    views: BTreeMap<u64, Duration>,
    traffic: BTreeMap<ServiceName, Traffic>,
    #[cfg(any(test, feature = "model"))]
    alternative: Option<alternatives::Alternative>,
}

impl Balance {
    /// Creates the state of the decider `origin`, which balances no service.
    #[must_use]
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            ..Self::default()
        }
    }

    /// Replaces the services that are balanced, with their engines.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, Vec<TargetName>>) {
        self.traffic.retain(|name, _| services.contains_key(name));
        let owners = |(name, engines)| (name, Owners::new(engines));
        self.services = services.into_iter().map(owners).collect();
        self.assign_owners();
    }

    /// Records that what is known of another decider's placements was true at `taken_at`. Older
    /// views than the known one change nothing.
    pub fn record_view(&mut self, origin: u64, taken_at: Duration) {
        if let Some(view) = self.views.get_mut(&origin) {
            *view = taken_at.max(*view);
        } else if self.views.len() < MAX_VIEWS && origin != self.origin {
            self.views.insert(origin, taken_at);
            self.assign_owners();
        }
    }

    /// Drops the view of a decider that is dead.
    pub fn remove_view(&mut self, origin: u64) {
        if self.views.remove(&origin).is_some() {
            self.assign_owners();
        }
    }

    /// Drops the views of all deciders except these.
    pub fn retain_views(&mut self, origins: &BTreeSet<u64>) {
        let before = self.views.len();
        self.views.retain(|origin, _| origins.contains(origin));
        if self.views.len() < before {
            self.assign_owners();
        }
    }

    /// Records the start of a run; `is_own` when this gateway has placed it.
    pub fn record_start(
        &mut self,
        service: &ServiceName,
        prefill_tokens: u32,
        is_own: bool,
        now: Duration,
    ) {
        if self.services.contains_key(service) {
            let traffic = self.traffic.entry(service.clone()).or_default();
            traffic.record(prefill_tokens, is_own, now);
        }
    }

    /// Returns the mean age of the views of the other deciders; `None` without any.
    #[must_use]
    pub fn mean_age(&self, now: Duration) -> Option<Duration> {
        let count = u32::try_from(self.views.len()).ok().filter(|n| *n > 0)?;
        Some(self.ages(now).sum::<Duration>() / count)
    }

    /// Returns the index of the selected offer; `None` when there are no offers. `random` is uniform
    /// over 0 to 1.
    #[must_use]
    pub fn choose(
        &self,
        service: &ServiceName,
        offers: &[Offer<'_>],
        random: f64,
        now: Duration,
    ) -> Option<usize> {
        let cheapest = cheapest(offers, |_| true)?;
        #[cfg(any(test, feature = "model"))]
        if let Some(alternative) = &self.alternative
            && let Some(index) = alternative.choose(offers, cheapest, random, self.mean_age(now))
        {
            return Some(index);
        }
        let balanced = self.select(service, offers, cheapest, random, now);
        Some(balanced.unwrap_or(cheapest))
    }

    /// Returns the index of the offer that evens the load out; `None` when the cheapest one does.
    fn select(
        &self,
        service: &ServiceName,
        offers: &[Offer<'_>],
        index: usize,
        random: f64,
        now: Duration,
    ) -> Option<usize> {
        let (owners, traffic) = (self.services.get(service)?, self.traffic.get(service)?);
        if !self.is_active(owners) {
            return None;
        }
        let max_prefill = f64::from(offers[index].prefill_tokens) * MAX_EXTRA_PREFILL;
        let is_allowed = |offer: &Offer<'_>| f64::from(offer.prefill_tokens) <= max_prefill;
        let unseen = self.unseen_requests(traffic, now);
        let work = Work::new(offers, traffic.mean_prefill());
        let own = cheapest(offers, |o| is_allowed(o) && owners.is_own(o.target));
        let (min, max) = MARGIN_REQUESTS;
        let margin = (min + unseen / offers.len() as f64).min(max);
        let is_within = |own: &usize| {
            offers[*own].cost_ms <= offers[index].cost_ms + margin * work.added_ms(&offers[*own])
        };
        if let Some(own) = own.filter(is_within) {
            return Some(own);
        }
        let costs: Vec<(f64, f64)> = offers
            .iter()
            .map(|offer| (offer.cost_ms, work.added_ms(offer)))
            .collect();
        let level = level(&costs, unseen);
        let weight = |(offer, (cost, added)): (&Offer<'_>, &(f64, f64))| {
            let room = (level - cost).max(0.0) / added;
            if is_allowed(offer) { room } else { 0.0 }
        };
        let weights: Vec<f64> = offers.iter().zip(&costs).map(weight).collect();
        draw(&weights, random)
    }

    fn is_active(&self, owners: &Owners) -> bool {
        let others = self.views.len();
        #[cfg(any(test, feature = "model"))]
        if self.alternative == Some(alternatives::Alternative::AnyNumber) {
            return others > 0;
        }
        others > 0 && owners.len() >= MIN_TARGETS_PER_DECIDER * (others + 1)
    }

    fn assign_owners(&mut self) {
        let rank = self.views.range(..self.origin).count();
        let deciders = self.views.len() + 1;
        for owners in self.services.values_mut() {
            owners.assign(rank, deciders);
        }
    }

    fn ages(&self, now: Duration) -> impl Iterator<Item = Duration> {
        let age = move |taken_at: &Duration| now.saturating_sub(*taken_at).min(MAX_AGE);
        self.views.values().map(age)
    }

    /// Returns the expected number of requests that other deciders have placed since their views
    /// were taken.
    fn unseen_requests(&self, traffic: &Traffic, now: Duration) -> f64 {
        // The own rate stands for that of deciders whose events no longer arrive.
        let others_per_s = traffic.others_per_s(now) / self.views.len().max(1) as f64;
        let rate = traffic.own_per_s(now).max(others_per_s);
        rate * self.ages(now).sum::<Duration>().as_secs_f64()
    }
}

/// `Work` is what a request of mean size adds to the cost of an engine.
struct Work {
    mean_prefill: f64,
    /// Range of the prefill rates that are believed, in tokens per millisecond.
    rates: (f64, f64),
}

impl Work {
    fn new(offers: &[Offer<'_>], mean_prefill: f64) -> Self {
        let mut rates: Vec<f64> = offers.iter().map(|o| o.rate).collect();
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        Self {
            mean_prefill,
            rates: (median * SPEED_BOUNDS.0, median * SPEED_BOUNDS.1),
        }
    }

    fn added_ms(&self, offer: &Offer<'_>) -> f64 {
        let rate = offer.rate.clamp(self.rates.0, self.rates.1);
        self.mean_prefill / rate + COST_PER_REQUEST_MS
    }
}

fn cheapest(offers: &[Offer<'_>], test: impl Fn(&Offer<'_>) -> bool) -> Option<usize> {
    let tested = offers.iter().enumerate().filter(|(_, offer)| test(offer));
    tested
        .min_by(|a, b| a.1.cost_ms.total_cmp(&b.1.cost_ms))
        .map(|(index, _)| index)
}

/// Returns the cost up to which `requests` fill engines, given as their costs and what one more
/// request adds to them.
fn level(engines: &[(f64, f64)], requests: f64) -> f64 {
    let mut sorted = engines.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    // With the engines below the level L, the sum of (L - cost) / added is `requests`.
    let (mut weighted_costs, mut slots, mut level) = (0.0, 0.0, f64::INFINITY);
    for (cost, added) in sorted {
        if level <= cost {
            break;
        }
        weighted_costs += cost / added;
        slots += 1.0 / added;
        level = (requests + weighted_costs) / slots;
    }
    level
}

/// Returns an index with a probability proportional to its weight; `None` when all are 0.
fn draw(weights: &[f64], random: f64) -> Option<usize> {
    let mut remaining = weights.iter().sum::<f64>() * random;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate().filter(|(_, w)| **w > 0.0) {
        last = Some(index);
        if remaining < *weight {
            break;
        }
        remaining -= weight;
    }
    last
}
