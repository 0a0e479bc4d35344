//! Prefill rate and first-event latency of one model engine, learnt from the times of first events.
//!
//! Handles the load pattern in which the two are confused: on a lightly loaded engine, most of the
//! time to the first event is a fixed latency. If that time counts as prefill, the engine seems
//! several times slower than it is, and requests are refused although it is nearly idle.
//!
//! The duration of a prefill is modelled as `tokens / rate`, and the first event follows after the
//! latency, during which the engine already prefills the next prompt. Both parameters are a
//! recursive least-squares estimate, in which a prompt that had to wait for another one does not
//! contribute to the latency.

use std::time::Duration;

/// Prefill rate assumed until one is learnt, in prompt tokens per millisecond.
const INITIAL_RATE: f64 = 48.0;
/// Bounds of the learnt rate, in prompt tokens per millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 500.0);
/// First-event latency assumed until one is learnt, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 22.0;
/// Bounds of the learnt latency, in milliseconds.
const LATENCY_BOUNDS_MS: (f64, f64) = (1.0, 400.0);
/// Weight of the initial values: the tokens of one prompt and the number of its first events.
const INITIAL_WEIGHT: (f64, f64) = (2_000.0, 0.5);
/// Factor on the weight of earlier samples with each new one: about 30 samples are averaged.
const RETENTION: f64 = 0.967;
/// Longest prefill that is used as a sample, in milliseconds; a longer one is a stall.
const MAX_SAMPLE_MS: f64 = 5_000.0;

/// `PrefillModel` is the learnt model of one engine. With `x` tokens and `z` = 1 for a sample that
/// includes the latency, it keeps the weighted sums of the normal equations of
/// `ms = x / rate + z * latency`.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    xx: f64,
    xz: f64,
    zz: f64,
    xy: f64,
    zy: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        let (tokens, count) = INITIAL_WEIGHT;
        Self {
            xx: tokens * tokens,
            xz: 0.0,
            zz: count,
            xy: tokens * tokens / INITIAL_RATE,
            zy: count * INITIAL_LATENCY_MS,
        }
    }
}

impl PrefillModel {
    /// Returns the prefill rate, in prompt tokens per millisecond.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let ms_per_token = (self.xy * self.zz - self.zy * self.xz) / self.determinant();
        if ms_per_token <= 0.0 {
            return RATE_BOUNDS.1;
        }
        ms_per_token.recip().clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
    }

    /// Returns the latency between the end of a prefill and the first event.
    #[must_use]
    pub fn latency(&self) -> Duration {
        let ms = (self.zy - self.xz / self.rate()) / self.zz;
        Duration::from_secs_f64(ms.clamp(LATENCY_BOUNDS_MS.0, LATENCY_BOUNDS_MS.1) / 1_000.0)
    }

    /// Returns the prefill time of `tokens` prompt tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate() / 1_000.0)
    }

    /// Learns from a prompt of `tokens` tokens whose first event came `took` after it was sent, or
    /// after the first event of the prompt ahead when it `has_queued` behind that.
    pub fn observe(&mut self, tokens: u32, took: Duration, has_queued: bool) {
        let y = took.as_secs_f64() * 1_000.0;
        if y > MAX_SAMPLE_MS {
            return;
        }
        let x = f64::from(tokens);
        let z = if has_queued { 0.0 } else { 1.0 };
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETENTION + value;
        add(&mut self.xx, x * x);
        add(&mut self.xz, x * z);
        add(&mut self.zz, z);
        add(&mut self.xy, x * y);
        add(&mut self.zy, z * y);
        // Without recent samples of one kind, its parameter keeps a small weight.
        self.xx = self.xx.max(1.0);
        if self.zz < INITIAL_WEIGHT.1 {
            let latency_ms = self.latency().as_secs_f64() * 1_000.0;
            let missing = INITIAL_WEIGHT.1 - self.zz;
            self.zz += missing;
            self.zy += missing * latency_ms;
        }
    }

    /// Determinant of the normal equations; positive because `zz` and `xx` are.
    fn determinant(&self) -> f64 {
        (self.xx * self.zz - self.xz * self.xz).max(f64::MIN_POSITIVE)
    }
}
