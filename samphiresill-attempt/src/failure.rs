//! What each point of failure allows, and what the caller is told.
//!
//! Invariant: a request that must run once is never sent again after a byte of it may have
//! reached a target, and is told `not-run` only before that.

use derive_more::Display;
use samphiresill_core::outcome::Refusal;

/// `Nature` is what a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Nature {
    /// Generation by a model: it may be resumed, and run again while no text was delivered.
    #[display("generation")]
    Generation,
    /// A call that may be repeated without effect.
    #[display("idempotent")]
    Idempotent,
    /// A call that must run at most once.
    #[display("once")]
    Once,
}

/// `FailurePoint` is where an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum FailurePoint {
    /// The connection was refused, or no route leads to the target: nothing was sent.
    #[display("connect")]
    Connect,
    /// The connection failed after the first byte of the request may have been sent.
    #[display("sending")]
    Sending,
    /// The target refused by itself, with a status that says it is not able to serve.
    #[display("refused by target")]
    RefusedByTarget,
    /// The target states that it has not run the request and will not run it.
    #[display("not executed")]
    NotExecuted,
    /// Another target answers at the address of the one that the request is for, and has not run
    /// it.
    #[display("misdirected")]
    Misdirected,
    /// The answer broke off.
    #[display("during answer")]
    DuringAnswer,
    /// The target made no progress for longer than its rate allows.
    #[display("silence")]
    Silence,
    /// The target does not know the stream that was to be resumed.
    #[display("stream lost")]
    StreamLost,
}

/// `Verdict` is what happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Verdict {
    /// Send the request again, to whichever target is granted.
    #[display("retry")]
    Retry,
    /// Continue the stream on the same target over a new connection.
    #[display("resume")]
    Resume,
    /// Run the request again elsewhere and compare it with what was delivered.
    #[display("replay")]
    Replay,
    /// Pass the target's own answer on.
    #[display("pass on")]
    PassOn,
    /// Tell the caller, for good.
    #[display("tell {_0}")]
    Tell(Refusal),
}

/// `Situation` is what a verdict depends on beside the point of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// What the request allows.
    pub nature: Nature,
    /// Whether some of the answer has gone to the caller.
    pub has_delivered: bool,
    /// Whether a second run must give the same text, as with a seed or temperature 0.
    pub is_deterministic: bool,
    /// Whether the retry budgets and the deadline leave another try.
    pub may_try_again: bool,
}

/// What an attempt's failure leads to.
#[must_use]
pub fn verdict(point: FailurePoint, situation: Situation) -> Verdict {
    let verdict = match situation.nature {
        Nature::Once => verdict_once(point, situation.may_try_again),
        Nature::Idempotent => verdict_idempotent(point, situation.may_try_again),
        Nature::Generation => verdict_generation(point, situation),
    };
    match verdict {
        // What has been delivered was run, wherever the last attempt failed.
        Verdict::Tell(_) if situation.has_delivered => Verdict::Tell(Refusal::TargetFailed),
        verdict => verdict,
    }
}

impl FailurePoint {
    /// Whether a target may have run the request although the attempt failed there.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !self.is_unexecuted() && self != Self::RefusedByTarget
    }

    /// Whether it is certain that no target has run the request.
    fn is_unexecuted(self) -> bool {
        matches!(self, Self::Connect | Self::NotExecuted | Self::Misdirected)
    }
}

fn verdict_once(point: FailurePoint, may_try_again: bool) -> Verdict {
    match (point, may_try_again) {
        (point, true) if point.is_unexecuted() => Verdict::Retry,
        (point, false) if point.is_unexecuted() => Verdict::Tell(Refusal::TargetUnavailable),
        (FailurePoint::RefusedByTarget, _) => Verdict::PassOn,
        _ => Verdict::Tell(Refusal::TargetFailed),
    }
}

fn verdict_idempotent(point: FailurePoint, may_try_again: bool) -> Verdict {
    match (point, may_try_again) {
        (_, true) => Verdict::Retry,
        (point, false) if point.is_unexecuted() => Verdict::Tell(Refusal::TargetUnavailable),
        (FailurePoint::RefusedByTarget, false) => Verdict::PassOn,
        (_, false) => Verdict::Tell(Refusal::TargetFailed),
    }
}

fn verdict_generation(point: FailurePoint, situation: Situation) -> Verdict {
    if !situation.may_try_again {
        let is_untouched = !point.may_have_run() && !situation.has_delivered;
        let refusal = if is_untouched {
            Refusal::TargetUnavailable
        } else {
            Refusal::TargetFailed
        };
        return Verdict::Tell(refusal);
    }
    match point {
        FailurePoint::DuringAnswer | FailurePoint::Silence | FailurePoint::Sending => {
            Verdict::Resume
        }
        _ if !situation.has_delivered => Verdict::Retry,
        _ if situation.is_deterministic => Verdict::Replay,
        _ => Verdict::Tell(Refusal::TargetFailed),
    }
}
