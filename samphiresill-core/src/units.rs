//! Units for service and capacity shares.

use derive_more::{Add, AddAssign, Display, From, Sum};
use serde::{Deserialize, Serialize};

/// `Tokens` is an amount of service in weighted tokens. A request to a plain service counts as
/// one token per millisecond of execution.
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
    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Converts to floating point, for division by a share.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

/// `Share` is a customer's weight in the distribution of capacity, relative to the shares of
/// other customers; 1 to 10,000.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// Largest share that a configuration may assign.
    pub const MAX: u32 = 10_000;

    /// Converts to floating point, for use as a divisor; never less than 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0.max(1))
    }
}

/// `RequestRate` is a number of requests per second, with a resolution of a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{}", self.per_second())]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Converts from requests per second; `None` when `per_second` is negative or not a number.
    /// Rates above 4 million per second are rounded down to that.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        // The conversion saturates.
        (per_second >= 0.0).then_some(Self((per_second * 1_000.0) as u32))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
