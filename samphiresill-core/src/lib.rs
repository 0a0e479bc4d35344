//! Names, units, clock and outcomes shared by every crate of samphiresill.

pub mod clock;
pub mod name;
pub mod outcome;
pub mod routing;
pub mod units;
