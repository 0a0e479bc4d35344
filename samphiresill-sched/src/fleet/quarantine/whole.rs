//! Evidence against whole requests: one that is repeated, under other ids and at other routers, and
//! crashes each engine that begins to answer it, though all parts that it shares are sound.
//!
//! A sound request that ran in a crash is repeated and soon answered, which clears it. Chance explains
//! that one runs in further crashes only when engines crash so often that it keeps meeting them.

use std::time::Duration;

use super::case::Case;

/// Depth of a suspect that stands for a whole request.
pub const DEPTH: u8 = u8::MAX;
/// Crashes without which no request is convicted.
const MIN_CRASHES: usize = 3;
/// Number of requests, of all that ran in crashes, that may meet as many by chance.
const MAX_BY_CHANCE: f64 = 0.01;
/// Time for which a repeated request is exposed to crashes of its engine before it is answered.
const EXPOSURE_TIME: Duration = Duration::from_secs(2);
/// Longest time over which other crashes are counted.
pub const OBSERVATION_TIME: Duration = Duration::from_mins(1);
/// Shortest time over which they are.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Other crashes that are assumed until there is experience.
const PRIOR_CRASHES: f64 = 0.5;

/// `Background` is what else crashes engines.
#[derive(Clone, Copy, Debug)]
pub struct Background {
    /// Moments in the last [`OBSERVATION_TIME`] at which engines crashed without the request.
    pub crashes: usize,
    /// Time since the process has started, as far as it has observed.
    pub observed: Duration,
    /// Number of engines.
    pub engines: usize,
    /// Number of requests that ran in crashes and were not answered since.
    pub requests: usize,
}

/// Whether the evidence against a whole request is enough: crashes of several engines at several
/// moments, more than chance explains.
#[must_use]
pub(super) fn is_proven(case: &Case, background: Background) -> bool {
    let is_varied = case.explained_groups > 1 && case.targets > 1;
    case.crashes >= MIN_CRASHES && is_varied && chance(case, background) < MAX_BY_CHANCE
}

/// Number of sound requests that are expected to run in as many crashes, one after the other.
fn chance(case: &Case, background: Background) -> f64 {
    let observed = background.observed.max(MIN_OBSERVATION_TIME);
    let crashes_per_s = (background.crashes as f64 + PRIOR_CRASHES) / observed.as_secs_f64();
    let per_engine = crashes_per_s / background.engines.max(1) as f64;
    let exposure = (per_engine * EXPOSURE_TIME.as_secs_f64()).min(1.0);
    exposure.powf(case.explained_groups as f64 - 1.0) * background.requests as f64
}
