//! The choice of a target for a request, on the account.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName};
use samphiresill_core::routing::{TargetEntry, TargetState};

use super::target::{Load, Target};
use super::{Account, Placement, started};
use crate::fleet::admission::{self, Candidate, Reason, Refusal};
use crate::fleet::engine::Estimate;
use crate::fleet::event::Event;
use crate::fleet::work::{Generation, PlacementRequest, RunId};

/// Cost of the prefill beside its own time: it also slows the streams and evicts cached parts.
const PREFILL_SIDE_COST: f64 = 1.0;
/// Cost of each running request, in milliseconds: it lengthens all the steps of an answer.
const BATCH_SLOWDOWN_MS: f64 = 4.0;
/// Cost of an engine at the target interval between tokens, in milliseconds; in proportion above
/// and below.
const TOKEN_INTERVAL_MS: f64 = 100.0;
/// Cost of another failure domain, in milliseconds: the way there and back, and its bytes.
const DISTANCE_MS: f64 = 4.0;
/// One in so many targets of a service may be ejected because it fails many requests.
const MAX_FAILING: usize = 3;
/// `Retry-After` when no target is known.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// `Choice` is the target at which a request costs least.
struct Choice {
    name: TargetName,
    address: SocketAddr,
    expected: Duration,
    estimate: Option<Estimate>,
    copy_from: Option<SocketAddr>,
    /// Prefill rate of all engines of the service, in tokens a millisecond.
    fleet_rate: f64,
}

