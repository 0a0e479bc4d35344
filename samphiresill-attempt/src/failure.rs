//! Handling of failed attempts: whether to retry, and what the caller receives.
//!
//! Invariant: a request that must run at most once is never resent after any byte of it may have
//! reached a target, unless that target is known not to have run it. The caller of such a request
//! receives the outcome `not-run` only under the same condition.

use derive_more::Display;
use samphiresill_core::outcome::Refusal;

/// `RetryClass` determines how a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RetryClass {
    /// Generation by a model, which may be resumed, and rerun as long as no text was delivered.
    #[display("generation")]
    Generation,
    /// An idempotent call, which may be repeated.
    #[display("idempotent")]
    Idempotent,
    /// A call that must run at most once.
    #[display("once")]
    Once,
}

/// `FailurePoint` is the phase in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum FailurePoint {
    /// The connection was refused, or the target is unreachable; nothing was sent.
    #[display("connect")]
    Connect,
    /// The connection failed after the first byte of the request may have been sent.
    #[display("sending")]
    Sending,
    /// The target itself refused the request, with a status that indicates that it cannot serve it.
    #[display("refused by target")]
    RefusedByTarget,
    /// The target states that it has not run the request and will not run it.
    #[display("not executed")]
    NotExecuted,
    /// A different target responded at the address of the intended one, and has not run the
    /// request.
    #[display("misdirected")]
    Misdirected,
    /// The response was interrupted.
    #[display("during answer")]
    DuringAnswer,
    /// The target made no progress for longer than its rate allows.
    #[display("silence")]
    Silence,
    /// The target does not know the stream that was to be resumed.
    #[display("stream lost")]
    StreamLost,
}

/// `Verdict` is the decision on how to proceed after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Verdict {
    /// Resend the request to whichever target is granted next.
    #[display("retry")]
    Retry,
    /// Resume the stream from the same target over a new connection.
    #[display("resume")]
    Resume,
    /// Rerun the request on another target and compare its output with what was delivered.
    #[display("replay")]
    Replay,
    /// Pass the target's own response on to the caller.
    #[display("pass on")]
    PassOn,
    /// Report the failure to the caller; there is no further attempt.
    #[display("tell {_0}")]
    Refuse(Refusal),
}

/// `FailureContext` holds the inputs of a verdict other than the failure point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureContext {
    /// How the request may be retried.
    pub retry_class: RetryClass,
    /// Whether part of the response was delivered to the caller.
    pub has_delivered: bool,
    /// Whether a rerun must produce the same text, as with a fixed seed or temperature 0.
    pub is_deterministic: bool,
    /// Whether the retry budgets and the deadline permit a retry.
    pub may_retry: bool,
}

/// Decides how to proceed after a failed attempt.
#[must_use]
pub fn verdict(point: FailurePoint, context: FailureContext) -> Verdict {
    let verdict = match context.retry_class {
        RetryClass::Once => verdict_once(point, context.may_retry),
        RetryClass::Idempotent => verdict_idempotent(point, context.may_retry),
        RetryClass::Generation => verdict_generation(point, context),
    };
    match verdict {
        // Delivered output proves that a target ran the request, wherever the last attempt failed.
        Verdict::Refuse(_) if context.has_delivered => Verdict::Refuse(Refusal::TargetFailed),
        verdict => verdict,
    }
}

impl FailurePoint {
    /// Returns whether a target may have run the request, given that the attempt failed in this
    /// phase.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !self.is_unexecuted() && self != Self::RefusedByTarget
    }

    /// Returns whether it is certain that no target has run the request.
    fn is_unexecuted(self) -> bool {
        matches!(self, Self::Connect | Self::NotExecuted | Self::Misdirected)
    }
}

fn verdict_once(point: FailurePoint, may_retry: bool) -> Verdict {
    match (point, may_retry) {
        (point, true) if point.is_unexecuted() => Verdict::Retry,
        (point, false) if point.is_unexecuted() => Verdict::Refuse(Refusal::TargetUnavailable),
        (FailurePoint::RefusedByTarget, _) => Verdict::PassOn,
        _ => Verdict::Refuse(Refusal::TargetFailed),
    }
}

fn verdict_idempotent(point: FailurePoint, may_retry: bool) -> Verdict {
    match (point, may_retry) {
        (_, true) => Verdict::Retry,
        (point, false) if point.is_unexecuted() => Verdict::Refuse(Refusal::TargetUnavailable),
        (FailurePoint::RefusedByTarget, false) => Verdict::PassOn,
        (_, false) => Verdict::Refuse(Refusal::TargetFailed),
    }
}

fn verdict_generation(point: FailurePoint, context: FailureContext) -> Verdict {
    if !context.may_retry {
        let is_not_run = !point.may_have_run() && !context.has_delivered;
        let refusal = if is_not_run {
            Refusal::TargetUnavailable
        } else {
            Refusal::TargetFailed
        };
        return Verdict::Refuse(refusal);
    }
    match point {
        FailurePoint::DuringAnswer | FailurePoint::Silence | FailurePoint::Sending => {
            Verdict::Resume
        }
        _ if !context.has_delivered => Verdict::Retry,
        _ if context.is_deterministic => Verdict::Replay,
        _ => Verdict::Refuse(Refusal::TargetFailed),
    }
}
