//! Other ways to select among engines of similar cost, for comparison in the model.

use std::time::Duration;

use super::{Balance, Offer};

/// Margin of the sampling for current views, in milliseconds of cost.
const BASE_MARGIN_MS: f64 = 10.0;

/// `Alternative` replaces the choice of [`Balance`] in the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alternative {
    /// The choice of [`Balance`] for any number of targets.
    AnyNumber,
    /// The offer of the lowest cost.
    Lowest,
    /// The cheaper of two random offers whose costs are within a margin that grows with the age of
    /// the views.
    Sampled,
    /// Each engine has one owner, which uses others' engines only when all of its own cost more by
    /// the margin.
    Owned {
        /// Number of this decider.
        decider: usize,
        /// Number of deciders.
        deciders: usize,
    },
    /// A fixed part of the engines for each decider, without an exception.
    Subset {
        /// Number of this decider.
        decider: usize,
        /// Engines of each decider.
        size: usize,
    },
}

impl Alternative {
    pub(super) fn choose(
        &self,
        offers: &[Offer<'_>],
        cheapest: usize,
        random: f64,
        age: Option<Duration>,
    ) -> Option<usize> {
        let age_ms = age.unwrap_or_default().as_secs_f64() * 1_000.0;
        let max_cost = offers[cheapest].cost_ms + BASE_MARGIN_MS + age_ms;
        let lowest = |indices: Vec<usize>| {
            let cost = |i: &usize| offers[*i].cost_ms;
            let lowest = indices
                .into_iter()
                .min_by(|a, b| cost(a).total_cmp(&cost(b)));
            lowest.filter(|i| cost(i).is_finite())
        };
        let index = match self {
            Self::AnyNumber => return None,
            Self::Lowest => cheapest,
            Self::Sampled => {
                let within: Vec<usize> = (0..offers.len())
                    .filter(|i| offers[*i].cost_ms <= max_cost)
                    .collect();
                let count = within.len() as f64;
                let second = (random * 65_536.0).fract();
                let pair = [random, second].map(|r| within[(r * count) as usize]);
                lowest(pair.to_vec()).unwrap_or(cheapest)
            }
            Self::Owned { decider, deciders } => {
                let is_own = |i: &usize| i * deciders / offers.len() == *decider;
                let own = lowest((0..offers.len()).filter(is_own).collect());
                own.filter(|i| offers[*i].cost_ms <= max_cost)
                    .unwrap_or(cheapest)
            }
            Self::Subset { decider, size } => {
                let first = decider * size;
                let own = (first..first + size).map(|i| i % offers.len());
                lowest(own.collect()).unwrap_or(cheapest)
            }
        };
        Some(index)
    }
}

impl Balance {
    /// Replaces the choice.
    pub fn set_alternative(&mut self, alternative: Alternative) {
        self.alternative = Some(alternative);
    }
}
