//! The fleet's configuration document, as declared by operators, and its validation.
//!
//! Invariant: every [`document::Document`] returned by [`change::apply`] is valid.

pub mod change;
pub mod document;
pub mod error;
pub mod object;

#[cfg(test)]
mod tests;
