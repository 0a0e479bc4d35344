//! Retry decisions: which failed attempts may be retried, resumed or replayed, and what the caller
//! receives.
//!
//! This crate performs no I/O and reads no clock.

pub mod assembly;
pub mod attempt;
pub mod budget;
pub mod claim;
pub mod failure;
pub mod silence;

#[cfg(test)]
mod tests;
