//! Whether a request is taken now or refused at once.
//!
//! Answers the load pattern in which more work arrives than can begin in time. The wait before
//! the best engine and the token interval of its streams are bounded; the bounds depend on what the
//! customer has received recently. The size of the request itself does not count, so that large
//! ones are not starved. A retry after a refusal is treated like a new request: a preference for
//! it overloads the engines.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::queueing::QueueLimit;

/// Part of its latency objective that a request may wait at an engine.
const WAIT_PART: f64 = 0.6;
/// Factor on the bounds for a customer above the fair level, divided by its ratio to the level, so
/// that its service converges to the level.
const ABOVE_LEVEL: f64 = 0.8;
/// Smallest factor, so that spare capacity is used.
const MIN_ABOVE_LEVEL: f64 = 0.2;
/// Time in which an engine at twice the target interval recovers.
const INTERVAL_RECOVERY: Duration = Duration::from_millis(1_500);
/// Time constant of the decay of a customer's service, as in the shares.
const SHARE_MEMORY_S: f64 = 2.0;
/// Shortest `Retry-After`.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Longest `Retry-After`, as a part of the caller's time left; callers honour a third.
const MAX_RETRY_PART: f64 = 0.3;

/// `Reason` is why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Reason {
    /// No target of the service is known or usable.
    #[display("no target")]
    NoTarget,
    /// All slots or all memory is taken.
    #[display("no room")]
    NoRoom,
    /// The wait or the token interval exceeds its bound.
    #[display("wait too long")]
    Wait,
    /// The same, with the tighter bounds of a customer above its fair share.
    #[display("above share")]
    AboveShare,
}

/// `Basis` are the inputs of a refusal, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Basis {
    /// Wait before the best engine.
    pub wait: Duration,
    /// Token interval of its streams, in milliseconds.
    pub token_interval_ms: f64,
    /// Token interval beyond which many streams would not finish in time, in milliseconds.
    pub interval_target_ms: f64,
    /// Service of the customer against the fair level.
    pub share_ratio: f64,
    /// How long the request has been queued in its router.
    pub waited: Duration,
}

/// `Refusal` is a decision not to take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should retry.
    pub retry_after: Duration,
    /// When the router should try again to place the request, which is queued until then; nothing
    /// when the refusal is final.
    pub recheck_in: Option<Duration>,
    /// What it is based on.
    pub basis: Basis,
}

impl Refusal {
    /// A final refusal that is based on no engine.
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

/// `Candidate` is what a decision on one request depends on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Wait before the best engine.
    pub wait: Duration,
    /// Token interval of the streams at the best engine, in milliseconds.
    pub token_interval_ms: f64,
    /// Token interval beyond which many streams would not finish in time, in milliseconds.
    pub interval_target_ms: f64,
    /// Latency objective of the request.
    pub latency_objective: Duration,
    /// How long the request has been queued in its router.
    pub waited: Duration,
    /// Prefill time of the requests that are queued before it.
    pub queue_delay: Duration,
    /// How long it may be queued.
    pub queue_limit: QueueLimit,
    /// Time that is left to the caller.
    pub time_left: Duration,
    /// Service of the customer against the fair level.
    pub share_ratio: f64,
    /// Uniform over 0 to 1, to spread retries.
    pub jitter: f64,
}

/// Admits or refuses a request.
///
/// # Errors
/// The refusal, with the time after which a retry is likely to be admitted.
pub fn decide(candidate: &Candidate) -> Result<(), Refusal> {
    let is_above = candidate.share_ratio > 1.0;
    let factor = if is_above {
        (ABOVE_LEVEL / candidate.share_ratio).max(MIN_ABOVE_LEVEL)
    } else {
        1.0
    };
    let allowed = candidate.latency_objective.mul_f64(WAIT_PART * factor);
    let interval_ratio = candidate.token_interval_ms / (candidate.interval_target_ms * factor);
    if candidate.wait <= allowed && interval_ratio <= 1.0 {
        return Ok(());
    }
    let wait_excess = candidate.wait.saturating_sub(allowed);
    let interval_excess = INTERVAL_RECOVERY.mul_f64((interval_ratio - 1.0).clamp(0.0, 1.0));
    let excess = wait_excess.max(interval_excess);
    let share_wait = if is_above {
        Duration::from_secs_f64(SHARE_MEMORY_S * candidate.share_ratio.ln())
    } else {
        Duration::ZERO
    };
    Err(Refusal {
        reason: if is_above {
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
            wait: candidate.wait,
            token_interval_ms: candidate.token_interval_ms,
            interval_target_ms: candidate.interval_target_ms,
            share_ratio: candidate.share_ratio,
            waited: candidate.waited,
        },
    })
}

/// Spreads retries over half to one and a half times `delay`, within what callers honour.
#[must_use]
pub fn retry_after(delay: Duration, time_left: Duration, jitter: f64) -> Duration {
    let spread = delay.max(MIN_RETRY).mul_f64(0.5 + jitter);
    spread.min(time_left.mul_f64(MAX_RETRY_PART))
}
