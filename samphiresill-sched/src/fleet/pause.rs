//! Pauses of running streams that the prefill of further prompts causes.
//!
//! Handles the load pattern in which long prompts are placed on engines where streams run: while an
//! engine prefills, each of its streams gets one token per chunk, so that an event of several tokens
//! takes as long as the prompts in the queue. A stream is late once one of its pauses exceeds the
//! objective, so long prompts belong on engines where few streams run, or where these are late already.

use std::time::Duration;

/// Fraction of the objective from which on a pause may exceed it: an engine may be slower for a while
/// than its learnt rate.
const SAFE_FRACTION: f64 = 0.3;
/// Weight of the newest stream in the moving average of the fraction of late streams.
const EWMA_WEIGHT: f64 = 0.005;
/// Fraction of late streams from which on pauses count fully. Below it, they count in proportion, so
/// that engines whose streams are on time are used as if there were no objective.
const TOLERATED_LATE_FRACTION: f64 = 0.02;

/// Returns the probability, 0 to 1, that a pause which is expected to last for `expected` exceeds the
/// objective.
#[must_use]
pub fn risk(expected: Duration, objective: Duration) -> f64 {
    if objective.is_zero() {
        return 0.0;
    }
    let ratio = expected.as_secs_f64() / objective.as_secs_f64();
    let excess = (ratio - SAFE_FRACTION) / (1.0 - SAFE_FRACTION);
    excess.clamp(0.0, 1.0).powi(2)
}

/// `LateStreams` is the fraction of the recent streams of a service with a pause over the objective.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateStreams {
    fraction: f64,
}

impl LateStreams {
    /// Records a stream that has ended.
    pub fn observe(&mut self, is_late: bool) {
        let sample = f64::from(u8::from(is_late));
        self.fraction += (sample - self.fraction) * EWMA_WEIGHT;
    }

    /// Returns how much the pauses of streams count in placement, 0 to 1.
    #[must_use]
    pub fn weight(&self) -> f64 {
        (self.fraction / TOLERATED_LATE_FRACTION).min(1.0)
    }

    /// Returns the fraction of late streams, 0 to 1.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }
}
