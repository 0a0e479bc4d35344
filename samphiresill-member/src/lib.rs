//! Membership protocol between routers: failure detection by probing, suspicion and gossip (SWIM).
//!
//! Each router probes one other router at a time, requests indirect probes before it suspects a
//! failure, and piggybacks membership updates on the probes, so that the traffic per router does
//! not grow with the fleet. This crate performs no I/O and reads no clock.

pub mod gossip;
pub mod member;
pub mod membership;
pub mod roles;
pub mod store_watch;

#[cfg(test)]
mod roles_tests;
#[cfg(test)]
mod store_watch_tests;
#[cfg(test)]
mod tests;
