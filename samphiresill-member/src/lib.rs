//! Decisions on membership between routers: probing, suspicion and gossip.
//!
//! Each router probes one other at a time, asks others to probe in its place before it suspects,
//! and passes news on with the probes, so that a router's traffic does not grow with the fleet.
//! Nothing here does I/O or reads a clock.

pub mod member;
pub mod membership;
pub mod news;
pub mod roles;

#[cfg(test)]
mod roles_tests;
#[cfg(test)]
mod tests;
