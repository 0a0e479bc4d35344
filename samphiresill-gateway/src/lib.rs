//! The request path of a router: callers on one side, targets on the other, decisions between.
//!
//! The crate knows no wire names: a [`dialect::Dialect`] reads and writes them. Configuration
//! and targets are in [`knowledge::RoutingState`]; routers exchange their load and newer knowledge
//! through [`peers`].

pub mod body_budget;
pub mod callers;
pub mod connection;
pub mod dialect;
pub mod gateway;
pub mod knowledge;
pub mod listener;
pub mod log_budget;
pub mod metrics;
pub mod peers;
pub mod relay;
pub mod responder;
pub mod settings;

#[cfg(test)]
mod tests;
