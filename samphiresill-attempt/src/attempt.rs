//! The life of one attempt at a target, as types: a wrong transition does not compile.

use std::time::Duration;

use derive_more::Display;
use samphiresill_core::name::{RequestId, TargetName};

use crate::silence::Silence;

/// `AttemptId` identifies one attempt; a target sees it, and late answers are told apart by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{request}.{number}")]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Counts the request's attempts from 1.
    pub number: u32,
}

/// `Planned` is an attempt that has a slot; no byte of it has left.
#[derive(Debug)]
pub struct Planned {
    id: AttemptId,
    target: TargetName,
}

/// `Sent` is an attempt of which the target may have received something.
#[derive(Debug)]
pub struct Sent {
    id: AttemptId,
    target: TargetName,
    since: Duration,
    silence: Silence,
}

/// `Answering` is an attempt whose answer has begun.
#[derive(Debug)]
pub struct Answering {
    id: AttemptId,
    target: TargetName,
    sent_at: Duration,
    first_at: Duration,
    last_at: Duration,
    pieces: u64,
    silence: Silence,
}

/// `Settled` is an attempt that is over, with what it showed of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Time to the first piece of the answer, if any came.
    pub first: Option<Duration>,
    /// Mean time between pieces, if at least two came.
    pub between: Option<Duration>,
    /// Whether the target failed.
    pub failed: bool,
}

impl Planned {
    /// Plans attempt `number` of a request at a target.
    #[must_use]
    pub fn new(request: RequestId, number: u32, target: TargetName) -> Self {
        Self {
            id: AttemptId { request, number },
            target,
        }
    }

    /// The attempt's identity.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// The first byte may leave from now on.
    #[must_use]
    pub fn send(self, now: Duration) -> Sent {
        Sent {
            id: self.id,
            target: self.target,
            since: now,
            silence: Silence::new(now),
        }
    }
}

impl Sent {
    /// The attempt's identity.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// How long the target may stay silent from now on.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.silence.limit()
    }

    /// The first piece of the answer has arrived.
    #[must_use]
    pub fn begin_answer(mut self, now: Duration) -> Answering {
        self.silence.progress(now);
        Answering {
            id: self.id,
            target: self.target,
            sent_at: self.since,
            first_at: now,
            last_at: now,
            pieces: 1,
            silence: self.silence,
        }
    }

    /// The attempt ends without an answer.
    #[must_use]
    pub fn settle(self, failed: bool) -> Settled {
        Settled {
            first: None,
            between: None,
            failed,
        }
    }
}

impl Answering {
    /// The attempt's identity.
    #[must_use]
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// The target that answers.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Another piece has arrived.
    pub fn progress(&mut self, now: Duration) {
        self.silence.progress(now);
        self.last_at = now;
        self.pieces += 1;
    }

    /// How long the target may stay silent from now on.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.silence.limit()
    }

    /// The attempt ends.
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
