//! Units of service.

use derive_more::{Add, AddAssign, Display, From, Sum};
use serde::{Deserialize, Serialize};

/// `Tokens` counts service in weighted tokens; one call of a plain service counts as one token
/// per millisecond that it ran.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// What `self` exceeds `other` by, or nothing.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The count as a real number, for division by a share.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// `Share` is a customer's part of the capacity in proportion to other customers' shares;
/// 1 to 10,000.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// The largest share that a configuration may give.
    pub const MAX: u32 = 10_000;

    /// The share as a real number, for dividing service by it.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0.max(1))
    }
}
