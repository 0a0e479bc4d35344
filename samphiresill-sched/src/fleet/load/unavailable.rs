//! Why no target can get a request, and when one may.

use std::time::Duration;

use crate::fleet::admission::{self, Reason, Refusal};
use crate::fleet::request::PlacementRequest;
use crate::fleet::streams::StreamOrigin;

/// `Retry-After` before jitter when no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Unavailable` is why no target can get a request.
pub(super) struct Unavailable {
    pub(super) reason: Reason,
    /// Time until a target takes a request, where its limit tells.
    pub(super) available_in: Duration,
}

impl From<Reason> for Unavailable {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            available_in: Duration::ZERO,
        }
    }
}

impl Unavailable {
    /// Records that an engine has no room for the request; a token of a limit is due sooner.
    pub(super) fn full(&mut self) {
        if self.reason == Reason::NoTarget {
            self.reason = Reason::NoRoom;
        }
    }

    /// Records that the limit of a target allows a request only after `wait`.
    pub(super) fn limited(&mut self, wait: Duration) {
        let is_first = self.reason != Reason::TargetLimit;
        self.available_in = if is_first {
            wait
        } else {
            wait.min(self.available_in)
        };
        self.reason = Reason::TargetLimit;
    }

    /// Returns the refusal of the request, with the time after which the caller should retry.
    pub(super) fn refusal(&self, req: &PlacementRequest<'_>, jitter: f64) -> Refusal {
        let delay = self.available_in.max(NO_TARGET_RETRY_AFTER);
        let retry_after = admission::retry_after(delay, req.time_left, jitter);
        let reason = match (self.reason, req.origin) {
            (Reason::NoTarget, StreamOrigin::At(_)) => Reason::NoVersion,
            (reason, _) => reason,
        };
        Refusal::new(reason, retry_after)
    }
}