impl Account {
    /// Chooses a target for a request, and counts the run there; or refuses it. `jitter` is uniform
    /// over 0 to 1.
    ///
    /// # Errors
    /// The refusal; the request was not and will not be sent.
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
        self.publish(started(&placement, req), now);
        if run.origin == self.origin {
            self.note_own(&placement, now);
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
        let is_retry = self.is_retry(fingerprint, now);
        let is_new = req.tried.is_empty() && !is_retry;
        let is_fresh = is_new && req.waited.is_zero();
        // Other schedulers learn of a queued request only by its refusal.
        let cost = if is_new { generation.cost() } else { 0 };
        if is_fresh {
            self.token_interval.observe(req);
        }
        if let Some(customer) = req.customer.filter(|_| is_fresh) {
            self.shares.demand(customer, cost, now);
        }
        self.queue.remove(fingerprint);
        let chosen = self
            .best_engine(req, generation, now)
            .map_err(|reason| {
                let retry_after = admission::retry_after(NO_TARGET_RETRY, req.time_left, jitter);
                Refusal::new(reason, retry_after)
            })
            .and_then(|best| {
                self.admit(req, &best, jitter, now)
                    .inspect_err(|refusal| self.enqueue(fingerprint, &best, refusal, now))?;
                Ok(best)
            });
        let is_queued = matches!(&chosen, Err(refusal) if refusal.recheck_in.is_some());
        if !req.waited.is_zero() && !is_queued {
            self.queue_limit.observe(chosen.is_ok());
        }
        if chosen.is_err() && !is_queued {
            self.remember_refused(fingerprint, now);
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
        let share_ratio = req.customer.map_or(0.0, |c| self.shares.ratio(c, now));
        admission::decide(&Candidate {
            wait: estimate.wait,
            token_interval_ms: estimate.current_interval_ms,
            interval_target_ms: self.token_interval.ms(),
            latency_objective: req.latency_objective,
            waited: req.waited,
            queue_delay: self.queue.delay(best.fleet_rate, now),
            queue_limit: self.queue_limit,
            time_left: req.time_left,
            share_ratio,
            jitter,
        })
    }

    /// Queues a request that is to be tried again.
    fn enqueue(&mut self, fingerprint: u64, best: &Choice, refusal: &Refusal, now: Duration) {
        if let Some(pause) = refusal.recheck_in {
            let tokens = best.estimate.map_or(0, |e| e.prefill_tokens);
            self.queue.insert(fingerprint, tokens, now + pause);
        }
    }

    /// The engine at which a request costs everyone least.
    fn best_engine(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Result<Choice, Reason> {
        let mut reason = Reason::NoTarget;
        let mut best: Option<(f64, &Target, Estimate)> = None;
        let mut fleet_rate = 0.0;
        let cache_holder = self.cache_holder(req, generation, now);
        let cached_elsewhere = cache_holder.map_or(0, |(_, tokens)| tokens);
        for target in self.usable(req, now) {
            let Load::Engine(load) = &target.load else {
                continue;
            };
            fleet_rate += load.rate();
            if !load.has_room(generation) {
                reason = Reason::NoRoom;
                continue;
            }
            let estimate = load.estimate(generation, cached_elsewhere, now);
            let cost = engine_cost(&estimate, self.token_interval.ms())
                + distance(req.domain, &target.entry);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, target, estimate));
            }
        }
        let (_, target, estimate) = best.ok_or(reason)?;
        let source = cache_holder.filter(|_| estimate.copied_tokens > 0);
        Ok(Choice {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected: estimate.first_event(),
            estimate: Some(estimate),
            copy_from: source.map(|(address, _)| address),
            fleet_rate,
        })
    }

    /// The engine with the longest cached prefix of a prompt, and its tokens.
    fn cache_holder(
        &self,
        req: &PlacementRequest<'_>,
        generation: &Generation,
        now: Duration,
    ) -> Option<(SocketAddr, u32)> {
        let engines = self.targets.values().filter_map(|t| match &t.load {
            Load::Engine(load) if t.entry.service == *req.service && t.health.is_usable(now) => {
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
        let costs = self.usable(req, now).filter_map(|target| {
            let Load::Plain(load) = &target.load else {
                return None;
            };
            let expected = load.expected();
            let cost = expected.as_secs_f64() * 1_000.0 + distance(req.domain, &target.entry);
            Some((cost, target, expected))
        });
        let Some((_, target, expected)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            let retry_after = admission::retry_after(NO_TARGET_RETRY, req.time_left, jitter);
            return Err(Refusal::new(Reason::NoTarget, retry_after));
        };
        if expected > req.time_left {
            let retry_after = admission::retry_after(expected, req.time_left, jitter);
            return Err(Refusal::new(Reason::Wait, retry_after));
        }
        Ok(Choice {
            name: target.entry.name.clone(),
            address: target.entry.address,
            expected,
            estimate: None,
            copy_from: None,
            fleet_rate: 0.0,
        })
    }

    /// Targets that may get the request: usable ones, or all when none is usable.
    fn usable<'a>(
        &'a self,
        req: &'a PlacementRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = &'a Target> {
        let is_open = move |target: &&Target| {
            target.entry.service == *req.service
                && target.entry.state == TargetState::Ready
                && !req.tried.contains(&target.entry.name)
        };
        let open = || self.targets.values().filter(is_open);
        let failing = open().filter(|t| t.health.is_failing(now)).count();
        // Where many fail, the requests are at fault, or no target is better.
        let is_failing_usual = failing * MAX_FAILING > open().count();
        let is_usable = move |target: &Target| {
            let health = target.health;
            health.is_reachable(now) && (is_failing_usual || !health.is_failing(now))
        };
        let is_any_usable = open().any(is_usable);
        self.targets
            .values()
            .filter(is_open)
            .filter(move |t| !is_any_usable || is_usable(t))
    }
}

/// Cost of a request at an engine to everyone, in milliseconds of engine time.
fn engine_cost(estimate: &Estimate, interval_target_ms: f64) -> f64 {
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
    ms(estimate.wait)
        + ms(estimate.prefill_time) * (1.0 + PREFILL_SIDE_COST)
        + BATCH_SLOWDOWN_MS * estimate.runs as f64
        + TOKEN_INTERVAL_MS * estimate.token_interval_ms / interval_target_ms
}

fn distance(domain: &DomainName, entry: &TargetEntry) -> f64 {
    if *domain == entry.domain {
        0.0
    } else {
        DISTANCE_MS
    }
}

/// Identifies a request across retries: the same customer with the same prompt.
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
