//! Correction of an engine's modelled token interval by the intervals of its streams.
//!
//! Handles the load pattern of engines whose chunks, steps or memory differ from those that the
//! model assumes: its intervals are wrong by a factor that is the same for all streams.

/// Weight of a new observation in the average.
const WEIGHT: f64 = 0.1;
/// Bounds of the factor.
const BOUNDS: (f64, f64) = (0.2, 5.0);

/// `IntervalCorrection` is the geometric mean of recent ratios of observed to modelled intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalCorrection {
    log: f64,
}

impl IntervalCorrection {
    /// Returns the factor on the modelled interval.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Updates the factor with the interval of one stream, in milliseconds.
    pub fn observe(&mut self, observed_ms: f64, modelled_ms: f64) {
        if observed_ms > 0.0 && modelled_ms > 0.0 {
            let ratio = (observed_ms / modelled_ms).clamp(BOUNDS.0, BOUNDS.1);
            self.log += WEIGHT * (ratio.ln() - self.log);
        }
    }
}
