//! Types shared by all crates of samphiresill: names, units, clock, outcomes and the routing table.

pub mod clock;
pub mod name;
pub mod outcome;
pub mod routing;
pub mod units;
