//! Selection of a model engine for a request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::SoftwareVersion;

use super::FleetLoad;
use super::place::{self, Choice};
use super::target::{Target, TargetLoad};
use super::unavailable::Unavailable;
use crate::fleet::admission::Reason;
use crate::fleet::balance::Offer;
use crate::fleet::directive::rate_limit::Claim;
use crate::fleet::engine::Estimate;
use crate::fleet::pause::LateStreams;
use crate::fleet::request::{Generation, PlacementRequest};

/// Additional cost of the prefill, as a multiple of its time: it also slows the running streams and
/// evicts cached parts.
const PREFILL_INTERFERENCE: f64 = 1.0;
/// Cost of each running request, in milliseconds: it lengthens every decode step of a response.
const COST_PER_RUN_MS: f64 = 4.0;
/// Cost of an engine whose token interval equals the target, in milliseconds; proportional for
/// other intervals.
const TOKEN_INTERVAL_COST_MS: f64 = 100.0;
/// Cost of each running stream that a request makes late, in milliseconds: as much as a first event
/// that comes later by a usual latency objective.
const DELAYED_STREAM_COST_MS: f64 = 1_000.0;
/// Number of delayed streams from which on an engine is no fallback: as many requests would be late as
/// one is refused.
const MAX_FALLBACK_DELAYED_STREAMS: f64 = 1.0;

/// `EngineChoices` are the engines that may get a request, in order of preference.
pub(super) struct EngineChoices {
    /// The engine with the lowest cost.
    pub(super) preferred: Choice,
    /// The engine with the lowest cost if delayed streams are not counted, when it is another one.
    pub(super) fallback: Option<Choice>,
}

/// `Best` is the engine with the lowest cost so far.
#[derive(Default)]
struct Best<'a>(Option<(f64, &'a Target, Estimate)>);

impl<'a> Best<'a> {
    fn offer(&mut self, cost: f64, target: &'a Target, estimate: Estimate) {
        if self.0.as_ref().is_none_or(|(lowest, _, _)| cost < *lowest) {
            self.0 = Some((cost, target, estimate));
        }
    }
}

impl FleetLoad {
    /// Returns the engine for a request: the one with the lowest cost, or one of similar cost where
    /// the load of the service is balanced. `jitter` is uniform over 0 to 1.
    ///
    /// # Errors
    /// Returns why no engine can get the request.
    pub(super) fn best_engine(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        claim: Claim,
        jitter: f64,
        now: Duration,
    ) -> Result<EngineChoices, Unavailable> {
        let mut unavailable = Unavailable::from(Reason::NoTarget);
        let (mut offers, mut offered): (Vec<Offer<'_>>, Vec<(&Target, Estimate)>) =
            Default::default();
        let mut best_with_delays = Best::default();
        let mut total_prefill_rate = 0.0;
        let pause_weight = self
            .late_streams
            .get(req.service)
            .map_or(0.0, LateStreams::weight);
        let copy_sources = self.copy_sources(req, generation, now);
        for target in self.candidates(req, now) {
            let TargetLoad::Engine(load) = &target.load else {
                continue;
            };
            total_prefill_rate += load.prefill_rate();
            if !load.has_capacity(generation) {
                unavailable.full();
                continue;
            }
            let wait = self.rate_wait(&target.entry.name, claim, now);
            if !wait.is_zero() {
                unavailable.limited(wait);
                continue;
            }
            let cached_elsewhere = copy_sources.get(&target.entry.version.as_ref());
            let cached_elsewhere = cached_elsewhere.map_or(0, |(_, tokens)| *tokens);
            let estimate = load.estimate(generation, cached_elsewhere, now);
            let cost = engine_cost(&estimate, self.token_interval.ms())
                + place::domain_cost_ms(req.domain, &target.entry);
            let delayed_streams = load.delayed_streams(&estimate) * pause_weight;
            if delayed_streams < MAX_FALLBACK_DELAYED_STREAMS {
                best_with_delays.offer(cost, target, estimate);
            }
            offers.push(Offer {
                target: &target.entry.name,
                cost_ms: cost + DELAYED_STREAM_COST_MS * delayed_streams,
                prefill_tokens: estimate.prefill_tokens,
                rate: estimate.rate,
            });
            offered.push((target, estimate));
        }
        let choice = |target: &Target, estimate: Estimate| {
            let source = copy_sources.get(&target.entry.version.as_ref());
            let source = source.filter(|_| estimate.copied_tokens > 0);
            Choice {
                name: target.entry.name.clone(),
                address: target.entry.address,
                expected: estimate.first_event(),
                estimate: Some(estimate),
                copy_from: source.map(|(address, _)| *address),
                total_prefill_rate,
            }
        };
        let chosen = self.balance.choose(req.service, &offers, jitter, now);
        let (target, estimate) = chosen.map(|index| offered[index]).ok_or(unavailable)?;
        let fallback = best_with_delays.0;
        let fallback = fallback.filter(|(_, other, _)| other.entry.name != target.entry.name);
        Ok(EngineChoices {
            preferred: choice(target, estimate),
            fallback: fallback.map(|(_, target, estimate)| choice(target, estimate)),
        })
    }

    /// Returns, for each software version, the engine with the longest copyable prefix of a prompt and
    /// its length in tokens. Versions do not share the form of what is copied.
    fn copy_sources(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        now: Duration,
    ) -> BTreeMap<Option<&SoftwareVersion>, (SocketAddr, u32)> {
        let mut sources: BTreeMap<Option<&SoftwareVersion>, (SocketAddr, u32)> = BTreeMap::new();
        for target in self.targets.values() {
            let TargetLoad::Engine(load) = &target.load else {
                continue;
            };
            if target.entry.service != *req.service || !target.health.is_usable(now) {
                continue;
            }
            let tokens = load.copyable_tokens(generation, now);
            let source = sources.entry(target.entry.version.as_ref());
            let source = source.or_insert((target.entry.address, 0));
            if tokens >= source.1 {
                *source = (target.entry.address, tokens);
            }
        }
        sources.retain(|_, (_, tokens)| *tokens > 0);
        sources
    }
}

/// Returns the cost of a request on an engine, including its effect on other requests, in
/// milliseconds of engine time.
fn engine_cost(estimate: &Estimate, interval_target_ms: f64) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
    ms(estimate.wait)
        + ms(estimate.prefill_time) * (1.0 + PREFILL_INTERFERENCE)
        + COST_PER_RUN_MS * estimate.runs as f64
        + TOKEN_INTERVAL_COST_MS * estimate.token_interval_ms / interval_target_ms
}
