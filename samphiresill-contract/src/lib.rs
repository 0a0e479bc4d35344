//! The configuration document of the fleet: what operators declare, checked whole.
//!
//! Invariant: a [`document::Document`] that came out of [`change::apply`] is valid.

pub mod change;
pub mod document;
pub mod error;
pub mod object;

#[cfg(test)]
mod tests;
