//! Selection of a target for a request.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName};
use samphiresill_core::routing::{TargetEntry, TargetState};

use super::target::{Target, TargetLoad};
use super::unavailable::Unavailable;
use super::{FleetLoad, Placement, started_event};
use crate::fleet::admission::{self, Candidate, Reason, Refusal};
use crate::fleet::directive::rate_limit::Claim;
use crate::fleet::engine::Estimate;
use crate::fleet::event::Event;
use crate::fleet::request::{Generation, PlacementRequest, RunId};

/// Additional cost of the prefill, as a multiple of its time: it also slows the running streams and
/// evicts cached parts.
const PREFILL_INTERFERENCE: f64 = 1.0;
/// Cost of each running request, in milliseconds: it lengthens every decode step of a response.
const COST_PER_RUN_MS: f64 = 4.0;
/// Cost of an engine whose token interval equals the target, in milliseconds; proportional for
/// other intervals.
const TOKEN_INTERVAL_COST_MS: f64 = 100.0;
/// Cost of a target in another failure domain, in milliseconds: the round trip and the transferred
/// bytes.
const CROSS_DOMAIN_COST_MS: f64 = 4.0;
/// Targets of a service for each one that may be ejected for a high failure rate.
const TARGETS_PER_EJECTION: usize = 3;

/// `Choice` is the target with the lowest cost of a request.
struct Choice {
    name: TargetName,
    address: SocketAddr,
    expected: Duration,
    estimate: Option<Estimate>,
    copy_from: Option<SocketAddr>,
    /// Total prefill rate of the engines of the service that can get the request, in tokens per
    /// millisecond.
    total_prefill_rate: f64,
}

impl FleetLoad {
    /// Selects a target for a request and counts the run there, or refuses the request. `jitter` is
    /// uniform over 0 to 1.
    ///
    /// # Errors
    /// Returns the refusal; the request has not been sent, and no run is counted.
    pub fn place(
        &mut self,
        req: &PlacementRequest<'_>,
        run: RunId,
        jitter: f64,
        now: Duration,
    ) -> Result<Placement, Refusal> {
        let best = match req.generation {
            Some(generation) => self.choose_engine(req, generation, jitter, now)?,
            None => self.choose_plain(req, jitter, now)?,
        };
        let placement = Placement {
            target: best.name,
            address: best.address,
            run,
            expected: best.expected,
            copy_from: best.copy_from,
            estimate: best.estimate,
        };
        self.publish(started_event(&placement, req), now);
        if run.origin == self.origin {
            self.track_own_run(&placement, now);
        }
        Ok(placement)
    }

    fn choose_engine(
        &mut self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        jitter: f64,
        now: Duration,
    ) -> Result<Choice, Refusal> {
        let fingerprint = fingerprint(req.customer, generation);
        if let Some(remaining) = self.quarantine_remaining(generation, now) {
            self.queue.remove(fingerprint);
            return Err(Refusal::new(Reason::Quarantined, remaining));
        }
        let is_retry = self.is_retry(fingerprint, now);
        let is_new = req.tried.is_empty() && !is_retry;
        let is_first_attempt = is_new && req.is_first_attempt;
        // Other schedulers learn of the demand of a queued request only from its refusal, so the
        // cost also counts after queueing.
        let cost = if is_new { generation.cost() } else { 0 };
        if is_first_attempt {
            self.token_interval.observe(req);
        }
        if let Some(customer) = req.customer.filter(|_| is_first_attempt) {
            self.shares.add_demand(customer, cost, now);
        }
        self.queue.remove(fingerprint);
        let share_ratio = req.customer.map_or(0.0, |c| self.shares.ratio(c, now));
        let claim = Claim::new(share_ratio > 1.0, jitter);
        let chosen = self
            .best_engine(req, generation, claim, now)
            .map_err(|unavailable| Refusal {
                recheck_in: self.recheck_limit(req, &unavailable, jitter),
                ..unavailable.refusal(req, jitter)
            })
            .and_then(|best| {
                self.admit(req, &best, jitter, now)
                    .inspect_err(|refusal| self.enqueue(fingerprint, &best, refusal, now))?;
                Ok(best)
            });
        let is_queued = matches!(&chosen, Err(refusal) if refusal.recheck_in.is_some());
        if !req.is_first_attempt && !is_queued {
            self.queue_limit.observe(chosen.is_ok());
        }
        if chosen.is_err() && !is_queued {
            self.record_refused(fingerprint, now);
            self.outbox.push(Event::Refused {
                fingerprint,
                customer: req.customer.cloned(),
                cost,
            });
        }
        chosen
    }

