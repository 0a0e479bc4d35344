//! Selection of a target for a request.

use std::net::SocketAddr;
use std::time::Duration;

use samphiresill_core::name::{CustomerName, DomainName, TargetName};
use samphiresill_core::routing::TargetEntry;

use super::unavailable::Unavailable;
use super::{FleetLoad, Placement, started_event};
use crate::fleet::admission::{self, Candidate, Reason, Refusal};
use crate::fleet::directive::rate_limit::Claim;
use crate::fleet::engine::Estimate;
use crate::fleet::event::Event;
use crate::fleet::request::{Generation, PlacementRequest, RunId};
use crate::fleet::streams::StreamOrigin;

/// Cost of a target in another failure domain, in milliseconds: the round trip and the transferred
/// bytes.
const CROSS_DOMAIN_COST_MS: f64 = 4.0;

/// `Choice` is the target with the lowest cost of a request.
pub(super) struct Choice {
    pub(super) name: TargetName,
    pub(super) address: SocketAddr,
    pub(super) expected: Duration,
    pub(super) estimate: Option<Estimate>,
    pub(super) copy_from: Option<SocketAddr>,
    /// Total prefill rate of the engines of the service that can get the request, in tokens per
    /// millisecond.
    pub(super) total_prefill_rate: f64,
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
        if let Some(remaining) = self.settling_time(req, now) {
            return Err(Refusal {
                recheck_in: Some(remaining),
                ..Refusal::new(Reason::TargetLimit, remaining)
            });
        }
        let origin = self.resolve(req.origin);
        if matches!(origin, StreamOrigin::Of(_) | StreamOrigin::Unknown) {
            return Err(self.refusal_of_unknown_version(req, jitter));
        }
        let is_continuation = origin != StreamOrigin::New;
        let req = &PlacementRequest {
            // A part of it has been paid for, and its caller has read that part.
            has_run: req.has_run || is_continuation,
            origin: &origin,
            ..req.clone()
        };
        self.count_cold_diversion(req, now);
        let chosen = match req.generation {
            Some(generation) => self.choose_engine(req, generation, jitter, now),
            None => self.choose_plain(req, jitter, now),
        };
        let best = chosen.map_err(|r| self.refusal_while_evacuated(r, req, jitter))?;
        let placement = Placement {
            target: best.name,
            address: best.address,
            run,
            expected: best.expected,
            copy_from: best.copy_from,
            estimate: best.estimate,
        };
        self.cold_starts.record_start(&placement.target, now);
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
            .best_engine(req, generation, claim, jitter, now)
            .map_err(|unavailable| Refusal {
                recheck_in: self.recheck_limit(req, &unavailable, jitter),
                ..unavailable.refusal(req, jitter)
            })
            .and_then(|choices| {
                let refusal = match self.admit(req, &choices.preferred, jitter, now) {
                    Ok(()) => return Ok(choices.preferred),
                    Err(refusal) => refusal,
                };
                let fallback = choices.fallback;
                let admitted = fallback.filter(|f| self.admit(req, f, jitter, now).is_ok());
                admitted.ok_or_else(|| {
                    self.enqueue(fingerprint, &choices.preferred, &refusal, now);
                    refusal
                })
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
        if self.cold_starts.has_marks() {
            return self.recheck_cold(req, unavailable, jitter);
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

    /// Returns the time until the limits of a target allow a request; zero when they do so now.
    pub(super) fn rate_wait(&self, target: &TargetName, claim: Claim, now: Duration) -> Duration {
        let wait = self.directives.limit_wait(target, claim, now);
        wait.max(self.cold_starts.wait(target, now))
    }
}

pub(super) fn domain_cost_ms(domain: &DomainName, entry: &TargetEntry) -> f64 {
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
