//! Decisions on attempts: what may be retried, resumed or repeated, and what the caller is told.
//!
//! Nothing here does I/O or reads a clock.

pub mod assembly;
pub mod attempt;
pub mod budget;
pub mod claim;
pub mod failure;
pub mod silence;

#[cfg(test)]
mod tests;