    fn admit(
        &mut self,
        req: &PlacementRequest<'_>,
        best: &Choice,
        jitter: f64,
        now: Duration,
    ) -> Result<(), Refusal> {
        if req.has_run {
            return Ok(());
        }
        let estimate = best.estimate.unwrap_or_default();
        // Only its next requests can correct what was learnt of an engine.
        if estimate.runs == 0 {
            return Ok(());
        }
        let share_ratio = req.customer.map_or(0.0, |c| self.shares.ratio(c, now));
        let shortest_objective = self
            .shortest_objectives
            .entry(req.service.clone())
            .or_default()
            .observe(req.latency_objective);
        admission::decide(&Candidate {
            wait: estimate.wait,
            first_event_latency: estimate.latency,
            shortest_objective,
            token_interval_ms: estimate.current_interval_ms,
            interval_target_ms: self.token_interval.ms(),
            latency_objective: req.latency_objective,
            waited: req.waited,
            queue_delay: self.queue.delay(best.total_prefill_rate, now),
            queue_limit: self.queue_limit,
            time_left: req.time_left,
            share_ratio,
            jitter,
        })
    }

    /// Returns when to try again to place a request that only the limits of engines prevent.
    fn recheck_limit(
        &self,
        req: &PlacementRequest<'_>,
        unavailable: &Unavailable,
        jitter: f64,
    ) -> Option<Duration> {
        if unavailable.reason != Reason::TargetLimit {
            return None;
        }
        let objective = req.latency_objective;
        let wait = unavailable.available_in;
        self.queue_limit
            .recheck_in(objective, req.waited, wait, jitter)
    }

    /// Queues a request when its refusal is not final.
    fn enqueue(&mut self, fingerprint: u64, best: &Choice, refusal: &Refusal, now: Duration) {
        if let Some(delay) = refusal.recheck_in {
            let tokens = best.estimate.map_or(0, |e| e.prefill_tokens);
            self.queue.insert(fingerprint, tokens, now + delay);
        }
    }

    /// Returns the engine with the lowest cost of a request.
    fn best_engine(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        claim: Claim,
        now: Duration,
    ) -> Result<Choice, Unavailable> {
        let mut unavailable = Unavailable::from(Reason::NoTarget);
        let mut best: Option<(f64, &Target, Estimate)> = None;
        let mut total_prefill_rate = 0.0;
        let copy_source = self.copy_source(req, generation, now);
        let cached_elsewhere = copy_source.map_or(0, |(_, tokens)| tokens);
        for target in self.candidates(req, now) {
            let TargetLoad::Engine(load) = &target.load else {
                continue;
            };
            total_prefill_rate += load.prefill_rate();
            if !load.has_capacity(generation) {
                unavailable.full();
                continue;
            }
            let wait = self.directives.limit_wait(&target.entry.name, claim, now);
            if !wait.is_zero() {
                unavailable.limited(wait);
                continue;
            }
            let estimate = load.estimate(generation, cached_elsewhere, now);
            let cost = engine_cost(&estimate, self.token_interval.ms())
                + domain_cost_ms(req.domain, &target.entry);
            if best.as_ref().is_none_or(|(lowest, _, _)| cost < *lowest) {
                best = Some((cost, target, estimate));
            }
        }
        let (_, target, estimate) = best.ok_or(unavailable)?;
        let source = copy_source.filter(|_| estimate.copied_tokens > 0);
        Ok(Choice {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected: estimate.first_event(),
            estimate: Some(estimate),
            copy_from: source.map(|(address, _)| address),
            total_prefill_rate,
        })
    }

