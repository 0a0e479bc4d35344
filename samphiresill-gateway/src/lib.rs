//! The request path of a router: callers on one side, targets on the other, decisions between.
//!
//! The crate knows no wire names: a [`dialect::Dialect`] reads and writes them. What a router
//! knows of configuration and targets is in [`knowledge::Knowledge`]; routers tell each other of
//! their load and pass on newer knowledge through [`peers`].

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
