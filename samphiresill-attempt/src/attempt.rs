//! Lifecycle of one attempt at a target, with a type per state, so that invalid transitions do not
//! compile.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{RequestId, TargetName};

use crate::silence::SilenceTimeout;

/// `AttemptId` identifies one attempt. It is sent to the target, and late responses are recognised
/// by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within the request, starting at 1.
    pub number: u32,
}

/// `Planned` is an attempt to which a slot is assigned; nothing has been sent.
#[derive(Debug)]
pub struct Planned {
    id: AttemptId,
    target: TargetName,
}

/// `Sent` is an attempt whose target may have received part of the request.
#[derive(Debug)]
pub struct Sent {
    id: AttemptId,
    target: TargetName,
    since: Duration,
    silence: SilenceTimeout,
}

/// `Responding` is an attempt whose response has begun.
#[derive(Debug)]
pub struct Responding {
    id: AttemptId,
    target: TargetName,
    sent_at: Duration,
    first_at: Duration,
    last_at: Duration,
    pieces: u64,
    silence: SilenceTimeout,
}

/// `Settled` is the result of an ended attempt, with the latencies measured at its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Time to the first piece of the response, if any was received.
    pub first: Option<Duration>,
    /// Mean time between two pieces, if at least two were received.
    pub between: Option<Duration>,
    /// Whether the target failed.
    pub failed: bool,
}

impl Planned {
    /// Creates attempt `number` of a request for a target.
    #[must_use]
    pub fn new(request: RequestId, number: u32, target: TargetName) -> Self {
        Self {
            id: AttemptId { request, number },
            target,
        }
    }

    /// Returns the ID of the attempt.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Marks the attempt as sent; must be called before the first byte is written.
    #[must_use]
    pub fn send(self, now: Duration) -> Sent {
        Sent {
            id: self.id,
            target: self.target,
            since: now,
            silence: SilenceTimeout::new(now),
        }
    }
}

impl Sent {
    /// Returns the ID of the attempt.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Returns how long to wait for the next progress of the target.
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.silence.timeout()
    }

    /// Records the first piece of the response.
    #[must_use]
    pub fn begin_response(mut self, now: Duration) -> Responding {
        self.silence.progress(now);
        Responding {
            id: self.id,
            target: self.target,
            sent_at: self.since,
            first_at: now,
            last_at: now,
            pieces: 1,
            silence: self.silence,
        }
    }

    /// Ends the attempt without a response.
    #[must_use]
    pub fn settle(self, failed: bool) -> Settled {
        Settled {
            first: None,
            between: None,
            failed,
        }
    }
}

impl Responding {
    /// Returns the ID of the attempt.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Returns the target that sends the response.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Records a further piece of the response.
    pub fn progress(&mut self, now: Duration) {
        self.silence.progress(now);
        self.last_at = now;
        self.pieces += 1;
    }

    /// Returns how long to wait for the next progress of the target.
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.silence.timeout()
    }

    /// Ends the attempt.
    #[must_use]
    pub fn settle(self, failed: bool) -> Settled {
        let gaps = u32::try_from(self.pieces - 1).unwrap_or(u32::MAX);
        let span = self.last_at.saturating_sub(self.first_at);
        Settled {
            first: Some(self.first_at.saturating_sub(self.sent_at)),
            between: (gaps > 0).then(|| span / gaps.max(1)),
            failed,
        }
    }
}
