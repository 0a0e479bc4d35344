//! Whether a request is taken now or refused at once.
//!
//! Answers the load pattern in which more work arrives than can begin in time. The wait before
//! the best engine and the pace of its streams are the price of admission; how much of them a
//! request may meet depends on what its customer has received of late. The size of the request
//! itself does not count, so that large ones are not starved. A request that returns after a
//! refusal is treated like a fresh one: a preference for it loads engines beyond their pace.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::holding::Holding;

/// Part of its aim that a request may wait.
const WAIT_PART: f64 = 0.6;
/// Factor on wait and pace for a customer at the fair level; it falls in proportion to what the
/// customer has received beyond, so that a flood is held near the level.
const ABOVE_LEVEL: f64 = 0.8;
/// The same at least, so that what nobody else asks for is not left idle.
const MIN_ABOVE_LEVEL: f64 = 0.2;
/// Time in which an engine that is loaded to twice the pace recovers.
const PACE_RECOVERY: Duration = Duration::from_millis(1_500);
/// Time constant with which a customer's service is forgotten, as in the shares.
const SHARE_MEMORY_S: f64 = 2.0;
/// Shortest pause that a refused caller is asked for.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Part of a caller's time that it is asked to wait at most; callers honour no more than a third.
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
    /// The wait is longer than the request may cause.
    #[display("wait too long")]
    Wait,
    /// The customer is above its fair share and work of others waits.
    #[display("above share")]
    AboveShare,
}

/// `Refusal` is a decision not to take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should return.
    pub retry_after: Duration,
    /// When the router should look for room again instead of refusing the request; nothing when
    /// the refusal is final.
    pub look_again: Option<Duration>,
}

/// `Candidate` is what a decision on one request depends on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Wait before the best engine.
    pub wait: Duration,
    /// Time for a token of a stream at the best engine, in milliseconds.
    pub pace_ms: f64,
    /// Time for a token beyond which many streams would not end in time, in milliseconds.
    pub pace_target_ms: f64,
    /// Aim of the request.
    pub aim: Duration,
    /// How long the request has waited in its router.
    pub waited: Duration,
    /// Time that the engines need for the requests that wait in routers already.
    pub queue: Duration,
    /// How long it may wait.
    pub holding: Holding,
    /// Time that is left to the caller.
    pub time_left: Duration,
    /// Service of the customer against the fair level.
    pub share_ratio: f64,
    /// Uniform over 0 to 1, to spread returns.
    pub draw: f64,
}

/// Takes or refuses a request.
///
/// # Errors
/// The refusal, with the time at which a return is likely to be taken.
pub fn decide(candidate: &Candidate) -> Result<(), Refusal> {
    let is_above = candidate.share_ratio > 1.0;
    let factor = if is_above {
        (ABOVE_LEVEL / candidate.share_ratio).max(MIN_ABOVE_LEVEL)
    } else {
        1.0
    };
    let allowed = candidate.aim.mul_f64(WAIT_PART * factor);
    let pace = candidate.pace_ms / (candidate.pace_target_ms * factor);
    if candidate.wait <= allowed && pace <= 1.0 {
        return Ok(());
    }
    let wait_excess = candidate.wait.saturating_sub(allowed);
    let pace_excess = PACE_RECOVERY.mul_f64((pace - 1.0).clamp(0.0, 1.0));
    let excess = wait_excess.max(pace_excess);
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
        retry_after: retry_after(excess.max(share_wait), candidate.time_left, candidate.draw),
        look_again: candidate.holding.look_again(
            candidate.aim,
            candidate.waited,
            excess.max(share_wait) + candidate.queue,
            candidate.draw,
        ),
    })
}

/// Spreads returns over half to one and a half times `delay`, within what callers honour.
#[must_use]
pub fn retry_after(delay: Duration, time_left: Duration, draw: f64) -> Duration {
    let spread = delay.max(MIN_RETRY).mul_f64(0.5 + draw);
    spread.min(time_left.mul_f64(MAX_RETRY_PART))
}
