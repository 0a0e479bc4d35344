//! Rate of the requests for one service and their mean prefill, as exponentially decayed sums.

use std::time::Duration;

/// Time constant of the decay: several intervals between events, short compared with a wave of
/// callers.
const TIME_CONSTANT_S: f64 = 1.0;

/// `Traffic` holds the decayed numbers of recent starts of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    own: f64,
    others: f64,
    prefill_tokens: f64,
    updated_at: Duration,
}

impl Traffic {
    /// Records a start; `is_own` when this gateway has placed it.
    pub fn record(&mut self, prefill_tokens: u32, is_own: bool, now: Duration) {
        let decay = self.decay(now);
        self.own *= decay;
        self.others *= decay;
        self.prefill_tokens *= decay;
        self.updated_at = now.max(self.updated_at);
        if is_own {
            self.own += 1.0;
        } else {
            self.others += 1.0;
        }
        self.prefill_tokens += f64::from(prefill_tokens);
    }

    /// Returns the starts per second that this gateway has placed.
    #[must_use]
    pub fn own_per_s(&self, now: Duration) -> f64 {
        self.own * self.decay(now) / TIME_CONSTANT_S
    }

    /// Returns the starts per second that other gateways have placed.
    #[must_use]
    pub fn others_per_s(&self, now: Duration) -> f64 {
        self.others * self.decay(now) / TIME_CONSTANT_S
    }

    /// Returns the mean number of prompt tokens to prefill.
    #[must_use]
    pub fn mean_prefill(&self) -> f64 {
        (self.prefill_tokens / (self.own + self.others)).max(1.0)
    }

    fn decay(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age_s / TIME_CONSTANT_S).exp()
    }
}