    /// Returns the engine with the longest copyable prefix of a prompt, and its length in tokens.
    fn copy_source(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Option<(SocketAddr, u32)> {
        let engines = self.targets.values().filter_map(|t| match &t.load {
            TargetLoad::Engine(load)
                if t.entry.service == *req.service && t.health.is_usable(now) =>
            {
                Some((t.entry.address, load.copyable_tokens(generation, now)))
            }
            _ => None,
        });
        engines
            .filter(|(_, tokens)| *tokens > 0)
            .max_by_key(|(_, tokens)| *tokens)
    }

    fn choose_plain(
        &self,
        req: &PlacementRequest<'_>,
        jitter: f64,
        now: Duration,
    ) -> Result<Choice, Refusal> {
        let claim = Claim::new(false, jitter);
        let mut unavailable = Unavailable::from(Reason::NoTarget);
        let costs = self.candidates(req, now).filter_map(|target| {
            let TargetLoad::Plain(load) = &target.load else {
                return None;
            };
            let wait = self.directives.limit_wait(&target.entry.name, claim, now);
            if !wait.is_zero() {
                unavailable.limited(wait);
                return None;
            }
            let expected = load.expected_latency();
            let cost = expected.as_secs_f64() * 1_000.0 + domain_cost_ms(req.domain, &target.entry);
            Some((cost, target, expected, load.has_free_slot()))
        });
        let Some((_, target, expected, has_free_slot)) = costs.min_by(|a, b| a.0.total_cmp(&b.0))
        else {
            return Err(unavailable.refusal(req, jitter));
        };
        if expected > req.time_left && !has_free_slot {
            let retry_after = admission::retry_after(expected, req.time_left, jitter);
            return Err(Refusal::new(Reason::Wait, retry_after));
        }
        Ok(Choice {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected,
            estimate: None,
            copy_from: None,
            total_prefill_rate: 0.0,
        })
    }

    /// Returns the targets that may get the request: the usable ones, or all eligible ones when
    /// none is usable.
    fn candidates<'a>(
        &'a self,
        req: &'a PlacementRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = &'a Target> {
        let is_eligible = move |target: &&Target| {
            target.entry.service == *req.service
                && target.entry.state == TargetState::Ready
                && !req.tried.contains(&target.entry.name)
                && !req.avoided.contains(&target.entry.name)
                && !self.directives.leaving().contains(&target.entry)
        };
        let eligible = || self.targets.values().filter(is_eligible);
        let failing = eligible().filter(|t| t.health.is_failing(now)).count();
        // When many targets fail, the requests are the cause, or no other target would do better.
        let ignores_failures = failing * TARGETS_PER_EJECTION > eligible().count();
        let is_usable = move |target: &Target| {
            let health = target.health;
            health.is_reachable(now) && (ignores_failures || !health.is_failing(now))
        };
        let is_any_usable = eligible().any(is_usable);
        self.targets
            .values()
            .filter(is_eligible)
            .filter(move |t| !is_any_usable || is_usable(t))
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

fn domain_cost_ms(domain: &DomainName, entry: &TargetEntry) -> f64 {
    if *domain == entry.domain {
        0.0
    } else {
        CROSS_DOMAIN_COST_MS
    }
}

/// Returns a hash that identifies a request across retries: the same customer with the same prompt.
pub(in crate::fleet) fn fingerprint(
    customer: Option<&CustomerName>,
    generation: &Generation,
) -> u64 {
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
