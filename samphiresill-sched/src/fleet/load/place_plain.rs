//! Selection of a target of a plain service for a request, or of the time that it has to wait.

use std::time::Duration;

use super::FleetLoad;
use super::place::{self, Choice};
use super::target::TargetLoad;
use super::unavailable::Unavailable;
use crate::fleet::admission::{self, Basis, Reason, Refusal};
use crate::fleet::directive::rate_limit::Claim;
use crate::fleet::plain::waiting::Waiting;
use crate::fleet::request::PlacementRequest;

/// Fraction of the time left within which the answer has to be expected, because some requests take
/// several times the mean.
const MAX_DELAY_FRACTION: f64 = 0.8;

/// Maximum expected delay of a request that begins to wait, as a fraction of the latency objective. The
/// rest is for requests that take longer than expected.
const MAX_OBJECTIVE_FRACTION: f64 = 0.6;
/// The same in multiples of the latency of the target, for services that take longer than their
/// objective.
const MAX_LATENCIES: f64 = 1.25;

/// `Candidates` summarises the targets that may get a request.
#[derive(Default)]
struct Candidates {
    /// The cheapest target with room, with its cost and whether it has a free slot.
    best: Option<(f64, Choice, bool)>,
    /// Requests that the targets take beside those that they have.
    free: usize,
    /// Requests that the targets end in a second.
    max_per_s: f64,
    /// Decayed count of requests that all routers have sent to the targets.
    started: f64,
    /// Shortest expected latency, with room or without.
    min_latency: Option<Duration>,
}

impl FleetLoad {
    pub(super) fn choose_plain(
        &mut self,
        req: &PlacementRequest<'_>,
        jitter: f64,
        now: Duration,
    ) -> Result<Choice, Refusal> {
        let mut unavailable = Unavailable::from(Reason::NoTarget);
        let found = self.plain_candidates(req, &mut unavailable, jitter, now);
        let Some(min_latency) = found.min_latency else {
            return Err(Refusal {
                recheck_in: self.recheck_cold(req, &unavailable, jitter),
                ..unavailable.refusal(req, jitter)
            });
        };
        let waiting = self.plain_waiting.entry(req.service.clone()).or_default();
        let place = waiting_place(waiting, req, now);
        if let Some((_, best, has_free_slot)) = found.best
            && (found.free > place.ahead || req.has_run)
        {
            if best.expected > req.time_left && !has_free_slot {
                let excess = best.expected.saturating_sub(req.time_left);
                let retry_after = admission::retry_after(excess, req.time_left, jitter);
                return Err(Refusal::new(Reason::Wait, retry_after));
            }
            waiting.record_placed(now);
            return Ok(best);
        }
        let per_s = (found.max_per_s * waiting.own_fraction(found.started, now)).max(1.0);
        let turns = (place.ahead + 1).saturating_sub(found.free).max(1);
        let turn_in = Duration::from_secs_f64(turns as f64 / per_s);
        let delay = turn_in + min_latency;
        let time_left = req.time_left.mul_f64(MAX_DELAY_FRACTION);
        let max_delay = if place.is_new && !req.has_run {
            time_left.min(max_new_delay(req, min_latency))
        } else {
            time_left
        };
        let excess = delay.saturating_sub(max_delay);
        let recheck_in = if excess.is_zero() {
            waiting.insert(place.arrived_at, turn_in, jitter, now)
        } else {
            None
        };
        Err(Refusal {
            recheck_in,
            basis: Basis {
                wait: delay,
                waited: req.waited,
                ..Basis::default()
            },
            ..Refusal::new(
                Reason::Wait,
                admission::retry_after(excess, req.time_left, jitter),
            )
        })
    }

    fn plain_candidates(
        &self,
        req: &PlacementRequest<'_>,
        unavailable: &mut Unavailable,
        jitter: f64,
        now: Duration,
    ) -> Candidates {
        let claim = Claim::new(false, jitter);
        let mut found = Candidates::default();
        for target in self.candidates(req, now) {
            let TargetLoad::Plain(load) = &target.load else {
                continue;
            };
            let wait = self.rate_wait(&target.entry.name, claim, now);
            if !wait.is_zero() {
                unavailable.limited(wait);
                continue;
            }
            let expected = load.expected_latency();
            let free = load.free(now);
            found.free += free;
            found.max_per_s += load.max_per_s();
            found.started += load.started(now);
            found.min_latency = Some(found.min_latency.map_or(expected, |l| l.min(expected)));
            let cost =
                expected.as_secs_f64() * 1_000.0 + place::domain_cost_ms(req.domain, &target.entry);
            if free > 0 && found.best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                let choice = Choice {
                    name: target.entry.name.clone(),
                    address: target.entry.address,
                    expected,
                    estimate: None,
                    copy_from: None,
                    total_prefill_rate: 0.0,
                };
                found.best = Some((cost, choice, load.has_free_slot()));
            }
        }
        found
    }
}

/// `Place` is the place of a request among the waiting ones.
struct Place {
    arrived_at: Duration,
    /// Whether it has not waited yet.
    is_new: bool,
    /// Number of requests that have waited longer.
    ahead: usize,
}

fn waiting_place(waiting: &mut Waiting, req: &PlacementRequest<'_>, now: Duration) -> Place {
    let arrived_at = now.saturating_sub(req.waited);
    let recorded = if req.is_first_attempt {
        None
    } else {
        waiting.take(arrived_at)
    };
    let arrived_at = recorded.unwrap_or(arrived_at);
    // All others are ahead of a request that arrives now, also those of the same instant.
    let before = if req.waited.is_zero() {
        Duration::MAX
    } else {
        arrived_at
    };
    Place {
        arrived_at,
        is_new: recorded.is_none(),
        ahead: waiting.ahead(before, now),
    }
}

/// Returns the maximum expected delay of a request that begins to wait: most answers are then within the
/// objective, also those that take longer than expected.
fn max_new_delay(req: &PlacementRequest<'_>, min_latency: Duration) -> Duration {
    let in_objective = req.latency_objective.mul_f64(MAX_OBJECTIVE_FRACTION);
    in_objective.max(min_latency.mul_f64(MAX_LATENCIES))
}
