//! Admission control: whether a request is admitted now, queued or refused.
//!
//! Handles the load pattern in which more requests arrive than can start in time. The wait at the
//! best engine and the token interval of its streams are bounded; the bounds depend on the service
//! that the customer has received recently. The size of the request does not count, so that large
//! requests are not starved. A retry after a refusal is treated like a new request, because a
//! preference for retries overloads the engines.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::queueing::QueueLimit;

/// Maximum time to the first event without the prefill of the own prompt, as a fraction of the
/// latency objective. The rest is for that prefill and for errors of the estimate.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Factor on the bounds for a customer above the fair level. It is divided by the customer's ratio
/// to the level, so that its service converges to the level.
const ABOVE_SHARE_FACTOR: f64 = 0.8;
/// Lower bound of the factor, so that spare capacity is used.
const MIN_ABOVE_SHARE_FACTOR: f64 = 0.2;
/// Upper bound of the factor for a customer below the fair level, so that its requests still start
/// within the latency objective.
const MAX_BELOW_SHARE_FACTOR: f64 = 1.5;
/// Time in which an engine at twice the token interval target recovers.
const INTERVAL_RECOVERY: Duration = Duration::from_millis(1_500);
/// Time constant of the decay of a customer's service, as in [`super::shares`].
const SHARE_TIME_CONSTANT_S: f64 = 2.0;
/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest `Retry-After`, as a fraction of the caller's remaining time; callers honour up to a
/// third.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// `Reason` is the reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Reason {
    /// No target of the service is known or usable.
    #[display("no target")]
    NoTarget,
    /// No usable engine has a free slot and enough free memory.
    #[display("no room")]
    NoRoom,
    /// The wait or the token interval exceeds its bound, or a plain service cannot respond in
    /// time.
    #[display("wait too long")]
    Wait,
    /// The wait or the token interval exceeds the tighter bound for a customer above its fair
    /// share.
    #[display("above share")]
    AboveShare,
    /// A part of the prompt has crashed engines.
    #[display("quarantined prompt part")]
    Quarantined,
    /// All usable targets of the service have got as many requests as they take.
    #[display("target limit")]
    TargetLimit,
    /// The software version at which the stream began is not known.
    #[display("the version that began the stream is not known, begin it again")]
    UnknownVersion,
    /// No target of the software version at which the stream began is usable.
    #[display("no target of the version that began the stream, begin it again")]
    NoVersion,
}

/// `Basis` holds the inputs of a refusal, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Basis {
    /// Wait at the best engine, with its first-event latency.
    pub wait: Duration,
    /// Token interval of the streams on that engine, in milliseconds.
    pub token_interval_ms: f64,
    /// Token interval above which many streams would not finish in time, in milliseconds.
    pub interval_target_ms: f64,
    /// Recent service of the customer, relative to the fair level.
    pub share_ratio: f64,
    /// How long the request has been queued in its router.
    pub waited: Duration,
}

/// `Refusal` is the decision not to place a request now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Time after which the router should try to place the request again; the request is queued
    /// until then. `None` when the refusal is final.
    pub recheck_in: Option<Duration>,
    /// The inputs of the decision.
    pub basis: Basis,
}

impl Refusal {
    /// Creates a final refusal that is not based on an engine's estimate.
    #[must_use]
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            recheck_in: None,
            basis: Basis::default(),
        }
    }
}

/// `Candidate` holds the inputs of the decision on one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Wait at the best engine.
    pub wait: Duration,
    /// Latency of the first event at the best engine, beyond wait and prefill.
    pub first_event_latency: Duration,
    /// Token interval of the streams on the best engine, in milliseconds.
    pub token_interval_ms: f64,
    /// Token interval above which many streams would not finish in time, in milliseconds.
    pub interval_target_ms: f64,
    /// Latency objective of the request.
    pub latency_objective: Duration,
    /// Shortest latency objective among the requests that share the engines.
    pub shortest_objective: Duration,
    /// How long the request has been queued in its router.
    pub waited: Duration,
    /// Prefill time of the requests queued ahead.
    pub queue_delay: Duration,
    /// Limit on its queueing time.
    pub queue_limit: QueueLimit,
    /// Remaining time until the caller's deadline.
    pub time_left: Duration,
    /// Recent service of the customer, relative to the fair level.
    pub share_ratio: f64,
    /// Uniform over 0 to 1, to spread retries.
    pub jitter: f64,
}

/// Decides whether a request is admitted.
///
/// # Errors
/// Returns the refusal, with the time after which a retry is likely to be admitted.
pub fn decide(candidate: &Candidate) -> Result<(), Refusal> {
    let is_above_share = candidate.share_ratio > 1.0;
    let factor = if is_above_share {
        (ABOVE_SHARE_FACTOR / candidate.share_ratio).max(MIN_ABOVE_SHARE_FACTOR)
    } else {
        // The less of its share a customer has received, the later its requests are refused.
        candidate.share_ratio.recip().min(MAX_BELOW_SHARE_FACTOR)
    };
    // The geometric mean is a compromise: long objectives may use a burst's queue, but not so much of
    // it that short ones no longer pass.
    let shortest = candidate
        .shortest_objective
        .min(candidate.latency_objective);
    let objective_s = (candidate.latency_objective.as_secs_f64() * shortest.as_secs_f64()).sqrt();
    let max_delay = max_delay(Duration::from_secs_f64(objective_s));
    // The latency is the same for all customers; what is left of the bound depends on the share.
    let max_wait = max_delay
        .saturating_sub(candidate.first_event_latency)
        .mul_f64(factor);
    let latency_excess = candidate.first_event_latency.saturating_sub(max_delay);
    let interval_ratio = candidate.token_interval_ms / (candidate.interval_target_ms * factor);
    let wait_excess = candidate.wait.saturating_sub(max_wait) + latency_excess;
    if wait_excess.is_zero() && interval_ratio <= 1.0 {
        return Ok(());
    }
    let interval_excess = INTERVAL_RECOVERY.mul_f64((interval_ratio - 1.0).clamp(0.0, 1.0));
    let excess = wait_excess.max(interval_excess);
    let share_wait = if is_above_share {
        Duration::from_secs_f64(SHARE_TIME_CONSTANT_S * candidate.share_ratio.ln())
    } else {
        Duration::ZERO
    };
    Err(Refusal {
        reason: if is_above_share {
            Reason::AboveShare
        } else {
            Reason::Wait
        },
        retry_after: retry_after(
            excess.max(share_wait),
            candidate.time_left,
            candidate.jitter,
        ),
        recheck_in: candidate.queue_limit.recheck_in(
            candidate.latency_objective,
            candidate.waited,
            excess.max(share_wait) + candidate.queue_delay,
            candidate.jitter,
        ),
        basis: Basis {
            wait: candidate.wait + candidate.first_event_latency,
            token_interval_ms: candidate.token_interval_ms,
            interval_target_ms: candidate.interval_target_ms,
            share_ratio: candidate.share_ratio,
            waited: candidate.waited,
        },
    })
}

/// Returns the maximum time to the first event without the prefill of the own prompt.
#[must_use]
pub fn max_delay(objective: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_FRACTION)
}

/// Returns the retry delay: spread over half to one and a half times `delay`, within the delay that
/// callers honour.
#[must_use]
pub fn retry_after(delay: Duration, time_left: Duration, jitter: f64) -> Duration {
    let spread = delay.max(MIN_RETRY_AFTER).mul_f64(0.5 + jitter);
    spread.min(time_left.mul_f64(MAX_RETRY_AFTER_FRACTION))
}
